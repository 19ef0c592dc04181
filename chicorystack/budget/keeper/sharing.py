"""Policies for how many tokens a keeper grants each router ahead of use."""

from typing import Protocol

FRACTION_DIVISOR = 8
# Share of recent use at which a router becomes the main user of a budget.
MAIN_USER_SHARE = 0.75
# The main user may hold all unspent tokens but one part in this many; each
# other router may hold one such part.
OTHERS_DIVISOR = 16


class KeeperState(Protocol):
    """The keeper's state as seen by a sharing policy."""

    def remaining(self, budget: str) -> int:
        """Returns the tokens that no holder has."""

    def held(self, budget: str, holder: str) -> int:
        """Returns the tokens that a holder has."""

    def unspent(self, budget: str) -> int:
        """Returns the remaining tokens plus those of registered holders."""

    def share_of_use(self, budget: str, holder: str) -> float:
        """Returns a holder's share of recent use, from 0 to 1."""

    def user_count(self, budget: str) -> int:
        """Returns the number of holders that used the budget recently."""


class SharingPolicy(Protocol):
    """Decides the size of a grant."""

    def grant_size(
        self, keeper: KeeperState, holder: str, budget: str, wanted: int
    ) -> int:
        """Returns the number of tokens to grant if that many remain."""


class FractionSharing:
    """Grants a fixed fraction of the remaining tokens."""

    def grant_size(
        self, keeper: KeeperState, holder: str, budget: str, wanted: int
    ) -> int:
        """Returns the fraction, or the wanted number if that is larger."""
        return max(wanted, keeper.remaining(budget) // FRACTION_DIVISOR)


class EqualSharing:
    """Divides the unspent tokens equally among the users of a budget."""

    def grant_size(
        self, keeper: KeeperState, holder: str, budget: str, wanted: int
    ) -> int:
        """Returns what the holder lacks of its share, or the wanted number."""
        share = keeper.unspent(budget) // keeper.user_count(budget)
        return max(wanted, share - keeper.held(budget, holder))


class DemandSharing:
    """Divides the unspent tokens according to recent use."""

    def grant_size(
        self, keeper: KeeperState, holder: str, budget: str, wanted: int
    ) -> int:
        """Returns what the holder lacks of its share, or the wanted number."""
        share = keeper.share_of_use(budget, holder)
        target = int(keeper.unspent(budget) * share)
        return max(wanted, target - keeper.held(budget, holder))


class MixedSharing:
    """Divides half of the unspent tokens equally and half by recent use."""

    def grant_size(
        self, keeper: KeeperState, holder: str, budget: str, wanted: int
    ) -> int:
        """Returns what the holder lacks of its share, or the wanted number."""
        equal = 1 / keeper.user_count(budget)
        share = (equal + keeper.share_of_use(budget, holder)) / 2
        target = int(keeper.unspent(budget) * share)
        return max(wanted, target - keeper.held(budget, holder))


class DelegationSharing:
    """Delegates nearly all tokens to the main user and recalls them for others.

    The idea is that of "Subtree Locks" (Zarochentsev and Saveliev, 2008): the
    dominant client holds the whole, which is recalled when another client's
    share of accesses rises.
    """

    def grant_size(
        self, keeper: KeeperState, holder: str, budget: str, wanted: int
    ) -> int:
        """Returns nearly all tokens for the main user, few for others."""
        unspent = keeper.unspent(budget)
        target = unspent // OTHERS_DIVISOR
        if keeper.share_of_use(budget, holder) >= MAIN_USER_SHARE:
            target = unspent - target
        return max(wanted, target - keeper.held(budget, holder))
