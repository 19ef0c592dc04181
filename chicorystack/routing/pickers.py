"""Policies that choose one of several targets."""

import random
from itertools import count
from typing import Protocol

from chicorystack import defaults
from chicorystack.routing.targets import TargetState


class Picker(Protocol):
    """A policy that chooses a target."""

    def pick(self, candidates: list[TargetState]) -> TargetState | None:
        """Returns one of the candidates, or None where there are none."""


class RoundRobin:
    """Takes targets in turn; a baseline for comparison."""

    def __init__(self):
        self._turns = count()

    def pick(self, candidates: list[TargetState]) -> TargetState | None:
        """Returns the next target in order of name."""
        if not candidates:
            return None
        by_name = sorted(candidates, key=lambda target: target.name)
        return by_name[next(self._turns) % len(by_name)]


class LeastSent:
    """Takes the target with the fewest calls from here; a baseline."""

    def __init__(self, data_centre: str):
        self._data_centre = data_centre

    def pick(self, candidates: list[TargetState]) -> TargetState | None:
        """Returns the least used, among equals one of the own data centre."""
        return min(candidates, key=self._cost, default=None)

    def _cost(self, target: TargetState) -> tuple[int, bool]:
        return target.sent, target.data_centre != self._data_centre


class SampledLeastLoaded:
    """Takes the least loaded of a few sampled targets.

    Sampling keeps routers with the same late reports from all choosing the
    same target.
    """

    def __init__(self, data_centre: str, chance: random.Random):
        self._data_centre = data_centre
        self._chance = chance

    def pick(self, candidates: list[TargetState]) -> TargetState | None:
        """Returns the least loaded of the sample, the own data centre first."""
        size = min(len(candidates), defaults.PICK_SAMPLE)
        sample = self._chance.sample(candidates, size)
        return min(sample, key=self._cost, default=None)

    def _cost(self, target: TargetState) -> float:
        far = target.data_centre != self._data_centre
        used = target.load / max(1, target.limit)
        return used + far * defaults.OTHER_DATA_CENTRE_LOAD
