"""Load steps of targets that have turned warm.

A target that was cold has few calls in progress, so placement would send it
those of all routers at once. The number of calls that one router may have in
progress there therefore rises in steps, from what it took while cold to what
the router has at other targets of the service.
"""

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.gateway.targets import TargetEntry
from chicorystack.rate_limits.cold_limits import ColdLimits
from chicorystack.util import stable_hash

HASH_RANGE = 2**64


class WarmingTarget(NamedTuple):
    """A target that has turned warm a short time ago.

    Attributes:
        calls_per_s: Calls a second that it accepted while it was cold.
        warm_s: Time since it turned warm, in seconds.
        slots: Requests that it can run concurrently.
    """

    calls_per_s: float
    warm_s: float
    slots: int


class FleetLoad(NamedTuple):
    """The load that a target will have once it is warm.

    Attributes:
        routers: Number of routers.
        calls_per_target: This router's mean number of calls in progress at
            the service's other targets; None if there are none.
    """

    routers: int
    calls_per_target: float | None


def is_warming(warm_s: float) -> bool:
    """Returns whether the load of a target still rises in steps."""
    return warm_s < defaults.WARM_UP_S


def open_calls_limit(target: WarmingTarget, load: FleetLoad) -> float:
    """Returns how many calls a router may have in progress at a target.

    The limit rises by the same factor in each step. It may be a fraction: the
    probability with which a router may send a call.
    """
    if not is_warming(target.warm_s):
        return math.inf
    routers = max(1, load.routers)
    first = target.calls_per_s / routers
    last = load.calls_per_target
    if last is None:
        last = target.slots / routers
    step_s = defaults.WARM_UP_S / defaults.WARM_UP_STEPS
    step = math.floor(target.warm_s / step_s) + 1
    growth = max(1.0, last / first) ** (step / defaults.WARM_UP_STEPS)
    return first * growth


def round_limit(limit: float, router: str, target_id: str) -> float:
    """Returns a limit as a whole number that differs between routers.

    The mean over many routers is the limit.
    """
    if math.isinf(limit):
        return limit
    digest = stable_hash(f"{router}\0{target_id}")
    return math.floor(limit + digest / HASH_RANGE)


def next_step_s(warm_s: float) -> float:
    """Returns the time until the next step, in seconds."""
    step_s = defaults.WARM_UP_S / defaults.WARM_UP_STEPS
    return step_s - warm_s % step_s


class WarmUp:
    """Chooses among targets by their load steps."""

    def __init__(
        self,
        clock,
        router: str,
        cold: ColdLimits,
        router_count: Callable[[], int],
    ):
        """Takes over what is known of cold targets.

        Args:
            clock: The reactor.
            router: Name of this router.
            cold: Which targets are or were cold.
            router_count: Returns the number of routers, including this one.
        """
        self._clock = clock
        self._router = router
        self._cold = cold
        self._router_count = router_count

    def select(
        self, candidates: list[TargetEntry], open_calls_by_id: Mapping[str, int]
    ) -> list[TargetEntry]:
        """Returns the candidates that have reached no limit of their step.

        A router without any may have one call at each candidate, so that it is
        not left without targets.

        Args:
            candidates: Targets of one service.
            open_calls_by_id: Number of this router's calls in progress.
        """
        warming_by_id = self._warming_by_id(candidates)
        if not warming_by_id:
            return candidates
        others = [e.id for e in candidates if e.id not in warming_by_id]
        load = FleetLoad(
            self._router_count(), _mean_calls(others, open_calls_by_id)
        )
        limit_by_id = {
            target_id: open_calls_limit(target, load)
            for target_id, target in warming_by_id.items()
        }
        selected = [
            entry
            for entry in candidates
            if entry.id not in limit_by_id
            or open_calls_by_id.get(entry.id, 0)
            < round_limit(limit_by_id[entry.id], self._router, entry.id)
        ]
        return selected or [
            entry
            for entry in candidates
            if not open_calls_by_id.get(entry.id, 0)
        ]

    def wait_s(self, entry: TargetEntry) -> float:
        """Returns the time until a target's next step; 0 for none."""
        target = self._warming(entry)
        return 0.0 if target is None else next_step_s(target.warm_s)

    def _warming_by_id(
        self, candidates: list[TargetEntry]
    ) -> dict[str, WarmingTarget]:
        return {
            entry.id: target
            for entry in candidates
            if (target := self._warming(entry)) is not None
        }

    def _warming(self, entry: TargetEntry) -> WarmingTarget | None:
        recently = self._cold.recently_cold(entry.incarnation)
        if recently is None:
            return None
        warm_s = self._clock.seconds() - recently.warm_since
        if not is_warming(warm_s):
            return None
        return WarmingTarget(recently.calls_per_s, warm_s, entry.slots)


def _mean_calls(
    target_ids: list[str], open_calls_by_id: Mapping[str, int]
) -> float | None:
    if not target_ids:
        return None
    total = sum(open_calls_by_id.get(target_id, 0) for target_id in target_ids)
    return total / len(target_ids)
