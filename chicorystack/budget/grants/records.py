"""Grant records: how many tokens a router process may use, and how soon."""

import math
from typing import NamedTuple, NotRequired, Protocol, TypedDict

from chicorystack import defaults
from chicorystack.decoding import Count, Integer, JsonDecoder, Number

KEY_SEPARATOR = "/"


class Instant(NamedTuple):
    """A point in time on a VM's boot-time clock.

    Attributes:
        boot_time: Unix time of the VM's boot, in seconds; identifies the boot.
        seconds: Seconds since the boot, including time spent suspended.
    """

    boot_time: Number
    seconds: Number

    def seconds_since(self, earlier: "Instant") -> float | None:
        """Returns the seconds since an earlier instant of the same boot.

        Returns None if the boots differ, or if `earlier` is in the future.
        """
        same_boot = (
            abs(self.boot_time - earlier.boot_time) < defaults.SAME_BOOT_S
        )
        elapsed_s = self.seconds - earlier.seconds
        return elapsed_s if same_boot and elapsed_s >= 0 else None


class BootTimeClock(Protocol):
    """A clock that includes suspended time and identifies the boot."""

    def instant(self) -> Instant:
        """Returns the current time."""


class Holder(NamedTuple):
    """Identifies the router process that holds grants.

    Attributes:
        router: Name of the router's VM.
        process: Id of the process; unique to each start.
    """

    router: str
    process: str


class GrantTerms(NamedTuple):
    """How many tokens a process may use, and how soon.

    The limit on the tokens in use starts at `in_use + burst`. After a delay, it
    rises at `refill_rate` up to `granted`. If there are witnesses, the process
    also announces each limit above `in_use + burst` to them before it uses the
    tokens (see `witnesses`).

    Attributes:
        granted: Total tokens that the process may use.
        in_use: Tokens used, reserved or lent when the terms were written,
            less the tokens borrowed.
        burst: Further tokens that may be used at once.
        refill_rate: Tokens per second by which the limit rises.
        refill_delay_s: Delay before the limit begins to rise.
        written_at: When the terms were written.
        witnesses: Processes of other routers to which limits are announced.
        era: Era of the store in which the terms were written.
    """

    granted: Integer
    in_use: Integer
    burst: Integer
    refill_rate: Number
    refill_delay_s: Number
    written_at: Instant
    witnesses: tuple[Holder, ...] = ()
    era: Count = 0

    @property
    def first_limit(self) -> int:
        """The most tokens that may be used without an announcement."""
        return min(self.granted, self.in_use + self.burst)

    def limit(self, now: Instant) -> int:
        """Returns the most tokens that may be used until `now`, if announced.

        This is the whole grant if `now` is of another boot or is earlier than
        `written_at`.
        """
        elapsed_s = now.seconds_since(self.written_at)
        if elapsed_s is None:
            return self.granted
        refilled = math.floor(
            self.refill_rate * max(0.0, elapsed_s - self.refill_delay_s)
        )
        return min(self.granted, self.in_use + self.burst + refilled)


class GrantRecord(TypedDict):
    """A router's grant of one customer's tokens, as stored in the log.

    Attributes:
        process: Id of the router process that wrote the record.
        terms: What that process may use.
        need: Headroom that the process needs: unused tokens to hold.
        spent: Tokens that calls of that process have used so far.
        lost: Tokens that earlier processes of the router may have used.
        lost_spent: The part of `lost` that was reported as used.
    """

    process: str
    terms: GrantTerms
    need: Integer
    spent: Integer
    lost: NotRequired[Integer]
    lost_spent: NotRequired[Integer]


_decoder = JsonDecoder(GrantRecord)


def decode_record(value: bytes) -> GrantRecord:
    """Decodes a grant record; raises msgspec.DecodeError."""
    return _decoder.decode(value)


def record_key(customer: str, router: str) -> str:
    """Returns the log key of a router's grant record for a customer."""
    return f"{customer}{KEY_SEPARATOR}{router}"


def split_key(key: str) -> tuple[str, str]:
    """Returns the customer and the router of a log key."""
    customer, _, router = key.rpartition(KEY_SEPARATOR)
    return customer, router


def promised(record: GrantRecord) -> int:
    """Returns the tokens that a router holds, or that are lost with it."""
    return record["terms"].granted + record.get("lost", 0)


def replaces(record: GrantRecord, known: GrantRecord) -> bool:
    """Returns whether a router has written one of its records after another.

    Only its last one counts: each process counts what those before it may have
    used. The order of records of different boots in one era is not known.
    """
    terms, known_terms = record["terms"], known["terms"]
    return (
        terms.era > known_terms.era
        or terms.written_at.seconds_since(known_terms.written_at) is not None
    )


class GrantReservation(NamedTuple):
    """Tokens reserved for one call.

    Attributes:
        customer: Customer that pays for the call.
        tokens: Most tokens that the call may use.
    """

    customer: str
    tokens: int
