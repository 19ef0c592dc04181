"""Attempts at a call, with a fake at the place of the exchange."""

from types import SimpleNamespace

from twisted.internet import defer
from twisted.internet.task import Clock

from chicorystack.errors import ApiError
from chicorystack.router.forwarder import NotDeliveredError
from chicorystack.router.repeatable_attempts import RepeatableAttempts
from chicorystack.routing.health import HealthTable
from chicorystack.routing.timings import Timings


class BreaksThenRefuses:
    """Gives part of a stream, then refuses to go on with it."""

    async def run(self, _request, _call, _reservation, _target, progress, _):
        if not progress.started:
            progress.started = True
            raise NotDeliveredError("broke off", True)
        refusal = ApiError("target_failed", "no")
        raise NotDeliveredError("refused", False, refusal)


class AnyTarget:
    """A queue that gives every call a target."""

    async def acquire_target(self, _call):
        return SimpleNamespace(name="t-1", service="model")

    def record_start(self, _customer):
        pass

    def record_end(self, _customer):
        pass


def test_no_refusal_follows_the_events_of_a_stream():
    clock = Clock()
    queue, health = AnyTarget(), HealthTable(clock)
    queues = SimpleNamespace(queue=lambda _: queue, health=lambda _: health)
    attempts = RepeatableAttempts(
        clock, None, BreaksThenRefuses(), queues, Timings()
    )
    call = SimpleNamespace(
        service=SimpleNamespace(name="model", resumable=True),
        operation=SimpleNamespace(name="ask", priority="high"),
        customer="a",
        deadline=30.0,
    )
    running = defer.ensureDeferred(attempts.run(None, call, None))
    failures = []
    running.addErrback(failures.append)
    clock.pump([0.1] * 10)
    assert failures[0].check(NotDeliveredError)
    assert failures[0].value.started
