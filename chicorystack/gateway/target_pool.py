"""The targets of a router: which may be given a call, and connections."""

from twisted.internet import defer, error, task

from chicorystack import defaults
from chicorystack.gateway.attempt import AttemptResult, End
from chicorystack.gateway.crashes import CrashWatch
from chicorystack.gateway.loads import TargetLoads
from chicorystack.gateway.messages import AnswerHead, Call
from chicorystack.gateway.placement import Placer
from chicorystack.gateway.targets import TargetEntry, TargetRegistry
from chicorystack.observe.events import emit
from chicorystack.routing.health import HealthTable
from chicorystack.web.exchange import (
    ConnectionPool,
    ExchangeError,
    HttpConnection,
)


class TargetPool:
    """Chooses targets and connects to them.

    Attributes:
        loads: How busy each target is.
    """

    def __init__(
        self,
        reactor,
        registry: TargetRegistry,
        loads: TargetLoads,
        placer: Placer,
        crashes: CrashWatch,
    ):
        self._reactor = reactor
        self._registry = registry
        self._placer = placer
        self._crashes = crashes
        # Incarnations that are being looked at, as their connections broke.
        self._probing: set[tuple[str, int]] = set()
        self._health = HealthTable(reactor)
        self._connections_by_incarnation: dict[
            tuple[str, int], ConnectionPool
        ] = {}
        self.loads = loads
        registry.on_gone(self._forget)
        registry.on_gone(crashes.note_dead)
        registry.on_heard(self._health.note_report)

    def choose(self, call: Call, tried: set[str]) -> TargetEntry | None:
        """Returns the target for a call; None where there is none."""
        return self._placer.choose(call, self._candidates(call, tried))

    def has_candidate(self, call: Call, tried: set[str]) -> bool:
        """Tells whether a target is left that has not been tried."""
        return bool(self._candidates(call, tried))

    async def connection(
        self, call: Call, target: TargetEntry
    ) -> HttpConnection:
        """Returns a connection; raises ExchangeError.

        A kept connection may have been closed by its target a moment ago, so
        that what is sent on it may or may not have run. Calls that must not
        run twice get new ones.
        """
        fresh = not call.route.repeatable
        return await self._pool(target).connection(fresh)

    def _pool(self, target: TargetEntry) -> ConnectionPool:
        pool = self._connections_by_incarnation.get(target.incarnation)
        if pool is None:
            pool = ConnectionPool(
                self._reactor,
                target.address,
                defaults.TARGET_CONNECT_TIMEOUT_S,
            )
            self._connections_by_incarnation[target.incarnation] = pool
        return pool

    def note_begun(self, target: TargetEntry) -> None:
        """Counts a call that a target is given."""
        self.loads.note_begun(target.id)

    def note_ended(self, target: TargetEntry) -> None:
        """Counts the end of a call."""
        self.loads.note_ended(target.id)

    def note_head(self, target: TargetEntry, head: AnswerHead) -> None:
        """Takes what a target says of its load."""
        if head.load is not None:
            self.loads.note_sample(target.id, head.load)

    def note_result(
        self, call: Call, target: TargetEntry, result: AttemptResult
    ) -> None:
        """Learns from an attempt how well a target does."""
        if result.end is End.DELIVERED:
            self._health.note_success(target.id)
        elif result.end is End.BROKEN or result.lost:
            self._health.note_failure(target.id)
        self._note_crash(call, target, result)

    def _note_crash(
        self, call: Call, target: TargetEntry, result: AttemptResult
    ) -> None:
        if result.end in (End.DELIVERED, End.TARGET_FAILED):
            self._crashes.note_answered(call.content)
        elif result.end is End.BROKEN and result.lost:
            self._crashes.note_broken(target, call.content)
            self._probe_soon(target)

    def _probe_soon(self, target: TargetEntry) -> None:
        """Looks whether a target has died, once for all that broke off."""
        if target.incarnation in self._probing:
            return
        self._probing.add(target.incarnation)
        probing = task.deferLater(
            self._reactor, defaults.CRASH_PROBE_DELAY_S, self._probe, target
        )
        probing.addErrback(_note_bug, target)
        probing.addBoth(lambda _: self._probing.discard(target.incarnation))

    def _probe(self, target: TargetEntry) -> defer.Deferred:
        return defer.ensureDeferred(self._connect_to_probe(target))

    async def _connect_to_probe(self, target: TargetEntry) -> None:
        try:
            connection = await self._pool(target).connection(fresh=True)
        except ExchangeError as failure:
            # A target that does not answer at all may be cut off, and live.
            if isinstance(failure.__cause__, error.ConnectionRefusedError):
                self._crashes.note_dead(target)
            return
        connection.give_back()

    def _candidates(self, call: Call, tried: set[str]) -> list[TargetEntry]:
        ready = [
            entry
            for entry in self._registry.of_service(call.service)
            if entry.id not in tried
        ]
        admitted = [e for e in ready if self._admits(e)]
        return admitted or ready

    def _admits(self, entry: TargetEntry) -> bool:
        return self._health.admits(entry.id, self.loads.open_by_id[entry.id])

    def _forget(self, entry: TargetEntry) -> None:
        pool = self._connections_by_incarnation.pop(entry.incarnation, None)
        if pool is not None:
            pool.close()
        self.loads.forget(entry.id)


def _note_bug(failure, target: TargetEntry) -> None:
    emit(
        "targets", "probe_failed", target=target.id,
        reason=failure.getTraceback(),
    )  # fmt: skip
