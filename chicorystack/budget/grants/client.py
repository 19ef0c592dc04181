"""The prepaid budgets of one router process, divided into partitions."""

from collections.abc import Callable

from chicorystack import defaults
from chicorystack.budget.grants.announcer import LimitAnnouncer
from chicorystack.budget.grants.borrower import Borrower
from chicorystack.budget.grants.holders import EachRouterHolds, Holders
from chicorystack.budget.grants.lender import Lender, StoreAccess
from chicorystack.budget.grants.loans import (
    GrantsReport,
    GrantsRequest,
    RouterPeers,
)
from chicorystack.budget.grants.partition import GrantPartition
from chicorystack.budget.grants.process_grants import (
    ProcessGrants,
    review_interval_factor,
)
from chicorystack.budget.grants.records import (
    BootTimeClock,
    GrantRecord,
    GrantReservation,
    Holder,
    split_key,
)
from chicorystack.budget.grants.token_returns import TokenReturner
from chicorystack.budget.grants.witnesses import (
    GrantNotice,
    GrantNoticeAnswer,
    LimitTable,
)
from chicorystack.store.keyed_log import KeyedLog, Partition
from chicorystack.util import stable_hash


class GrantClient:
    """Reserves customers' tokens for the calls of one router process.

    Attributes:
        lender: Answers loan requests of other routers.
        witnessed_limits: Limits of other routers' processes, kept for them.
    """

    def __init__(
        self,
        clock,
        log: KeyedLog,
        topic: str,
        holder: Holder,
        router_count: Callable[[], int],
        boot_clock: BootTimeClock,
        peers: RouterPeers,
        holders: Holders | None = None,
    ):
        """Starts without budgets.

        Args:
            clock: The reactor.
            log: The store.
            topic: Topic of the grants.
            holder: This process.
            router_count: Returns the number of routers.
            boot_clock: The VM's clock.
            peers: The other routers.
            holders: Selects who holds unused tokens; each router by default.
        """
        self._clock = clock
        holders = holders or EachRouterHolds(router_count)
        self._grants = ProcessGrants(holder, boot_clock, holders)
        self._announcer = LimitAnnouncer(clock, self._grants, holder, peers)
        self.lender = Lender(
            self._grants,
            self._announcer,
            holder,
            StoreAccess(self._obtain, self._reaches_store),
        )
        self.witnessed_limits = LimitTable(holder.process)
        self._borrower = Borrower(
            clock, self._grants, holder, peers, holders, self._announcer
        )
        self._partitions = [
            GrantPartition(
                clock,
                log,
                Partition(topic, number),
                self._grants,
                self._borrower,
                self._announcer,
                router_count,
            )
            for number in range(defaults.GRANT_PARTITIONS)
        ]
        self._returner = TokenReturner(
            clock, self._grants, holder, peers, holders, self._review_scarce
        )
        self._prepaid_by_customer: dict[str, int] = {}
        self._router_count = router_count
        self._next_review = None

    def start(
        self, first_review_s: float = defaults.GRANT_REVIEW_INTERVAL_S
    ) -> None:
        """Starts the periodic reviews of the grants.

        Args:
            first_review_s: Seconds until the first review. Routers that start
                at the same time should use different values.
        """
        self._schedule_review(first_review_s)
        self._announcer.start()
        self._returner.start()

    def stop(self) -> None:
        """Stops the periodic reviews."""
        if self._next_review is not None and self._next_review.active():
            self._next_review.cancel()
        self._announcer.stop()
        self._returner.stop()

    def _schedule_review(self, seconds: float) -> None:
        self._next_review = self._clock.callLater(
            seconds, self._review, seconds
        )

    def set_prepaid(self, prepaid_by_customer: dict[str, int]) -> None:
        """Updates the prepaid tokens of customers from a configuration.

        If a customer's number has been lowered, its new calls get no tokens
        until its grant has been reviewed again.
        """
        lowered = [
            customer
            for customer, prepaid in prepaid_by_customer.items()
            if prepaid < self._prepaid_by_customer.get(customer, 0)
        ]
        self._prepaid_by_customer = dict(prepaid_by_customer)
        self._grants.set_prepaid(prepaid_by_customer)
        for number, partition in enumerate(self._partitions):
            partition.set_customers(
                [
                    c
                    for c in prepaid_by_customer
                    if self._partition_number(c) == number
                ]
            )
        for customer in lowered:
            self._grants.account_by_customer[customer].suspend()
            self._partition_of(customer).reread()

    def report(self, request: GrantsRequest) -> GrantsReport:
        """Returns the grants that this process has seen, for another router."""
        records = self._grants.seen_records()
        unread: dict[str, list[GrantRecord]] = {}
        for partition in self._partitions:
            known_by_key = partition.ledger.records_of(request.router)
            for key, known in known_by_key.items():
                # There are several only of different boots.
                *others, newest = known.read or [None]
                if newest is not None:
                    records[key] = newest
                unread[key] = [*others, *known.told]
        restored = all(p.has_restored(request.era) for p in self._partitions)
        return GrantsReport(records, unread, restored)

    def accept_grants(self, notice: GrantNotice) -> GrantNoticeAnswer:
        """Keeps the records that another router is writing."""
        for key, record in notice.record_by_key.items():
            customer, _ = split_key(key)
            self._partition_of(customer).ledger.add_told(key, record)
        return GrantNoticeAnswer()

    def has_budget(self, customer: str) -> bool:
        """Returns whether a customer has a prepaid budget."""
        return customer in self._prepaid_by_customer

    async def reserve(
        self,
        customer: str,
        tokens: int,
        deadline: float,
        urgent: bool = True,
    ) -> GrantReservation:
        """Reserves tokens for a call.

        Args:
            customer: Customer that pays for the call.
            tokens: Most tokens that the call may use.
            deadline: Time on the clock at which to stop waiting.
            urgent: Whether the call may use the tokens that are kept for the
                most urgent calls.

        Raises:
            GrantError: If the tokens could not be reserved.
        """
        return await self._partition_of(customer).reserve(
            customer, tokens, deadline, urgent
        )

    def settle(self, reservation: GrantReservation, spent: int) -> None:
        """Records the usage of a call that has ended and frees the rest."""
        account = self._grants.account_by_customer[reservation.customer]
        account.settle(reservation.tokens, min(spent, reservation.tokens))

    async def give_back(self) -> None:
        """Releases the unused tokens.

        They go to another router if the store is unreachable.
        """
        self.stop()
        self._grants.close()
        if any(partition.store_lost for partition in self._partitions):
            await self._borrower.hand_over()
            return
        for partition in self._partitions:
            await partition.release_unused()

    async def _obtain(self, customer: str) -> None:
        await self._partition_of(customer).obtain(customer)

    def _review_scarce(self, customers: list[str]) -> None:
        for number in {self._partition_number(c) for c in customers}:
            self._partitions[number].review()

    def _reaches_store(self, customer: str) -> bool:
        return not self._partition_of(customer).store_failing

    def _review(self, seconds: float) -> None:
        """Reviews all grants and schedules the next review.

        The interval grows with the number of routers.
        """
        factor = review_interval_factor(self._router_count())
        self._schedule_review(defaults.GRANT_REVIEW_INTERVAL_S * factor)
        self._grants.update_rates(seconds)
        for number, partition in enumerate(self._partitions):
            if self._is_partition_low(number):
                partition.reread()
            else:
                partition.review()

    def _is_partition_low(self, number: int) -> bool:
        """Returns whether any budget of a partition is running low."""
        return any(
            self._partitions[number].is_low(customer)
            for customer in self._prepaid_by_customer
            if self._partition_number(customer) == number
        )

    def _partition_number(self, customer: str) -> int:
        return stable_hash(customer) % len(self._partitions)

    def _partition_of(self, customer: str) -> GrantPartition:
        return self._partitions[self._partition_number(customer)]
