"""Ejection, slow return, retry budget and adaptive bounds."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.router.repeatable_attempts import (
    ALL_SERVICES,
    RETRY_BOUNDS,
)
from chicorystack.routing.health import HealthTable
from chicorystack.routing.pickers import (
    LeastSent,
    RoundRobin,
    SampledLeastLoaded,
)
from chicorystack.routing.retry_budget import RetryBudget
from chicorystack.routing.targets import TargetState
from chicorystack.routing.timings import OperationId, Timings

NAMES = [f"t-{number}" for number in range(10)]
OPERATION = OperationId("model", "ask")


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def health(clock):
    return HealthTable(clock)


def answer_all(health, slow=(), rounds=5):
    for _ in range(rounds):
        for name in NAMES:
            seconds = 0.8 if name in slow else 0.1
            health.note_first_byte(name, seconds, 0.1)


def test_a_slow_target_is_ejected_and_comes_back_slowly(clock, health):
    answer_all(health, slow=["t-3"])
    assert [name for name in NAMES if not health.admits(name, 0)] == ["t-3"]
    clock.advance(defaults.EJECT_S)
    assert not health.admits("t-3", 0)  # No report since.
    health.note_report("t-3")
    assert health.admits("t-3", 0)
    assert not health.admits("t-3", 1)
    health.note_success("t-3")
    assert health.admits("t-3", 1)
    assert not health.admits("t-3", 2)


def test_most_targets_are_never_ejected_as_slow(health):
    answer_all(health, slow=NAMES[:4])
    ejected = [name for name in NAMES if not health.admits(name, 0)]
    assert len(ejected) == int(len(NAMES) * defaults.SLOW_EJECTED_MAX)


def test_even_slowness_ejects_nobody(health):
    for _ in range(10):
        for name in NAMES:
            health.note_first_byte(name, 5.0, 0.1)
    assert all(health.admits(name, 0) for name in NAMES)


def test_a_target_that_fails_again_stays_away_longer(clock, health):
    for _ in range(defaults.EJECT_FAILURES):
        health.note_failure("t-1")
    clock.advance(defaults.EJECT_S)
    health.note_report("t-1")
    health.note_failure("t-1")
    clock.advance(defaults.EJECT_S)
    health.note_report("t-1")
    assert not health.admits("t-1", 0)
    clock.advance(defaults.EJECT_S)
    assert health.admits("t-1", 0)


@given(st.lists(st.booleans(), max_size=300))
def test_retries_stay_a_fraction_of_calls(steps):
    budget = RetryBudget(Clock(), RETRY_BOUNDS, lambda: 1)
    calls = retries = 0
    for is_call in steps:
        if is_call:
            budget.note_call(ALL_SERVICES)
            calls += 1
        else:
            retries += budget.take(ALL_SERVICES)
    allowed = defaults.RETRY_BUDGET_MAX + defaults.RETRIES_PER_CALL * calls
    assert retries <= allowed + 1e-6


def test_start_bound_follows_the_answers_and_doubles():
    timings = Timings()
    assert (
        timings.start_bound_s(OPERATION, 0) == defaults.ANSWER_START_TIMEOUT_S
    )
    for _ in range(50):
        timings.note_first_byte(OPERATION, 0.05)
    assert timings.start_bound_s(OPERATION, 0) == defaults.START_BOUND_MIN_S
    assert timings.start_bound_s(OPERATION, 1) == (
        2 * defaults.START_BOUND_MIN_S
    )
    for _ in range(50):
        timings.note_first_byte(OPERATION, 1.0)
    assert timings.start_bound_s(OPERATION, 0) > 1.0


def target(name, data_centre, sent, others):
    return TargetState(name, "", data_centre, sent=sent, others=others)


def test_pickers_differ_by_what_they_know():
    busy = target("a", "near", sent=1, others=40)
    idle = target("b", "far", sent=2, others=0)
    assert LeastSent("near").pick([busy, idle]) == busy
    sampled = SampledLeastLoaded("near", random.Random(1))
    assert sampled.pick([busy, idle]) == idle
    turns = RoundRobin()
    assert [turns.pick([idle, busy]).name for _ in range(3)] == ["a", "b", "a"]
    near = target("c", "near", sent=2, others=0)
    assert sampled.pick([idle, near]) == near
