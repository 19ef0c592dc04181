"""Token accounting of a shard's keeper, the shard's leader in one epoch.

A keeper grants tokens of the shard's budgets to holders, which are router
processes. This module works only on state in memory; `ShardController` and
`ShardWriter` append to the log and wait for it.

Overspending is impossible because tokens are granted only below a bound that
this keeper has committed to the log in its own epoch. Tokens that an earlier
epoch had committed are not granted until they are settled.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.budget.keeper.ledger import ShardLedger
from chicorystack.budget.keeper.messages import (
    BudgetView,
    Exchange,
    Usage,
    holder_of_use,
)
from chicorystack.budget.keeper.sharing import SharingPolicy
from chicorystack.observe.invariants import require


class Demand(NamedTuple):
    """A holder's request for tokens of a budget.

    Attributes:
        holder: Id of the holder.
        budget: Budget's id.
        wanted: Smallest useful number of tokens.
    """

    holder: str
    budget: str
    wanted: int


class ShardKeeper:
    """Tracks and grants the tokens of one shard in one epoch.

    Attributes:
        ledger: The shard's state, as far as the log has been read.
        epoch: The epoch that this keeper claimed.
        held_by_budget: Unbilled tokens of registered holders, by budget, then
            by holder.
        unsettled_by_budget: Tokens committed in earlier epochs that a holder
            may still spend.
        exchange_number_by_holder: Number of each holder's newest exchange. A
            holder is registered in this epoch once it has an entry.
        pending_void_holders: Holders that are being declared void; the log
            may not contain the record yet.
    """

    def __init__(self, ledger: ShardLedger, epoch: int, policy: SharingPolicy):
        self.ledger = ledger
        self.epoch = epoch
        self._policy = policy
        self.held_by_budget: defaultdict[str, dict[str, int]] = defaultdict(
            dict
        )
        self.unsettled_by_budget: dict[str, int] = {
            budget: state.outstanding
            for budget, state in ledger.budget_by_id.items()
            if state.outstanding
        }
        self.exchange_number_by_holder: dict[str, int] = {}
        self.pending_void_holders: set[str] = set()
        self._recent_use_by_budget: defaultdict[str, dict[str, float]] = (
            defaultdict(dict)
        )
        ledger.on_bill(self._deduct_bill)

    @property
    def is_current(self) -> bool:
        """Whether the log, as far as it is read, has no newer epoch."""
        return self.ledger.epoch == self.epoch

    def free(self, budget: str) -> int:
        """Returns the tokens that are committed and free to be granted."""
        state = self.ledger.budget(budget)
        held = sum(self.held_by_budget[budget].values())
        unsettled = self.unsettled_by_budget.get(budget, 0)
        return state.outstanding - held - unsettled

    def remaining(self, budget: str) -> int:
        """Returns the tokens that can be granted, committed or not."""
        state = self.ledger.budget(budget)
        return state.topped_up - state.committed + self.free(budget)

    def held(self, budget: str, holder: str) -> int:
        """Returns the number of tokens that a holder holds."""
        return self.held_by_budget[budget].get(holder, 0)

    def unspent(self, budget: str) -> int:
        """Returns the grantable tokens plus those of registered holders."""
        held = sum(self.held_by_budget[budget].values())
        return self.remaining(budget) + held

    def share_of_use(self, budget: str, holder: str) -> float:
        """Returns a holder's share of recent use, from 0 to 1.

        Without any recent use, each user of the budget has an equal share.
        """
        use_by_holder = self._recent_use_by_budget[budget]
        if not use_by_holder:
            return 1 / self.user_count(budget)
        return use_by_holder.get(holder, 0.0) / sum(use_by_holder.values())

    def user_count(self, budget: str) -> int:
        """Returns the number of a budget's users, at least 2.

        Users are the holders that used the budget recently or hold its tokens.
        """
        users = set(self._recent_use_by_budget[budget])
        users |= {
            holder
            for holder, tokens in self.held_by_budget[budget].items()
            if tokens
        }
        return max(2, len(users))

    def _record_use(self, bill: Usage, holder: str) -> None:
        """Adds a bill to the recent use; each billed token decays older use."""
        topped_up = self.ledger.budget(bill.budget).topped_up
        decay_tokens = max(1.0, topped_up * defaults.RECENT_USE_DECAY_FRACTION)
        factor = math.exp(-bill.tokens / decay_tokens)
        decayed = {
            name: use * factor
            for name, use in self._recent_use_by_budget[bill.budget].items()
            if use * factor >= defaults.MIN_RECENT_USE_TOKENS
        }
        decayed[holder] = decayed.get(holder, 0.0) + bill.tokens
        self._recent_use_by_budget[bill.budget] = decayed

    def other_holders(self, budget: str, holder: str) -> list[str]:
        """Returns a budget's other holders, largest holding first."""
        held = self.held_by_budget[budget]
        others = [name for name in held if name != holder and held[name] > 0]
        return sorted(others, key=lambda name: -held[name])

    def grant(self, holder: str, budget: str, wanted: int) -> int:
        """Grants tokens that are committed and free.

        Returns:
            The number of tokens, at least `wanted`, or 0 if more must be
            committed first.
        """
        free = self.free(budget)
        if free < wanted:
            return 0
        require(
            "holder_known_in_log",
            holder in self.ledger.router_by_holder,
            f"{budget}: holder {holder} is not recorded in the log",
        )
        size = self._policy.grant_size(self, holder, budget, wanted)
        tokens = max(wanted, min(free, size))
        if not tokens:
            return 0
        held = self.held_by_budget[budget]
        held[holder] = held.get(holder, 0) + tokens
        self.check(budget)
        return tokens

    def needs_more_committed(self, holder: str, budget: str) -> bool:
        """Returns whether a holder's full share needs a larger commitment."""
        size = self._policy.grant_size(self, holder, budget, 0)
        return self.free(budget) < min(size, self.remaining(budget))

    def required_commitments(self, demands: Iterable[Demand]) -> dict[str, int]:
        """Returns the bounds to commit, by budget, so that demands can be met.

        No bound exceeds the budget's top-ups. Budgets whose bound needs no
        increase, or allows none, are left out.
        """
        size_by_budget: defaultdict[str, int] = defaultdict(int)
        for holder, budget, wanted in demands:
            size = self._policy.grant_size(self, holder, budget, wanted)
            size_by_budget[budget] += max(wanted, size)
        return dict(self._raised_bounds(size_by_budget))

    def _raised_bounds(
        self, size_by_budget: dict[str, int]
    ) -> Iterator[tuple[str, int]]:
        for budget, size in size_by_budget.items():
            state = self.ledger.budget(budget)
            lacking = max(0, size - self.free(budget))
            bound = min(state.topped_up, state.committed + lacking)
            if bound > state.committed:
                yield budget, bound

    @property
    def unsettled(self) -> int:
        """Number of unsettled tokens of all budgets together."""
        return sum(self.unsettled_by_budget.values())

    @property
    def unregistered_holders(self) -> list[str]:
        """Holders that may hold tokens and are not registered in this epoch."""
        return [
            holder
            for holder in self.ledger.router_by_holder
            if holder not in self.exchange_number_by_holder
        ]

    def holds_tokens(self, holder: str) -> bool:
        """Returns whether a registered holder holds any tokens."""
        return any(held.get(holder) for held in self.held_by_budget.values())

    def is_void(self, exchange: Exchange) -> bool:
        """Returns whether the sender is void, or is being declared void."""
        holder = exchange["holder"]
        if holder in self.exchange_number_by_holder:
            return False
        known = holder in self.ledger.router_by_holder
        was_registered = exchange["registered_epoch"] > 0
        return holder in self.pending_void_holders or (
            was_registered and not known
        )

    def end_settlement(self) -> None:
        """Frees unsettled tokens once the log records the settlement."""
        require(
            "settled_under_own_epoch",
            self.is_current and self.ledger.settled_epoch == self.epoch - 1,
            f"keeper's epoch {self.epoch}, "
            f"newest settled epoch {self.ledger.settled_epoch}",
        )
        self.unsettled_by_budget = {}
        self.pending_void_holders = set()
        for budget in self.ledger.budget_by_id:
            self.check(budget)

    def update_held(self, exchange: Exchange) -> bool:
        """Updates a holder's tokens to what it reports, and registers it.

        Returns:
            False if the same or a later exchange of the holder has been seen.
        """
        holder = exchange["holder"]
        registered = holder in self.exchange_number_by_holder
        if exchange["number"] <= self.exchange_number_by_holder.get(holder, 0):
            return False
        self.exchange_number_by_holder[holder] = exchange["number"]
        billed_by_budget = self._already_billed(exchange["usage"])
        for budget, reported in exchange["held"].items():
            tokens = reported - billed_by_budget.get(budget, 0)
            if not registered:
                self._move_from_unsettled(budget, tokens)
            self._set_held(holder, budget, tokens, registered)
            self.check(budget)
        return True

    def is_latest_exchange(self, exchange: Exchange) -> bool:
        """Returns whether no later exchange of the holder has been seen."""
        newest = self.exchange_number_by_holder.get(exchange["holder"])
        return newest == exchange["number"]

    def new_bills(self, usage: list[Usage]) -> list[Usage]:
        """Returns the runs to bill: the first of each key not billed yet."""
        first_by_key: dict[str, Usage] = {}
        for run in usage:
            if run.key not in self.ledger.bill_by_key:
                first_by_key.setdefault(run.key, run)
        return list(first_by_key.values())

    def refunds(self, usage: list[Usage]) -> list[str]:
        """Returns the ids of runs whose key was billed to another run."""
        bills = self.ledger.bill_by_key
        return [run.use for run in usage if bills[run.key].use != run.use]

    def _already_billed(self, usage: list[Usage]) -> dict[str, int]:
        """Sums, by budget, reported usage that the log has as billed."""
        tokens_by_budget: dict[str, int] = {}
        for run in usage:
            bill = self.ledger.bill_by_key.get(run.key)
            if bill is not None and bill.use == run.use:
                billed = tokens_by_budget.get(run.budget, 0)
                tokens_by_budget[run.budget] = billed + run.tokens
        return tokens_by_budget

    def _move_from_unsettled(self, budget: str, tokens: int) -> None:
        unsettled = self.unsettled_by_budget.get(budget, 0) - tokens
        require(
            "statement_within_unsettled",
            unsettled >= 0,
            f"{budget}: {tokens} tokens held or billed, but fewer unsettled",
        )
        self.unsettled_by_budget[budget] = unsettled

    def _set_held(
        self, holder: str, budget: str, tokens: int, registered: bool
    ) -> None:
        held = self.held_by_budget[budget]
        known = held.get(holder, 0)
        require(
            "statement_within_grants",
            not registered or tokens <= known,
            f"{budget}: {holder} reports {tokens} tokens, was granted {known}",
        )
        held[holder] = tokens

    def _deduct_bill(self, bill: Usage) -> None:
        """Deducts a bill from its holder's tokens.

        If the holder is not registered, deducts it from the unsettled tokens.
        """
        holder = holder_of_use(bill.use)
        if holder in self.exchange_number_by_holder:
            held = self.held_by_budget[bill.budget]
            held[holder] = held.get(holder, 0) - bill.tokens
            self._record_use(bill, holder)
        else:
            self._move_from_unsettled(bill.budget, bill.tokens)
        self.check(bill.budget)

    def view(self, budget: str, reason: str = "") -> BudgetView:
        """Returns a budget's state for operators.

        Args:
            budget: Budget's id.
            reason: What the settlement of older epochs waits for.
        """
        state = self.ledger.budget(budget)
        unsettled = self.unsettled_by_budget.get(budget, 0)
        view = BudgetView(
            budget=budget,
            topped_up=state.topped_up,
            billed=state.billed,
            held=sum(self.held_by_budget[budget].values()),
            unsettled=unsettled + state.stranded,
            free=self.remaining(budget),
        )
        reasons = []
        if unsettled:
            reasons.append(reason or "waits for the holders of older epochs")
        if state.stranded:
            stranded = self.ledger.stranded_reason
            reasons.append(f"{state.stranded} stranded: {stranded}")
        if reasons:
            view["reason"] = "; ".join(reasons)
        return view

    def check(self, budget: str) -> None:
        """Requires that no token is counted twice."""
        state = self.ledger.budget(budget)
        require(
            "committed_within_top_ups",
            state.committed <= state.topped_up,
            f"{budget}: {state}",
        )
        require(
            "held_within_committed",
            self.free(budget) >= 0,
            f"{budget}: free {self.free(budget)}",
        )
