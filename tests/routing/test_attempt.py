"""One attempt at one target, with fakes around it."""

from types import SimpleNamespace

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock
from twisted.trial.unittest import SynchronousTestCase

from chicorystack.quarantine.strikes import StrikeTable
from chicorystack.router.attempts import Attempt
from chicorystack.router.forwarder import NotDeliveredError


class Unreachable:
    """An exchange that fails, as one does that was cancelled."""

    async def forward(self, *_):
        raise NotDeliveredError("no answer", False)


class NoSentry:
    """Watches nothing."""

    strikes = StrikeTable(Clock())

    async def note_failure(self, _name):
        pass


def run_attempt(caller_gone):
    targets = SimpleNamespace(adjust_in_flight=lambda *_: None)
    attempt = Attempt(Clock(), targets, Unreachable(), NoSentry(), None)
    call = SimpleNamespace(
        header=lambda *_: {},
        key="k",
        refuse=False,
        content="c",
        body=b"{}",
        operation=SimpleNamespace(repeatable=False),
        service=SimpleNamespace(name="model"),
    )
    request = SimpleNamespace(_disconnected=caller_gone)
    reservation = SimpleNamespace(use="")
    target = SimpleNamespace(name="t-1", url="u")
    running = defer.ensureDeferred(
        attempt.run(request, call, reservation, target)
    )
    return SynchronousTestCase().failureResultOf(running)


@pytest.mark.parametrize(
    ("caller_gone", "error"),
    [(True, defer.CancelledError), (False, NotDeliveredError)],
)
def test_a_call_whose_caller_has_gone_is_not_tried_again(caller_gone, error):
    assert run_attempt(caller_gone).check(error)
