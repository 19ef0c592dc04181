"""Strikes pass between processes, are cleared, and lapse."""

import pytest
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.quarantine.strikes import StrikeTable


def struck(clock, deaths):
    table = StrikeTable(clock)
    for number in range(deaths):
        table.note_death(f"target-{number}", ["a", "b"])
    return table


def test_refusal_at_the_limit_says_when_to_come_back():
    clock = Clock()
    table = struck(clock, defaults.QUARANTINE_STRIKES)
    clock.advance(100.0)
    with pytest.raises(ApiError) as caught:
        table.check("a")
    assert caught.value.code == "quarantined"
    left_s = defaults.QUARANTINE_S - 100.0
    assert caught.value.retry_after_ms == left_s * 1000
    clock.advance(left_s)
    table.check("a")


def test_completed_run_clears_here_and_at_peers():
    clock = Clock()
    table, peer = struck(clock, 2), StrikeTable(clock)
    uncleared = table.messages()
    peer.merge(uncleared)
    table.note_completed("a")
    assert (table.count("a"), table.count("b")) == (0, 2)
    assert peer.merge(table.messages())
    assert not peer.merge(uncleared)
    assert (peer.count("a"), peer.count("b")) == (0, 2)


def test_content_that_completes_all_the_time_gets_no_strike():
    clock = Clock()
    table = StrikeTable(clock)
    table.note_completed("a")
    table.merge(struck(clock, 3).messages())
    assert (table.count("a"), table.count("b")) == (0, 3)


def test_strikes_passed_in_a_circle_still_lapse():
    clock = Clock()
    one, other = struck(clock, 1), StrikeTable(clock)
    while clock.seconds() <= defaults.QUARANTINE_S:
        clock.advance(defaults.QUARANTINE_S / 10)
        other.merge(one.messages())
        one.merge(other.messages())
    assert (one.messages(), other.messages()) == ([], [])


def test_table_is_bounded():
    clock = Clock()
    table = StrikeTable(clock)
    for number in range(defaults.STRIKES_KEPT + 10):
        table.note_death(f"target-{number}", ["a"])
    assert len(table.messages()) == defaults.STRIKES_KEPT
