"""The keeper of one shard: decides who may hold how many tokens.

Everything here is a decision on state in memory; the keeper service does the
appends and the waiting. The rule that makes overspending impossible: tokens
are handed out only below a bound that stands in the log under this keeper's
own epoch, and what an earlier epoch had committed stays out of reach until it
is settled.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.budget.ledger import ShardLedger
from chicorystack.budget.messages import (
    BudgetView,
    Exchange,
    Usage,
    holder_of_use,
)
from chicorystack.budget.sharing import SharingPolicy
from chicorystack.observe.invariants import require


class Demand(NamedTuple):
    """A holder's wish for tokens of a budget.

    Attributes:
        holder: The holder.
        budget: Budget's id.
        wanted: Least number of tokens that helps.
    """

    holder: str
    budget: str
    wanted: int


class ShardKeeper:
    """One router's keeper duty for one shard in one epoch.

    Attributes:
        ledger: The shard's state, as far as the log has been read.
        epoch: The epoch that this keeper claimed.
        held_by_budget: Unbilled tokens by budget, then by holder.
        unsettled_by_budget: Tokens committed by earlier epochs that may
            still be spent by someone.
        number_by_holder: Number of each holder's newest exchange; a holder
            is registered in this epoch once it is here.
        giving_up: Holders that are being given up; the log may not say so
            yet.
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
        self.number_by_holder: dict[str, int] = {}
        self.giving_up: set[str] = set()
        self._use_by_budget: defaultdict[str, dict[str, float]] = defaultdict(
            dict
        )
        ledger.on_bill(self._deduct_bill)

    @property
    def in_force(self) -> bool:
        """Whether no newer epoch has been read from the log."""
        return self.ledger.epoch == self.epoch

    def free(self, budget: str) -> int:
        """Returns tokens that are committed and nobody holds."""
        state = self.ledger.budget(budget)
        held = sum(self.held_by_budget[budget].values())
        unsettled = self.unsettled_by_budget.get(budget, 0)
        return state.outstanding - held - unsettled

    def remaining(self, budget: str) -> int:
        """Returns tokens that nobody holds, committed or not."""
        state = self.ledger.budget(budget)
        return state.topped_up - state.committed + self.free(budget)

    def held(self, budget: str, holder: str) -> int:
        """Returns tokens that a holder holds."""
        return self.held_by_budget[budget].get(holder, 0)

    def unspent(self, budget: str) -> int:
        """Returns tokens that nobody or a registered holder holds."""
        held = sum(self.held_by_budget[budget].values())
        return self.remaining(budget) + held

    def share_of_use(self, budget: str, holder: str) -> float:
        """Returns a holder's share of recent use, from 0 to 1."""
        use_by_holder = self._use_by_budget[budget]
        if not use_by_holder:
            return 1 / self.user_count(budget)
        return use_by_holder.get(holder, 0.0) / sum(use_by_holder.values())

    def user_count(self, budget: str) -> int:
        """Returns the number of holders that used the budget recently."""
        users = set(self._use_by_budget[budget])
        users |= {
            holder
            for holder, tokens in self.held_by_budget[budget].items()
            if tokens
        }
        return max(2, len(users))

    def _note_use(self, bill: Usage, holder: str) -> None:
        """Lets older use fade as the budget is spent."""
        topped_up = self.ledger.budget(bill.budget).topped_up
        memory = max(1.0, topped_up * defaults.USE_MEMORY_PART)
        kept = math.exp(-bill.tokens / memory)
        faded = {
            name: use * kept
            for name, use in self._use_by_budget[bill.budget].items()
            if use * kept >= defaults.LEAST_USE_TOKENS
        }
        faded[holder] = faded.get(holder, 0.0) + bill.tokens
        self._use_by_budget[bill.budget] = faded

    def others_holding(self, budget: str, holder: str) -> list[str]:
        """Returns other holders of a budget, those that hold most first."""
        held = self.held_by_budget[budget]
        others = [name for name in held if name != holder and held[name] > 0]
        return sorted(others, key=lambda name: -held[name])

    def grant(self, holder: str, budget: str, wanted: int) -> int:
        """Hands out tokens from those committed and free.

        Returns:
            The number of tokens, at least `wanted`, or 0 where more must be
            committed first.
        """
        free = self.free(budget)
        if free < wanted:
            return 0
        require(
            "holder_known_in_log",
            holder in self.ledger.router_by_holder,
            f"{budget}: {holder} is not in the log",
        )
        size = self._policy.grant_size(self, holder, budget, wanted)
        tokens = max(wanted, min(free, size))
        if not tokens:
            return 0
        held = self.held_by_budget[budget]
        held[holder] = held.get(holder, 0) + tokens
        self.check(budget)
        return tokens

    def lacks_for_growth(self, holder: str, budget: str) -> bool:
        """Tells whether more must be committed for a holder's share."""
        size = self._policy.grant_size(self, holder, budget, 0)
        return self.free(budget) < min(size, self.remaining(budget))

    def commitments(self, demands: Iterable[Demand]) -> dict[str, int]:
        """Returns the bounds to append so that demands can be met.

        None exceeds the top-ups; a budget that can't pay more is left out.
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
        """Tokens of all budgets that are unsettled."""
        return sum(self.unsettled_by_budget.values())

    @property
    def unregistered(self) -> list[str]:
        """Holders that may hold tokens and have not stated them."""
        return [
            holder
            for holder in self.ledger.router_by_holder
            if holder not in self.number_by_holder
        ]

    def holds(self, holder: str) -> bool:
        """Tells whether a registered holder holds any tokens."""
        return any(held.get(holder) for held in self.held_by_budget.values())

    def is_void(self, exchange: Exchange) -> bool:
        """Tells whether a holder was given up and does not know it."""
        holder = exchange["holder"]
        if holder in self.number_by_holder:
            return False
        known = holder in self.ledger.router_by_holder
        was_registered = exchange["registered_epoch"] > 0
        return holder in self.giving_up or (was_registered and not known)

    def end_settlement(self) -> None:
        """Frees what is unsettled, once the log says that it is settled."""
        require(
            "settled_under_own_epoch",
            self.in_force and self.ledger.settled_epoch == self.epoch - 1,
            f"epoch {self.epoch}, settled {self.ledger.settled_epoch}",
        )
        self.unsettled_by_budget = {}
        self.giving_up = set()
        for budget in self.ledger.budget_by_id:
            self.check(budget)

    def take_statement(self, exchange: Exchange) -> bool:
        """Takes over what a holder says that it holds.

        Returns:
            False where a later exchange of the holder has been seen.
        """
        holder = exchange["holder"]
        registered = holder in self.number_by_holder
        if exchange["number"] <= self.number_by_holder.get(holder, 0):
            return False
        self.number_by_holder[holder] = exchange["number"]
        billed_by_budget = self._already_billed(exchange["usage"])
        for budget, stated in exchange["held"].items():
            tokens = stated - billed_by_budget.get(budget, 0)
            if not registered:
                self._move_from_unsettled(budget, tokens)
            self._lower_held(holder, budget, tokens, registered)
            self.check(budget)
        return True

    def is_newest(self, exchange: Exchange) -> bool:
        """Tells whether no later exchange of the holder has been seen."""
        newest = self.number_by_holder.get(exchange["holder"])
        return newest == exchange["number"]

    def new_bills(self, usage: list[Usage]) -> list[Usage]:
        """Returns the runs whose keys have not been billed."""
        first_by_key: dict[str, Usage] = {}
        for run in usage:
            if run.key not in self.ledger.bill_by_key:
                first_by_key.setdefault(run.key, run)
        return list(first_by_key.values())

    def refunds(self, usage: list[Usage]) -> list[str]:
        """Returns the ids of runs whose key was billed for another run."""
        bills = self.ledger.bill_by_key
        return [run.use for run in usage if bills[run.key].use != run.use]

    def _already_billed(self, usage: list[Usage]) -> dict[str, int]:
        """Sums reported usage that stands in the log as billed already."""
        tokens_by_budget: dict[str, int] = {}
        for run in usage:
            mark = self.ledger.bill_by_key.get(run.key)
            if mark is not None and mark.use == run.use:
                billed = tokens_by_budget.get(run.budget, 0)
                tokens_by_budget[run.budget] = billed + run.tokens
        return tokens_by_budget

    def _move_from_unsettled(self, budget: str, tokens: int) -> None:
        unsettled = self.unsettled_by_budget.get(budget, 0) - tokens
        require(
            "statement_within_unsettled",
            unsettled >= 0,
            f"{budget}: a holder states {tokens} more than was committed",
        )
        self.unsettled_by_budget[budget] = unsettled

    def _lower_held(
        self, holder: str, budget: str, tokens: int, registered: bool
    ) -> None:
        held = self.held_by_budget[budget]
        known = held.get(holder, 0)
        require(
            "statement_within_grants",
            not registered or tokens <= known,
            f"{budget}: {holder} states {tokens}, was granted {known}",
        )
        held[holder] = tokens

    def _deduct_bill(self, bill: Usage) -> None:
        """Moves a billed run's tokens out of what its holder holds."""
        holder = holder_of_use(bill.use)
        if holder in self.number_by_holder:
            held = self.held_by_budget[bill.budget]
            held[holder] = held.get(holder, 0) - bill.tokens
            self._note_use(bill, holder)
        else:
            self._move_from_unsettled(bill.budget, bill.tokens)
        self.check(bill.budget)

    def view(self, budget: str, reason: str = "") -> BudgetView:
        """Returns the budget as operators see it.

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
        """Asserts that no token is counted twice."""
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
