"""Fair shares of customers that wait for the same capacity."""

from collections import defaultdict


class FairShares:
    """Starts of each waiting customer, relative to its weight.

    A customer that is more than a few starts ahead of the least served one
    goes after the others. One that was idle earns no credit beyond that.
    """

    def __init__(self, window: float):
        """Starts without customers.

        Args:
            window: Starts that a customer may be ahead of the least served.
        """
        self._window = window
        self._served_by_customer: dict[str, float] = {}
        self._waiting_by_customer: defaultdict[str, int] = defaultdict(int)

    def join(self, customer: str) -> None:
        """Counts a call that begins to wait."""
        if customer not in self._waiting_by_customer:
            floor = self._least_served() - self._window
            served = self._served_by_customer.get(customer, 0.0)
            self._served_by_customer[customer] = max(served, floor)
        self._waiting_by_customer[customer] += 1

    def leave(self, customer: str) -> None:
        """Counts a call that no longer waits."""
        self._waiting_by_customer[customer] -= 1
        if self._waiting_by_customer[customer] <= 0:
            del self._waiting_by_customer[customer]
        if not self._waiting_by_customer:
            self._served_by_customer.clear()

    def record_start(self, customer: str, weight: float = 1.0) -> None:
        """Counts a start after waiting; to be called before `leave`."""
        served = self._served_by_customer.get(customer, 0.0)
        self._served_by_customer[customer] = served + 1 / weight

    def ahead_of_others(self) -> set[str]:
        """Returns the waiting customers that are ahead."""
        limit = self._least_served() + self._window
        return {
            customer
            for customer in self._waiting_by_customer
            if self._served_by_customer.get(customer, 0.0) > limit
        }

    def _least_served(self) -> float:
        return min(
            (
                self._served_by_customer.get(customer, 0.0)
                for customer in self._waiting_by_customer
            ),
            default=0.0,
        )
