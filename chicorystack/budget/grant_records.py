"""Records of grants: how many tokens a router process may use, and how soon.

The ledger folds the records of one partition of the log.
"""

import math
from typing import NamedTuple, NotRequired, Protocol, TypedDict

import msgspec

from chicorystack import defaults
from chicorystack.store.keyed_log import KeyedRecord

KEY_SEPARATOR = "/"


class Instant(NamedTuple):
    """A time on the clock of one boot of a VM.

    Attributes:
        boot: Tells boots apart: the Unix time at which the clock began.
        seconds: Time since then, sleep included.
    """

    boot: float
    seconds: float

    def since(self, earlier: "Instant") -> float | None:
        """Returns seconds since an earlier time; None if of another boot."""
        same_boot = abs(self.boot - earlier.boot) < defaults.SAME_BOOT_S
        elapsed_s = self.seconds - earlier.seconds
        return elapsed_s if same_boot and elapsed_s >= 0 else None


class LeaseClock(Protocol):
    """A clock that counts sleep and tells boots apart."""

    def instant(self) -> Instant:
        """Returns the time now."""


class Terms(NamedTuple):
    """How many tokens a process may use, and how soon.

    Attributes:
        granted: Tokens that it may use in all.
        in_use: Tokens that it had used, set aside or lent when it wrote
            this, without those that it had borrowed.
        burst: Tokens beyond that which it may use at once.
        pace: Tokens a second that it may use besides, after a delay.
        delay_s: Time after which these begin to come.
        at: When it wrote this.
    """

    granted: int
    in_use: int
    burst: int
    pace: float
    delay_s: float
    at: Instant

    def limit(self, now: Instant) -> int:
        """Returns the tokens that may have been used by now."""
        elapsed_s = now.since(self.at)
        if elapsed_s is None:
            return self.granted
        grown = math.floor(self.pace * max(0.0, elapsed_s - self.delay_s))
        return min(self.granted, self.in_use + self.burst + grown)


class GrantRecord(TypedDict):
    """One router's record of one customer.

    Attributes:
        process: Id of the router process that wrote it.
        terms: What that process may use.
        need: Tokens that it would like to hold beyond those in use.
        spent: Tokens that calls of that process have used so far.
        lost: Tokens that earlier processes of the router may have used.
        lost_spent: The part of `lost` that was reported as used.
    """

    process: str
    terms: Terms
    need: int
    spent: int
    lost: NotRequired[int]
    lost_spent: NotRequired[int]


_decoder = msgspec.json.Decoder(GrantRecord)


class Holder(NamedTuple):
    """Who writes records.

    Attributes:
        router: Name of the router's VM.
        process: Id of this process; another one for each start.
    """

    router: str
    process: str


def record_key(customer: str, router: str) -> str:
    """Returns the key of a router's record of a customer."""
    return f"{customer}{KEY_SEPARATOR}{router}"


class GrantLedger:
    """All grants of one partition, as far as it has been read.

    Attributes:
        end: Offset after the last record that has been read; None before.
    """

    def __init__(self):
        self._by_customer: dict[str, dict[str, GrantRecord]] = {}
        self.end: int | None = None

    def load(self, records: list[KeyedRecord], end: int) -> None:
        """Starts anew from the newest record of each key."""
        self._by_customer = {}
        self.apply(records, end)

    def apply(self, records: list[KeyedRecord], end: int) -> None:
        """Takes over records in the order of the log."""
        for record in records:
            customer, _, router = record.key.rpartition(KEY_SEPARATOR)
            holders = self._by_customer.setdefault(customer, {})
            if record.value:
                holders[router] = _decoder.decode(record.value)
            else:
                holders.pop(router, None)
        self.end = end

    def record(self, customer: str, router: str) -> GrantRecord | None:
        """Returns a router's record."""
        return self._by_customer.get(customer, {}).get(router)

    def committed(self, customer: str, except_router: str = "") -> int:
        """Returns tokens that routers may use or have lost."""
        return sum(
            record["terms"].granted + record.get("lost", 0)
            for router, record in self._by_customer.get(customer, {}).items()
            if router != except_router
        )

    def in_use(self, customer: str) -> int:
        """Returns tokens used, set aside or lost when routers last wrote."""
        return sum(
            record["terms"].in_use + record.get("lost", 0)
            for record in self._by_customer.get(customer, {}).values()
        )

    def needed(self, customer: str, except_router: str) -> int:
        """Returns tokens that other routers would like to hold."""
        return sum(
            record["need"]
            for router, record in self._by_customer.get(customer, {}).items()
            if router != except_router
        )

    def spent(self, customer: str) -> int:
        """Returns tokens that have certainly been used."""
        records = self._by_customer.get(customer, {}).values()
        return sum(
            record["spent"] + record.get("lost_spent", 0) for record in records
        )


class GrantReservation(NamedTuple):
    """Tokens set aside for one call.

    Attributes:
        customer: Who pays.
        tokens: Tokens that the call may use.
    """

    customer: str
    tokens: int
