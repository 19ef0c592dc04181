"""Estimates targets' loads from their reports and this router's calls."""

from collections import Counter
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.gateway.messages import LoadSample


class _ReportedLoad(NamedTuple):
    """Load last reported by a target.

    Attributes:
        others: Number of requests there from other routers.
        slots: Requests that it can run concurrently.
        reported_at: Clock time when the report arrived, in seconds.
    """

    others: int
    slots: int
    reported_at: float


class TargetLoads:
    """Estimated loads by target ID.

    Attributes:
        open_calls_by_id: Number of this router's calls in progress on each
            target.
    """

    def __init__(self, clock):
        self._clock = clock
        self._reported_by_id: dict[str, _ReportedLoad] = {}
        self.open_calls_by_id: Counter[str] = Counter()

    def record_start(self, target_id: str) -> None:
        """Counts the start of a call."""
        self.open_calls_by_id[target_id] += 1

    def record_end(self, target_id: str) -> None:
        """Counts the end of a call."""
        self.open_calls_by_id[target_id] -= 1
        if self.open_calls_by_id[target_id] <= 0:
            del self.open_calls_by_id[target_id]

    def record_sample(self, target_id: str, sample: LoadSample) -> None:
        """Records a target's report, which includes this router's calls."""
        total = sample.running + sample.waiting
        others = max(0, total - self.open_calls_by_id[target_id])
        self._reported_by_id[target_id] = _ReportedLoad(
            others, sample.slots, self._clock.seconds()
        )

    def remove(self, target_id: str) -> None:
        """Discards the report of an incarnation that has been removed."""
        self._reported_by_id.pop(target_id, None)

    def load(self, target_id: str) -> float:
        """Returns the estimated number of calls on a target.

        It is the number of own calls plus that of others as last reported. The
        reported number decays with its age, as the others' calls end.
        """
        own = self.open_calls_by_id[target_id]
        reported = self._reported_by_id.get(target_id)
        if reported is None:
            return own
        age_s = self._clock.seconds() - reported.reported_at
        return own + reported.others * 0.5 ** (
            age_s / defaults.LOAD_HALF_LIFE_S
        )
