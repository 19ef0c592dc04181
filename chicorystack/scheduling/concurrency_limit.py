"""Limit on the calls that a router has open at the targets of a service.

Many routers share the targets and don't know of each other's calls. Each
follows the time that its own calls take, relative to the least time seen at
the same target: the limit grows by a fraction of a call for each call while
that ratio is low and the limit is used, and shrinks in proportion when the
ratio rises or a target rejects a call. So a router takes what others leave
unused.
"""

from chicorystack import defaults
from chicorystack.routing.timings import LatencyEstimate


class ConcurrencyLimit:
    """An adaptive limit.

    Attributes:
        limit: Number of calls that may be open. Less than 1 means that pauses
            separate the calls.
        estimate: Mean and deviation of the calls' durations; 0 before any.
    """

    def __init__(self, clock, initial: float):
        """Starts with an initial limit.

        Args:
            clock: The reactor.
            initial: The limit until calls have been measured.
        """
        self._clock = clock
        self._least_duration_by_id: dict[str, float] = {}
        self._slowdown = 1.0
        self._shrunk_at = -defaults.LIMIT_SHRINK_PAUSE_MAX_S
        self.limit = initial
        self.estimate = LatencyEstimate(0.0, 0.0)

    def record_duration(
        self, target_id: str, duration_s: float, pace: int, open_calls: int
    ) -> None:
        """Records a completed call.

        Args:
            target_id: The target.
            duration_s: Time that it took, in seconds.
            pace: Pace of the target, in percent; see TargetReport.
            open_calls: Calls that were open when it ended, with itself.
        """
        self.estimate = (
            self.estimate.with_sample(duration_s)
            if self.estimate.mean_s
            else LatencyEstimate(duration_s, duration_s / 2)
        )
        # A target that is slow for all its work is not congested.
        usual_s = duration_s * defaults.USUAL_PACE / max(1, pace)
        least_s = self._update_least(target_id, usual_s)
        change = usual_s / max(least_s, defaults.LEAST_DURATION_S)
        self._slowdown += defaults.LIMIT_GAIN * (change - self._slowdown)
        if self._slowdown > defaults.LIMIT_SLOWDOWN_MAX:
            self._shrink(defaults.LIMIT_SLOWDOWN_MAX / self._slowdown)
        elif open_calls >= self.limit * defaults.LIMIT_USED_FRACTION:
            self.limit += defaults.LIMIT_GROWTH / max(1.0, self.limit)
        self.limit = min(self.limit, defaults.LIMIT_MAX_CALLS)

    def record_rejection(self) -> None:
        """Records that a target rejected a call for lack of room."""
        self._shrink(defaults.LIMIT_REJECTION_FACTOR)

    def forget(self, target_id: str) -> None:
        """Discards what was measured at a target."""
        self._least_duration_by_id.pop(target_id, None)

    def _update_least(self, target_id: str, duration_s: float) -> float:
        """Updates and returns the least duration at a target.

        It rises slowly, so that it follows a target that has become slower.
        """
        least_s = self._least_duration_by_id.get(target_id, duration_s)
        risen_s = least_s * (1 + defaults.LEAST_DURATION_RISE)
        least_s = min(duration_s, risen_s)
        self._least_duration_by_id[target_id] = least_s
        return least_s

    def _shrink(self, factor: float) -> None:
        """Shrinks the limit, at most once in the time that a call takes."""
        now = self._clock.seconds()
        pause_s = min(self.estimate.mean_s, defaults.LIMIT_SHRINK_PAUSE_MAX_S)
        if now < self._shrunk_at + pause_s:
            return
        self._shrunk_at = now
        factor = max(factor, defaults.LIMIT_SHRINK_MIN_FACTOR)
        self.limit = max(self.limit * factor, defaults.LIMIT_MIN_CALLS)
