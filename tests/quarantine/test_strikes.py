"""Strikes are exchanged between processes, cleared, and expire."""

import pytest
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.quarantine.strikes import StrikeTable


def table_with_strikes(clock, crashes):
    table = StrikeTable(clock)
    for number in range(crashes):
        table.record_crash(f"target-{number}", ["a", "b"])
    return table


def test_refusal_at_the_limit_has_retry_after():
    clock = Clock()
    table = table_with_strikes(clock, defaults.QUARANTINE_STRIKES)
    clock.advance(100.0)
    with pytest.raises(ApiError) as exc_info:
        table.check("a")
    assert exc_info.value.code == "quarantined"
    left_s = defaults.QUARANTINE_S - 100.0
    assert exc_info.value.retry_after_ms == left_s * 1000
    clock.advance(left_s)
    table.check("a")


def test_completed_run_clears_strikes_here_and_at_peers():
    clock = Clock()
    table, peer = table_with_strikes(clock, 2), StrikeTable(clock)
    uncleared = table.messages()
    peer.merge(uncleared)
    table.record_completed("a")
    assert (table.count("a"), table.count("b")) == (0, 2)
    assert peer.merge(table.messages())
    assert not peer.merge(uncleared)
    assert (peer.count("a"), peer.count("b")) == (0, 2)


def test_request_that_completed_recently_gets_no_strike():
    clock = Clock()
    table = StrikeTable(clock)
    table.record_completed("a")
    table.merge(table_with_strikes(clock, 3).messages())
    assert (table.count("a"), table.count("b")) == (0, 3)


def test_strikes_exchanged_in_a_loop_still_expire():
    clock = Clock()
    one, other = table_with_strikes(clock, 1), StrikeTable(clock)
    while clock.seconds() <= defaults.QUARANTINE_S:
        clock.advance(defaults.QUARANTINE_S / 10)
        other.merge(one.messages())
        one.merge(other.messages())
    assert (one.messages(), other.messages()) == ([], [])


def test_table_size_is_limited():
    clock = Clock()
    table = StrikeTable(clock)
    for number in range(defaults.MAX_STORED_STRIKES + 10):
        table.record_crash(f"target-{number}", ["a"])
    assert len(table.messages()) == defaults.MAX_STORED_STRIKES
