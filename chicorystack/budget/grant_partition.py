"""The grants of one partition: reads, appends, and calls that wait."""

import random
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget.grant_queue import (
    GrantError,
    GrantQueue,
    WaitingCall,
)
from chicorystack.budget.grant_records import GrantLedger, GrantReservation
from chicorystack.budget.grants import GrantBook
from chicorystack.budget.loans import Borrower
from chicorystack.observe.events import emit
from chicorystack.store.keyed_log import (
    ConflictError,
    HistoryGoneError,
    KeyedLog,
    KeyedRecord,
    Partition,
    StoreError,
)
from chicorystack.util import backoff_delay


class _Append(NamedTuple):
    """An append under a condition.

    Attributes:
        records: The records.
        start: Offset at which the partition has to end.
    """

    records: list[KeyedRecord]
    start: int


class GrantPartition:
    """The grants of the customers of one partition."""

    def __init__(
        self,
        clock,
        log: KeyedLog,
        partition: Partition,
        book: GrantBook,
        borrower: Borrower,
        routers: Callable[[], int],
    ):
        self._clock = clock
        self._log = log
        self._partition = partition
        self._book = book
        self._borrower = borrower
        self._routers = routers
        self._ledger = GrantLedger()
        self._customers: list[str] = []
        self._queue = GrantQueue(book)
        # Customers whose waiting calls are helped by other routers just now.
        self._borrowing: set[str] = set()
        self._busy = False
        self._again = False
        # Whether the partition may have grown since it was read.
        self._stale = False
        # Whether it has been read in the round under way.
        self._verified = False
        # Records whose append had no answer, and where they may stand yet.
        self._unanswered: _Append | None = None
        self._failures = 0

    @property
    def store_lost(self) -> bool:
        """Whether the store has not answered for a while."""
        return self._failures >= defaults.STORE_LOST_AFTER_FAILURES

    def set_customers(self, customers: list[str]) -> None:
        """Takes over which customers belong to the partition."""
        self._customers = customers

    def reread(self) -> None:
        """Reads the partition before the next decision."""
        self._stale = True
        self._again = True
        self.review()

    async def reserve(
        self, customer: str, tokens: int, give_up_at: float
    ) -> GrantReservation:
        """Sets tokens aside; raises GrantError."""
        account = self._book.account_by_customer[customer]
        if not account.wanted and account.reserve(tokens):
            return GrantReservation(customer, tokens)
        if self.store_lost and not self._borrower.may_ask(customer):
            raise GrantError(
                f"{customer} lacks tokens here, the store does not answer and "
                f"no other router has any; {tokens} asked, {account.free} "
                f"free of {account.granted} granted, {account.in_use} in use",
                exhausted=False,
                retry_after_s=account.wait_s(tokens),
            )
        call = self._queue.add(customer, tokens)
        timer = self._clock.callLater(
            max(0.0, give_up_at - self._clock.seconds()), self._give_up, call
        )
        if self._failures:
            self._borrow_for_queue()
        self.review()
        try:
            await call.turn
        finally:
            if timer.active():
                timer.cancel()
            self._queue.remove(call)
        return GrantReservation(customer, tokens)

    def review(self) -> None:
        """Writes what is due, unless a call to the store is under way."""
        if not self._customers:
            return
        self._again = True
        if self._busy:
            return
        self._busy = True
        running = defer.ensureDeferred(self._run())
        running.addErrback(_log_failure, self._partition)

    def is_short(self, customer: str) -> bool:
        """Tells whether little of a budget is left, as far as is known."""
        account = self._book.account_by_customer[customer]
        left = account.prepaid - self._ledger.committed(customer)
        return left < account.prepaid * defaults.GRANT_SHORT_PART

    async def give_back(self) -> None:
        """Returns what is not in use, once no more calls come."""
        self.review()
        while self._busy:
            await task.deferLater(self._clock, defaults.GIVE_BACK_CHECK_S)

    async def _run(self) -> None:
        try:
            while self._again:
                self._again = False
                self._verified = False
                while await self._step():
                    pass
        finally:
            self._busy = False

    async def _step(self) -> bool:
        """Makes one round; returns whether another is due at once."""
        try:
            if self._ledger.end is None or self._stale:
                await self._read()
            return await self._write()
        except ConflictError:
            # A conflict says that the append without an answer has failed,
            # or that it stands; the read that follows tells which.
            self._stale = True
            delay_s = random.uniform(0, self._conflict_delay_s())
        except HistoryGoneError:
            self._ledger.end = None
            return True
        except StoreError as error:
            delay_s = self._note_failure(error)
        await task.deferLater(self._clock, delay_s)
        return True

    def _conflict_delay_s(self) -> float:
        """Returns the longest pause after another router was faster.

        Records that no call waits for leave the way to others.
        """
        if self._queue:
            return defaults.GRANT_CONFLICT_DELAY_MAX_S
        return defaults.GRANT_CONFLICT_DELAY_S_PER_ROUTER * self._routers()

    async def _read(self) -> None:
        if self._ledger.end is None:
            found = await self._log.read_newest(self._partition)
            self._ledger.load(found.records, found.end)
        else:
            start = self._ledger.end
            found = await self._log.read(self._partition, start, 0.0)
            self._ledger.apply(found.records, found.end)
        self._stale = False
        self._verified = True
        self._note_reached()
        self._take_ledger()

    async def _write(self) -> bool:
        unanswered = self._unanswered
        append = self._next_append()
        if append is None:
            return self._end_round()
        try:
            offset = await self._log.append(
                self._partition, append.records, append.start
            )
        except ConflictError:
            self._unanswered = None
            raise
        except StoreError as error:
            if error.maybe_done or append is unanswered:
                self._unanswered = append
            raise
        self._unanswered = None
        self._stale = False
        self._verified = True
        self._note_reached()
        self._ledger.apply(append.records, offset + len(append.records))
        self._take_ledger()
        self._log_grants(append.records)
        return bool(self._queue)

    def _next_append(self) -> "_Append | None":
        """Returns what to append.

        An append without an answer may still take effect while the partition
        ends where it did, so it is sent again until one of the two has.
        """
        waiting = self._unanswered
        if waiting is not None and waiting.start == self._ledger.end:
            return waiting
        self._unanswered = None
        records = self._book.records(
            self._ledger, self._customers, max(1, self._routers())
        )
        found = list(records)
        return _Append(found, self._ledger.end) if found else None

    def _end_round(self) -> bool:
        """Refuses calls that a fresh ledger has no tokens for."""
        if not self._queue:
            return False
        if self._verified:
            self._refuse_hopeless()
            return False
        self._stale = True
        return True

    def _take_ledger(self) -> None:
        self._book.take_ledger(self._ledger)
        self._queue.serve()

    def _borrow_for_queue(self) -> None:
        """Asks other routers for what waiting calls lack."""
        for customer in self._queue.customers():
            if customer in self._borrowing:
                continue
            self._borrowing.add(customer)
            running = defer.ensureDeferred(self._borrow(customer))
            running.addErrback(_log_failure, self._partition)

    async def _borrow(self, customer: str) -> None:
        """Refuses calls that neither the store nor other routers can help."""
        try:
            if self._borrower.may_ask(customer):
                await self._borrower.borrow(customer, self._ledger)
        finally:
            self._borrowing.discard(customer)
        self._queue.serve()
        for call in self._queue.calls(customer):
            if self.store_lost:
                self._give_up(call)
            elif not self._failures:
                self._refuse_short(call)

    def _refuse_hopeless(self) -> None:
        """Deals with calls for which a fresh ledger has no tokens left."""
        for call in self._queue.calls():
            if call.tokens > self._certainly_left(call.customer):
                self._refuse_short(call)
        self._borrow_for_queue()

    def _certainly_left(self, customer: str) -> int:
        """Returns the most that may be left of a budget."""
        account = self._book.account_by_customer[customer]
        return account.prepaid - self._ledger.spent(customer)

    def _refuse_short(self, call: WaitingCall) -> None:
        left = self._certainly_left(call.customer)
        prepaid = self._book.account_by_customer[call.customer].prepaid
        error = GrantError(
            f"{call.tokens} tokens are not to be had; at most "
            f"{left} of {prepaid} are left",
            exhausted=call.tokens > left,
            retry_after_s=defaults.GRANT_SHORT_RETRY_S,
        )
        self._queue.refuse(call, error)

    def _give_up(self, call: WaitingCall) -> None:
        account = self._book.account_by_customer[call.customer]
        wait_s = account.wait_s(call.tokens)
        error = GrantError("no grant came in time", False, wait_s)
        self._queue.refuse(call, error)

    def _note_failure(self, error: StoreError) -> float:
        self._failures += 1
        self._stale = True
        # Terms may have grown meanwhile.
        self._queue.serve()
        if self._failures == defaults.STORE_LOST_AFTER_FAILURES:
            emit(
                "budget", "store_lost", partition=self._partition.number,
                reason=str(error), waiting=len(self._queue),
            )  # fmt: skip
        self._borrow_for_queue()
        return backoff_delay(self._failures, defaults.STORE_RETRY_MAX_S)

    def _note_reached(self) -> None:
        if self.store_lost:
            emit("budget", "store_regained", partition=self._partition.number)
        self._failures = 0

    def _prepaid_by_customer(self) -> dict[str, int]:
        return {
            customer: self._book.account_by_customer[customer].prepaid
            for customer in self._customers
        }

    def _log_grants(self, records: list[KeyedRecord]) -> None:
        emit(
            "budget",
            "granted",
            partition=self._partition.number,
            end=self._ledger.end,
            prepaid=self._prepaid_by_customer(),
            records={r.key: r.value.decode() for r in records},
        )


def _log_failure(failure, partition: Partition) -> None:
    emit(
        "budget", "failed", partition=partition.number,
        reason=failure.getTraceback(),
    )  # fmt: skip
