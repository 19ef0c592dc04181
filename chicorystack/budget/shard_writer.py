"""Appends a keeper's records: one at a time, in batches, at a bounded rate."""

from collections.abc import Callable
from typing import Protocol

from twisted.internet import defer

from chicorystack.budget.keeper import Demand, ShardKeeper
from chicorystack.budget.messages import (
    EpochSettled,
    Exchange,
    LedgerBatch,
    Usage,
    shard_stream,
)
from chicorystack.errors import ApiError
from chicorystack.observe.logs import part_logger
from chicorystack.util import new_id

log = part_logger("keeper")


class Journal(Protocol):
    """Appends to a stream and reads what it appended."""

    async def append_and_read(
        self, stream: str, make_record: Callable[[], object]
    ) -> None:
        """Appends a record when its turn comes.

        Returns once the record was delivered to this process' reader.
        """


class _Batch:
    """What the next record will hold.

    Attributes:
        bill_by_key: Calls to bill.
        demand_by_place: Wishes by holder and budget.
        router_by_holder: Holders to make known.
        void_holders: Holders to give up.
        waiters: Those who wait until it has been read back.
    """

    def __init__(self):
        self.bill_by_key: dict[str, Usage] = {}
        self.demand_by_place: dict[tuple[str, str], Demand] = {}
        self.router_by_holder: dict[str, str] = {}
        self.void_holders: list[str] = []
        self.waiters: list[defer.Deferred[None]] = []

    def add(self, keeper: ShardKeeper, message: Exchange) -> bool:
        """Adds what a message calls for; tells whether that is anything."""
        added = self.add_bills(keeper, message["usage"])
        holder = message["holder"]
        for budget, wanted in message["wanted"].items():
            if keeper.free(budget) < wanted <= keeper.remaining(budget):
                demand = Demand(holder, budget, wanted)
                self.demand_by_place[holder, budget] = demand
                added = True
        for budget in message["low"]:
            if keeper.needs_more_committed(holder, budget):
                demand = Demand(holder, budget, 0)
                self.demand_by_place[holder, budget] = demand
                added = True
        if message["wanted"] and holder not in keeper.ledger.router_by_holder:
            self.router_by_holder[holder] = message["router"]
            added = True
        return added

    def add_bills(self, keeper: ShardKeeper, usage: list[Usage]) -> bool:
        """Adds runs whose keys are not billed; tells whether there are any."""
        bills = keeper.new_bills(usage)
        for run in bills:
            self.bill_by_key.setdefault(run.key, run)
        return bool(bills)


class ShardWriter:
    """Writes one keeper's records in one epoch."""

    def __init__(self, journal: Journal, keeper: ShardKeeper):
        self._journal = journal
        self._keeper = keeper
        self._stream = shard_stream(keeper.ledger.shard)
        self._lock = defer.DeferredLock()
        self._open = _Batch()
        self._number = 0

    async def write(self, message: Exchange) -> None:
        """Returns once all that a message calls for has been read back.

        Whoever waits may be cancelled; the batch goes on.

        Raises:
            ApiError: `not_keeper` where a newer epoch came first.
        """
        if self._open.add(self._keeper, message):
            await self._written()

    async def write_bills(self, usage: list[Usage]) -> None:
        """Returns once the usage has been billed; raises as `write` does."""
        if self._open.add_bills(self._keeper, usage):
            await self._written()

    async def give_up(self, holders: list[str]) -> None:
        """Makes holders void for good; raises as `write` does."""
        self._open.void_holders.extend(holders)
        await self._written()

    async def settle(
        self, closed: int, stranded: dict[str, int], reason: str
    ) -> None:
        """Ends the settlement of closed epochs; raises as `write` does."""
        holders = list(self._keeper.ledger.void_holders)

        def make_record() -> EpochSettled:
            return EpochSettled(
                kind="epoch_settled",
                id=new_id(),
                epoch=self._keeper.epoch,
                number=self._next_number(),
                closed=closed,
                holders=holders,
                stranded=stranded,
                reason=reason,
            )

        await self._lock.run(self._append, make_record)
        self._require_current()

    async def _written(self) -> None:
        """Waits until the open batch has been read back."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._open.waiters.append(waiter)
        if len(self._open.waiters) == 1:
            flushing = self._lock.run(self._flush)
            flushing.addErrback(_log_failure)
        await waiter
        self._require_current()

    def _flush(self) -> defer.Deferred[None]:
        batch: list[_Batch] = []

        def make_record() -> LedgerBatch:
            # Closed as late as possible, so that it takes all that came.
            batch.append(self._open)
            self._open = _Batch()
            return self._record(batch[0])

        def wake(result):
            for waiter in batch[0].waiters:
                if not waiter.called:
                    waiter.callback(None)
            return result

        return self._append(make_record).addBoth(wake)

    def _append(self, make_record) -> defer.Deferred[None]:
        return defer.ensureDeferred(
            self._journal.append_and_read(self._stream, make_record)
        )

    def _record(self, batch: _Batch) -> LedgerBatch:
        record = LedgerBatch(
            kind="ledger_batch",
            id=new_id(),
            epoch=self._keeper.epoch,
            number=self._next_number(),
            committed=self._keeper.required_commitments(
                batch.demand_by_place.values()
            ),
            bills=list(batch.bill_by_key.values()),
        )
        if batch.router_by_holder:
            record["router_by_holder"] = batch.router_by_holder
        if batch.void_holders:
            record["void_holders"] = batch.void_holders
        return record

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _require_current(self) -> None:
        if not self._keeper.is_current:
            raise ApiError(
                "not_keeper", "this router no longer keeps the shard"
            )


def _log_failure(failure) -> None:
    if not failure.check(defer.CancelledError):
        log.error("a batch could not be written: {}", failure.value)
