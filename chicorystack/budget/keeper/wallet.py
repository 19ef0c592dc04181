"""A router's wallet: the tokens that it holds, has reserved and has used.

A router uses the tokens in its wallet without contacting any other process, so
calls continue while the keeper or the log is unreachable. The wallet of a shard
communicates with the shard's keeper in numbered exchanges, one at a time.
"""

from collections.abc import Iterable
from typing import NamedTuple

from chicorystack.budget.keeper.messages import (
    Exchange,
    ExchangeReply,
    Usage,
    holder_of_use,
    number_of_use,
)
from chicorystack.observe.invariants import require

LOW_WATERMARK_DIVISOR = 2


class Reservation(NamedTuple):
    """Tokens reserved for one call.

    Attributes:
        shard: Shard of the budget.
        budget: Budget's id.
        epoch: Keeper epoch in which the tokens are held.
        tokens: Upper bound on the call's usage.
        use: Id of this run of the call, for its usage report.
        settled_below: All runs of the holder with a lower number are settled.
    """

    shard: int
    budget: str
    epoch: int
    tokens: int
    use: str
    settled_below: int = 0


class BudgetWallet(NamedTuple):
    """The tokens of one budget that the router holds.

    Attributes:
        free: Tokens neither reserved nor used.
        reserved: Tokens reserved for calls in flight.
        used: Tokens used and not yet acknowledged by the keeper.
        wanted: Further tokens requested; a smaller grant does not help.
        low_watermark: With fewer free tokens, the router requests more.
    """

    free: int = 0
    reserved: int = 0
    used: int = 0
    wanted: int = 0
    low_watermark: int = 0

    @property
    def held(self) -> int:
        """All tokens that the keeper counts as held by this router."""
        return self.free + self.reserved + self.used


