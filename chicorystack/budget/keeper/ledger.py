"""State of a shard, replayed from its stream in the log.

Replay is deterministic: all readers of the same entries have the same state.
"""

from collections.abc import Callable
from typing import NamedTuple, TypedDict

from chicorystack import defaults
from chicorystack.budget.keeper.messages import (
    CustomerCreated,
    EpochSettled,
    KeeperClaimed,
    LedgerBatch,
    ToppedUp,
    Usage,
    decode_record,
)
from chicorystack.infrastructure.messages import LogEntry
from chicorystack.observe.invariants import require
from chicorystack.util import budget_id


class BudgetState(NamedTuple):
    """State of a budget by the log, in tokens.

    Attributes:
        topped_up: Sum of the top-ups.
        committed: Upper bound on the tokens billed, stranded or held.
        billed: Sum of the bills.
        stranded: Tokens that could not be settled and stay counted as spent.
    """

    topped_up: int = 0
    committed: int = 0
    billed: int = 0
    stranded: int = 0

    @property
    def outstanding(self) -> int:
        """Tokens committed that are neither billed nor stranded."""
        return self.committed - self.billed - self.stranded


class BilledRun(NamedTuple):
    """A billed run, kept to detect further reports and runs of its key.

    Attributes:
        time: When the run was billed, in seconds by the clock of the window
            of bills.
        use: Id of the run that was billed.
    """

    time: float
    use: str


class LedgerState(TypedDict):
    """Full state of a shard; see ShardLedger for the fields not listed here.

    Attributes:
        last_number: Sequence number of the newest keeper's record applied in
            the epoch.
        window_time: Time of the newest entry, in seconds by the clock of the
            window of bills.
        last_time: Log time of the newest entry.
        time_by_operator_record: Log times of operators' records, by id.
    """

    epoch: int
    claim: KeeperClaimed | None
    budget_by_id: dict[str, BudgetState]
    customer_by_name: dict[str, CustomerCreated]
    bill_by_key: dict[str, BilledRun]
    router_by_holder: dict[str, str]
    void_holders: list[str]
    settled_epoch: int
    closures_offset_by_epoch: dict[int, int]
    stranded_reason: str
    last_number: int
    window_time: float
    last_time: float
    time_by_operator_record: dict[str, float]


EMPTY_STATE = LedgerState(
    epoch=0,
    claim=None,
    budget_by_id={},
    customer_by_name={},
    bill_by_key={},
    router_by_holder={},
    void_holders=[],
    settled_epoch=0,
    closures_offset_by_epoch={},
    stranded_reason="",
    last_number=0,
    window_time=0.0,
    last_time=0.0,
    time_by_operator_record={},
)


