"""Limits a router's retries to a fraction of its calls."""

from chicorystack import defaults


class RetryBudget:
    """Allows a retry for every so many calls, and a small number at once.

    Attributes:
        allowed: Retries that may be made now.
    """

    def __init__(self):
        self.allowed = float(defaults.RETRY_BUDGET_MAX)

    def note_call(self) -> None:
        """Takes a call, which adds to what is allowed."""
        self.allowed = min(
            self.allowed + defaults.RETRIES_PER_CALL,
            float(defaults.RETRY_BUDGET_MAX),
        )

    def take(self) -> bool:
        """Uses one retry; False where none is allowed."""
        if self.allowed < 1:
            return False
        self.allowed -= 1
        return True
