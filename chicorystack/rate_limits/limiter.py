"""Permits for calls to targets that limit the rate of calls of all routers.

A router takes a permit for each call that it sends to such a target. Permits
come from the shares that it may use itself, else from the coordinator: the
first router in an order that all agree on, leaving out those that did not
answer lately. Only while a limit is in force do routers exchange messages.
"""

import math
from collections.abc import Callable

from twisted.internet import defer

from chicorystack import defaults
from chicorystack.gateway.targets import TargetEntry
from chicorystack.observe.events import emit
from chicorystack.observe.exposition import rate_permits_total
from chicorystack.rate_limits.cold_limits import ColdLimits
from chicorystack.rate_limits.coordination import Coordination
from chicorystack.rate_limits.lease_clock import LeaseClock
from chicorystack.rate_limits.messages import (
    Incarnation,
    PermitAnswer,
    PermitRequest,
    RatePeerError,
    RatePeers,
    ShareAnswer,
    ShareRequest,
    TargetWait,
)
from chicorystack.rate_limits.pacing import Pace, Pacer
from chicorystack.rate_limits.shares import Coordinator, ShareLedger
from chicorystack.rate_limits.statements import LimitTable


class RateLimiter:
    """Grants this router's calls, and those of others, their permits.

    Attributes:
        limits: What targets have stated.
        cold: Which targets are cold.
    """

    def __init__(
        self,
        clock,
        own: Coordinator,
        peers: RatePeers,
        limits: LimitTable,
        cold: ColdLimits,
        router_count: Callable[[], int],
    ):
        """Starts without limits.

        Args:
            clock: The reactor.
            own: This router's process.
            peers: The other routers.
            limits: What targets have stated.
            cold: Which targets are cold.
            router_count: Returns the number of routers, including this one.
        """
        self._clock = clock
        self._peers = peers
        self._router_count = router_count
        self._shares = ShareLedger(LeaseClock(clock))
        self.limits = limits
        self.cold = cold
        self._coordination = Coordination(
            clock, own, peers, limits, cold, self._shares, router_count
        )
        self._pacer_by_incarnation: dict[Incarnation, Pacer] = {}
        self._blocked_until: dict[Incarnation, float] = {}
        # Calls that wait for permits while a request is in flight.
        self._queue_by_incarnation: dict[
            Incarnation, list[defer.Deferred[bool]]
        ] = {}

    def start(self) -> None:
        """Reserves the own share until a former process's lease has ended."""
        self._shares.own_usable_at = (
            self._shares.seconds() + self._coordination.lease_s()
        )

    def limit(self, incarnation: Incarnation) -> float | None:
        """Returns the calls a second that a target accepts; None for any.

        Of what it states and what a cold target accepts the stricter counts.
        """
        stated = self.limits.limit(incarnation)
        cold = self.cold.limit(incarnation)
        if stated is None or cold is None:
            return cold if stated is None else stated
        return min(stated, cold)

    def blocked_s(self, incarnation: Incarnation) -> float:
        """Returns for how long no permit is available, in seconds."""
        if self.limit(incarnation) is None:
            return 0.0
        blocked_until = self._blocked_until.get(incarnation, 0.0)
        return max(0.0, blocked_until - self._clock.seconds())

    def record_answer(
        self,
        incarnation: Incarnation,
        calls_per_s: float | None,
        sent_revision: int,
    ) -> None:
        """Records the limit that an answer states; see LimitTable."""
        if self.limits.record_answer(incarnation, calls_per_s, sent_revision):
            self._coordination.announce()

    def record_cold_answer(
        self, entry: TargetEntry, cold_s: float | None
    ) -> None:
        """Records for how long a target stays cold, by its answer."""
        if cold_s is not None and self.cold.record_answer(entry, cold_s):
            self._coordination.announce()

    async def acquire(self, incarnation: Incarnation) -> bool:
        """Takes a permit for one call; returns whether it may be sent."""
        if self.limit(incarnation) is None:
            return True
        allowed = await self._obtain(incarnation)
        rate_permits_total.labels("granted" if allowed else "denied").inc()
        return allowed

    def lease_share(self, request: ShareRequest) -> ShareAnswer:
        """Answers a coordinator's request for this router's share."""
        return self._coordination.answer(request)

    def grant(self, request: PermitRequest) -> PermitAnswer:
        """Answers another router's request for permits."""
        self._coordination.merge(request.statements, request.cold)
        incarnation = (request.target, request.started_ms)
        if request.cold_per_s:
            self.cold.record_request(incarnation, request.cold_per_s)
        if self.limit(incarnation) is None:
            return PermitAnswer(request.count, 0.0, self.limits.known())
        granted, wait_s = self._take(incarnation, request.count)
        waits = self._waits() if granted < request.count else []
        return PermitAnswer(granted, wait_s, self.limits.known(), waits)

    async def _obtain(self, incarnation: Incarnation) -> bool:
        if self.blocked_s(incarnation):
            return False
        granted, wait_s = self._take(incarnation, 1)
        if granted:
            return True
        if self._coordination.coordinator() is None:
            self._block(incarnation, wait_s)
            return False
        return await self._enqueue(incarnation)

    def _enqueue(self, incarnation: Incarnation) -> defer.Deferred[bool]:
        """Lets a call wait for a permit of the coordinator.

        Calls that come while a request is in flight wait for the next one,
        which asks for all their permits.
        """
        call = defer.Deferred()
        queue = self._queue_by_incarnation.get(incarnation)
        if queue is not None:
            queue.append(call)
            return call
        self._queue_by_incarnation[incarnation] = [call]
        asking = defer.ensureDeferred(self._serve_queue(incarnation))
        asking.addErrback(_log_failure)
        return call

    async def _serve_queue(self, incarnation: Incarnation) -> None:
        queues = self._queue_by_incarnation
        calls: list[defer.Deferred[bool]] = []
        try:
            while queues[incarnation]:
                calls, queues[incarnation] = queues[incarnation], []
                granted = await self._request(incarnation, len(calls))
                for position, call in enumerate(calls):
                    call.callback(position < granted)
        finally:
            # After an unexpected exception no call may be left waiting.
            for call in (*calls, *queues.pop(incarnation)):
                if not call.called:
                    call.callback(False)

    async def _request(self, incarnation: Incarnation, count: int) -> int:
        """Asks the coordinator; returns the number of permits granted."""
        router = self._coordination.coordinator()
        if router is None or self.blocked_s(incarnation):
            return 0
        request = PermitRequest(
            *incarnation,
            count,
            self.limits.known(),
            self.cold.limit(incarnation) or 0.0,
        )
        try:
            answer = await self._peers.request_permits(router, request)
        except RatePeerError as error:
            self._coordination.suspend(router, str(error))
            # A call must not wait for this router again for each cold target.
            for unserved in (incarnation, *self.cold.active()):
                self._block(unserved, defaults.RATE_RETRY_MIN_S)
            return 0
        self._coordination.merge(answer.statements, [])
        if answer.granted < count:
            self._block(incarnation, answer.wait_s)
        for wait in answer.waits:
            self._block((wait.target, wait.started_ms), wait.wait_s)
        return answer.granted

    def _take(self, incarnation: Incarnation, count: int) -> tuple[int, float]:
        """Takes permits of the shares that this router may use.

        Returns:
            The number of permits, and the time until the next, in seconds.
        """
        pacer = self._pacer(incarnation)
        granted = pacer.take(count)
        wait_s = pacer.wait_s()
        if math.isinf(wait_s):
            wait_s = defaults.RATE_NO_SHARES_RETRY_S
        return granted, min(wait_s, defaults.RATE_RETRY_MAX_S)

    def _pacer(self, incarnation: Incarnation) -> Pacer:
        held, count = self._shares.held(), max(1, self._router_count())
        calls_per_s = self.limit(incarnation) or 0.0
        share = min(1.0, held / count)
        if self.cold.limit(incarnation) is None:
            few = share < defaults.RATE_STEADY_FRACTION
            pace = Pace(calls_per_s * share, few)
        else:
            pace = self.cold.bounds.pace(calls_per_s, share)
        pacer = self._pacer_by_incarnation.get(incarnation)
        if pacer is None:
            pacer = Pacer(self._clock, pace)
            self._pacer_by_incarnation[incarnation] = pacer
            self._drop_unused_pacers()
        pacer.set_pace(pace)
        return pacer

    def _waits(self) -> list[TargetWait]:
        """Returns the cold targets for which no permit is available."""
        waits = []
        for incarnation in self.cold.active():
            _, wait_s = self._take(incarnation, 0)
            if wait_s > 0:
                waits.append(TargetWait(*incarnation, wait_s))
        return waits

    def _drop_unused_pacers(self) -> None:
        known = {*self.limits.statement_by_incarnation, *self.cold.active()}
        for by_incarnation in (self._pacer_by_incarnation, self._blocked_until):
            for incarnation in [i for i in by_incarnation if i not in known]:
                del by_incarnation[incarnation]

    def _block(self, incarnation: Incarnation, wait_s: float) -> None:
        wait_s = min(
            max(wait_s, defaults.RATE_RETRY_MIN_S), defaults.RATE_RETRY_MAX_S
        )
        self._blocked_until[incarnation] = self._clock.seconds() + wait_s


def _log_failure(failure) -> None:
    emit("rate_limits", "bug", reason=failure.getTraceback())
