"""How large a grant a keeper hands out at a time."""

from typing import Protocol

EQUAL_SHARE_DIVISOR = 8


class KeeperState(Protocol):
    """What a sharing policy may look at."""

    def remaining(self, budget: str) -> int:
        """Returns tokens that nobody holds."""


class SharingPolicy(Protocol):
    """Decides the size of a grant."""

    def grant_size(
        self, keeper: KeeperState, holder: str, budget: str, wanted: int
    ) -> int:
        """Returns the number of tokens to hand out if they are there."""


class FractionSharing:
    """Hands out a fixed fraction of what remains."""

    def grant_size(
        self, keeper: KeeperState, holder: str, budget: str, wanted: int
    ) -> int:
        """Returns the fraction, or what is wanted if that is more."""
        return max(wanted, keeper.remaining(budget) // EQUAL_SHARE_DIVISOR)
