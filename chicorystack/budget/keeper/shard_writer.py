"""Appends a keeper's records, in batches and one append at a time."""

from collections.abc import Callable
from typing import Protocol

from twisted.internet import defer

from chicorystack.budget.keeper.keeper import Demand, ShardKeeper
from chicorystack.budget.keeper.messages import (
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
    """Appends records to streams and reads them back."""

    async def append_and_read(
        self, stream: str, make_record: Callable[[], object]
    ) -> None:
        """Appends a record and waits until this process has read it back.

        Args:
            stream: Name of the stream.
            make_record: Makes the record; called once it may be appended.
        """


class _Batch:
    """Contents of the next batch record.

    Attributes:
        bill_by_key: Runs to bill, by key.
        demand_by_holder_and_budget: Requests for tokens.
        router_by_holder: VM names of the holders to record.
        void_holders: Holders to declare void.
        waiters: Deferreds to fire once the record has been read back.
    """

    def __init__(self):
        self.bill_by_key: dict[str, Usage] = {}
        self.demand_by_holder_and_budget: dict[tuple[str, str], Demand] = {}
        self.router_by_holder: dict[str, str] = {}
        self.void_holders: list[str] = []
        self.waiters: list[defer.Deferred[None]] = []

    def add_exchange(self, keeper: ShardKeeper, message: Exchange) -> bool:
        """Adds what an exchange needs and the log does not contain yet.

        Returns:
            Whether anything was added.
        """
        added = self.add_bills(keeper, message["usage"])
        holder = message["holder"]
        for budget, wanted in message["wanted"].items():
            if keeper.free(budget) < wanted <= keeper.remaining(budget):
                demand = Demand(holder, budget, wanted)
                self.demand_by_holder_and_budget[holder, budget] = demand
                added = True
        for budget in message["low"]:
            if keeper.needs_more_committed(holder, budget):
                demand = Demand(holder, budget, 0)
                self.demand_by_holder_and_budget[holder, budget] = demand
                added = True
        if message["wanted"] and holder not in keeper.ledger.router_by_holder:
            self.router_by_holder[holder] = message["router"]
            added = True
        return added

    def add_bills(self, keeper: ShardKeeper, usage: list[Usage]) -> bool:
        """Adds runs with unbilled keys; returns whether there are any."""
        bills = keeper.new_bills(usage)
        for run in bills:
            self.bill_by_key.setdefault(run.key, run)
        return bool(bills)


class ShardWriter:
    """Writes one keeper's records of one epoch.

    All methods return once the record has been read back, and raise ApiError
    `not_keeper` if a newer epoch came first.
    """

    def __init__(self, journal: Journal, keeper: ShardKeeper):
        self._journal = journal
        self._keeper = keeper
        self._stream = shard_stream(keeper.ledger.shard)
        self._lock = defer.DeferredLock()
        self._open_batch = _Batch()
        self._number = 0

    async def write_exchange(self, message: Exchange) -> None:
        """Writes the bills and commitments that an exchange needs.

        Callers may be cancelled while they wait; the batch is written anyway.
        """
        if self._open_batch.add_exchange(self._keeper, message):
            await self._flush_and_wait()

    async def write_bills(self, usage: list[Usage]) -> None:
        """Writes bills for the usage that is not billed yet."""
        if self._open_batch.add_bills(self._keeper, usage):
            await self._flush_and_wait()

    async def write_void_holders(self, holders: list[str]) -> None:
        """Declares holders void permanently."""
        self._open_batch.void_holders.extend(holders)
        await self._flush_and_wait()

    async def write_settlement(
        self, closed: int, stranded: dict[str, int], reason: str
    ) -> None:
        """Writes the end of the settlement of closed epochs.

        Args:
            closed: Newest epoch that is settled.
            stranded: Tokens to strand, by budget.
            reason: Why these tokens are stranded.
        """
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

    async def _flush_and_wait(self) -> None:
        """Flushes the open batch and waits until it has been read back."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._open_batch.waiters.append(waiter)
        if len(self._open_batch.waiters) == 1:
            flushing = self._lock.run(self._flush)
            flushing.addErrback(_log_failure)
        await waiter
        self._require_current()

    def _flush(self) -> defer.Deferred[None]:
        batch: list[_Batch] = []

        def make_record() -> LedgerBatch:
            # The batch is closed only when its append begins, so that it
            # includes all requests made until then.
            batch.append(self._open_batch)
            self._open_batch = _Batch()
            return self._batch_record(batch[0])

        def notify_waiters(result):
            for waiter in batch[0].waiters:
                if not waiter.called:
                    waiter.callback(None)
            return result

        return self._append(make_record).addBoth(notify_waiters)

    def _append(self, make_record) -> defer.Deferred[None]:
        return defer.ensureDeferred(
            self._journal.append_and_read(self._stream, make_record)
        )

    def _batch_record(self, batch: _Batch) -> LedgerBatch:
        record = LedgerBatch(
            kind="ledger_batch",
            id=new_id(),
            epoch=self._keeper.epoch,
            number=self._next_number(),
            committed=self._keeper.required_commitments(
                batch.demand_by_holder_and_budget.values()
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
                "not_keeper", "this router is no longer the shard's keeper"
            )


def _log_failure(failure) -> None:
    if not failure.check(defer.CancelledError):
        log.error("writing a ledger batch failed: {}", failure.value)
