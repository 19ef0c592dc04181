"""Tests that a target's earlier refusal is not taken for that of a new call."""

import pytest
from twisted.internet.task import Clock

from chicorystack.gateway.attempt import (
    Attempt,
    AttemptOutcome,
    ResponseProgress,
)
from chicorystack.gateway.model import CallKind
from chicorystack.platform.headers import PlatformTargetCodec
from chicorystack.web.exchange import HttpConnection, HttpRequest
from tests.gateway.test_call_run import FakeWriter, make_call
from tests.support.memory_router import TargetTransport

OWN_ID = b"x-chicorystack-request-attempt-id: a\r\n"
EARLIER_ID = b"x-chicorystack-request-attempt-id: earlier\r\n"
REFUSALS = [
    b"HTTP/1.1 503 Full\r\nx-chicorystack-not-executed: 1\r\n",
    b"HTTP/1.1 421 Misdirected\r\n",
    b"HTTP/1.1 429 Too many\r\nx-chicorystack-not-executed: 1\r\n",
]
NO_BODY = b"content-length: 0\r\n\r\n"


class Target:
    """A kept connection to a target, whose responses the test sends."""

    def __init__(self):
        self.clock = Clock()
        self.connection = HttpConnection(self.clock, lambda _connection: None)
        self.connection.makeConnection(TargetTransport())
        self.heads = []

    def call(self, response):
        """Returns how an attempt ends that gets a response."""
        attempt = Attempt(
            self.clock,
            make_call(CallKind.IDEMPOTENT),
            PlatformTargetCodec(),
            ResponseProgress(FakeWriter(), ""),
            self.heads.append,
            lambda: None,
        )
        results = []
        attempt.ended.addCallback(results.append)
        request = HttpRequest(b"GET", b"/", [(b"host", b"x")])
        attempt.run(self.connection, request)
        self.connection.dataReceived(response)
        (result,) = results
        return result.outcome


@pytest.fixture
def target():
    return Target()


@pytest.mark.parametrize("refusal", REFUSALS)
def test_first_refusal_on_a_connection_needs_no_id(target, refusal):
    """Guards against taking a target's refusal for a run."""
    assert target.call(refusal + NO_BODY) is AttemptOutcome.NOT_RUN


@pytest.mark.parametrize("refusal", REFUSALS)
def test_refusal_with_the_calls_id_counts_on_a_kept_connection(target, refusal):
    """Guards against taking a target's refusal for a run."""
    target.call(refusal + NO_BODY)
    assert target.call(refusal + OWN_ID + NO_BODY) is AttemptOutcome.NOT_RUN


@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("request_id", [b"", EARLIER_ID])
def test_earlier_refusal_does_not_say_that_a_call_has_not_run(
    target, refusal, request_id
):
    """Guards against a call that runs, and is refused or sent again free."""
    target.call(refusal + NO_BODY)
    outcome = target.call(refusal + request_id + NO_BODY)
    assert outcome is AttemptOutcome.BROKEN


def test_earlier_refusal_says_nothing_of_its_target(target):
    """Guards against a target that is paused again by what it said before."""
    target.call(REFUSALS[0] + NO_BODY)
    target.call(REFUSALS[0] + b"retry-after: 5\r\n" + NO_BODY)
    assert len(target.heads) == 1
