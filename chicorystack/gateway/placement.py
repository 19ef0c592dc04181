"""Chooses a target for each call."""

import random
from typing import Protocol

from chicorystack import defaults
from chicorystack.gateway.loads import TargetLoads
from chicorystack.gateway.messages import Call
from chicorystack.gateway.targets import TargetEntry
from chicorystack.util import stable_hash


class Placer(Protocol):
    """Chooses among targets that may be given a call."""

    def choose(
        self, call: Call, candidates: list[TargetEntry]
    ) -> TargetEntry | None:
        """Returns the target; None where there is none."""


class LeastLoaded:
    """Takes the target with the least load for its size; the nearest first."""

    def __init__(self, data_centre: str, loads: TargetLoads):
        self._data_centre = data_centre
        self._loads = loads

    def choose(
        self, call: Call, candidates: list[TargetEntry]
    ) -> TargetEntry | None:
        """See Placer."""
        return min(candidates, key=self._cost, default=None)

    def _cost(self, entry: TargetEntry) -> tuple[float, float]:
        load = self._loads.load(entry.id) / max(1, entry.slots)
        if entry.zone != self._data_centre:
            load += defaults.FAR_TARGET_LOAD
        return load, random.random()


class PrefixAffinity:
    """Keeps calls that share a prompt's parts on one target, within a bound.

    Pattern that it answers: sessions whose long prompts are cached where they
    ran last, with a hot session now and then. Targets are ranked for each
    session by rendezvous hashing; the first one with a load within the bound
    is taken, so a hot session spills over to its next targets only.
    """

    def __init__(self, loads: TargetLoads):
        self._loads = loads

    def choose(
        self, call: Call, candidates: list[TargetEntry]
    ) -> TargetEntry | None:
        """See Placer."""
        if not candidates:
            return None
        load_by_id = {e.id: self._loads.load(e.id) for e in candidates}
        mean = sum(load_by_id.values()) / len(candidates)
        bound = (
            mean * defaults.AFFINITY_LOAD_FACTOR + defaults.AFFINITY_LOAD_SLACK
        )
        session = _session(call)
        ranked = sorted(
            candidates,
            key=lambda entry: stable_hash(f"{session}\0{entry.id}"),
            reverse=True,
        )
        for entry in ranked:
            if load_by_id[entry.id] <= bound:
                return entry
        return min(candidates, key=lambda entry: load_by_id[entry.id])


class ByRoute:
    """Uses prompts where a route's calls tell them, else loads alone."""

    def __init__(self, with_prompts: Placer, without: Placer):
        self._with_prompts = with_prompts
        self._without = without

    def choose(
        self, call: Call, candidates: list[TargetEntry]
    ) -> TargetEntry | None:
        """See Placer."""
        if call.route.uses_prompts and call.request.prompt:
            return self._with_prompts.choose(call, candidates)
        return self._without.choose(call, candidates)


def _session(call: Call) -> str:
    """Returns the part of the prompt that a session's calls share."""
    parts = call.request.prompt
    return parts[min(1, len(parts) - 1)].part
