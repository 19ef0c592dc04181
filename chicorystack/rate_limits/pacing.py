"""Spreads a rate of permits over time: a token bucket with a small burst.

Many routers that are cut off from each other each hold a small part of one
limit. If all of them saved up a permit, all could use theirs at the same
moment. A holder of a small part therefore starts at a random time and lets
permits expire that it does not use.
"""

import math
import random
from typing import NamedTuple

from chicorystack import defaults


class Burst(NamedTuple):
    """How many permits may be saved up.

    Attributes:
        permits: Permits at any rate.
        seconds: Permits in addition, as a time at the full rate.
    """

    permits: float = 1.0
    seconds: float = defaults.RATE_BURST_S


class Pace(NamedTuple):
    """How many permits become available.

    Attributes:
        per_s: Permits a second.
        expiring: Whether unused permits expire.
        burst: Most permits that may be saved up.
    """

    per_s: float
    expiring: bool
    burst: Burst = Burst()


class ColdBounds(NamedTuple):
    """Bounds on the calls of all routers to a cold target in any second.

    Attributes:
        overage: Calls, as a multiple of the rate that the target accepts.
        slack_calls: Calls allowed in addition.
    """

    overage: float = defaults.COLD_OVERAGE
    slack_calls: float = defaults.COLD_SLACK_CALLS

    def pace(self, calls_per_s: float, share: float) -> Pace:
        """Returns the pace of a router that may use a share of a rate."""
        expiring = share < defaults.RATE_STEADY_FRACTION
        per_s = calls_per_s * share
        if expiring and not self._allows_holders(calls_per_s, share):
            per_s *= defaults.COLD_FEW_SHARES_FRACTION
        return Pace(per_s, expiring, self._burst(share))

    def _burst(self, share: float) -> Burst:
        """Returns the permits that a holder of shares may save up.

        Twice as much fits into the bounds, as a coordinator may be replaced by
        another one. The rest allows for calls that arrive late.
        """
        most = self.slack_calls * defaults.COLD_BURST_SLACK_FRACTION
        return Burst(1.0 + max(0.0, most - 1.0) * share, self._burst_s())

    def _burst_s(self) -> float:
        return (
            max(0.0, self.overage - 1.0) * defaults.COLD_BURST_OVERAGE_FRACTION
        )

    def _allows_holders(self, calls_per_s: float, share: float) -> bool:
        """Returns whether all holders of such a share fit into the bounds.

        Each may have saved up a call when all send at the same moment, and
        permits may arrive late.
        """
        if not share:
            return True
        used = 1.0 + self._burst_s() + defaults.RATE_PEER_TIMEOUT_S
        spare_calls = (self.overage - used) * calls_per_s + self.slack_calls
        return 1 / share <= spare_calls


class Pacer:
    """Permits for calls to one target, at a pace that may change."""

    def __init__(self, clock, pace: Pace):
        self._clock = clock
        self._pace = pace
        self._permits = random.random()
        self._updated_at = clock.seconds()

    def set_pace(self, pace: Pace) -> None:
        """Changes the pace; what has become available so far stays."""
        self._refill()
        self._pace = pace

    def take(self, count: int) -> int:
        """Takes up to count permits; returns how many were available."""
        self._refill()
        taken = min(count, int(self._permits))
        self._permits -= taken
        return taken

    def wait_s(self) -> float:
        """Returns the time until a permit is available, in seconds."""
        self._refill()
        if self._permits >= 1:
            return 0.0
        if not self._pace.per_s:
            return math.inf
        return (1 - self._permits) / self._pace.per_s

    def _refill(self) -> None:
        now = self._clock.seconds()
        elapsed_s = now - self._updated_at
        self._updated_at = now
        self._permits += elapsed_s * self._pace.per_s
        burst = self._pace.burst
        most = burst.permits + self._pace.per_s * burst.seconds
        if self._permits > most:
            excess = self._permits - most
            self._permits -= (
                math.ceil(excess) if self._pace.expiring else excess
            )