class ShardWallet:
    """The tokens of one shard's budgets that this router holds.

    Attributes:
        shard: The shard.
        holder: Incarnation id of this router's process; it changes when the
            tokens held under the previous id become void.
        router: Name of this router's VM.
        epoch: Epoch in which a keeper last accepted this holder's statement of
            its tokens; 0 if none has.
        wallet_by_budget: Tokens held, by budget id.
        usage_by_use: Usage not yet acknowledged, by id of the run.
    """

    def __init__(self, shard: int, holder: str, router: str = ""):
        self.shard = shard
        self.holder = holder
        self.router = router
        self._incarnation = holder
        self._void_count = 0
        self.epoch = 0
        self._keeper_epoch = 0
        self._open_numbers: dict[int, None] = {}
        self.wallet_by_budget: dict[str, BudgetWallet] = {}
        self.usage_by_use: dict[str, Usage] = {}
        self._changed_budgets: set[str] = set()
        self._must_report_all = True
        self._exchange_count = 0
        self._use_count = 0

    def held(self, budget: str) -> BudgetWallet:
        """Returns the tokens of a budget that are held."""
        return self.wallet_by_budget.get(budget, BudgetWallet())

    def request_tokens(self, budget: str, tokens: int) -> None:
        """Requests tokens of a budget with the next exchange."""
        wallet = self.held(budget)
        wanted = max(wallet.wanted, tokens)
        self.wallet_by_budget[budget] = wallet._replace(wanted=wanted)
        self._changed_budgets.add(budget)

    @property
    def has_pending_report(self) -> bool:
        """Whether the wallet has changes to report to the keeper."""
        return bool(
            self._changed_budgets
            or self.usage_by_use
            or (self._must_report_all and self.wallet_by_budget)
        )

    def reserve(self, budget: str, tokens: int) -> Reservation | None:
        """Reserves tokens; returns None if too few are free."""
        wallet = self.held(budget)
        if wallet.free < tokens:
            return None
        wallet = wallet._replace(
            free=wallet.free - tokens, reserved=wallet.reserved + tokens
        )
        self.wallet_by_budget[budget] = wallet
        if wallet.free < wallet.low_watermark:
            self._changed_budgets.add(budget)
        self._use_count += 1
        use = f"{self.holder}:{self._use_count}"
        self._open_numbers[self._use_count] = None
        settled_below = next(iter(self._open_numbers))
        return Reservation(
            self.shard, budget, self.epoch, tokens, use, settled_below
        )

    def is_void(self, reservation: Reservation) -> bool:
        """Returns whether a reservation was made under an earlier holder id.

        Such a reservation is void: agents, not this wallet, account for its
        usage.
        """
        return holder_of_use(reservation.use) != self.holder

    def settle(self, reservation: Reservation, key: str, used: int) -> None:
        """Ends a reservation: frees the unused rest and reports the usage.

        Args:
            reservation: The reservation.
            key: Hash of the call's key.
            used: Tokens used, at most the number reserved.
        """
        require(
            "usage_within_reservation",
            0 <= used <= reservation.tokens,
            f"{reservation.budget}: used {used} of {reservation.tokens}",
        )
        if self.is_void(reservation):
            return
        wallet = self.held(reservation.budget)
        self.wallet_by_budget[reservation.budget] = wallet._replace(
            free=wallet.free + reservation.tokens - used,
            reserved=wallet.reserved - reservation.tokens,
            used=wallet.used + used,
        )
        if used:
            usage = Usage(reservation.budget, key, used, reservation.use)
            self.usage_by_use[reservation.use] = usage
        else:
            self._close_use(reservation.use)

    def next_exchange(self) -> Exchange:
        """Returns the next message to the keeper."""
        self._exchange_count += 1
        usage = list(self.usage_by_use.values())
        # The first exchange of an epoch reports all tokens that are held.
        budgets = self._changed_budgets | {run.budget for run in usage}
        if self._must_report_all:
            budgets = set(self.wallet_by_budget)
        self._changed_budgets = set()
        return Exchange(
            shard=self.shard,
            holder=self.holder,
            router=self.router,
            number=self._exchange_count,
            epoch=self._keeper_epoch,
            registered_epoch=self.epoch,
            held={budget: self.held(budget).held for budget in budgets},
            usage=usage,
            wanted=self._wanted(budgets),
            low=[budget for budget in budgets if self._is_low(budget)],
        )

    def _wanted(self, budgets: Iterable[str]) -> dict[str, int]:
        wanted = {budget: self.held(budget).wanted for budget in budgets}
        return {budget: tokens for budget, tokens in wanted.items() if tokens}

    def _is_low(self, budget: str) -> bool:
        wallet = self.held(budget)
        return not wallet.wanted and wallet.free < wallet.low_watermark

    def recall(self, keep_by_budget: dict[str, int]) -> None:
        """Releases the free tokens of each budget beyond the number to keep."""
        for budget, keep in keep_by_budget.items():
            wallet = self.held(budget)
            if wallet.free > keep:
                self.wallet_by_budget[budget] = wallet._replace(
                    free=keep, low_watermark=keep // LOW_WATERMARK_DIVISOR
                )
                self._changed_budgets.add(budget)

    def apply_reply(self, exchange: Exchange, reply: ExchangeReply) -> None:
        """Applies the keeper's reply to the newest exchange."""
        if exchange["holder"] != self.holder:
            return
        if reply["void"]:
            self._discard_all()
            return
        if not reply["accepted"]:
            self.update_epoch(reply["epoch"])
            self._changed_budgets |= set(exchange["held"])
            return
        self.epoch = max(self.epoch, reply["epoch"])
        if self.epoch == self._keeper_epoch:
            self._must_report_all = False
        for run in exchange["usage"]:
            self._acknowledge_usage(run, refunded=run.use in reply["refunded"])
        for budget in (*exchange["wanted"], *exchange["low"]):
            wallet = self.held(budget)
            free = wallet.free + reply["granted"].get(budget, 0)
            self.wallet_by_budget[budget] = wallet._replace(
                free=free, wanted=0, low_watermark=free // LOW_WATERMARK_DIVISOR
            )

    def update_epoch(self, epoch: int) -> None:
        """Moves to a newer epoch, in which all held tokens must be reported."""
        if epoch <= self._keeper_epoch:
            return
        self._keeper_epoch = epoch
        self._must_report_all = True

    def should_exchange_again(self, reply: ExchangeReply) -> bool:
        """Returns whether the next exchange should follow a reply at once.

        It does not after a refusal by a keeper of an older epoch, which does
        not know yet that it has been replaced.
        """
        refused_by_newest = (
            not reply["accepted"] and reply["epoch"] == self._keeper_epoch
        )
        return self.has_pending_report and (reply["void"] or refused_by_newest)

    def release_free(self) -> None:
        """Releases all free tokens with the next exchange."""
        for budget, wallet in self.wallet_by_budget.items():
            self.wallet_by_budget[budget] = wallet._replace(free=0, wanted=0)
            self._changed_budgets.add(budget)

    def _discard_all(self) -> None:
        """Discards all tokens and usage and takes a new holder id.

        The epoch was settled without this holder, so its tokens are void.
        """
        self._void_count += 1
        self.holder = f"{self._incarnation}.{self._void_count}"
        self.epoch = 0
        self.usage_by_use = {}
        self._open_numbers = {}
        self._use_count = 0
        self.wallet_by_budget = {
            budget: BudgetWallet(wanted=wallet.wanted)
            for budget, wallet in self.wallet_by_budget.items()
            if wallet.wanted
        }
        self._changed_budgets = set(self.wallet_by_budget)
        self._must_report_all = True

    def _close_use(self, use: str) -> None:
        self._open_numbers.pop(number_of_use(use), None)

    def handle_failed_exchange(self, exchange: Exchange) -> None:
        """Marks the budgets of a failed exchange to be reported again."""
        self._changed_budgets |= set(exchange["held"])

    def _acknowledge_usage(self, run: Usage, refunded: bool) -> None:
        if self.usage_by_use.pop(run.use, None) is None:
            return
        self._close_use(run.use)
        wallet = self.held(run.budget)
        self.wallet_by_budget[run.budget] = wallet._replace(
            free=wallet.free + (run.tokens if refunded else 0),
            used=wallet.used - run.tokens,
        )
