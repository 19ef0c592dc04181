"""The time-out follows a store that is fast, turns slow, or goes away."""

from chicorystack import defaults
from chicorystack.store.patience import CallPatience


def settled(answer_s):
    patience = CallPatience()
    for _ in range(60):
        patience.note_answer(answer_s)
    return patience


def test_fast_store_is_given_up_soon():
    assert settled(0.008).timeout_s < 0.25


def test_store_that_turns_slow_gets_more_time_with_each_failure():
    patience = settled(0.008)
    for _ in range(3):
        patience.note_failure()
    assert patience.timeout_s == defaults.STORE_CALL_TIMEOUT_S


def test_slow_answer_counts_at_once():
    patience = settled(0.008)
    patience.note_answer(0.24)
    assert patience.timeout_s == defaults.STORE_CALL_TIMEOUT_S
