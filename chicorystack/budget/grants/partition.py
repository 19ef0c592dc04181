"""The grants of one log partition: reads and appends."""

import random
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget.grants.announcer import LimitAnnouncer
from chicorystack.budget.grants.borrower import Borrower
from chicorystack.budget.grants.ledger import GrantLedger
from chicorystack.budget.grants.loans import GrantsReport
from chicorystack.budget.grants.process_grants import ProcessGrants
from chicorystack.budget.grants.records import (
    GrantReservation,
    split_key,
)
from chicorystack.budget.grants.token_search import TokenSearch
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
    """Reads and writes the grants of one partition's customers.

    Attributes:
        ledger: The partition's grants, as read so far.
    """

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
        self.ledger = GrantLedger()
        self._era = 0
        # Whether the partition is still to be read for the first time.
        self._first_read = True
        # Questions to all routers that have not ended; no grant is raised
        # meanwhile.
        self._asking = 0
        self._customers: list[str] = []
        self._search = TokenSearch(clock, grants, borrower, announcer, self)
        self._running = False
        # Number of loans that wait for a grant.
        self._loans_waiting = 0
        # Fire after the next step of a review.
        self._update_waiters: list[defer.Deferred[None]] = []
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

    @property
    def store_failing(self) -> bool:
        """Whether the last call to the store has failed."""
        return self._consecutive_failures > 0

    def set_customers(self, customers: list[str]) -> None:
        """Sets the customers that belong to the partition."""
        self._customers = customers

    def reread(self) -> None:
        """Starts a review that first reads the partition."""
        self._stale = True
        self._review_again = True
        self.review()

    async def reserve(
        self, customer: str, tokens: int, deadline: float, urgent: bool
    ) -> GrantReservation:
        """Reserves tokens; see GrantClient.reserve."""
        return await self._search.reserve(customer, tokens, deadline, urgent)

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
        left = account.prepaid - self.ledger.committed(customer)
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
            self._notify_waiting()

    async def obtain(self, customer: str) -> None:
        """Tries to obtain the tokens that other routers want to borrow.

        Returns once they are free, or no more can be had for now, and after
        CONSOLIDATED_LOAN_WAIT_S at the latest.
        """
        account = self._grants.account_by_customer[customer]
        deadline = self._clock.seconds() + defaults.CONSOLIDATED_LOAN_WAIT_S
        self._loans_waiting += 1
        self.review()
        try:
            while (
                self._running
                and account.free < account.wanted + account.wanted_for_loans
                and self._clock.seconds() < deadline
            ):
                await self._next_update(deadline - self._clock.seconds())
        finally:
            self._loans_waiting -= 1

    def _next_update(self, timeout_s: float) -> "defer.Deferred[None]":
        """Returns a Deferred that fires after the next step, or a timeout."""
        update: defer.Deferred[None] = defer.Deferred()
        self._update_waiters.append(update)
        timer = self._clock.callLater(timeout_s, self._notify, update)

        def cancel_timer(result):
            if timer.active():
                timer.cancel()
            return result

        return update.addBoth(cancel_timer)

    def _notify_waiting(self) -> None:
        for update in list(self._update_waiters):
            self._notify(update)

    def _notify(self, update: "defer.Deferred[None]") -> None:
        self._update_waiters.remove(update)
        update.callback(None)

    async def _run_step(self) -> bool:
        """Reads if necessary, then writes; returns whether to do so again."""
        self._note_era()
        try:
            if self.ledger.end is None or self._stale:
                await self._read_log()
                if self.ledger.end is None:
                    return True
                await self._ask_about_predecessors()
            return await self._append_records()
        except ConflictError:
            # An unacknowledged append, if any, has now failed or taken effect;
            # the following read shows which.
            self._stale = True
            delay_s = random.uniform(0, self._conflict_delay_s())
        except HistoryGoneError:
            self.ledger.end = None
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
            before=before, now=self._era, end=self.ledger.end,
        )  # fmt: skip
        self._unconfirmed = None
        self.ledger.enter_era()
        self._grants.enter_era()
        self._start_asking()
        return True

    def _start_asking(self) -> None:
        self._asking += 1
        asking = defer.ensureDeferred(self._ask_for_grants())
        asking.addErrback(_log_failure, self._partition)
        asking.addCallback(self._on_answered)

    def _on_answered(self, _result) -> None:
        self._asking -= 1
        self.review()

    async def _ask_for_grants(self) -> None:
        """Asks all routers which grants they have seen.

        A router that cannot reach the store may hold tokens of which the store
        has lost the record, and which nobody else has read. What they know of
        routers that are gone they write again themselves; a process that starts
        in that era must not grant it to itself before. It doesn't know the
        other routers yet, either.
        """
        give_up_at = self._clock.seconds() + defaults.GRANT_ERA_SETTLE_S
        answered: set[str] = set()
        while True:
            unasked = [
                name
                for name in self._borrower.peer_names()
                if name not in answered
            ]
            reports = await self._borrower.fetch_grants(unasked, self._era)
            for router, report in reports.items():
                self._add_earlier(report)
                if report.restored:
                    answered.add(router)
            have_all_answered = len(answered) >= self._router_count() - 1
            if have_all_answered or self._clock.seconds() >= give_up_at:
                return
            await task.deferLater(self._clock, defaults.GRANTS_REPORT_RETRY_S)

    def has_restored(self, era: int) -> bool:
        """Returns whether the store has all that this process knows of others.

        Args:
            era: The era of the store for which another process asks.
        """
        if self._first_read:
            return not self.ledger.was_told_before(era)
        others = (
            record
            for record in self.ledger.lost_records()
            if split_key(record.key)[1] != self._grants.router
        )
        return self._era == era and not any(others)

    def _add_earlier(self, report: GrantsReport) -> None:
        for key, record in report.record_by_key.items():
            if self._is_of_partition(key):
                self.ledger.add_earlier(key, record)
        for key, records in report.unread_by_key.items():
            if self._is_of_partition(key):
                for record in records:
                    self.ledger.add_earlier(key, record, told=True)

    def _is_of_partition(self, key: str) -> bool:
        customer, _ = split_key(key)
        return customer in self._customers

    async def _ask_about_predecessors(self) -> None:
        """Asks witnesses how much earlier processes of this VM can have used.

        The terms of a predecessor may also appear late, if an append of it has
        been delayed.
        """
        records = self._grants.predecessors_records(
            self.ledger, self._customers
        )
        if records:
            await self._announcer.ask_about_predecessors(records)

    def _conflict_delay_s(self) -> float:
        """Returns the longest delay after another router's append came first.

        If no call is waiting, it grows with the number of routers, so that
        routers with waiting calls are likely to append first.
        """
        if self._search.waiting or self._loans_waiting:
            return defaults.GRANT_CONFLICT_DELAY_MAX_S
        return defaults.GRANT_CONFLICT_DELAY_S_PER_ROUTER * self._router_count()

    async def _read_log(self) -> None:
        if self.ledger.end is None:
            found = await self._log.read_newest(self._partition)
            if self._note_era():
                return
            self.ledger.load(found.records, found.end)
            self._check_first_read()
        else:
            start = self.ledger.end
            found = await self._log.read(self._partition, start, 0.0)
            if self._note_era():
                return
            self.ledger.apply(found.records, found.end)
        self._stale = False
        self._read_in_review = True
        self._handle_success()
        self._apply_ledger()

    def _check_first_read(self) -> None:
        """Asks the others first if the store may have lost records.

        Only a store that has eras may come back from an older copy.
        """
        first_read, self._first_read = self._first_read, False
        if first_read and self.ledger.keep_told(self._era):
            self._grants.enter_era()
        if (
            first_read
            and self._era
            and self.ledger.may_lack_records(self._grants.router, self._era)
        ):
            self._start_asking()

    async def _append_records(self) -> bool:
        unconfirmed = self._unconfirmed
        append = self._next_append()
        if append is None:
            return self._finish_review()
        self._tell_own(append.records)
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
        self.ledger.apply(append.records, offset + len(append.records))
        self._apply_ledger()
        self._log_grants(append.records)
        return bool(self._search.waiting)

    def _tell_own(self, records: list[KeyedRecord]) -> None:
        """Tells another router of own records that are being written.

        Only a store that has eras may come back from an older copy.
        """
        own = [r for r in records if split_key(r.key)[1] == self._grants.router]
        if self._era and own:
            self._announcer.tell_grants(own)

    def _next_append(self) -> "_ConditionalAppend | None":
        """Returns the next append; None if no record is due.

        An unacknowledged append may take effect as long as the partition still
        ends where it expects, so it is sent again until one of the two copies
        has taken effect.
        """
        unconfirmed = self._unconfirmed
        if (
            unconfirmed is not None
            and unconfirmed.expected_end == self.ledger.end
        ):
            return unconfirmed
        self._unconfirmed = None
        records = self._grants.due_records(
            self.ledger,
            self._customers,
            max(1, self._router_count()),
            may_raise=not self._asking,
        )
        due = list(records)
        return _ConditionalAppend(due, self.ledger.end) if due else None

    def _finish_review(self) -> bool:
        """Handles a step with no record due; returns whether to go on.

        Waiting calls are refused only after a read in the same review, and not
        while other routers are asked: their answers may allow a raise.
        """
        if not self._search.waiting or self._asking:
            return False
        if self._read_in_review:
            self._search.handle_unservable()
            return False
        self._stale = True
        return True

    def _apply_ledger(self) -> None:
        self._grants.update_from_ledger(self.ledger)
        self._grants.update_scarcity(
            self.ledger, self._customers, max(1, self._router_count())
        )
        self._search.serve()
        self._notify_waiting()

    def _handle_failure(self, error: StoreError) -> float:
        """Counts a failed call; returns the seconds until the next one."""
        self._consecutive_failures += 1
        self._stale = True
        # The limit may have risen in the meantime.
        self._search.serve()
        if self._consecutive_failures == defaults.STORE_LOST_AFTER_FAILURES:
            emit(
                "budget", "store_lost", partition=self._partition.number,
                reason=str(error), waiting=self._search.waiting,
            )  # fmt: skip
        self._search.borrow()
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
            end=self.ledger.end,
            prepaid=self._prepaid_by_customer(),
            records={
                record.key: record.value.decode(errors="backslashreplace")
                for record in records
            },
        )


def _log_failure(failure, partition: Partition) -> None:
    emit(
        "budget", "failed", partition=partition.number,
        reason=failure.getTraceback(),
    )  # fmt: skip
