"""Chooses the coordinator of rate limits; collects shares as coordinator.

All routers rank each other in the same order. A router takes the first one for
the coordinator that it can reach. Routers that cannot reach each other may take
different ones: the shares, not the choice, keep them together within a limit.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from twisted.internet import defer

from chicorystack import defaults
from chicorystack.observe.events import emit
from chicorystack.rate_limits.cold_limits import ColdLimits
from chicorystack.rate_limits.messages import (
    ColdStatement,
    LimitStatement,
    PermitRequest,
    RatePeerError,
    RatePeers,
    ShareAnswer,
    ShareRequest,
)
from chicorystack.rate_limits.shares import Coordinator, ShareLedger
from chicorystack.rate_limits.statements import LimitTable
from chicorystack.util import rendezvous_order

RANKING_KEY = "rate-limits"
MAX_DOUBLINGS = 8


class _Ranking(NamedTuple):
    """The common order of routers.

    Attributes:
        others: The other routers that it was made for.
        ranked: All routers, the first choice for coordinator first.
    """

    others: list[str]
    ranked: list[str]


class _State(NamedTuple):
    """What the log says of this router's part.

    Attributes:
        coordinator: The router that coordinates; None if it is this one.
        held: Number of shares that this router may use.
    """

    coordinator: str | None
    held: int


class Coordination:
    """One router's part in choosing a coordinator and in collecting shares."""

    def __init__(
        self,
        clock,
        own: Coordinator,
        peers: RatePeers,
        limits: LimitTable,
        cold: ColdLimits,
        shares: ShareLedger,
        router_count: Callable[[], int],
    ):
        self._clock = clock
        self._own = own
        self._peers = peers
        self._limits = limits
        self._cold = cold
        cold.on_cold(self._wake)
        self._shares = shares
        self._router_count = router_count
        self._ranking = _Ranking([], [own.router])
        self._failures: Counter[str] = Counter()
        self._suspended_until: dict[str, float] = {}
        # Clock times of the last request for the own share, by coordinator,
        # and since when no process runs on a router's VM.
        self._asked_at: dict[str, float] = {}
        self._down_since: dict[str, float] = {}
        self._collecting: set[str] = set()
        self._running = False
        self._spread_at = 0.0
        self._spreading = False
        self._logged = _State(None, 0)

    def interval_s(self) -> float:
        """Returns the time between two renewals of leases, in seconds."""
        routers_per_s = defaults.RATE_RENEWALS_PER_S
        return max(
            defaults.RATE_RENEW_MIN_S, self._router_count() / routers_per_s
        )

    def lease_s(self) -> float:
        """Returns the duration of a lease, in seconds."""
        return self.interval_s() * defaults.RATE_LEASE_RENEWALS

    def coordinator(self) -> str | None:
        """Returns the router that coordinates; None if it is this one."""
        now = self._clock.seconds()
        for router in self._ranked_routers():
            if router == self._own.router:
                return None
            if self._suspended_until.get(router, 0.0) <= now:
                return router
        return None

    def suspend(self, router: str, reason: str) -> None:
        """Records that a router did not answer; passes it by for some time."""
        self._failures[router] += 1
        repeats = self._failures[router] - defaults.RATE_SUSPEND_FAILURES
        if repeats < 0:
            return
        # Each attempt costs calls the wait for an answer.
        suspend_s = min(
            defaults.RATE_SUSPEND_S * 2 ** min(repeats, MAX_DOUBLINGS),
            defaults.RATE_SUSPEND_MAX_S,
        )
        self._suspended_until[router] = self._clock.seconds() + suspend_s
        emit("rate_limits", "suspended", router=router, reason=reason)

    def announce(self) -> None:
        """Tells the others that this router has news of a limit."""
        self._wake()
        self._spread()

    def merge(
        self,
        statements: Iterable[LimitStatement],
        cold: Iterable[ColdStatement],
    ) -> None:
        """Takes over another router's statements and passes on what is new."""
        limits_changed = self._limits.merge(statements)
        if self._cold.merge(cold) or limits_changed:
            self.announce()

    def answer(self, request: ShareRequest) -> ShareAnswer:
        """Answers a coordinator that asks for this router's share.

        Of several that ask, the first in the common order gets it.
        """
        self._limits.merge(request.statements)
        self._cold.merge(request.cold)
        self._mark_reached(request.router)
        now = self._clock.seconds()
        self._asked_at[request.router] = now
        since = now - 2 * self.interval_s()
        rivals = {r for r, at in self._asked_at.items() if at >= since}
        if self.coordinator() is None:
            rivals.add(self._own.router)
        best = rendezvous_order(RANKING_KEY, rivals)[0]
        leased = best == request.router and self._shares.lease_to(
            Coordinator(request.router, request.process), request.lease_s
        )
        self._wake()
        return ShareAnswer(leased, self._limits.known(), self._cold.shared())

    def _ranked_routers(self) -> list[str]:
        """Returns all routers in the common order, sorted when they change."""
        others = self._peers.names()
        if others != self._ranking.others:
            ranked = rendezvous_order(RANKING_KEY, [self._own.router, *others])
            self._ranking = _Ranking(list(others), ranked)
        return self._ranking.ranked

    def _mark_reached(self, router: str) -> None:
        self._failures.pop(router, None)
        self._suspended_until.pop(router, None)
        self._down_since.pop(router, None)

    def _wake(self) -> None:
        """Starts the periodic work if a limit is in force."""
        if not self._running and self._has_limits():
            self._running = True
            self._clock.callLater(0.0, self._tick)

    def _has_limits(self) -> bool:
        """Returns whether any target limits the rate of calls."""
        cold = self._cold.active()
        return bool(cold or self._limits.active())

    def _tick(self) -> None:
        self._log_changes()
        if not self._has_limits():
            self._running = False
            return
        coordinator = self.coordinator()
        if coordinator is None:
            self._collect_shares()
        elif self._is_silent(coordinator):
            self._start(self._report_to(coordinator))
        self._clock.callLater(self.interval_s(), self._tick)

    def _is_silent(self, coordinator: str) -> bool:
        """Returns whether a coordinator has not asked for the share lately."""
        asked_at = self._asked_at.get(coordinator)
        since = self._clock.seconds() - 1.5 * self.interval_s()
        return asked_at is None or asked_at < since

    def _spread(self) -> None:
        """Sends news on at once, or soon after the last time."""
        if self._spreading:
            return
        self._spreading = True
        due_s = self._spread_at - self._clock.seconds()
        self._clock.callLater(max(0.0, due_s), self._spread_now)

    def _spread_now(self) -> None:
        self._spreading = False
        self._spread_at = self._clock.seconds() + defaults.RATE_SPREAD_MIN_S
        coordinator = self.coordinator()
        if coordinator is None:
            self._collect_shares()
        else:
            self._start(self._report_to(coordinator))

    def _collect_shares(self) -> None:
        for router in self._peers.names():
            if router not in self._collecting:
                self._collecting.add(router)
                collecting = self._start(self._collect_share(router))
                collecting.addBoth(
                    lambda _, router=router: self._collecting.discard(router)
                )

    async def _collect_share(self, router: str) -> None:
        sent_at = self._clock.seconds()
        held_until = self._shares.seconds() + self.lease_s()
        request = ShareRequest(
            self._own.router,
            self._own.process,
            self.lease_s(),
            self._limits.known(),
            self._cold.shared(),
        )
        try:
            answer = await self._peers.request_share(router, request)
        except RatePeerError as error:
            self._record_no_share(router, error, sent_at, held_until)
            return
        self._mark_reached(router)
        if answer.leased:
            self._shares.hold(router, held_until)
        self.merge(answer.statements, answer.cold)

    def _record_no_share(
        self,
        router: str,
        error: RatePeerError,
        sent_at: float,
        held_until: float,
    ) -> None:
        """Uses the share of a router that has not run for a whole lease."""
        if not error.not_running:
            self._down_since.pop(router, None)
            return
        down_since = self._down_since.setdefault(router, sent_at)
        if sent_at - down_since >= self.lease_s():
            self._shares.hold(router, held_until)

    async def _report_to(self, router: str) -> None:
        """Tells a coordinator of limits, so that it collects shares."""
        request = PermitRequest(
            "", 0, 0, self._limits.known(), cold=self._cold.shared()
        )
        try:
            answer = await self._peers.request_permits(router, request)
        except RatePeerError as error:
            self.suspend(router, str(error))
            return
        self._mark_reached(router)
        self.merge(answer.statements, [])

    def _log_changes(self) -> None:
        state = _State(self.coordinator(), self._shares.held())
        if state != self._logged:
            self._logged = state
            emit(
                "rate_limits", "shares", coordinator=state.coordinator,
                held=state.held, routers=self._router_count(),
            )  # fmt: skip

    def _start(self, work) -> defer.Deferred:
        return defer.ensureDeferred(work).addErrback(_log_failure)


def _log_failure(failure) -> None:
    emit("rate_limits", "bug", reason=failure.getTraceback())
