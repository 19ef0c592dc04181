"""A router's wallet: tokens it holds, reserves and has used.

A router spends from its wallet without asking anyone, so calls go on while
the keeper or the log can't be reached. The wallet of a shard speaks with the
shard's keeper in numbered exchanges, one at a time.
"""

from collections.abc import Iterable
from typing import NamedTuple

from chicorystack.budget.messages import Exchange, ExchangeReply, Usage
from chicorystack.observe.invariants import require


class Reservation(NamedTuple):
    """Tokens set aside for one call.

    Attributes:
        shard: Shard of the budget.
        budget: Budget's id.
        epoch: Epoch of the keeper under which the tokens are held.
        tokens: Upper bound on the call's usage.
        use: Id of this run, for its usage report.
    """

    shard: int
    budget: str
    epoch: int
    tokens: int
    use: str


class BudgetWallet(NamedTuple):
    """What the router holds of one budget, in tokens.

    Attributes:
        free: Neither reserved nor used.
        reserved: Set aside for calls in flight.
        used: Used and not yet acknowledged by the keeper.
        wanted: Least number of further tokens that helps.
    """

    free: int = 0
    reserved: int = 0
    used: int = 0
    wanted: int = 0

    @property
    def held(self) -> int:
        """All tokens that the keeper counts as this router's."""
        return self.free + self.reserved + self.used


class ShardWallet:
    """What this router holds of one shard's budgets.

    Attributes:
        shard: The shard.
        holder: Incarnation id of this router's process.
        epoch: Epoch in which the keeper knows this holder; 0 for none.
        wallet_by_budget: What is held, by budget id.
        usage_by_use: Usage not yet acknowledged, by id of the run.
    """

    def __init__(self, shard: int, holder: str):
        self.shard = shard
        self.holder = holder
        self.epoch = 0
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
        return bool(self._changed or self.usage_by_use)

    def reserve(self, budget: str, tokens: int) -> Reservation | None:
        """Sets tokens aside, or returns None where too few are free."""
        wallet = self.held(budget)
        if wallet.free < tokens:
            return None
        self.wallet_by_budget[budget] = wallet._replace(
            free=wallet.free - tokens, reserved=wallet.reserved + tokens
        )
        self._use_count += 1
        use = f"{self.holder}:{self._use_count}"
        return Reservation(self.shard, budget, self.epoch, tokens, use)

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
        wallet = self.held(reservation.budget)
        self.wallet_by_budget[reservation.budget] = wallet._replace(
            free=wallet.free + reservation.tokens - used,
            reserved=wallet.reserved - reservation.tokens,
            used=wallet.used + used,
        )
        if used:
            usage = Usage(reservation.budget, key, used, reservation.use)
            self.usage_by_use[reservation.use] = usage

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
            number=self._exchange_count,
            epoch=self.epoch,
            held={budget: self.held(budget).held for budget in budgets},
            usage=usage,
            wanted=self._wanted(budgets),
        )

    def _wanted(self, budgets: Iterable[str]) -> dict[str, int]:
        wanted = {budget: self.held(budget).wanted for budget in budgets}
        return {budget: tokens for budget, tokens in wanted.items() if tokens}

    def take_reply(self, exchange: Exchange, reply: ExchangeReply) -> None:
        """Takes the keeper's answer to the newest exchange."""
        if not reply["accepted"]:
            self.epoch = reply["epoch"]
            self._must_state_all = True
            return
        self._must_state_all = False
        for run in exchange["usage"]:
            self._acknowledge(run, refunded=run.use in reply["refunded"])
        for budget in exchange["wanted"]:
            wallet = self.held(budget)
            granted = reply["granted"].get(budget, 0)
            self.wallet_by_budget[budget] = wallet._replace(
                free=wallet.free + granted, wanted=0
            )

    def exchange_failed(self, exchange: Exchange) -> None:
        """Notes that no answer came: what was said must be said again."""
        self._changed |= set(exchange["held"])

    def _acknowledge(self, run: Usage, refunded: bool) -> None:
        if self.usage_by_use.pop(run.use, None) is None:
            return
        wallet = self.held(run.budget)
        self.wallet_by_budget[run.budget] = wallet._replace(
            free=wallet.free + (run.tokens if refunded else 0),
            used=wallet.used - run.tokens,
        )