class ShardLedger:
    """The state of one shard, as far as its stream has been read.

    Attributes:
        shard: Number of the shard.
        epoch: Current epoch; 0 before the first keeper.
        claim: The record that began the epoch.
        budget_by_id: Budgets by `customer/budget`.
        customer_by_name: Customers by name.
        bill_by_key: Billed runs by the hash of the call's key, in log order;
            only those within the window of bills.
        router_by_holder: VM names of the holders that may hold tokens.
        void_holders: Holders declared void and not yet settled.
        settled_epoch: Newest epoch whose holders are settled.
        closures_offset_by_epoch: Offset up to which the keepers of
            `settled_epoch` and later epochs had read the stream of closures
            when they claimed.
        stranded_reason: Why tokens are stranded, as last recorded.
    """

    def __init__(self, shard: int):
        self.shard = shard
        self._bill_listener: Callable[[Usage], None] | None = None
        self._apply_by_kind = {
            "customer_created": self._apply_customer,
            "topped_up": self._apply_top_up,
            "keeper_claimed": self._apply_claim,
            "ledger_batch": self._apply_batch,
            "epoch_settled": self._apply_settlement,
        }
        self.clear()

    def clear(self) -> None:
        """Resets to the empty state, except for the bill listener."""
        self.load(EMPTY_STATE)

    def load(self, state: "LedgerState") -> None:
        """Replaces the state, for example by that of a snapshot."""
        self.epoch = state["epoch"]
        self.claim = state["claim"]
        self.budget_by_id = dict(state["budget_by_id"])
        self.customer_by_name = dict(state["customer_by_name"])
        self.bill_by_key = dict(state["bill_by_key"])
        self.router_by_holder = dict(state["router_by_holder"])
        self.void_holders = list(state["void_holders"])
        self.settled_epoch = state["settled_epoch"]
        self.closures_offset_by_epoch = dict(state["closures_offset_by_epoch"])
        self.stranded_reason = state["stranded_reason"]
        self._last_number = state["last_number"]
        self._window_time = state["window_time"]
        self._last_time = state["last_time"]
        self._time_by_operator_record = dict(state["time_by_operator_record"])

    def state(self) -> "LedgerState":
        """Returns the full state, for a snapshot."""
        return LedgerState(
            epoch=self.epoch,
            claim=self.claim,
            budget_by_id=self.budget_by_id,
            customer_by_name=self.customer_by_name,
            bill_by_key=self.bill_by_key,
            router_by_holder=self.router_by_holder,
            void_holders=self.void_holders,
            settled_epoch=self.settled_epoch,
            closures_offset_by_epoch=self.closures_offset_by_epoch,
            stranded_reason=self.stranded_reason,
            last_number=self._last_number,
            window_time=self._window_time,
            last_time=self._last_time,
            time_by_operator_record=self._time_by_operator_record,
        )

    def apply(self, entry: LogEntry) -> None:
        """Applies the next entry of the stream."""
        record = decode_record(entry["record"])
        self._advance_window(entry["time"])
        self._expire_bills()
        self._expire_operator_records()
        self._apply_by_kind[record["kind"]](record)

    def on_bill(self, listener: Callable[[Usage], None] | None) -> None:
        """Sets the function to call for each new bill; None removes it."""
        self._bill_listener = listener

    def budget(self, budget: str) -> BudgetState:
        """Returns a budget's state, all zero if the budget is unknown."""
        return self.budget_by_id.get(budget, BudgetState())

    @property
    def oldest_closures_offset(self) -> int:
        """Oldest offset of closures that the next settlement depends on.

        An agent whose memory was lost at or after it may have served runs
        that are not settled yet.
        """
        return min(self.closures_offset_by_epoch.values(), default=0)

    def stale_holders(self, is_listed: Callable[[str], bool]) -> list[str]:
        """Returns holders whose VM is not listed or runs a newer holder."""
        newest = {
            router: holder for holder, router in self.router_by_holder.items()
        }
        return [
            holder
            for holder, router in self.router_by_holder.items()
            if newest[router] != holder or not is_listed(router)
        ]

    def _is_duplicate(self, record: CustomerCreated | ToppedUp) -> bool:
        """Remembers a record's id and returns whether it was known before."""
        if record["id"] in self._time_by_operator_record:
            return True
        self._time_by_operator_record[record["id"]] = self._last_time
        return False

    def _expire_operator_records(self) -> None:
        oldest = self._last_time - defaults.OPERATOR_RECORD_WINDOW_S
        while self._time_by_operator_record:
            record_id = next(iter(self._time_by_operator_record))
            if self._time_by_operator_record[record_id] > oldest:
                return
            del self._time_by_operator_record[record_id]

    def _apply_customer(self, record: CustomerCreated) -> None:
        if self._is_duplicate(record):
            return
        self.customer_by_name[record["customer"]] = record

    def _apply_top_up(self, record: ToppedUp) -> None:
        if self._is_duplicate(record):
            return
        budget = budget_id(record["customer"], record["budget"])
        state = self.budget(budget)
        topped_up = state.topped_up + record["tokens"]
        self.budget_by_id[budget] = state._replace(topped_up=topped_up)

    def _apply_claim(self, record: KeeperClaimed) -> None:
        if record["epoch"] != self.epoch + 1:
            return
        self.epoch = record["epoch"]
        self.claim = record
        self._last_number = 0
        offset = record.get("closures_offset", 0)
        self.closures_offset_by_epoch[self.epoch] = offset

    def _is_stale(self, record: LedgerBatch | EpochSettled) -> bool:
        """Returns whether a record is of an older epoch or a duplicate.

        Advances the number of the newest record if it is neither.
        """
        if record["epoch"] != self.epoch:
            return True
        if record["number"] <= self._last_number:
            return True
        self._last_number = record["number"]
        return False

    def _apply_batch(self, record: LedgerBatch) -> None:
        if self._is_stale(record):
            return
        self.router_by_holder |= record.get("router_by_holder", {})
        for holder in record.get("void_holders", []):
            if self.router_by_holder.pop(holder, None) is not None:
                self.void_holders.append(holder)
        for budget, committed in record["committed"].items():
            state = self.budget(budget)
            require(
                "committed_never_falls",
                state.committed <= committed <= state.topped_up,
                f"{budget}: committed {committed} after {state}",
            )
            self.budget_by_id[budget] = state._replace(committed=committed)
        for bill in record["bills"]:
            self._apply_bill(bill)

    def _apply_settlement(self, record: EpochSettled) -> None:
        if self._is_stale(record):
            return
        self.settled_epoch = record["closed"]
        # The settled epoch's offset is kept as well: a run that its router
        # had not reported yet when it registered may have begun in that epoch.
        self.closures_offset_by_epoch = {
            epoch: offset
            for epoch, offset in self.closures_offset_by_epoch.items()
            if epoch >= self.settled_epoch
        }
        self.void_holders = [
            holder
            for holder in self.void_holders
            if holder not in record["holders"]
        ]
        for budget, tokens in record["stranded"].items():
            state = self.budget(budget)
            self.budget_by_id[budget] = state._replace(
                stranded=state.stranded + tokens
            )
        self.stranded_reason = record["reason"] or self.stranded_reason

    def _apply_bill(self, bill: Usage) -> None:
        if bill.key in self.bill_by_key:
            return
        self.bill_by_key[bill.key] = BilledRun(self._window_time, bill.use)
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

    def _advance_window(self, time: float) -> None:
        """Advances the clock of the window of bills by the log's clock.

        The step per entry is limited, so that bills do not expire in an
        outage: holders that repeat their reports afterwards must not be
        billed twice.
        """
        if self._last_time:
            passed = max(0.0, time - self._last_time)
            self._window_time += min(passed, defaults.BILL_WINDOW_MAX_STEP_S)
        self._last_time = max(self._last_time, time)

    def _expire_bills(self) -> None:
        oldest = self._window_time - defaults.BILL_WINDOW_S
        while self.bill_by_key:
            key = next(iter(self.bill_by_key))
            if self.bill_by_key[key].time > oldest:
                return
            del self.bill_by_key[key]
