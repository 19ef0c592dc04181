"""Ejection, slow start, retry budget, adaptive timeouts and pickers."""

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
    LeastOutstanding,
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


def record_responses(health, slow=(), rounds=5):
    for _ in range(rounds):
        for name in NAMES:
            seconds = 0.8 if name in slow else 0.1
            health.record_first_byte(name, seconds, 0.1)


def test_slow_target_is_ejected_and_readmitted_with_slow_start(clock, health):
    record_responses(health, slow=["t-3"])
    assert [name for name in NAMES if not health.admits(name, 0)] == ["t-3"]
    clock.advance(defaults.EJECT_S)
    assert not health.admits("t-3", 0)  # No report since the ejection.
    health.record_report("t-3")
    assert health.admits("t-3", 0)
    assert not health.admits("t-3", 1)
    health.record_success("t-3")
    assert health.admits("t-3", 1)
    assert not health.admits("t-3", 2)


def test_at_most_a_fraction_of_targets_is_ejected_as_slow(health):
    record_responses(health, slow=NAMES[:4])
    ejected = [name for name in NAMES if not health.admits(name, 0)]
    assert len(ejected) == int(len(NAMES) * defaults.SLOW_EJECTED_MAX_FRACTION)


def test_no_target_is_ejected_if_all_are_equally_slow(health):
    for _ in range(10):
        for name in NAMES:
            health.record_first_byte(name, 5.0, 0.1)
    assert all(health.admits(name, 0) for name in NAMES)


def test_repeated_failure_doubles_the_ejection_time(clock, health):
    for _ in range(defaults.EJECT_FAILURES):
        health.record_failure("t-1")
    clock.advance(defaults.EJECT_S)
    health.record_report("t-1")
    health.record_failure("t-1")
    clock.advance(defaults.EJECT_S)
    health.record_report("t-1")
    assert not health.admits("t-1", 0)
    clock.advance(defaults.EJECT_S)
    assert health.admits("t-1", 0)


@given(st.lists(st.booleans(), max_size=300))
def test_retries_stay_within_the_budget(steps):
    budget = RetryBudget(Clock(), RETRY_BOUNDS, lambda: 1)
    calls = retries = 0
    for is_call in steps:
        if is_call:
            budget.record_call(ALL_SERVICES)
            calls += 1
        else:
            retries += budget.take(ALL_SERVICES)
    allowed = defaults.RETRY_SLACK + defaults.RETRIES_PER_CALL * calls
    assert retries <= allowed + 1e-6


def test_first_byte_timeout_adapts_to_latency_and_doubles():
    timings = Timings()
    assert (
        timings.first_byte_timeout_s(OPERATION, 0)
        == defaults.FIRST_BYTE_TIMEOUT_MAX_S
    )
    for _ in range(50):
        timings.record_first_byte(OPERATION, 0.05)
    assert (
        timings.first_byte_timeout_s(OPERATION, 0)
        == defaults.FIRST_BYTE_TIMEOUT_MIN_S
    )
    assert timings.first_byte_timeout_s(OPERATION, 1) == (
        2 * defaults.FIRST_BYTE_TIMEOUT_MIN_S
    )
    for _ in range(50):
        timings.record_first_byte(OPERATION, 1.0)
    assert timings.first_byte_timeout_s(OPERATION, 0) > 1.0


def target(name, data_centre, in_flight, in_flight_elsewhere):
    return TargetState(
        name,
        "",
        data_centre,
        in_flight=in_flight,
        in_flight_elsewhere=in_flight_elsewhere,
    )


def test_pickers_choose_by_load_in_flight_calls_or_turn():
    busy = target("a", "near", in_flight=1, in_flight_elsewhere=40)
    idle = target("b", "far", in_flight=2, in_flight_elsewhere=0)
    assert LeastOutstanding("near").pick([busy, idle]) == busy
    sampled = SampledLeastLoaded("near", random.Random(1))
    assert sampled.pick([busy, idle]) == idle
    round_robin = RoundRobin()
    assert [round_robin.pick([idle, busy]).name for _ in range(3)] == [
        "a",
        "b",
        "a",
    ]
    near = target("c", "near", in_flight=2, in_flight_elsewhere=0)
    assert sampled.pick([idle, near]) == near
