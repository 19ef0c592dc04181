"""Overload control of one router.

The platform's load balancer spreads callers by a hash, so one router may get
many times the mean, whatever its VM can carry. An overloaded router leaves the
balancer's rotation for some time and closes its callers' connections after each
response, so that they move to routers with room. It does so only if enough
others of its data centre stay in rotation and have room.
"""

from collections.abc import Callable
from statistics import median
from typing import NamedTuple, Protocol

import msgspec
from twisted.internet import defer

from chicorystack import defaults
from chicorystack.observe.events import emit
from chicorystack.observe.exposition import rests_total


class OverloadReport(msgspec.Struct, frozen=True):
    """What a router tells others of its data centre.

    Attributes:
        load: Its load, relative to what its VM can carry.
        resting: Whether it is out of rotation because of its load.
    """

    load: float
    resting: bool


class Load(NamedTuple):
    """Load of a router, relative to what its VM can carry.

    Attributes:
        link: Used part of the link.
        loop_delay_s: Delay of the event loop, in seconds.
    """

    link: float
    loop_delay_s: float

    @property
    def relative(self) -> float:
        """The load as one number; 1 if the router can carry no more."""
        return max(
            self.link, self.loop_delay_s / defaults.LOOP_DELAY_FULL_LOAD_S
        )


class DataCentrePeers(Protocol):
    """Access to the other routers of the data centre."""

    def count(self) -> int:
        """Returns the number of other routers."""

    async def fetch_reports(self) -> list[OverloadReport]:
        """Returns the reports of the routers that respond."""


def may_rest(
    load: float, reports: list[OverloadReport], router_count: int
) -> bool:
    """Returns whether a router may leave the rotation.

    Args:
        load: The router's load.
        reports: Reports of the other routers of the data centre that respond.
        router_count: Number of routers of the data centre, with this one.
    """
    resting = sum(report.resting for report in reports)
    if resting + 1 > router_count * defaults.RESTING_ROUTERS_MAX_FRACTION:
        return False
    loads = [report.load for report in reports if not report.resting]
    return bool(loads) and median(loads) < load * defaults.ROOM_LOAD_FRACTION


class OverloadControl:
    """Decides when a router rests, which means out of rotation.

    A full link delays the others' answers as well, so a router asks for their
    reports before it is overloaded.

    Attributes:
        resting: Whether it rests.
    """

    def __init__(
        self,
        clock,
        measure: Callable[[], Load],
        peers: DataCentrePeers,
        on_change: Callable[[], None],
    ):
        """Starts in rotation.

        Args:
            clock: The reactor.
            measure: Returns the router's load.
            peers: The other routers of the data centre.
            on_change: Called when the router begins or ends a rest.
        """
        self._clock = clock
        self._measure = measure
        self._peers = peers
        self._on_change = on_change
        self._reports: list[OverloadReport] = []
        self._reports_valid_until = 0.0
        self._asking = False
        self._ask_at = 0.0
        self._rest_until = 0.0
        self._rest_s = defaults.REST_MIN_S
        self._rested_at: float | None = None
        self.resting = False

    def start(self) -> None:
        """Starts the periodic review."""
        self._clock.callLater(defaults.OVERLOAD_REVIEW_INTERVAL_S, self._tick)

    def report(self) -> OverloadReport:
        """Returns the report for the other routers."""
        return OverloadReport(self._measure().relative, self.resting)

    def review(self) -> None:
        """Starts or ends a rest if the load has changed enough."""
        load = self._measure()
        if self.resting:
            self._review_rest(load)
            return
        if load.relative > defaults.OVERLOAD_START_LOAD:
            self._rest_if_allowed(load)
        if load.relative > defaults.OVERLOAD_WATCH_LOAD:
            self._ask_peers()

    def _tick(self) -> None:
        self.review()
        self.start()

    def _review_rest(self, load: Load) -> None:
        if self._clock.seconds() < self._rest_until:
            return
        if load.relative < defaults.OVERLOAD_END_LOAD:
            self._end_rest(load)

    def _rest_if_allowed(self, load: Load) -> None:
        if self._clock.seconds() >= self._reports_valid_until:
            return
        router_count = 1 + self._peers.count()
        if may_rest(load.relative, self._reports, router_count):
            self._begin_rest(load)

    def _ask_peers(self) -> None:
        """Asks the others for their reports unless that is not due yet."""
        now = self._clock.seconds()
        router_count = 1 + self._peers.count()
        may_ever_rest = (
            router_count * defaults.RESTING_ROUTERS_MAX_FRACTION >= 1
        )
        if self._asking or now < self._ask_at or not may_ever_rest:
            return
        self._asking = True
        self._ask_at = now + defaults.OVERLOAD_ASK_INTERVAL_S
        asking = defer.ensureDeferred(self._fetch_reports())
        asking.addErrback(_log_failure)
        asking.addBoth(self._on_asked)

    def _on_asked(self, _result) -> None:
        self._asking = False

    async def _fetch_reports(self) -> None:
        self._reports = await self._peers.fetch_reports()
        self._reports_valid_until = (
            self._clock.seconds() + defaults.OVERLOAD_REPORT_TTL_S
        )

    def _begin_rest(self, load: Load) -> None:
        now = self._clock.seconds()
        rested_recently = (
            self._rested_at is not None
            and now < self._rested_at + defaults.REST_MEMORY_S
        )
        if rested_recently:
            self._rest_s = min(2 * self._rest_s, defaults.REST_MAX_S)
        else:
            self._rest_s = defaults.REST_MIN_S
        self._rest_until = now + self._rest_s
        self.resting = True
        rests_total.inc()
        others = [(round(r.load, 2), r.resting) for r in self._reports]
        self._emit("rests", load, others=others)
        self._on_change()

    def _end_rest(self, load: Load) -> None:
        self._rested_at = self._clock.seconds()
        self.resting = False
        self._emit("returns", load)
        self._on_change()

    def _emit(self, event: str, load: Load, **fields) -> None:
        emit(
            "overload", event,
            link=round(load.link, 3), loop_delay_s=round(load.loop_delay_s, 3),
            rest_s=self._rest_s, **fields,
        )  # fmt: skip


def _log_failure(failure) -> None:
    emit("overload", "bug", reason=failure.getTraceback())
