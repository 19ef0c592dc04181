"""The grants of one log partition: reads, appends and waiting calls."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget.announcer import LimitAnnouncer
from chicorystack.budget.borrower import Borrower
from chicorystack.budget.grant_queue import (
    GrantError,
    GrantQueue,
    WaitingCall,
)
from chicorystack.budget.grant_records import (
    GrantLedger,
    GrantReservation,
    split_key,
)
from chicorystack.budget.grants import ProcessGrants
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


class _ConditionalAppend(NamedTuple):
    """Records to append if the partition ends where expected.

    Attributes:
        records: The records.
        expected_end: Offset at which the partition must end.
    """

    records: list[KeyedRecord]
    expected_end: int


class GrantPartition:
    """Reads and writes the grants of one partition's customers."""

    def __init__(
        self,
        clock,
        log: KeyedLog,
        partition: Partition,
        grants: ProcessGrants,
        borrower: Borrower,
        announcer: LimitAnnouncer,
        router_count: Callable[[], int],
    ):
        self._clock = clock
        self._log = log
        self._partition = partition
        self._grants = grants
        self._borrower = borrower
        self._announcer = announcer
        self._router_count = router_count
        self._ledger = GrantLedger()
        self._era = 0
        self._customers: list[str] = []
        self._queue = GrantQueue(grants)
        # Customers for whose waiting calls tokens are being announced or
        # borrowed.
        self._asking: set[str] = set()
        self._running = False
        self._review_again = False
        # Whether the partition may have new records since the last read.
        self._stale = False
        # Whether the partition has been read to its end in this review.
        self._read_in_review = False
        # An append that was not acknowledged and may still take effect.
        self._unconfirmed: _ConditionalAppend | None = None
        self._consecutive_failures = 0

    @property
    def store_lost(self) -> bool:
        """Whether several calls to the store have failed in a row."""
        return self._consecutive_failures >= defaults.STORE_LOST_AFTER_FAILURES

    def set_customers(self, customers: list[str]) -> None:
        """Sets the customers that belong to the partition."""
        self._customers = customers

    def reread(self) -> None:
        """Starts a review that first reads the partition."""
        self._stale = True
        self._review_again = True
        self.review()

    async def reserve(
        self, customer: str, tokens: int, deadline: float
    ) -> GrantReservation:
        """Reserves tokens; see GrantClient.reserve."""
        account = self._grants.account_by_customer[customer]
        if not account.wanted and account.reserve(tokens):
            if account.should_announce_ahead:
                self._announcer.announce_soon()
            return GrantReservation(customer, tokens)
        if (
            self.store_lost
            and tokens > account.free_if_announced
            and not self._borrower.may_borrow(customer)
        ):
            raise GrantError(
                f"not enough tokens for {customer}: {tokens} requested, "
                f"{account.free} free of {account.granted} granted, "
                f"{account.in_use} in use; the store is unreachable and no "
                f"other router could lend enough",
                exhausted=False,
                retry_after_s=account.estimate_wait_s(tokens),
            )
        call = self._queue.add(customer, tokens)
        timer = self._clock.callLater(
            max(0.0, deadline - self._clock.seconds()),
            self._refuse_no_grant,
            call,
        )
        if account.lacks_announcement:
            self._ask(customer, self._announce_and_obtain)
        else:
            self._obtain(customer)
        try:
            await call.ready
        finally:
            if timer.active():
                timer.cancel()
            self._queue.remove(call)
        return GrantReservation(customer, tokens)

    def _obtain(self, customer: str) -> None:
        """Starts to obtain the tokens that waiting calls lack."""
        if self._consecutive_failures:
            self._borrow_for_queue()
        if self._borrower.has_near_holder(customer):
            self._ask(customer, self._borrow_or_review)
        else:
            self.review()

    async def _announce_and_obtain(self, customer: str) -> None:
        """Announces a higher limit for waiting calls.

        Obtains more tokens if the calls still lack some.
        """
        account = self._grants.account_by_customer[customer]
        try:
            while account.lacks_announcement:
                free = account.free
                await self._announcer.announce()
                self._queue.serve()
                if account.free <= free:
                    break
        finally:
            self._asking.discard(customer)
        if self._queue.calls(customer):
            self._obtain(customer)

    def review(self) -> None:
        """Starts to write the records that are due.

        If a review is running already, another one follows it.
        """
        if not self._customers:
            return
        self._review_again = True
        if self._running:
            return
        self._running = True
        reviewing = defer.ensureDeferred(self._run_reviews())
        reviewing.addErrback(_log_failure, self._partition)

    def is_low(self, customer: str) -> bool:
        """Returns whether the records read show that a budget runs low."""
        account = self._grants.account_by_customer[customer]
        left = account.prepaid - self._ledger.committed(customer)
        return left < account.prepaid * defaults.GRANT_LOW_FRACTION

    async def release_unused(self) -> None:
        """Releases the unused tokens; no calls may arrive from now on."""
        self.review()
        while self._running:
            await task.deferLater(
                self._clock, defaults.GRANT_RELEASE_CHECK_INTERVAL_S
            )

    async def _run_reviews(self) -> None:
        try:
            while self._review_again:
                self._review_again = False
                self._read_in_review = False
                while await self._run_step():
                    pass
        finally:
            self._running = False

    async def _run_step(self) -> bool:
        """Reads if necessary, then writes; returns whether to do so again."""
        self._note_era()
        try:
            if self._ledger.end is None or self._stale:
                await self._read_log()
                if self._ledger.end is None:
                    return True
                await self._ask_about_predecessors()
            return await self._append_records()
        except ConflictError:
            # An unacknowledged append, if any, has now failed or taken effect;
            # the following read shows which.
            self._stale = True
            delay_s = random.uniform(0, self._conflict_delay_s())
        except HistoryGoneError:
            self._ledger.end = None
            return True
        except StoreError as error:
            delay_s = self._handle_failure(error)
        await task.deferLater(self._clock, delay_s)
        return True

    def _note_era(self) -> bool:
        """Notes the store's era; returns whether a new one has begun.

        All that has been read is then of the past: the partition is read again
        from its newest records.
        """
        before, self._era = self._era, self._log.era
        self._grants.store_era = self._era
        if before in (0, self._era):
            return False
        emit(
            "budget", "new_era", partition=self._partition.number,
            before=before, now=self._era, end=self._ledger.end,
        )  # fmt: skip
        self._unconfirmed = None
        self._ledger.enter_era()
        self._grants.enter_era()
        asking = defer.ensureDeferred(self._ask_for_grants())
        asking.addErrback(_log_failure, self._partition)
        return True

    async def _ask_for_grants(self) -> None:
        """Asks all routers what they hold.

        A router that cannot reach the store may hold tokens of which the store
        has lost the record, and which nobody else has read.
        """
        for key, record in await self._borrower.fetch_grants():
            customer, _ = split_key(key)
            if customer in self._customers:
                self._ledger.add_earlier(key, record)

    async def _ask_about_predecessors(self) -> None:
        """Asks witnesses how much earlier processes of this VM can have used.

        The terms of a predecessor may also appear late, if an append of it has
        been delayed.
        """
        records = self._grants.predecessors_records(
            self._ledger, self._customers
        )
        if records:
            await self._announcer.ask_about_predecessors(records)

    def _conflict_delay_s(self) -> float:
        """Returns the longest delay after another router's append came first.

        If no call is waiting, it grows with the number of routers, so that
        routers with waiting calls are likely to append first.
        """
        if self._queue:
            return defaults.GRANT_CONFLICT_DELAY_MAX_S
        return defaults.GRANT_CONFLICT_DELAY_S_PER_ROUTER * self._router_count()

    async def _read_log(self) -> None:
        if self._ledger.end is None:
            found = await self._log.read_newest(self._partition)
            if self._note_era():
                return
            self._ledger.load(found.records, found.end)
        else:
            start = self._ledger.end
            found = await self._log.read(self._partition, start, 0.0)
            if self._note_era():
                return
            self._ledger.apply(found.records, found.end)
        self._stale = False
        self._read_in_review = True
        self._handle_success()
        self._apply_ledger()

    async def _append_records(self) -> bool:
        unconfirmed = self._unconfirmed
        append = self._next_append()
        if append is None:
            return self._finish_review()
        try:
            offset = await self._log.append(
                self._partition, append.records, append.expected_end
            )
        except ConflictError:
            self._unconfirmed = None
            raise
        except StoreError as error:
            if error.maybe_done or append is unconfirmed:
                self._unconfirmed = append
            raise
        self._unconfirmed = None
        if self._note_era():
            return True
        self._stale = False
        self._read_in_review = True
        self._handle_success()
        self._ledger.apply(append.records, offset + len(append.records))
        self._apply_ledger()
        self._log_grants(append.records)
        return bool(self._queue)

    def _next_append(self) -> "_ConditionalAppend | None":
        """Returns the next append; None if no record is due.

        An unacknowledged append may take effect as long as the partition still
        ends where it expects, so it is sent again until one of the two copies
        has taken effect.
        """
        unconfirmed = self._unconfirmed
        if (
            unconfirmed is not None
            and unconfirmed.expected_end == self._ledger.end
        ):
            return unconfirmed
        self._unconfirmed = None
        records = self._grants.due_records(
            self._ledger, self._customers, max(1, self._router_count())
        )
        due = list(records)
        return _ConditionalAppend(due, self._ledger.end) if due else None

    def _finish_review(self) -> bool:
        """Handles a step with no record due; returns whether to go on.

        Waiting calls are refused only after a read in the same review.
        """
        if not self._queue:
            return False
        if self._read_in_review:
            self._handle_unservable()
            return False
        self._stale = True
        return True

    def _apply_ledger(self) -> None:
        self._grants.update_from_ledger(self._ledger)
        self._queue.serve()

    def _ask(
        self, customer: str, ask: Callable[[str], Awaitable[None]]
    ) -> None:
        """Starts to ask other routers for a customer, if not begun."""
        if customer in self._asking:
            return
        self._asking.add(customer)
        asking = defer.ensureDeferred(ask(customer))
        asking.addErrback(_log_failure, self._partition)

    async def _borrow_or_review(self, customer: str) -> None:
        """Borrows from the holders of the data centre.

        For calls that still lack tokens, the router then obtains a grant of its
        own and asks further routers meanwhile: this may be how it learns that
        the store is unreachable.
        """
        borrower = self._borrower
        try:
            if not await borrower.borrow_nearby(customer, self._ledger):
                self.review()
                if borrower.may_borrow(customer):
                    await borrower.borrow(customer, self._ledger)
        finally:
            self._asking.discard(customer)
        self._queue.serve()

    def _borrow_for_queue(self) -> None:
        """Starts to borrow the tokens that waiting calls lack."""
        for customer in self._queue.customers():
            self._ask(customer, self._borrow)

    async def _borrow(self, customer: str) -> None:
        """Borrows tokens for a customer; refuses the calls still unserved.

        They keep waiting if calls to the store have failed, but too few in a
        row for the store to count as lost.
        """
        try:
            if self._borrower.may_borrow(customer):
                await self._borrower.borrow(customer, self._ledger)
        finally:
            self._asking.discard(customer)
        self._queue.serve()
        for call in self._queue.calls(customer):
            if self.store_lost:
                self._refuse_no_grant(call)
            elif not self._consecutive_failures:
                self._refuse_no_tokens(call)

    def _handle_unservable(self) -> None:
        """Refuses calls that the budget cannot cover; borrows for the rest."""
        for call in self._queue.calls():
            if call.tokens > self._max_remaining(call.customer):
                self._refuse_no_tokens(call)
        self._borrow_for_queue()

    def _max_remaining(self, customer: str) -> int:
        """Returns the most tokens that can be left of a budget."""
        account = self._grants.account_by_customer[customer]
        return account.prepaid - self._ledger.spent(customer)

    def _refuse_no_tokens(self, call: WaitingCall) -> None:
        left = self._max_remaining(call.customer)
        prepaid = self._grants.account_by_customer[call.customer].prepaid
        error = GrantError(
            f"{call.tokens} tokens are not available; at most "
            f"{left} of {prepaid} are left",
            exhausted=call.tokens > left,
            retry_after_s=defaults.GRANT_EXHAUSTED_RETRY_S,
        )
        self._queue.refuse(call, error)

    def _refuse_no_grant(self, call: WaitingCall) -> None:
        account = self._grants.account_by_customer[call.customer]
        wait_s = account.estimate_wait_s(call.tokens)
        error = GrantError("no tokens were granted in time", False, wait_s)
        self._queue.refuse(call, error)

    def _handle_failure(self, error: StoreError) -> float:
        """Counts a failed call; returns the seconds until the next one."""
        self._consecutive_failures += 1
        self._stale = True
        # The limit may have risen in the meantime.
        self._queue.serve()
        if self._consecutive_failures == defaults.STORE_LOST_AFTER_FAILURES:
            emit(
                "budget", "store_lost", partition=self._partition.number,
                reason=str(error), waiting=len(self._queue),
            )  # fmt: skip
        self._borrow_for_queue()
        return backoff_delay(
            self._consecutive_failures, defaults.STORE_RETRY_MAX_S
        )

    def _handle_success(self) -> None:
        if self.store_lost:
            emit("budget", "store_regained", partition=self._partition.number)
        self._consecutive_failures = 0

    def _prepaid_by_customer(self) -> dict[str, int]:
        return {
            customer: self._grants.account_by_customer[customer].prepaid
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
