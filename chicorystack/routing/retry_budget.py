"""Limits further attempts to a part of the calls, over all routers."""

from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

from chicorystack import defaults


class RetryBounds(NamedTuple):
    """How many further attempts all routers together may make.

    Attributes:
        ratio: Further attempts for each call of a service.
        window_s: Span over which both are counted.
        slack: Further attempts in a span beyond the ratio.
    """

    ratio: float
    window_s: float
    slack: float


class _Mark(NamedTuple):
    """Something that counts within the span.

    Attributes:
        at: Time on the clock.
        service: Service that it was for.
    """

    at: float
    service: str


class _Span:
    """Counts by service over a sliding span of time."""

    def __init__(self, clock, span_s: float):
        self._clock = clock
        self._span_s = span_s
        self._marks: deque[_Mark] = deque()
        self._count_by_service: Counter[str] = Counter()

    def add(self, service: str) -> None:
        self._marks.append(_Mark(self._clock.seconds(), service))
        self._count_by_service[service] += 1

    def count(self, service: str) -> int:
        oldest = self._clock.seconds() - self._span_s
        while self._marks and self._marks[0].at < oldest:
            self._count_by_service[self._marks.popleft().service] -= 1
        return self._count_by_service[service]


class RetryBudget:
    """Allows further attempts in proportion to own calls, with some slack.

    The slack is split evenly over the routers, so that all together stay
    within the bounds without asking each other.
    """

    def __init__(self, clock, bounds: RetryBounds, routers: Callable[[], int]):
        self._bounds = bounds
        self._routers = routers
        self._calls = _Span(clock, bounds.window_s)
        self._retries = _Span(clock, bounds.window_s)

    def set_bounds(self, bounds: RetryBounds) -> None:
        """Takes over changed bounds; the span stays that of the start."""
        self._bounds = bounds

    def note_call(self, service: str) -> None:
        """Counts a call for a service."""
        self._calls.add(service)

    def take(self, service: str) -> bool:
        """Uses one further attempt; False where none is allowed now."""
        slack = self._bounds.slack / max(1, self._routers())
        allowed = self._bounds.ratio * self._calls.count(service) + slack
        if self._retries.count(service) + 1 > (
            allowed * defaults.RETRY_BUDGET_PART
        ):
            return False
        self._retries.add(service)
        return True
