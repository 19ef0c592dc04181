"""Refusals of leaving targets do not count as a call's attempts."""

import random
from typing import NamedTuple

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.config.model import (
    FleetConfig,
    Operation,
    Service,
    Site,
    Target,
)
from chicorystack.errors import ApiError
from chicorystack.membership.availability import TargetAvailability
from chicorystack.router.forwarder import DeliveredResponse, NotDeliveredError
from chicorystack.router.repeatable_attempts import RepeatableAttempts
from chicorystack.routing.call_queue import CallQueues
from chicorystack.routing.pickers import SampledLeastLoaded
from chicorystack.routing.targets import TargetTable
from chicorystack.routing.timings import Timings

NAMES = [f"t{number}" for number in range(8)]
VM = {
    "role": "agent",
    "site": "north",
    "data_centre": "n-1",
    "address": "127.0.0.1",
    "port": 1,
    "state": "live",
}
SERVICE = Service(
    "model",
    "north",
    "engine",
    {"ask": Operation("ask", True)},
    {name: Target(name, "n-1") for name in NAMES},
)


class FakeCall(NamedTuple):
    service: Service = SERVICE
    operation: Operation = SERVICE.operation_by_name["ask"]
    customer: str = "alpha"
    deadline: float = 10.0


class FakeAttempt:
    """All targets except the last one tried refuse."""

    def __init__(self, code, targets):
        self.code = code
        self.targets = targets
        self.tried = []

    async def run(self, _request, _call, _reservation, target, *_):
        self.tried.append(target.name)
        if len(self.tried) == len(NAMES):
            return DeliveredResponse(1, "use")
        refusal = ApiError(self.code, "no")
        error = NotDeliveredError("no", False, refusal)
        if error.target_draining:
            self.targets.record_refusal(target.name, 0.0)
        raise error


def run_attempts(code):
    """Runs a call; returns the targets tried and the outcome."""
    clock = Clock()
    availability = TargetAvailability(clock)
    targets = TargetTable("n-1", "router-1", availability)
    site = Site("north", ("n-1",), {"model": SERVICE})
    vm_by_name = {name: VM | {"name": name} for name in NAMES}
    targets.update(FleetConfig(1, 1, {"north": site}), "north", vm_by_name)
    for name in NAMES:
        availability.record_status(name, True, 0.0)
    timings = Timings()
    queues = CallQueues(
        clock,
        targets,
        lambda: SampledLeastLoaded("n-1", random.Random(1)),
        timings,
    )
    attempt = FakeAttempt(code, targets)
    attempts = RepeatableAttempts(clock, targets, attempt, queues, timings)
    running = defer.ensureDeferred(attempts.run(None, FakeCall(), None))
    outcome = []
    running.addBoth(outcome.append)
    clock.pump([0.1] * 20)
    return attempt.tried, outcome[0]


def test_call_is_retried_until_a_target_is_not_leaving():
    tried, outcome = run_attempts("draining")
    assert outcome == DeliveredResponse(1, "use")
    assert len(set(tried)) == len(NAMES)


def test_attempts_at_failing_targets_are_limited():
    tried, outcome = run_attempts("target_failed")
    with pytest.raises(ApiError, match="target_failed"):
        outcome.raiseException()
    assert len(tried) <= defaults.MAX_ATTEMPTS
