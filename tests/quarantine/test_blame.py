"""Which of several keys of requests is to blame for crashes."""

import pytest
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.quarantine import blame
from chicorystack.quarantine.strikes import StrikeTable

LIMIT = defaults.QUARANTINE_STRIKES


@pytest.fixture
def table():
    return StrikeTable(Clock())


def crash(table, number, *keys):
    table.record_crash(f"target-{number}", keys, incarnation="1")


def test_part_that_requests_which_crashed_have_in_common_is_blamed(table):
    for number in range(LIMIT):
        crash(table, number, f"content-{number}", f"topic-{number}", "bad")
    assert blame.blamed_key(table, ["new", "new-topic", "bad"]) == "bad"
    with pytest.raises(ApiError, match="crashed"):
        blame.check(table, ["new", "bad"])
    blame.check(table, ["new", "topic-0"])


def test_request_with_one_of_two_suspect_parts_is_run(table):
    """Its run shows which of the two is to blame."""
    for number in range(LIMIT):
        crash(table, number, "shared", "bad")
    assert blame.blamed_key(table, ["shared", "bad"])
    assert blame.blamed_key(table, ["shared", "sound"]) is None
    table.record_completed("shared")
    assert blame.blamed_key(table, ["other", "bad"]) == "bad"
    assert blame.blamed_key(table, ["shared", "sound"]) is None


def test_suspect_that_crashes_a_target_without_the_other_is_blamed(table):
    for number in range(LIMIT):
        crash(table, number, "bad", "topic")
    crash(table, LIMIT, "bad", "other-topic")
    assert blame.blamed_key(table, ["bad", "third-topic"]) == "bad"
    assert blame.blamed_key(table, ["sound", "topic"]) is None


def test_requests_that_ran_beside_the_crashing_one_go_on(table):
    for number in range(LIMIT):
        crash(table, number, "bad", f"beside-{number}", "popular")
        table.record_completed("popular")
    assert blame.blamed_key(table, ["popular", "beside-0"]) is None
    assert blame.blamed_key(table, ["popular", "bad"]) == "bad"


def test_one_crash_seen_by_several_routers_counts_once(table):
    for _ in range(LIMIT):
        crash(table, 1, "beside")
    assert table.count("beside") == 1
