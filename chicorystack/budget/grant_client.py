"""The budgets of one router process, spread over a few partitions."""

from collections.abc import Callable

from chicorystack import defaults
from chicorystack.budget.grant_partition import GrantPartition
from chicorystack.budget.grant_records import (
    GrantReservation,
    Holder,
    LeaseClock,
)
from chicorystack.budget.grants import GrantBook, review_scale
from chicorystack.budget.loans import Borrower, Lender, LoanPeers
from chicorystack.store.keyed_log import KeyedLog, Partition
from chicorystack.util import stable_hash


class GrantClient:
    """The budgets of one router process.

    Attributes:
        lender: Answers other routers that ask for tokens.
    """

    def __init__(
        self,
        clock,
        log: KeyedLog,
        topic: str,
        holder: Holder,
        routers: Callable[[], int],
        lease_clock: LeaseClock,
        peers: LoanPeers,
    ):
        self._clock = clock
        self._book = GrantBook(holder, lease_clock)
        self.lender = Lender(self._book)
        self._borrower = Borrower(clock, self._book, holder, peers)
        self._partitions = [
            GrantPartition(
                clock,
                log,
                Partition(topic, number),
                self._book,
                self._borrower,
                routers,
            )
            for number in range(defaults.GRANT_PARTITIONS)
        ]
        self._prepaid_by_customer: dict[str, int] = {}
        self._routers = routers
        self._next_review = None

    def start(
        self, first_review_s: float = defaults.GRANT_REVIEW_INTERVAL_S
    ) -> None:
        """Begins to review grants.

        Args:
            first_review_s: Time to the first review. Routers that start
                together should choose different ones.
        """
        self._review_in(first_review_s)

    def stop(self) -> None:
        """Ends the reviews."""
        if self._next_review is not None and self._next_review.active():
            self._next_review.cancel()

    def _review_in(self, seconds: float) -> None:
        self._next_review = self._clock.callLater(
            seconds, self._review, seconds
        )

    def set_prepaid(self, prepaid_by_customer: dict[str, int]) -> None:
        """Takes over what customers have prepaid, from a configuration."""
        lowered = [
            customer
            for customer, prepaid in prepaid_by_customer.items()
            if prepaid < self._prepaid_by_customer.get(customer, 0)
        ]
        self._prepaid_by_customer = dict(prepaid_by_customer)
        self._book.set_prepaid(prepaid_by_customer)
        for number, partition in enumerate(self._partitions):
            partition.set_customers(
                [c for c in prepaid_by_customer if self._number(c) == number]
            )
        for customer in lowered:
            self._book.account_by_customer[customer].suspend()
            self._partition(customer).reread()

    def has_budget(self, customer: str) -> bool:
        """Tells whether a customer's tokens are bounded."""
        return customer in self._prepaid_by_customer

    async def reserve(
        self, customer: str, tokens: int, give_up_at: float
    ) -> GrantReservation:
        """Sets tokens aside; raises GrantError."""
        return await self._partition(customer).reserve(
            customer, tokens, give_up_at
        )

    def settle(self, reservation: GrantReservation, spent: int) -> None:
        """Ends a call; what it did not use is free again."""
        account = self._book.account_by_customer[reservation.customer]
        account.settle(reservation.tokens, min(spent, reservation.tokens))

    async def give_back(self) -> None:
        """Returns what is not in use, to other routers if the store is away."""
        self.stop()
        self._book.close()
        if any(partition.store_lost for partition in self._partitions):
            await self._borrower.hand_over()
            return
        for partition in self._partitions:
            await partition.give_back()

    def _review(self, seconds: float) -> None:
        """Reviews grants, at intervals that grow with the routers' number."""
        scale = review_scale(self._routers())
        self._review_in(defaults.GRANT_REVIEW_INTERVAL_S * scale)
        self._book.note_interval(seconds)
        for number, partition in enumerate(self._partitions):
            if self._is_short(number):
                partition.reread()
            else:
                partition.review()

    def _is_short(self, number: int) -> bool:
        """Tells whether a budget of a partition comes to its end."""
        return any(
            self._partitions[number].is_short(customer)
            for customer in self._prepaid_by_customer
            if self._number(customer) == number
        )

    def _number(self, customer: str) -> int:
        return stable_hash(customer) % len(self._partitions)

    def _partition(self, customer: str) -> GrantPartition:
        return self._partitions[self._number(customer)]
