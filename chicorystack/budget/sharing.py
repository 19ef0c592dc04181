"""How many tokens of a budget a keeper hands to each router ahead of use."""

from typing import Protocol

FRACTION_DIVISOR = 8
# Share of recent use from which on a router is the main user of a budget.
MAIN_USER_SHARE = 0.75
# What the main user leaves for the others, as a part of all.
OTHERS_DIVISOR = 16


class KeeperState(Protocol):
    """What a sharing policy may look at."""

    def remaining(self, budget: str) -> int:
        """Returns tokens that nobody holds."""

    def held(self, budget: str, holder: str) -> int:
        """Returns tokens that a holder holds."""

    def unspent(self, budget: str) -> int:
        """Returns tokens that nobody or a registered holder holds."""

    def share_of_use(self, budget: str, holder: str) -> float:
        """Returns a holder's share of recent use, from 0 to 1."""

    def user_count(self, budget: str) -> int:
        """Returns the number of holders that used the budget recently."""


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
        return max(wanted, keeper.remaining(budget) // FRACTION_DIVISOR)


class EqualSharing:
    """Brings each user of a budget to an equal share of what is unspent."""

    def grant_size(
        self, keeper: KeeperState, holder: str, budget: str, wanted: int
    ) -> int:
        """Returns what the holder lacks of its share, or what is wanted."""
        share = keeper.unspent(budget) // keeper.user_count(budget)
        return max(wanted, share - keeper.held(budget, holder))


class DemandSharing:
    """Brings each user to its share of recent use of what is unspent."""

    def grant_size(
        self, keeper: KeeperState, holder: str, budget: str, wanted: int
    ) -> int:
        """Returns what the holder lacks of its share, or what is wanted."""
        share = keeper.share_of_use(budget, holder)
        target = int(keeper.unspent(budget) * share)
        return max(wanted, target - keeper.held(budget, holder))


class MixedSharing:
    """Half of what is unspent in equal shares, half by recent use."""

    def grant_size(
        self, keeper: KeeperState, holder: str, budget: str, wanted: int
    ) -> int:
        """Returns what the holder lacks of its share, or what is wanted."""
        equal = 1 / keeper.user_count(budget)
        share = (equal + keeper.share_of_use(budget, holder)) / 2
        target = int(keeper.unspent(budget) * share)
        return max(wanted, target - keeper.held(budget, holder))


class DelegationSharing:
    """Delegates nearly all to the main user and calls it back for others.

    The idea is that of "Subtree Locks" (Zarochentsev and Saveliev, 2008): the
    client that dominates holds the whole; it is called back when another's
    share of accesses rises.
    """

    def grant_size(
        self, keeper: KeeperState, holder: str, budget: str, wanted: int
    ) -> int:
        """Returns nearly all for the main user, a small part for others."""
        unspent = keeper.unspent(budget)
        target = unspent // OTHERS_DIVISOR
        if keeper.share_of_use(budget, holder) >= MAIN_USER_SHARE:
            target = unspent - target
        return max(wanted, target - keeper.held(budget, holder))
