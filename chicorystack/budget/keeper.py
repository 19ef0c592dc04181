"""The keeper of one shard: decides who may hold how many tokens.

Everything here is a decision on state in memory; the keeper service does the
appends and the waiting. The rule that makes overspending impossible: tokens
are handed out only below a bound that stands in the log under this keeper's
own epoch, and what an earlier epoch had committed stays out of reach until it
is settled.
"""

from collections import defaultdict

from chicorystack.budget.ledger import ShardLedger
from chicorystack.budget.messages import (
    BudgetView,
    Exchange,
    Usage,
    holder_of_use,
)
from chicorystack.budget.sharing import SharingPolicy
from chicorystack.observe.invariants import require


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
    """

    def __init__(self, ledger: ShardLedger, epoch: int, policy: SharingPolicy):
        self.ledger = ledger
        self.epoch = epoch
        self._policy = policy
        self.held_by_budget: defaultdict[str, dict[str, int]] = defaultdict(
            dict
        )
        self.unsettled_by_budget: dict[str, int] = {
            budget: state.committed - state.billed
            for budget, state in ledger.budget_by_id.items()
            if state.committed > state.billed
        }
        self.number_by_holder: dict[str, int] = {}
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
        return state.committed - state.billed - held - unsettled

    def remaining(self, budget: str) -> int:
        """Returns tokens that nobody holds, committed or not."""
        state = self.ledger.budget(budget)
        return state.topped_up - state.committed + self.free(budget)

    def grant(self, holder: str, budget: str, wanted: int) -> int:
        """Hands out tokens from those committed and free.

        Returns:
            The number of tokens, at least `wanted`, or 0 where more must be
            committed first.
        """
        free = self.free(budget)
        if free < wanted:
            return 0
        size = self._policy.grant_size(self, holder, budget, wanted)
        tokens = max(wanted, min(free, size))
        held = self.held_by_budget[budget]
        held[holder] = held.get(holder, 0) + tokens
        self.check(budget)
        return tokens

    def commit_target(self, holder: str, budget: str, wanted: int) -> int:
        """Returns the bound to append so that `wanted` can be handed out.

        It does not exceed the top-ups; where it equals the present bound the
        budget can't pay.
        """
        state = self.ledger.budget(budget)
        size = self._policy.grant_size(self, holder, budget, wanted)
        lacking = max(0, max(wanted, size) - self.free(budget))
        return min(state.topped_up, state.committed + lacking)

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
        else:
            self._move_from_unsettled(bill.budget, bill.tokens)
        self.check(bill.budget)

    def view(self, budget: str) -> BudgetView:
        """Returns the budget as operators see it."""
        state = self.ledger.budget(budget)
        unsettled = self.unsettled_by_budget.get(budget, 0)
        view = BudgetView(
            budget=budget,
            topped_up=state.topped_up,
            billed=state.billed,
            held=sum(self.held_by_budget[budget].values()),
            unsettled=unsettled,
            free=self.remaining(budget),
        )
        if unsettled:
            view["reason"] = "committed before the present keeper's epoch"
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
