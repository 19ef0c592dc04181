"""Folds a shard's stream into its state: the same at every reader."""

from collections.abc import Callable
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.budget.messages import (
    CustomerCreated,
    KeeperClaimed,
    LedgerBatch,
    ToppedUp,
    Usage,
    decode_record,
)
from chicorystack.observe.invariants import require
from chicorystack.platform.messages import LogEntry
from chicorystack.util import budget_id


class BudgetState(NamedTuple):
    """A budget as the log has it, in tokens.

    Attributes:
        topped_up: Sum of the top-ups.
        committed: Upper bound on tokens billed or held by anyone.
        billed: Sum of the bills.
    """

    topped_up: int = 0
    committed: int = 0
    billed: int = 0


class BillMark(NamedTuple):
    """What is remembered of a bill.

    Attributes:
        time: Log time of the bill, in seconds since 1970.
        use: Id of the run that was billed.
    """

    time: float
    use: str


class ShardLedger:
    """The state of one shard, as far as its stream has been read.

    Attributes:
        epoch: Epoch in force; 0 before the first keeper.
        claim: The record that began the epoch.
        budget_by_id: Budgets by `customer/budget`.
        customer_by_name: Customers by name.
        bill_by_key: Bills by the hash of the call's key, in the order of the
            log; only those within the window.
    """

    def __init__(self, shard: int):
        self.shard = shard
        self.epoch = 0
        self.claim: KeeperClaimed | None = None
        self.budget_by_id: dict[str, BudgetState] = {}
        self.customer_by_name: dict[str, CustomerCreated] = {}
        self.bill_by_key: dict[str, BillMark] = {}
        self._top_up_ids: set[str] = set()
        self._bill_listener: Callable[[Usage], None] | None = None
        self._apply_by_kind = {
            "customer_created": self._apply_customer,
            "topped_up": self._apply_top_up,
            "keeper_claimed": self._apply_claim,
            "ledger_batch": self._apply_batch,
        }

    def apply(self, entry: LogEntry) -> None:
        """Takes the next entry of the stream."""
        record = decode_record(entry["record"])
        self._forget_old_bills(entry["time"])
        self._apply_by_kind[record["kind"]](record, entry["time"])

    def on_bill(self, listener: Callable[[Usage], None] | None) -> None:
        """Calls listener once for each bill from now on."""
        self._bill_listener = listener

    def budget(self, budget: str) -> BudgetState:
        """Returns a budget's state; an unknown one is empty."""
        return self.budget_by_id.get(budget, BudgetState())

    def _apply_customer(self, record: CustomerCreated, _time: float) -> None:
        self.customer_by_name[record["customer"]] = record

    def _apply_top_up(self, record: ToppedUp, _time: float) -> None:
        if record["id"] in self._top_up_ids:
            return
        self._top_up_ids.add(record["id"])
        budget = budget_id(record["customer"], record["budget"])
        state = self.budget(budget)
        topped_up = state.topped_up + record["tokens"]
        self.budget_by_id[budget] = state._replace(topped_up=topped_up)

    def _apply_claim(self, record: KeeperClaimed, _time: float) -> None:
        if record["epoch"] != self.epoch + 1:
            return
        self.epoch = record["epoch"]
        self.claim = record

    def _apply_batch(self, record: LedgerBatch, time: float) -> None:
        if record["epoch"] != self.epoch:
            return
        for budget, committed in record["committed"].items():
            state = self.budget(budget)
            self.budget_by_id[budget] = state._replace(committed=committed)
        for bill in record["bills"]:
            self._apply_bill(bill, time)

    def _apply_bill(self, bill: Usage, time: float) -> None:
        if bill.key in self.bill_by_key:
            return
        self.bill_by_key[bill.key] = BillMark(time, bill.use)
        state = self.budget(bill.budget)
        billed = state.billed + bill.tokens
        require(
            "billed_within_budget",
            billed <= state.committed <= state.topped_up,
            f"{bill.budget}: billed {billed} of {state}",
        )
        self.budget_by_id[bill.budget] = state._replace(billed=billed)
        if self._bill_listener is not None:
            self._bill_listener(bill)

    def _forget_old_bills(self, now: float) -> None:
        while self.bill_by_key:
            key = next(iter(self.bill_by_key))
            if self.bill_by_key[key].time > now - defaults.KEY_WINDOW_S:
                return
            del self.bill_by_key[key]
