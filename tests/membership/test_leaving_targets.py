"""Leaving targets do not use up a call's attempts."""

import pytest
from twisted.internet.task import Clock
from twisted.trial.unittest import SynchronousTestCase

from chicorystack.config.model import Service, Target
from chicorystack.errors import ApiError
from chicorystack.membership.presence import Presence
from chicorystack.router.attempts import RepeatableAttempts
from chicorystack.router.forwarder import NotDeliveredError
from chicorystack.routing.targets import TargetState, TargetTable

NAMES = [f"t{number}" for number in range(8)]


class FakeCall:
    deadline = 10.0
    service = Service(
        "model", "north", "engine", {}, {n: Target(n, "n-1") for n in NAMES}
    )


class FakeAttempt:
    """All targets but one are leaving."""

    def __init__(self, code):
        self.code = code
        self.tried = []

    async def run(self, _request, _call, _reservation, target):
        self.tried.append(target.name)
        if len(self.tried) == len(NAMES):
            return "delivered"
        raise NotDeliveredError("no", False, ApiError(self.code, "no"))


def run_attempts(attempt):
    clock = Clock()
    presence = Presence(clock)
    presence.take_vm_list(
        {n: {"name": n, "role": "agent", "state": "live"} for n in NAMES}
    )
    table = TargetTable("n-1", presence)
    for name in NAMES:
        presence.take_word(name, True, 0.0)
        table.target_by_name[name] = TargetState(name, "", "n-1")
    attempts = RepeatableAttempts(clock, table, attempt)
    running = attempts.run(None, FakeCall, None)
    return SynchronousTestCase().successResultOf(running)


def test_call_goes_on_past_leaving_targets():
    attempt = FakeAttempt("draining")
    assert run_attempts(attempt) == "delivered"
    assert len(set(attempt.tried)) == len(NAMES)


def test_failures_are_tried_a_few_times_only():
    attempt = FakeAttempt("target_failed")
    with pytest.raises(AssertionError, match="target_failed"):
        run_attempts(attempt)
    assert len(attempt.tried) == 3
