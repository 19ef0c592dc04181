"""Tests what routers believe of a target's limit, from answers and peers."""

import pytest

from chicorystack import defaults
from chicorystack.rate_limits.messages import LimitStatement
from chicorystack.rate_limits.statements import LimitTable

TARGET = ("i-1", 5)


@pytest.fixture
def table():
    return LimitTable(lambda _: True)


def test_first_answer_names_the_limit(table):
    assert table.record_answer(TARGET, 2.5, 0)
    assert table.limit(TARGET) == 2.5
    assert table.limit(("i-1", 6)) is None


def test_answer_without_a_limit_ends_it(table):
    table.record_answer(TARGET, 2.5, 0)
    assert table.record_answer(TARGET, None, table.revision(TARGET))
    assert table.limit(TARGET) is None
    assert table.active() == []


def test_answer_to_an_older_call_does_not_end_or_raise_a_limit(table):
    table.record_answer(TARGET, 2.5, 0)
    assert not table.record_answer(TARGET, None, 0)
    assert not table.record_answer(TARGET, 4.0, 0)
    assert table.limit(TARGET) == 2.5


def test_answer_to_an_older_call_may_be_stricter(table):
    table.record_answer(TARGET, 2.5, 0)
    assert table.record_answer(TARGET, 1.0, 0)
    assert table.limit(TARGET) == 1.0


def test_limit_of_zero_leaves_calls_that_show_its_end(table):
    table.record_answer(TARGET, 0.0, 0)
    assert table.limit(TARGET) == defaults.RATE_LIMIT_MIN_PER_S


def test_newest_statement_wins_and_of_two_alike_the_stricter(table):
    assert table.merge([LimitStatement(*TARGET, 2, 3.0)])
    assert not table.merge([LimitStatement(*TARGET, 1, 1.0)])
    assert not table.merge([LimitStatement(*TARGET, 2, None)])
    assert table.merge([LimitStatement(*TARGET, 2, 2.0)])
    assert table.merge([LimitStatement(*TARGET, 3, None)])
    assert table.limit(TARGET) is None


def test_limit_of_a_target_that_has_left_is_not_in_force():
    registered = {TARGET}
    table = LimitTable(registered.__contains__)
    table.record_answer(TARGET, 2.0, 0)
    assert len(table.active()) == len(table.known()) == 1
    registered.clear()
    assert table.active() == table.known() == []


def test_number_of_remembered_statements_is_limited(table):
    for number in range(defaults.MAX_TARGET_NOTICES + 10):
        table.record_answer((f"i-{number}", 5), 1.0, 0)
    remembered = table.statement_by_incarnation
    assert len(remembered) == defaults.MAX_TARGET_NOTICES
