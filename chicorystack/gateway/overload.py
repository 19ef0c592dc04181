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
from chicorystack.decoding import Amount
from chicorystack.observe.events import emit
from chicorystack.observe.exposition import rotation_exits_total


class OverloadReport(msgspec.Struct, frozen=True):
    """What a router tells others of its data centre.

    Attributes:
        load: Its load, relative to what its VM can carry.
        out_of_rotation: Whether it is out of rotation because of its load.
    """

    load: Amount
    out_of_rotation: bool


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


def may_leave_rotation(
    load: float, reports: list[OverloadReport], router_count: int
) -> bool:
    """Returns whether a router may leave the rotation.

    Args:
        load: The router's load.
        reports: Reports of the other routers of the data centre that respond.
        router_count: Number of routers of the data centre, with this one.
    """
    out_of_rotation = sum(report.out_of_rotation for report in reports)
    if (
        out_of_rotation + 1
        > router_count * defaults.OUT_OF_ROTATION_MAX_FRACTION
    ):
        return False
    loads = [report.load for report in reports if not report.out_of_rotation]
    return bool(loads) and median(loads) < load * defaults.ROOM_LOAD_FRACTION


class OverloadControl:
    """Decides when a router leaves the load balancer's rotation.

    A full link delays the others' answers as well, so a router asks for their
    reports before it is overloaded.

    Attributes:
        out_of_rotation: Whether it has left.
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
            on_change: Called when the router leaves or returns.
        """
        self._clock = clock
        self._measure = measure
        self._peers = peers
        self._on_change = on_change
        self._reports: list[OverloadReport] = []
        self._reports_valid_until = 0.0
        self._asking = False
        self._ask_at = 0.0
        self._absent_until = 0.0
        self._absence_s = defaults.ROTATION_ABSENCE_MIN_S
        self._returned_at: float | None = None
        self.out_of_rotation = False

    def start(self) -> None:
        """Starts the periodic review."""
        self._clock.callLater(defaults.OVERLOAD_REVIEW_INTERVAL_S, self._tick)

    def report(self) -> OverloadReport:
        """Returns the report for the other routers."""
        return OverloadReport(self._measure().relative, self.out_of_rotation)

    def review(self) -> None:
        """Leaves or returns if the load has changed enough."""
        load = self._measure()
        if self.out_of_rotation:
            self._review_absence(load)
            return
        if load.relative > defaults.OVERLOAD_START_LOAD:
            self._leave_if_allowed(load)
        if load.relative > defaults.OVERLOAD_WATCH_LOAD:
            self._ask_peers()

    def _tick(self) -> None:
        self.review()
        self.start()

    def _review_absence(self, load: Load) -> None:
        if self._clock.seconds() < self._absent_until:
            return
        if load.relative < defaults.OVERLOAD_END_LOAD:
            self._return_to_rotation(load)

    def _leave_if_allowed(self, load: Load) -> None:
        if self._clock.seconds() >= self._reports_valid_until:
            return
        router_count = 1 + self._peers.count()
        if may_leave_rotation(load.relative, self._reports, router_count):
            self._leave_rotation(load)

    def _ask_peers(self) -> None:
        """Asks the others for their reports unless that is not due yet."""
        now = self._clock.seconds()
        router_count = 1 + self._peers.count()
        may_ever_leave = (
            router_count * defaults.OUT_OF_ROTATION_MAX_FRACTION >= 1
        )
        if self._asking or now < self._ask_at or not may_ever_leave:
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

    def _leave_rotation(self, load: Load) -> None:
        now = self._clock.seconds()
        returned_recently = (
            self._returned_at is not None
            and now < self._returned_at + defaults.ROTATION_ABSENCE_MEMORY_S
        )
        if returned_recently:
            self._absence_s = min(
                2 * self._absence_s, defaults.ROTATION_ABSENCE_MAX_S
            )
        else:
            self._absence_s = defaults.ROTATION_ABSENCE_MIN_S
        self._absent_until = now + self._absence_s
        self.out_of_rotation = True
        rotation_exits_total.inc()
        others = [(round(r.load, 2), r.out_of_rotation) for r in self._reports]
        self._emit("left_rotation", load, others=others)
        self._on_change()

    def _return_to_rotation(self, load: Load) -> None:
        self._returned_at = self._clock.seconds()
        self.out_of_rotation = False
        self._emit("returned", load)
        self._on_change()

    def _emit(self, event: str, load: Load, **fields) -> None:
        emit(
            "overload", event,
            link=round(load.link, 3), loop_delay_s=round(load.loop_delay_s, 3),
            absence_s=self._absence_s, **fields,
        )  # fmt: skip


def _log_failure(failure) -> None:
    emit("overload", "bug", reason=failure.getTraceback())
