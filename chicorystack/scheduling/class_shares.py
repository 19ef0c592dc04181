"""Least share of each priority's calls that start, so that none starves."""

import random
from collections.abc import Iterable

from chicorystack import defaults


class ClassShares:
    """Fractions of recent calls that started, by priority."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._fraction_by_priority: dict[int, float] = {}

    def record(self, priority: int, started: bool) -> None:
        """Counts a call that started or was refused."""
        fraction = self._fraction_by_priority.get(priority, 1.0)
        change = defaults.CLASS_SHARE_GAIN * (float(started) - fraction)
        self._fraction_by_priority[priority] = fraction + change

    def grants(self, priority: int, offered: Iterable[int]) -> bool:
        """Returns whether a call that would be refused starts nevertheless.

        This is decided at random, so that it holds for rare calls, too. The
        share is a small part of that of the more urgent priorities, so that
        a less urgent one is never served better.

        Args:
            priority: Priority of the call.
            offered: Priorities of the service's recent calls.
        """
        urgent = [other for other in offered if other < priority]
        if not urgent:
            return False
        least = min(
            self._fraction_by_priority.get(other, 1.0) for other in urgent
        )
        return self._rng.random() < defaults.CLASS_SHARE_MIN * least
