"""Placement policies: which target gets a call."""

import functools
import random
from collections.abc import Iterable
from typing import Protocol

from chicorystack import defaults
from chicorystack.gateway.loads import TargetLoads
from chicorystack.gateway.messages import Call
from chicorystack.gateway.targets import TargetEntry
from chicorystack.util import stable_hash


class PlacementPolicy(Protocol):
    """Chooses a target for a call."""

    def choose(
        self, call: Call, candidates: list[TargetEntry]
    ) -> TargetEntry | None:
        """Returns one of the candidates; None if there are none."""


class LeastLoaded:
    """Chooses the target with the least load relative to its slots.

    Targets in other data centres count as more loaded by a fixed amount. Ties
    are broken at random.
    """

    def __init__(self, data_centre: str, loads: TargetLoads):
        self._data_centre = data_centre
        self._loads = loads

    def choose(
        self, call: Call, candidates: list[TargetEntry]
    ) -> TargetEntry | None:
        """See PlacementPolicy."""
        return min(candidates, key=self._load_and_tiebreak, default=None)

    def _load_and_tiebreak(self, entry: TargetEntry) -> tuple[float, float]:
        load = self._loads.load(entry.id) / max(1, entry.slots)
        if entry.zone != self._data_centre:
            load += defaults.REMOTE_LOAD_PER_SLOT
        return load, random.random()


class PrefixAffinity:
    """Sends calls that share prompt parts to one target, to reuse its cache.

    It is meant for sessions with long prompts, which are cached by the target
    that ran them last, and for some hot sessions among them. This is
    consistent hashing with bounded loads: targets are ranked for each session
    by rendezvous hashing, and the first one whose load is within a bound is
    chosen. So a hot session spills over only to the next targets in its
    ranking.
    """

    def __init__(self, loads: TargetLoads):
        self._loads = loads

    def choose(
        self, call: Call, candidates: list[TargetEntry]
    ) -> TargetEntry | None:
        """See PlacementPolicy."""
        if not candidates:
            return None
        load_by_id = {e.id: self._loads.load(e.id) for e in candidates}
        mean = sum(load_by_id.values()) / len(candidates)
        bound = (
            mean * defaults.AFFINITY_LOAD_FACTOR + defaults.AFFINITY_LOAD_SLACK
        )
        for entry in rank_targets(call, candidates):
            if load_by_id[entry.id] <= bound:
                return entry
        return min(candidates, key=lambda entry: load_by_id[entry.id])


class PromptAware:
    """Uses one policy for calls that list prompt parts, another otherwise."""

    def __init__(
        self, with_prompt: PlacementPolicy, otherwise: PlacementPolicy
    ):
        self._with_prompt = with_prompt
        self._otherwise = otherwise

    def choose(
        self, call: Call, candidates: list[TargetEntry]
    ) -> TargetEntry | None:
        """See PlacementPolicy."""
        if call.route.uses_prompts and call.request.prompt_parts:
            return self._with_prompt.choose(call, candidates)
        return self._otherwise.choose(call, candidates)


def rank_targets(
    call: Call, targets: Iterable[TargetEntry]
) -> list[TargetEntry]:
    """Returns targets in the order in which a session prefers them.

    This is rendezvous hashing: all routers rank alike, and a target that comes
    or goes changes no other's place.
    """
    session = _session_id(call)
    return sorted(
        targets,
        key=lambda entry: _rank(session, entry.id),
        reverse=True,
    )


@functools.lru_cache(maxsize=defaults.MAX_CACHED_RANKS)
def _rank(session: str, target_id: str) -> int:
    return stable_hash(f"{session}\0{target_id}")


def _session_id(call: Call) -> str:
    """Returns the ID of the prompt part that identifies the session.

    It is the second part, or the only one.
    """
    parts = call.request.prompt_parts
    return parts[min(1, len(parts) - 1)].id
