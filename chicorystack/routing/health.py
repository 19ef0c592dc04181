"""Ejects targets that fail or are slow, and takes them back slowly."""

from statistics import median
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from chicorystack import defaults
from chicorystack.observe.logs import part_logger

log = part_logger("health")


class TargetHealth(NamedTuple):
    """How one target has done lately.

    Attributes:
        failures: Failures since the last good answer.
        slowness: Moving mean of its time to the first byte, relative to all
            targets' mean for the same operation.
        samples: Answers in that mean.
        ejected_until: Time on the clock until which it gets no calls.
        ejections: Ejections in a row.
        ramp: Most calls in flight while it comes back; 0 for no such limit.
        silent: Whether its agent has not reported since it was ejected.
    """

    failures: int = 0
    slowness: float = 1.0
    samples: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    ramp: int = 0
    silent: bool = False


class HealthTable:
    """Health of one service's targets."""

    def __init__(self, clock: IReactorTime):
        self._clock = clock
        self._health_by_target: dict[str, TargetHealth] = {}

    def admits(self, name: str, sent: int) -> bool:
        """Whether a target with so many calls in flight may get another."""
        health = self._health_by_target.get(name)
        if health is None:
            return True
        if health.silent or self._clock.seconds() < health.ejected_until:
            return False
        return health.ramp == 0 or sent < health.ramp

    def note_first_byte(
        self, name: str, seconds: float, usual_s: float
    ) -> None:
        """Takes the time to an answer's first byte.

        Args:
            name: Name of the target.
            seconds: The time.
            usual_s: All targets' mean time for the same operation.
        """
        # The floor keeps jitter of very short answers from counting.
        floor_s = defaults.SLOWNESS_FLOOR_S
        ratio = (seconds + floor_s) / (usual_s + floor_s)
        health = self._health(name)
        gain = defaults.SLOWNESS_GAIN
        slowness = health.slowness + gain * (ratio - health.slowness)
        samples = health.samples + 1
        self._put(name, health._replace(slowness=slowness, samples=samples))
        if self._is_slow(name):
            self._eject(name, "slow")

    def note_success(self, name: str) -> None:
        """Takes a whole answer, and lets a returning target have more."""
        health = self._health(name)
        ramp = health.ramp * 2
        ejections = health.ejections
        if ramp > defaults.RAMP_END:
            ramp, ejections = 0, 0
        self._put(
            name, health._replace(failures=0, ramp=ramp, ejections=ejections)
        )

    def note_failure(self, name: str) -> None:
        """Takes an attempt that gave no whole answer."""
        health = self._health(name)
        failures = health.failures + 1
        self._put(name, health._replace(failures=failures))
        # A target that is coming back gets no second chance.
        if failures >= defaults.EJECT_FAILURES or health.ramp:
            self._eject(name, "failing")

    def note_report(self, name: str) -> None:
        """Takes a load report, which shows that the agent is there."""
        if name in self._health_by_target:
            self._put(name, self._health(name)._replace(silent=False))

    def _health(self, name: str) -> TargetHealth:
        return self._health_by_target.get(name, TargetHealth())

    def _put(self, name: str, health: TargetHealth) -> None:
        self._health_by_target[name] = health

    def _is_slow(self, name: str) -> bool:
        health = self._health(name)
        now = self._clock.seconds()
        others = [
            other
            for key, other in self._health_by_target.items()
            if key != name
        ]
        if health.samples < defaults.SLOW_SAMPLES or not others:
            return False
        ejected = sum(other.ejected_until > now for other in others)
        if ejected + 1 > (len(others) + 1) * defaults.SLOW_EJECTED_MAX:
            return False
        usual = median(other.slowness for other in others)
        return health.slowness > defaults.SLOW_FACTOR * usual

    def _eject(self, name: str, reason: str) -> None:
        now = self._clock.seconds()
        health = self._health(name)
        if now < health.ejected_until:
            return
        span_s = defaults.EJECT_S * 2 ** min(health.ejections, 8)
        span_s = min(span_s, defaults.EJECT_MAX_S)
        log.warning("ejects target {} for {} s: {}", name, span_s, reason)
        ejections = health.ejections + 1
        fresh = TargetHealth(ejected_until=now + span_s, ejections=ejections)
        self._put(name, fresh._replace(ramp=1, silent=True))
