"""What became of each request: one event, counters and a histogram."""

from typing import NamedTuple

from chicorystack.gateway.attempt import AttemptResult
from chicorystack.gateway.messages import Call, Refusal
from chicorystack.gateway.targets import TargetEntry
from chicorystack.observe.events import emit
from chicorystack.observe.exposition import (
    attempts_total,
    first_byte_seconds,
    requests_total,
)


class AttemptNote(NamedTuple):
    """One attempt, for the event of its call.

    Attributes:
        target: Id of the target.
        load: Load that the target was believed to have.
        end: How it ended.
        reason: Why.
        ms: How long it took.
    """

    target: str
    load: float
    end: str
    reason: str
    ms: float


class CallStory:
    """Collects what was decided on one call."""

    def __init__(self, clock, call: Call):
        self._clock = clock
        self._call = call
        self._attempts: list[AttemptNote] = []

    def note_attempt(
        self,
        target: TargetEntry,
        load: float,
        result: AttemptResult,
        begun_at: float,
    ) -> None:
        """Adds an attempt that has ended."""
        attempts_total.labels(result.end.value).inc()
        if result.first_byte_at:
            seconds = result.first_byte_at - self._call.request.received_at
            first_byte_seconds.labels(self._call.route.kind.value).observe(
                seconds
            )
        ms = round((self._clock.seconds() - begun_at) * 1000, 1)
        self._attempts.append(
            AttemptNote(
                target.id, round(load, 1), result.end.value, result.reason, ms
            )
        )

    def end(
        self, outcome: str, status: int = 0, reason: str = "", tokens: int = 0
    ) -> None:
        """Writes the event of a call that has ended."""
        call = self._call
        now = self._clock.seconds()
        requests_total.labels(call.route.kind.value, outcome).inc()
        emit(
            "request",
            outcome,
            id=call.request.id,
            route=call.route.name,
            service=call.service,
            customer=call.customer,
            config=call.config_version,
            status=status,
            reason=reason,
            tokens=tokens,
            ms=round((now - call.request.received_at) * 1000, 1),
            left_ms=round((call.deadline - now) * 1000),
            attempts=self._attempts,
        )


def note_refused(request_id: str, config: int, refusal: Refusal) -> None:
    """Writes the event of a request that did not become a call."""
    requests_total.labels("none", "refused").inc()
    emit(
        "request",
        "refused",
        id=request_id,
        config=config,
        status=refusal.status,
        reason=refusal.reason,
        message=refusal.message,
        retry_after_s=refusal.retry_after_s,
    )
