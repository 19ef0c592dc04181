"""Limits retries to a fraction of the calls, across all routers."""

from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

from chicorystack import defaults


class RetryBounds(NamedTuple):
    """How many retries all routers together may make.

    Attributes:
        ratio: Retries allowed per call of a service.
        window_s: Length in seconds of the sliding window over which calls and
            retries are counted.
        slack: Retries allowed in a window in addition to the ratio.
    """

    ratio: float
    window_s: float
    slack: float


class _Event(NamedTuple):
    """A call or retry within the window.

    Attributes:
        at: Time on the clock.
        service: Service of the call.
    """

    at: float
    service: str


class _SlidingWindow:
    """Counts events by service over a sliding time window."""

    def __init__(self, clock, window_s: float):
        self._clock = clock
        self._window_s = window_s
        self._events: deque[_Event] = deque()
        self._count_by_service: Counter[str] = Counter()

    def add(self, service: str) -> None:
        self._events.append(_Event(self._clock.seconds(), service))
        self._count_by_service[service] += 1

    def count(self, service: str) -> int:
        window_start = self._clock.seconds() - self._window_s
        while self._events and self._events[0].at < window_start:
            self._count_by_service[self._events.popleft().service] -= 1
        return self._count_by_service[service]


class RetryBudget:
    """Allows retries in proportion to this router's calls, plus some slack.

    The slack is divided evenly among the routers, so that together they stay
    within the bounds without coordination.
    """

    def __init__(
        self, clock, bounds: RetryBounds, router_count: Callable[[], int]
    ):
        self._bounds = bounds
        self._router_count = router_count
        self._calls = _SlidingWindow(clock, bounds.window_s)
        self._retries = _SlidingWindow(clock, bounds.window_s)

    def set_bounds(self, bounds: RetryBounds) -> None:
        """Applies changed bounds; the window keeps its initial length."""
        self._bounds = bounds

    def record_call(self, service: str) -> None:
        """Counts a call for a service."""
        self._calls.add(service)

    def allows(self, service: str) -> bool:
        """Returns whether a retry is allowed now."""
        slack = self._bounds.slack / max(1, self._router_count())
        allowed = self._bounds.ratio * self._calls.count(service) + slack
        return self._retries.count(service) + 1 <= (
            allowed * defaults.RETRY_BUDGET_FRACTION
        )

    def take(self, service: str) -> bool:
        """Takes one retry from the budget; False if none is allowed now."""
        if not self.allows(service):
            return False
        self._retries.add(service)
        return True
