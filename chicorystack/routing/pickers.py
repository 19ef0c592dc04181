"""Load-balancing policies that choose one of several targets."""

import random
from itertools import count
from typing import Protocol

from chicorystack import defaults
from chicorystack.routing.targets import TargetState


class Picker(Protocol):
    """A load-balancing policy."""

    def pick(self, candidates: list[TargetState]) -> TargetState | None:
        """Returns one of the candidates, or None if there are none."""


class RoundRobin:
    """Cycles through the targets; a baseline for comparison."""

    def __init__(self):
        self._positions = count()

    def pick(self, candidates: list[TargetState]) -> TargetState | None:
        """Returns the next candidate, ordered by name."""
        if not candidates:
            return None
        by_name = sorted(candidates, key=lambda target: target.name)
        return by_name[next(self._positions) % len(by_name)]


class LeastOutstanding:
    """Picks the target with the fewest calls from this router; a baseline."""

    def __init__(self, data_centre: str):
        self._data_centre = data_centre

    def pick(self, candidates: list[TargetState]) -> TargetState | None:
        """Returns the least loaded; ties go to this router's data centre."""
        return min(candidates, key=self._cost, default=None)

    def _cost(self, target: TargetState) -> tuple[int, bool]:
        return target.in_flight, target.data_centre != self._data_centre


class SampledLeastLoaded:
    """Picks the least loaded of a few randomly sampled targets.

    Sampling keeps routers that see the same outdated load reports from all
    choosing the same target.
    """

    def __init__(self, data_centre: str, rng: random.Random):
        self._data_centre = data_centre
        self._rng = rng

    def pick(self, candidates: list[TargetState]) -> TargetState | None:
        """Returns the least loaded of the sample.

        A target in another data centre counts as more loaded than it is.
        """
        size = min(len(candidates), defaults.PICK_SAMPLE_SIZE)
        sample = self._rng.sample(candidates, size)
        return min(sample, key=self._cost, default=None)

    def _cost(self, target: TargetState) -> float:
        is_remote = target.data_centre != self._data_centre
        utilization = target.load / max(1, target.limit)
        return utilization + is_remote * defaults.REMOTE_UTILIZATION_PENALTY
