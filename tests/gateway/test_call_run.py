"""Which failures of targets a call outlives, and what they cost."""

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.gateway.call_run import CallRun
from chicorystack.gateway.loads import TargetLoads
from chicorystack.gateway.messages import AnswerHead, Call, CallerRequest
from chicorystack.gateway.model import CallKind, Route
from chicorystack.routing.retry_budget import RetryBounds, RetryBudget
from chicorystack.web.exchange import ExchangeError, HttpRequest
from tests.gateway.test_targets import entry

NO_RETRIES = RetryBounds(ratio=0.0, window_s=10.0, slack=0.0)
GOOD_HEAD = AnswerHead(
    200, [], "a", sealed=True, not_run=False, is_stream=False, encoded=False,
    leaving=False, load=None,
)  # fmt: skip


class Dialect:
    """Targets that say what a test lets them say."""

    def request(self, _call, _target, _left_s, _last_event):
        return HttpRequest(b"GET", b"/", [])

    def head(self, _status, _headers):
        return GOOD_HEAD


class Connection:
    """A connection that answers at once."""

    def run(self, _request, receiver):
        receiver.head_received(200, [])
        receiver.data_received(b"done")
        receiver.exchange_ended(None)

    def pause(self):
        """Is not asked to."""

    def resume(self):
        """Is not asked to."""


class Pool:
    """Targets in a fixed order, of which the first cannot be reached."""

    def __init__(self, clock, targets, unreachable):
        self._targets = targets
        self._unreachable = set(unreachable)
        self.loads = TargetLoads(clock)
        self.asked = []

    def choose(self, _call, tried):
        left = [t for t in self._targets if t.id not in tried]
        return left[0] if left else None

    def has_candidate(self, call, tried):
        return self.choose(call, tried) is not None

    async def connection(self, _call, target):
        self.asked.append(target.id)
        if target.id in self._unreachable:
            raise ExchangeError("refused", sent=False)
        return Connection()

    def note_head(self, target, head):
        """Learns nothing."""

    def note_begun(self, target):
        """Learns nothing."""

    def note_ended(self, target):
        """Learns nothing."""

    def note_result(self, call, target, result):
        """Learns nothing."""


class Reply:
    """What the caller gets."""

    gone = False

    def __init__(self):
        self.body = b""
        self.refusal = None

    def on_gone(self, listener):
        """Never leaves."""

    def throttle(self, pause, resume):
        """Is never slow."""

    def start(self, status, headers):
        """Is seen by its body."""

    def send(self, data):
        self.body += data

    def end(self):
        """Is seen by its body."""

    def refuse(self, refusal):
        self.refusal = refusal


def call_of(kind):
    route = Route(
        "r", "h", "/", kind, (), timeout_s=5.0, objective_s=0.2,
        gap_objective_s=0.0, max_attempts=1, priority=None, public=True,
        resumable=False, uses_prompts=False,
    )  # fmt: skip
    request = CallerRequest(
        "a", b"GET", b"/", "h", "/", [], b"", None, 5.0, None, (), "", 0.0
    )
    return Call(request, route, "s", "", None, 5.0, 1, "content")


def run_call(kind, targets, unreachable):
    """Returns the reply, and which targets were asked."""
    clock = Clock()
    entries = [entry(f"t-{number}") for number in range(targets)]
    away = [target.id for target in entries[:unreachable]]
    pool = Pool(clock, entries, away)
    reply = Reply()
    retries = RetryBudget(clock, NO_RETRIES, lambda: 1)
    run = CallRun(clock, call_of(kind), reply, Dialect(), pool, retries)
    running = defer.ensureDeferred(run.run())
    assert running.called
    return reply, pool.asked


@pytest.mark.parametrize("kind", list(CallKind))
def test_unreachable_targets_are_passed_by_without_a_retry(kind):
    reply, asked = run_call(kind, targets=6, unreachable=5)
    assert reply.body == b"done"
    assert len(asked) == 6


def test_call_is_refused_once_too_many_are_unreachable():
    reply, asked = run_call(CallKind.IDEMPOTENT, targets=20, unreachable=20)
    assert len(asked) == defaults.MAX_UNREACHED + 1
    assert (reply.refusal.status, reply.refusal.reason) == (503, "not_run")
