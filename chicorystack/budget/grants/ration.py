"""Spreads the last tokens of a budget over time.

This handles a budget that runs out just after many restarts, when all callers
retry at once. Without a limit, the first callers, mostly the largest calls, use
up the last few percent within a second or two, and no call is served until the
next top-up. With it, each router's grant grows by a part of the tokens left, so
use decays exponentially and smaller calls are still served for a while.
"""

from chicorystack import defaults
from chicorystack.budget.grants.records import BootTimeClock, Instant


class RationLimiter:
    """Limits how fast a router's grant grows near the end of a budget."""

    def __init__(self, clock: BootTimeClock):
        self._clock = clock
        self._cap = 0.0
        self._updated_at: Instant | None = None

    def reset(self) -> None:
        """Lifts the limit; the next call of `limit` starts a new one."""
        self._updated_at = None

    def limit(self, granted: int, left: int, router_count: int) -> int:
        """Returns the largest total grant that is allowed now.

        Args:
            granted: Tokens granted to this router, or in use there if more.
            left: Tokens that no router holds.
            router_count: Number of routers that share the budget.
        """
        now = self._clock.instant()
        if self._updated_at is None:
            self._cap = float(granted)
        else:
            elapsed_s = now.seconds_since(self._updated_at) or 0.0
            span_s = defaults.GRANT_RATION_TIME_CONSTANT_S * router_count
            self._cap += left * min(1.0, elapsed_s / span_s)
        self._updated_at = now
        return int(self._cap)
