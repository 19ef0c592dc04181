"""Chooses targets for calls, connects to them and tracks their health."""

from collections.abc import Callable

from twisted.internet import defer, error, task

from chicorystack import defaults
from chicorystack.evacuation.evacuations import Evacuations
from chicorystack.gateway.attempt import AttemptOutcome, AttemptResult
from chicorystack.gateway.call_predictions import CallPredictions
from chicorystack.gateway.crashes import CrashDetector
from chicorystack.gateway.least_predicted import LeastPredicted
from chicorystack.gateway.loads import TargetLoads
from chicorystack.gateway.locations import location_refusal
from chicorystack.gateway.messages import (
    Call,
    LoadSample,
    Refusal,
    ResponseHead,
)
from chicorystack.gateway.target_notices import TargetNotices
from chicorystack.gateway.targets import TargetEntry, TargetRegistry
from chicorystack.observe.events import emit
from chicorystack.rate_limits.limiter import RateLimiter
from chicorystack.rate_limits.warm_up import WarmUp
from chicorystack.routing.health import HealthTable
from chicorystack.target_model.messages import Prediction
from chicorystack.web.exchange import (
    ConnectionPool,
    ExchangeError,
    HttpConnection,
)


class TargetPool:
    """Chooses targets, connects to them and records how calls on them end.

    Attributes:
        loads: Estimated load of each target.
    """

    def __init__(
        self,
        reactor,
        registry: TargetRegistry,
        loads: TargetLoads,
        placement: LeastPredicted,
        predictions: CallPredictions,
        crash_detector: CrashDetector,
        limiter: RateLimiter,
        evacuations: Evacuations,
        warm_up: WarmUp,
    ):
        self._reactor = reactor
        self._registry = registry
        self._placement = placement
        self._predictions = predictions
        self._crash_detector = crash_detector
        self._limiter = limiter
        self._evacuations = evacuations
        self._warm_up = warm_up
        # Incarnations that are being probed because a connection broke.
        self._probing: set[tuple[str, int]] = set()
        self._health = HealthTable(reactor)
        self._notices = TargetNotices(reactor)
        self._pool_by_incarnation: dict[tuple[str, int], ConnectionPool] = {}
        self._load_listeners: list[
            Callable[[TargetEntry, LoadSample], None]
        ] = []
        self.loads = loads
        registry.on_removed(self._remove)
        registry.on_removed(predictions.remove)
        registry.on_removed(crash_detector.record_target_down)
        registry.on_registered(self._health.record_report)

    def on_load(
        self, listener: Callable[[TargetEntry, LoadSample], None]
    ) -> None:
        """Calls listener with each load that a target reports."""
        self._load_listeners.append(listener)

    def choose(self, call: Call, tried: set[str]) -> TargetEntry | None:
        """Returns a target that has not been tried; None if there is none."""
        return self._placement.choose(call, self._candidates(call, tried))

    def predict_best(self, call: Call) -> Prediction | None:
        """Returns what the best candidate for a call would do with it now.

        Returns:
            None if there is no candidate, or none of the service's targets
            has reported a pace.
        """
        return self._placement.predict_best(call, self._candidates(call, set()))

    def has_candidate(self, call: Call, tried: set[str]) -> bool:
        """Returns whether there is a target that has not been tried."""
        return bool(self._candidates(call, tried))

    def is_allowed(self, call: Call, target: TargetEntry) -> bool:
        """Returns whether a call may be sent to a target's data centre now."""
        return self._evacuations.allows(call, target.zone)

    def accepts_requests(self, target: TargetEntry) -> bool:
        """Returns whether a target may be sent requests that are no calls."""
        return self._notices.accepts_calls(target) and not self._is_evacuated(
            target
        )

    def is_registered(self, target: TargetEntry) -> bool:
        """Returns whether a target still runs as its entry states."""
        current = self._registry.entry_by_id.get(target.id)
        return current is not None and current.continues(target)

    def location_refusal(self, call: Call) -> Refusal | None:
        """Returns a refusal if no data centre of the service may run a call."""
        ready = self._registry.ready_targets(call.service)
        data_centres = {entry.zone for entry in ready}
        return location_refusal(call, data_centres, self._evacuations)

    def quarantine_refusal(self, call: Call) -> Refusal | None:
        """Returns a refusal if a call is known to crash targets."""
        return self._crash_detector.refusal(call)

    async def admit(self, target: TargetEntry) -> bool:
        """Takes a permit for a call if the target limits the rate of calls.

        Returns:
            Whether the call may be sent; if not, the target is no candidate
            until a permit may be available.
        """
        return await self._limiter.acquire(target.incarnation)

    def limit_revision(self, target: TargetEntry) -> int:
        """Returns the revision of the target's known rate limit."""
        return self._limiter.limits.revision(target.incarnation)

    def pause_left_s(self, service: str) -> float | None:
        """Returns when a service's targets want calls again.

        Returns:
            The shortest remaining pause of a target, in seconds; None if no
            target is paused.
        """
        pauses_s = [
            max(
                pause_s,
                self._limiter.blocked_s(entry.incarnation),
                self._warm_up.wait_s(entry),
            )
            for entry in self._registry.ready_targets(service)
            if (pause_s := self._notices.pause_left_s(entry)) is not None
        ]
        return min(filter(None, pauses_s), default=None)

    async def connect(self, call: Call, target: TargetEntry) -> HttpConnection:
        """Returns a connection to a target.

        A reused connection may just have been closed by its target, which
        leaves open whether a request sent on it has run. Calls that must not
        run twice therefore get a new connection.

        Raises:
            ExchangeError: If no connection can be made.
        """
        force_new = not call.route.retryable
        return await self.connections(target).acquire(force_new)

    def connections(self, target: TargetEntry) -> ConnectionPool:
        """Returns the connections to a target."""
        pool = self._pool_by_incarnation.get(target.incarnation)
        if pool is None:
            pool = ConnectionPool(
                self._reactor,
                target.address,
                defaults.TARGET_CONNECT_TIMEOUT_S,
            )
            self._pool_by_incarnation[target.incarnation] = pool
        return pool

    def record_start(self, call: Call, target: TargetEntry) -> None:
        """Records the start of a call on a target."""
        self.loads.record_start(target.id)
        targets = self._registry.ready_targets(call.service)
        self._predictions.record_start(call, target, targets)

    def record_first_event(self, call: Call, target: TargetEntry) -> None:
        """Records the first event of a call's response."""
        self._predictions.record_first_event(call, target)

    def record_end(self, call: Call, target: TargetEntry) -> None:
        """Records the end of a call on a target."""
        try:
            self.loads.record_end(target.id)
        finally:
            self._predictions.record_end(call, target)

    def record_load(self, target: TargetEntry, sample: LoadSample) -> None:
        """Records a load that a target has reported."""
        self.loads.record_sample(target.id, sample)
        self._predictions.record_report(target, sample)
        for listener in self._load_listeners:
            listener(target, sample)

    def record_head(
        self,
        call: Call,
        target: TargetEntry,
        head: ResponseHead,
        sent_revision: int,
    ) -> None:
        """Records what a response's head says about its target.

        Args:
            call: The call.
            target: The target.
            head: The head.
            sent_revision: See `limit_revision`; as of when the call was sent.
        """
        self._notices.record(target, head)
        if head.request_id == call.request.id and not head.misdirected:
            self._limiter.record_answer(
                target.incarnation, head.calls_per_s, sent_revision
            )
            self._limiter.record_cold_answer(target, head.cold_s)
        if head.load is not None:
            self.record_load(target, head.load)
        if not head.is_stream and 200 <= head.status < 300:
            self.record_first_event(call, target)

    def record_result(
        self, call: Call, target: TargetEntry, result: AttemptResult
    ) -> None:
        """Updates health and crash detection from an attempt's result."""
        self._predictions.record_result(target, result)
        if result.outcome is AttemptOutcome.DELIVERED:
            self._health.record_success(target.id)
        elif result.outcome is AttemptOutcome.BROKEN or result.connection_lost:
            self._health.record_failure(target.id)
        self._record_crash_evidence(call, target, result)

    def record_silence(self, target: TargetEntry) -> None:
        """Records that a target is silent, so that other calls avoid it."""
        self._health.record_failure(target.id)
        self._predictions.model.record_failure(target)

    def _record_crash_evidence(
        self, call: Call, target: TargetEntry, result: AttemptResult
    ) -> None:
        if result.outcome is AttemptOutcome.DELIVERED:
            self._crash_detector.record_response(call.crash_keys)
        elif result.outcome is AttemptOutcome.TARGET_FAILED:
            # It ran, but a part that crashes targets as they begin to answer
            # may not have come to that.
            self._crash_detector.record_response([call.content_hash])
        elif result.outcome is AttemptOutcome.BROKEN and result.connection_lost:
            self._crash_detector.record_broken_connection(
                target, call.crash_keys
            )
            self._schedule_probe(target)

    def _schedule_probe(self, target: TargetEntry) -> None:
        """Schedules a probe of a target unless one is already in progress.

        One probe serves all calls whose connections broke at the same time.
        """
        if target.incarnation in self._probing or self._is_evacuated(target):
            return
        self._probing.add(target.incarnation)
        probing = task.deferLater(
            self._reactor, defaults.CRASH_PROBE_DELAY_S, self._probe, target
        )
        probing.addErrback(_log_probe_failure, target)
        probing.addBoth(lambda _: self._probing.discard(target.incarnation))

    def _probe(self, target: TargetEntry) -> defer.Deferred:
        return defer.ensureDeferred(self._connect_to_probe(target))

    async def _connect_to_probe(self, target: TargetEntry) -> None:
        if self._is_evacuated(target):
            return
        try:
            connection = await self.connections(target).acquire(force_new=True)
        except ExchangeError as failure:
            # A target that does not respond at all may be alive but
            # unreachable; only a refused connection shows a crash.
            if isinstance(failure.__cause__, error.ConnectionRefusedError):
                self._crash_detector.record_target_down(target)
            return
        connection.release()

    def _candidates(self, call: Call, tried: set[str]) -> list[TargetEntry]:
        """Returns the untried targets whose health admits another call.

        If it admits none, all are returned that accept calls. Targets that
        have just turned warm are left out while their load is at its step.
        """
        ready = [
            entry
            for entry in self._registry.ready_targets(call.service)
            if entry.id not in tried
            and call.version in (None, entry.version)
            and self.is_allowed(call, entry)
            and self._notices.accepts_calls(entry)
            and not self._limiter.blocked_s(entry.incarnation)
        ]
        admitted = [e for e in ready if self._is_admitted(e)]
        return self._warm_up.select(
            admitted or ready, self.loads.open_calls_by_id
        )

    def _is_evacuated(self, entry: TargetEntry) -> bool:
        return self._evacuations.table.is_evacuated(entry.zone)

    def _is_admitted(self, entry: TargetEntry) -> bool:
        return self._health.admits(
            entry.id, self.loads.open_calls_by_id[entry.id]
        )

    def _remove(self, entry: TargetEntry) -> None:
        pool = self._pool_by_incarnation.pop(entry.incarnation, None)
        if pool is not None:
            pool.close()
        self.loads.remove(entry.id)


def _log_probe_failure(failure, target: TargetEntry) -> None:
    emit(
        "targets", "probe_failed", target=target.id,
        reason=failure.getTraceback(),
    )  # fmt: skip
