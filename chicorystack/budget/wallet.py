"""A router's wallet: tokens it holds, reserves and has used.

A router spends from its wallet without asking anyone, so calls go on while
the keeper or the log can't be reached. The wallet of a shard speaks with the
shard's keeper in numbered exchanges, one at a time.
"""

from collections.abc import Iterable
from typing import NamedTuple

from chicorystack.budget.messages import (
    Exchange,
    ExchangeReply,
    Usage,
    holder_of_use,
    number_of_use,
)
from chicorystack.observe.invariants import require

LOW_MARK_DIVISOR = 2


class Reservation(NamedTuple):
    """Tokens set aside for one call.

    Attributes:
        shard: Shard of the budget.
        budget: Budget's id.
        epoch: Epoch of the keeper under which the tokens are held.
        tokens: Upper bound on the call's usage.
        use: Id of this run, for its usage report.
        settled_below: All runs with a lower number are settled.
    """

    shard: int
    budget: str
    epoch: int
    tokens: int
    use: str
    settled_below: int = 0


class BudgetWallet(NamedTuple):
    """What the router holds of one budget, in tokens.

    Attributes:
        free: Neither reserved nor used.
        reserved: Set aside for calls in flight.
        used: Used and not yet acknowledged by the keeper.
        wanted: Least number of further tokens that helps.
        low_mark: The keeper is asked for more when less is free.
    """

    free: int = 0
    reserved: int = 0
    used: int = 0
    wanted: int = 0
    low_mark: int = 0

    @property
    def held(self) -> int:
        """All tokens that the keeper counts as this router's."""
        return self.free + self.reserved + self.used


class ShardWallet:
    """What this router holds of one shard's budgets.

    Attributes:
        shard: The shard.
        holder: Incarnation id of this router's process; a new one once what
            the old one held is void.
        router: Name of this router's VM.
        epoch: Epoch in which a keeper last accepted what this holder holds;
            0 for none.
        wallet_by_budget: What is held, by budget id.
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
        self._changed: set[str] = set()
        self._must_state_all = True
        self._exchange_count = 0
        self._use_count = 0

    def held(self, budget: str) -> BudgetWallet:
        """Returns what is held of a budget."""
        return self.wallet_by_budget.get(budget, BudgetWallet())

    def want(self, budget: str, tokens: int) -> None:
        """Asks for tokens of a budget with the next exchange."""
        wallet = self.held(budget)
        wanted = max(wallet.wanted, tokens)
        self.wallet_by_budget[budget] = wallet._replace(wanted=wanted)
        self._changed.add(budget)

    @property
    def has_news(self) -> bool:
        """Whether the keeper should hear from this wallet."""
        return bool(
            self._changed
            or self.usage_by_use
            or (self._must_state_all and self.wallet_by_budget)
        )

    def reserve(self, budget: str, tokens: int) -> Reservation | None:
        """Sets tokens aside, or returns None where too few are free."""
        wallet = self.held(budget)
        if wallet.free < tokens:
            return None
        wallet = wallet._replace(
            free=wallet.free - tokens, reserved=wallet.reserved + tokens
        )
        self.wallet_by_budget[budget] = wallet
        if wallet.free < wallet.low_mark:
            self._changed.add(budget)
        self._use_count += 1
        use = f"{self.holder}:{self._use_count}"
        self._open_numbers[self._use_count] = None
        settled_below = next(iter(self._open_numbers))
        return Reservation(
            self.shard, budget, self.epoch, tokens, use, settled_below
        )

    def is_void(self, reservation: Reservation) -> bool:
        """Tells whether agents account for a reservation, not this wallet."""
        return holder_of_use(reservation.use) != self.holder

    def settle(self, reservation: Reservation, key: str, used: int) -> None:
        """Ends a reservation: the rest is free again, usage gets reported.

        Args:
            reservation: What was set aside.
            key: Hash of the call's key.
            used: Tokens used, at most those reserved.
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
            self._end_use(reservation.use)

    def next_exchange(self) -> Exchange:
        """Returns what the keeper should hear now."""
        self._exchange_count += 1
        usage = list(self.usage_by_use.values())
        # The first exchange of an epoch states everything that is held.
        budgets = self._changed | {run.budget for run in usage}
        if self._must_state_all:
            budgets = set(self.wallet_by_budget)
        self._changed = set()
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
        return not wallet.wanted and wallet.free < wallet.low_mark

    def recall(self, keep_by_budget: dict[str, int]) -> None:
        """Gives back what is free beyond what may be kept."""
        for budget, keep in keep_by_budget.items():
            wallet = self.held(budget)
            if wallet.free > keep:
                self.wallet_by_budget[budget] = wallet._replace(
                    free=keep, low_mark=keep // LOW_MARK_DIVISOR
                )
                self._changed.add(budget)

    def take_reply(self, exchange: Exchange, reply: ExchangeReply) -> None:
        """Takes the keeper's answer to the newest exchange."""
        if exchange["holder"] != self.holder:
            return
        if reply["void"]:
            self._void()
            return
        if not reply["accepted"]:
            self.learn_epoch(reply["epoch"])
            self._changed |= set(exchange["held"])
            return
        self.epoch = max(self.epoch, reply["epoch"])
        if self.epoch == self._keeper_epoch:
            self._must_state_all = False
        for run in exchange["usage"]:
            self._acknowledge(run, refunded=run.use in reply["refunded"])
        for budget in (*exchange["wanted"], *exchange["low"]):
            wallet = self.held(budget)
            free = wallet.free + reply["granted"].get(budget, 0)
            self.wallet_by_budget[budget] = wallet._replace(
                free=free, wanted=0, low_mark=free // LOW_MARK_DIVISOR
            )

    def learn_epoch(self, epoch: int) -> None:
        """Notes a keeper's newer epoch, in which all must be stated."""
        if epoch <= self._keeper_epoch:
            return
        self._keeper_epoch = epoch
        self._must_state_all = True

    def should_go_on(self, reply: ExchangeReply) -> bool:
        """Tells whether the next exchange should follow a reply at once.

        A keeper that does not know yet that it was replaced is not asked
        again at once.
        """
        refused_by_newest = (
            not reply["accepted"] and reply["epoch"] == self._keeper_epoch
        )
        return self.has_news and (reply["void"] or refused_by_newest)

    def give_back(self) -> None:
        """Gives all free tokens back with the next exchange."""
        for budget, wallet in self.wallet_by_budget.items():
            self.wallet_by_budget[budget] = wallet._replace(free=0, wanted=0)
            self._changed.add(budget)

    def _void(self) -> None:
        """Drops all: the epoch was settled without this holder."""
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
        self._changed = set(self.wallet_by_budget)
        self._must_state_all = True

    def _end_use(self, use: str) -> None:
        self._open_numbers.pop(number_of_use(use), None)

    def exchange_failed(self, exchange: Exchange) -> None:
        """Notes that no answer came: what was said must be said again."""
        self._changed |= set(exchange["held"])

    def _acknowledge(self, run: Usage, refunded: bool) -> None:
        if self.usage_by_use.pop(run.use, None) is None:
            return
        self._end_use(run.use)
        wallet = self.held(run.budget)
        self.wallet_by_budget[run.budget] = wallet._replace(
            free=wallet.free + (run.tokens if refunded else 0),
            used=wallet.used - run.tokens,
        )
