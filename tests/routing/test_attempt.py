"""One attempt at one target, with fake collaborators."""

from types import SimpleNamespace

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock
from twisted.trial.unittest import SynchronousTestCase

from chicorystack.quarantine.strikes import StrikeTable
from chicorystack.router.attempts import Attempt
from chicorystack.router.forwarder import NotDeliveredError


class UnreachableForwarder:
    """Fails as if the agent were unreachable or the request cancelled."""

    async def forward(self, *_):
        raise NotDeliveredError("no answer", False)


class FakeQuarantine:
    """Has no strikes and ignores failures."""

    strikes = StrikeTable(Clock())

    async def handle_failure(self, _name):
        pass


def run_attempt(caller_disconnected):
    targets = SimpleNamespace(adjust_in_flight=lambda *_: None)
    attempt = Attempt(
        Clock(), targets, UnreachableForwarder(), FakeQuarantine(), None
    )
    call = SimpleNamespace(
        header=lambda *_: {},
        key="k",
        refuse=False,
        content_hash="c",
        body=b"{}",
        operation=SimpleNamespace(repeatable=False),
        service=SimpleNamespace(name="model"),
    )
    request = SimpleNamespace(_disconnected=caller_disconnected)
    reservation = SimpleNamespace(use="")
    target = SimpleNamespace(name="t-1", url="u")
    deferred = defer.ensureDeferred(
        attempt.run(request, call, reservation, target)
    )
    return SynchronousTestCase().failureResultOf(deferred)


@pytest.mark.parametrize(
    ("caller_disconnected", "error"),
    [(True, defer.CancelledError), (False, NotDeliveredError)],
)
def test_call_is_cancelled_if_its_caller_has_disconnected(
    caller_disconnected, error
):
    assert run_attempt(caller_disconnected).check(error)
