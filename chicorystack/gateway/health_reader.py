"""Reads from targets' health paths for how long they stay cold.

A warm target may become cold again before its entry says so. All routers
together read each target's health several times a second and tell each other
what they learn. A target that is known to be cold is not read: it accepts few
requests.
"""

import random
from collections.abc import Callable
from typing import Protocol

from twisted.internet import defer

from chicorystack import defaults
from chicorystack.gateway.messages import ResponseHead
from chicorystack.gateway.model import ServiceSpec
from chicorystack.gateway.targets import TargetEntry, TargetRegistry
from chicorystack.observe.events import emit
from chicorystack.rate_limits.limiter import RateLimiter
from chicorystack.web.exchange import (
    ConnectionPool,
    ExchangeError,
    FetchLimits,
    Headers,
    HttpRequest,
    fetch,
)

LIMITS = FetchLimits(defaults.HEALTH_TIMEOUT_S, defaults.HEALTH_TIMEOUT_S)


class HealthCodec(Protocol):
    """Encodes health requests and decodes their responses."""

    def encode_health_request(
        self, target: TargetEntry, path: str
    ) -> HttpRequest:
        """Returns the request that reads a target's health."""

    def decode_head(self, status: int, headers: Headers) -> ResponseHead:
        """Decodes the head of a response."""


class HealthSchedule:
    """When this router reads the health of which targets."""

    def __init__(self, clock, router_count: Callable[[], int]):
        self._clock = clock
        self._router_count = router_count
        self._due_by_incarnation: dict[tuple[str, int], float] = {}

    def interval_s(self) -> float:
        """Returns the time between two reads of a target, in seconds."""
        return max(
            defaults.HEALTH_READ_MIN_S,
            self._router_count() / defaults.HEALTH_READS_PER_S,
        )

    def due(self, targets: list[TargetEntry]) -> list[TargetEntry]:
        """Returns the targets to read now; the first read is at random."""
        now, interval_s = self._clock.seconds(), self.interval_s()
        next_by_incarnation, due = {}, []
        for entry in targets:
            due_at = self._due_by_incarnation.get(entry.incarnation)
            if due_at is None:
                due_at = now + random.uniform(0, interval_s)
            elif due_at <= now:
                due.append(entry)
                due_at = now + interval_s
            next_by_incarnation[entry.incarnation] = due_at
        self._due_by_incarnation = next_by_incarnation
        return due


class HealthReader:
    """Reads the health of targets that may become cold."""

    def __init__(
        self,
        reactor,
        registry: TargetRegistry,
        find_service: Callable[[str], ServiceSpec | None],
        schedule: HealthSchedule,
        codec: HealthCodec,
        limiter: RateLimiter,
        find_connections: Callable[[TargetEntry], ConnectionPool],
        may_read: Callable[[TargetEntry], bool],
    ):
        """Prepares the reader.

        Args:
            reactor: The reactor.
            registry: The targets.
            find_service: Returns the configuration of a service, if known.
            schedule: When to read which target.
            codec: Codec for targets.
            limiter: Learns for how long targets stay cold.
            find_connections: Returns the connections to a target.
            may_read: Returns whether a target may get requests.
        """
        self._reactor = reactor
        self._registry = registry
        self._find_service = find_service
        self._schedule = schedule
        self._codec = codec
        self._limiter = limiter
        self._find_connections = find_connections
        self._may_read = may_read

    def start(self) -> None:
        """Starts reading."""
        self._read_due()

    def _read_due(self) -> None:
        for entry in self._schedule.due(self._readable_targets()):
            reading = defer.ensureDeferred(self._read(entry))
            reading.addErrback(_log_failure, entry)
        self._reactor.callLater(defaults.HEALTH_CHECK_S, self._read_due)

    def _readable_targets(self) -> list[TargetEntry]:
        return [
            entry
            for entry in self._registry.entry_by_id.values()
            if entry.ready
            and self._health_path(entry)
            and self._limiter.cold.limit(entry.incarnation) is None
            and self._may_read(entry)
        ]

    def _health_path(self, entry: TargetEntry) -> str:
        """Returns the health path of a target that may become cold, if any."""
        spec = self._find_service(entry.service)
        return spec.health_path if spec and spec.cold_per_s else ""

    async def _read(self, entry: TargetEntry) -> None:
        request = self._codec.encode_health_request(
            entry, self._health_path(entry)
        )
        connections = self._find_connections(entry)
        try:
            response = await fetch(self._reactor, connections, request, LIMITS)
        except ExchangeError:
            # Calls show whether the target can be reached.
            return
        head = self._codec.decode_head(response.status, response.headers)
        if head.request_id:
            # An earlier response to a call, written once more.
            return
        if not head.misdirected and self._registry.is_current(entry):
            self._limiter.record_cold_answer(entry, head.cold_s)


def _log_failure(failure, entry: TargetEntry) -> None:
    emit(
        "targets", "health_failed", target=entry.id,
        reason=failure.getTraceback(),
    )  # fmt: skip
