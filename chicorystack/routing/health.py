"""Ejects failing or slow targets and readmits them with a slow start.

A target gets calls again once its ejection time is over and its agent has
reported: one at a time at first, and twice as many after each success.
"""

from statistics import median
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from chicorystack import defaults
from chicorystack.observe.logs import part_logger

log = part_logger("health")


class TargetHealth(NamedTuple):
    """Recent health of one target.

    Attributes:
        failures: Consecutive failures.
        latency_ratio: Moving mean of its time to the first byte, relative to
            all targets' mean for the same operation.
        samples: Number of responses in that mean.
        ejected_until: Time on the clock until which it gets no calls.
        ejections: Consecutive ejections.
        slow_start_limit: Most calls in flight during slow start; 0 for no
            limit.
        awaiting_report: Whether its agent has not reported since the target
            was ejected.
    """

    failures: int = 0
    latency_ratio: float = 1.0
    samples: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    slow_start_limit: int = 0
    awaiting_report: bool = False


class HealthTable:
    """Health of one service's targets."""

    def __init__(self, clock: IReactorTime):
        self._clock = clock
        self._health_by_target: dict[str, TargetHealth] = {}

    def admits(self, name: str, in_flight: int) -> bool:
        """Returns whether a target may get one more call.

        Args:
            name: Name of the target.
            in_flight: Number of calls in flight at the target.
        """
        health = self._health_by_target.get(name)
        if health is None:
            return True
        if (
            health.awaiting_report
            or self._clock.seconds() < health.ejected_until
        ):
            return False
        return (
            health.slow_start_limit == 0 or in_flight < health.slow_start_limit
        )

    def record_first_byte(
        self, name: str, seconds: float, mean_s: float
    ) -> None:
        """Records a response's time to the first byte.

        Args:
            name: Name of the target.
            seconds: Time to the first byte, in seconds.
            mean_s: All targets' mean for the same operation, in seconds.
        """
        # The floor keeps jitter in very short times from mattering.
        floor_s = defaults.LATENCY_RATIO_FLOOR_S
        ratio = (seconds + floor_s) / (mean_s + floor_s)
        health = self._health(name)
        gain = defaults.LATENCY_RATIO_GAIN
        latency_ratio = health.latency_ratio + gain * (
            ratio - health.latency_ratio
        )
        samples = health.samples + 1
        self._set_health(
            name, health._replace(latency_ratio=latency_ratio, samples=samples)
        )
        if self._is_slow(name):
            self._eject(name, "slow")

    def record_success(self, name: str) -> None:
        """Records a complete response; doubles a slow start's limit."""
        health = self._health(name)
        slow_start_limit = health.slow_start_limit * 2
        ejections = health.ejections
        if slow_start_limit > defaults.SLOW_START_END:
            slow_start_limit, ejections = 0, 0
        self._set_health(
            name,
            health._replace(
                failures=0,
                slow_start_limit=slow_start_limit,
                ejections=ejections,
            ),
        )

    def record_failure(self, name: str) -> None:
        """Records an attempt without a complete response."""
        health = self._health(name)
        failures = health.failures + 1
        self._set_health(name, health._replace(failures=failures))
        # A target in slow start is ejected at its first failure.
        if failures >= defaults.EJECT_FAILURES or health.slow_start_limit:
            self._eject(name, "failing")

    def record_report(self, name: str) -> None:
        """Records a load report, which shows that the agent is reachable."""
        if name in self._health_by_target:
            self._set_health(
                name, self._health(name)._replace(awaiting_report=False)
            )

    def _health(self, name: str) -> TargetHealth:
        return self._health_by_target.get(name, TargetHealth())

    def _set_health(self, name: str, health: TargetHealth) -> None:
        self._health_by_target[name] = health

    def _is_slow(self, name: str) -> bool:
        health = self._health(name)
        now = self._clock.seconds()
        others = [
            other
            for key, other in self._health_by_target.items()
            if key != name
        ]
        if health.samples < defaults.SLOW_MIN_SAMPLES or not others:
            return False
        ejected_count = sum(other.ejected_until > now for other in others)
        if (
            ejected_count + 1
            > (len(others) + 1) * defaults.SLOW_EJECTED_MAX_FRACTION
        ):
            return False
        median_ratio = median(other.latency_ratio for other in others)
        return health.latency_ratio > defaults.SLOW_RATIO_FACTOR * median_ratio

    def _eject(self, name: str, reason: str) -> None:
        now = self._clock.seconds()
        health = self._health(name)
        if now < health.ejected_until:
            return
        duration_s = defaults.EJECT_S * 2 ** min(health.ejections, 8)
        duration_s = min(duration_s, defaults.EJECT_MAX_S)
        log.warning("ejects target {} for {} s: {}", name, duration_s, reason)
        ejections = health.ejections + 1
        ejected = TargetHealth(
            ejected_until=now + duration_s, ejections=ejections
        )
        self._set_health(
            name, ejected._replace(slow_start_limit=1, awaiting_report=True)
        )
