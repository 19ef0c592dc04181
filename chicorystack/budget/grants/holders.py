"""Which routers hold a customer's unused tokens.

If each of many routers holds a part of a budget, the parts are smaller than one
call, and an outage of the store strands them. So a few routers of each data
centre hold the tokens that all routers there may need, and lend them. A router
that gets too little from them still obtains a grant of its own for the calls
that wait.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from chicorystack import defaults
from chicorystack.util import stable_hash


class RouterPlace(NamedTuple):
    """Where a router runs.

    Attributes:
        router: Name of its VM.
        data_centre: Its data centre.
    """

    router: str
    data_centre: str


class Holders(Protocol):
    """Selects the routers that hold a customer's unused tokens."""

    def is_holder(self, customer: str) -> bool:
        """Returns whether this router is one of them."""

    def count(self, customer: str) -> int:
        """Returns how many there are in all data centres; at least 1."""

    def near(self, customer: str) -> list[str]:
        """Returns the others in this router's data centre."""

    def all(self, customer: str) -> frozenset[str]:
        """Returns those of all data centres, perhaps with this router."""

    def primaries(self, customer: str) -> list[str]:
        """Returns who holds the last tokens, the first choice first.

        The list includes this router; it is empty if tokens are never
        consolidated.
        """


class EachRouterHolds:
    """Each router holds what its own calls need."""

    def __init__(self, router_count: Callable[[], int]):
        self._router_count = router_count

    def is_holder(self, customer: str) -> bool:
        """See Holders."""
        return True

    def count(self, customer: str) -> int:
        """See Holders."""
        return max(1, self._router_count())

    def near(self, customer: str) -> list[str]:
        """See Holders."""
        return []

    def all(self, customer: str) -> frozenset[str]:
        """See Holders."""
        return frozenset()

    def primaries(self, customer: str) -> list[str]:
        """See Holders."""
        return []


class DataCentreHolders:
    """Each data centre has HOLDERS_PER_DATA_CENTRE holders of a customer.

    They are chosen by rendezvous hashing, so that few change when a router
    joins or leaves. Routers that know of different routers may choose different
    holders, which costs only a loan or a record.
    """

    def __init__(
        self, own: RouterPlace, others: Callable[[], frozenset[RouterPlace]]
    ):
        """Starts without holders.

        Args:
            own: This router.
            others: Returns the known other routers; the same object until they
                change.
        """
        self._own = own
        self._others = others
        self._known: frozenset[RouterPlace] = frozenset()
        self._routers_by_data_centre: dict[str, list[str]] = {}
        self._near_by_customer: dict[str, list[str]] = {}
        self._all_by_customer: dict[str, frozenset[str]] = {}
        self._primaries_by_customer: dict[str, list[str]] = {}
        self._update(self._known)

    def is_holder(self, customer: str) -> bool:
        """See Holders."""
        return self._own.router in self._near(customer)

    def count(self, customer: str) -> int:
        """See Holders."""
        return len(self.all(customer))

    def near(self, customer: str) -> list[str]:
        """See Holders."""
        return [r for r in self._near(customer) if r != self._own.router]

    def all(self, customer: str) -> frozenset[str]:
        """See Holders."""
        self._refresh()
        found = self._all_by_customer.get(customer)
        if found is None:
            found = frozenset(
                router
                for routers in self._routers_by_data_centre.values()
                for router in _choose(customer, routers)
            )
            self._all_by_customer[customer] = found
        return found

    def primaries(self, customer: str) -> list[str]:
        """See Holders."""
        self._refresh()
        if len(self._known) + 1 < defaults.CONSOLIDATION_MIN_ROUTERS:
            return []
        found = self._primaries_by_customer.get(customer)
        if found is None:
            routers = {self._own.router, *(p.router for p in self._known)}
            found = _rank(customer, routers)[: defaults.MAX_PRIMARIES]
            if self._own.router not in found:
                found.append(self._own.router)
            self._primaries_by_customer[customer] = found
        return found

    def _near(self, customer: str) -> list[str]:
        self._refresh()
        found = self._near_by_customer.get(customer)
        if found is None:
            routers = self._routers_by_data_centre[self._own.data_centre]
            found = _choose(customer, routers)
            self._near_by_customer[customer] = found
        return found

    def _refresh(self) -> None:
        known = self._others()
        if known is not self._known:
            self._update(known)

    def _update(self, known: frozenset[RouterPlace]) -> None:
        self._known = known
        self._routers_by_data_centre = {}
        for place in (self._own, *known):
            routers = self._routers_by_data_centre.setdefault(
                place.data_centre, []
            )
            routers.append(place.router)
        self._near_by_customer = {}
        self._all_by_customer = {}
        self._primaries_by_customer = {}


def _choose(customer: str, routers: list[str]) -> list[str]:
    """Returns the holders among the routers of one data centre."""
    return _rank(customer, routers)[: defaults.HOLDERS_PER_DATA_CENTRE]


def _rank(customer: str, routers: Iterable[str]) -> list[str]:
    """Returns routers by their hashes for a customer, the highest first."""
    return sorted(
        routers,
        key=lambda router: stable_hash(f"{customer}\0{router}"),
        reverse=True,
    )
