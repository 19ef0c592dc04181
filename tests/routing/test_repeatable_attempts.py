"""RepeatableAttempts with a fake Attempt."""

from types import SimpleNamespace

from twisted.internet import defer
from twisted.internet.task import Clock

from chicorystack.errors import ApiError
from chicorystack.router.forwarder import NotDeliveredError
from chicorystack.router.repeatable_attempts import RepeatableAttempts
from chicorystack.routing.health import HealthTable
from chicorystack.routing.timings import Timings


class InterruptsThenRefuses:
    """Delivers part of a stream, then refuses to resume it."""

    async def run(self, _request, _call, _reservation, _target, progress, _):
        if not progress.started:
            progress.started = True
            raise NotDeliveredError("broke off", True)
        refusal = ApiError("target_failed", "no")
        raise NotDeliveredError("refused", False, refusal)


class FakeQueue:
    """A queue that assigns the same target to every call."""

    async def acquire_target(self, _call):
        return SimpleNamespace(name="t-1", service="model")

    def record_start(self, _customer):
        pass

    def record_end(self, _customer):
        pass


def test_interrupted_stream_is_not_followed_by_a_refusal():
    clock = Clock()
    queue, health = FakeQueue(), HealthTable(clock)
    queues = SimpleNamespace(queue=lambda _: queue, health=lambda _: health)
    attempts = RepeatableAttempts(
        clock, None, InterruptsThenRefuses(), queues, Timings()
    )
    call = SimpleNamespace(
        service=SimpleNamespace(name="model", resumable=True),
        operation=SimpleNamespace(name="ask", priority="high"),
        customer="a",
        deadline=30.0,
    )
    deferred = defer.ensureDeferred(attempts.run(None, call, None))
    failures = []
    deferred.addErrback(failures.append)
    clock.pump([0.1] * 10)
    assert failures[0].check(NotDeliveredError)
    assert failures[0].value.started
