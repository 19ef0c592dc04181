"""Spreads the last tokens of a budget over time.

Pattern that it answers: a budget comes to its end just after many restarts,
as callers come back all at once. Without it the last few percent go within a
second or two to whoever comes first, the largest calls above all, and nobody
is served until the next top-up. With it each router's grant grows by a part of
what is left, so that use falls off exponentially, and smaller calls are still
served for a while.
"""

from chicorystack import defaults
from chicorystack.budget.grant_records import Instant, LeaseClock


class Ration:
    """How far one router's grant of one customer may grow near the end."""

    def __init__(self, clock: LeaseClock):
        self._clock = clock
        self._cap = 0.0
        self._seen_at: Instant | None = None

    def end(self) -> None:
        """Lifts the limit, as enough is left."""
        self._seen_at = None

    def limit(self, granted: int, left: int, routers: int) -> int:
        """Returns the most that may be granted in all now.

        Args:
            granted: Tokens that are granted to this router, or in use.
            left: Tokens that nobody holds.
            routers: Routers that share the budget.
        """
        now = self._clock.instant()
        if self._seen_at is None:
            self._cap = float(granted)
        else:
            elapsed_s = now.since(self._seen_at) or 0.0
            span_s = defaults.GRANT_RATION_TIME_CONSTANT_S * routers
            self._cap += left * min(1.0, elapsed_s / span_s)
        self._seen_at = now
        return int(self._cap)
