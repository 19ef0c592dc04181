"""Records how each request ended: one event, counters and a histogram."""

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


class AttemptSummary(NamedTuple):
    """Summary of one attempt for the event of its call.

    Attributes:
        target: ID of the target.
        load: Estimated load of the target before the attempt.
        outcome: How the attempt ended.
        reason: Explanation of the outcome.
        duration_ms: Duration in milliseconds.
        version: Version of the target's software.
    """

    target: str
    load: float
    outcome: str
    reason: str
    duration_ms: float
    version: str


class CallRecorder:
    """Records the attempts and the outcome of one call."""

    def __init__(self, clock, call: Call):
        self._clock = clock
        self._call = call
        self._attempts: list[AttemptSummary] = []

    def record_attempt(
        self,
        target: TargetEntry,
        load: float,
        result: AttemptResult,
        started_at: float,
    ) -> None:
        """Records an attempt that has ended."""
        attempts_total.labels(result.outcome.value).inc()
        if result.first_byte_at:
            seconds = result.first_byte_at - self._call.request.received_at
            first_byte_seconds.labels(self._call.route.kind.value).observe(
                seconds
            )
        duration_ms = round((self._clock.seconds() - started_at) * 1000, 1)
        self._attempts.append(
            AttemptSummary(
                target.id,
                round(load, 1),
                result.outcome.value,
                result.reason,
                duration_ms,
                target.version,
            )
        )

    def record_end(
        self, outcome: str, status: int = 0, reason: str = "", tokens: int = 0
    ) -> None:
        """Emits the event of a call that has ended."""
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
            resumes=call.request.resumes,
            attempts=self._attempts,
        )


def record_refused(request_id: str, config: int, refusal: Refusal) -> None:
    """Emits the event of a request that was refused before any attempt."""
    requests_total.labels("none", "refused").inc()
    emit(
        "request",
        "refused",
        id=request_id,
        config=config,
        status=refusal.status,
        reason=refusal.code,
        message=refusal.message,
        retry_after_s=refusal.retry_after_s,
    )
