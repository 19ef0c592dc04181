"""Which of a service's calls a router admits, the most urgent first.

Each router has only few waiting calls of a service, so the order among them
alone would not keep less urgent calls of one router from delaying more urgent
ones of others. When the targets have more load than they should, each router
therefore refuses the least urgent calls. As all routers see the same load, they
refuse the same ranks without telling each other.
"""

import math
from typing import NamedTuple

from chicorystack import defaults


class Rank(NamedTuple):
    """Rank of a call in admission; the least is admitted first.

    Attributes:
        priority: Priority, 0 the most urgent.
        excess: How far its customer exceeds its usual load; 0 for a call
            within it.
    """

    priority: int
    excess: int


class AdmissionLevel:
    """Fraction of the offered calls that is admitted.

    It is a proportional-integral control of the load.
    """

    def __init__(self, clock):
        self._clock = clock
        self._loaded_at = clock.seconds()
        self._offered_at = clock.seconds()
        # Recent calls by rank.
        self._offered_by_rank: dict[Rank, float] = {}
        # Fraction of a call of a rank that was admitted, but not used.
        self._credit_by_rank: dict[Rank, float] = {}
        self._integral = 1.0
        self.fraction = 1.0

    @property
    def is_overloaded(self) -> bool:
        """Whether calls are refused to keep others on time."""
        return self.fraction < defaults.ADMISSION_OVERLOAD_FRACTION

    def update(self, load: float) -> None:
        """Adjusts the fraction.

        Args:
            load: Load of the targets, 1 for as much as they should have.
        """
        now = self._clock.seconds()
        passed_s = min(now - self._loaded_at, defaults.ADMISSION_MAX_STEP_S)
        self._loaded_at = now
        error = min(max(load - 1, -1.0), 1.0)
        integral = self._integral - (
            defaults.ADMISSION_INTEGRAL_GAIN_PER_S * error * passed_s
        )
        least = defaults.ADMISSION_MIN_FRACTION
        self._integral = min(max(integral, least), 1.0)
        fraction = self._integral - defaults.ADMISSION_GAIN * error
        self.fraction = min(max(fraction, least), 1.0)

    def admits(self, rank: Rank) -> bool:
        """Counts a new call; returns whether its rank is admitted."""
        self._decay()
        offered = self._offered_by_rank
        offered[rank] = offered.get(rank, 0.0) + 1
        share = self._share(rank)
        if share >= 1:
            return True
        if share <= 0:
            return False
        credit = self._credit_by_rank.get(rank, 0.0) + share
        self._credit_by_rank[rank] = credit % 1
        return credit >= 1

    def prefers(self, rank: Rank) -> bool:
        """Returns whether calls of other ranks are refused for this one."""
        return self.is_overloaded and self._share(rank) >= 1

    def priorities(self) -> list[int]:
        """Returns the priorities of recent calls."""
        return [
            rank.priority
            for rank, offered in self._offered_by_rank.items()
            if offered >= defaults.ADMISSION_RECENT_CALLS
        ]

    def _share(self, rank: Rank) -> float:
        """Returns the share of a rank that is admitted; 1 or more for all."""
        offered = self._offered_by_rank
        if self.fraction >= 1:
            return 1.0
        before = sum(n for other, n in offered.items() if other < rank)
        admitted = self.fraction * sum(offered.values()) - before
        return admitted / offered.get(rank, 1.0)

    def _decay(self) -> None:
        now = self._clock.seconds()
        factor = math.exp(
            (self._offered_at - now) / defaults.ADMISSION_MEMORY_S
        )
        self._offered_at = now
        for rank in self._offered_by_rank:
            self._offered_by_rank[rank] *= factor
