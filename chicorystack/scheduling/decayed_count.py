"""Counts in which events lose weight with their age."""

import math


class DecayedCount:
    """A number that decays exponentially."""

    def __init__(self, memory_s: float, now: float):
        """Starts at 0.

        Args:
            memory_s: Time in which an event loses most of its weight, in
                seconds.
            now: Clock time, in seconds.
        """
        self._memory_s = memory_s
        self._count = 0.0
        self._updated_at = now

    def add(self, change: float, now: float) -> None:
        """Adds to the number, which is never negative."""
        self._count = max(0.0, self.value(now) + change)
        self._updated_at = now

    def value(self, now: float) -> float:
        """Returns the number."""
        age_s = now - self._updated_at
        return self._count * math.exp(-age_s / self._memory_s)
