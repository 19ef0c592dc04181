"""Witnesses: other routers that remember how many tokens a process may use.

A router that loses power cannot say how many of its granted tokens it has used,
and its next process would have to count the whole grant as used. So a process
announces a limit to a few other routers, its witnesses, before it uses tokens
beyond the first limit of its terms. Its record in the store names the witnesses
with their processes. The next process on the same VM asks them, and reclaims
what lies above the highest limit that any of them has stored.

A process may use a limit that a write quorum of the named witnesses has stored.
Its successor needs a read quorum of them, still running as the processes that
were named: each read quorum shares a witness with each write quorum. Without a
read quorum, it counts what the terms allow by themselves.
"""

from collections import OrderedDict
from typing import NamedTuple, Protocol

import msgspec

from chicorystack import defaults
from chicorystack.budget.grants.records import (
    GrantRecord,
    GrantTerms,
    Holder,
)
from chicorystack.decoding import Integer


class LimitNotice(msgspec.Struct, frozen=True):
    """Tells a witness how many tokens a process may use.

    Attributes:
        router: Name of the process's VM.
        process: Id of the process.
        limit_by_customer: Total tokens that it may use from now on.
    """

    router: str
    process: str
    limit_by_customer: dict[str, Integer]


class LimitNoticeAnswer(msgspec.Struct, frozen=True):
    """Confirms that a witness has stored a notice.

    Attributes:
        process: Id of the witness's process.
    """

    process: str


class GrantNotice(msgspec.Struct, frozen=True):
    """Tells another router which grant records are being written.

    Attributes:
        record_by_key: The records by their keys in the log.
    """

    record_by_key: dict[str, GrantRecord]


class GrantNoticeAnswer(msgspec.Struct, frozen=True):
    """Confirms that a router has kept the records of a notice."""


class LimitsRequest(msgspec.Struct, frozen=True):
    """Asks a witness for the limits of an earlier process.

    Attributes:
        router: Name of that process's VM.
        process: Id of that process.
    """

    router: str
    process: str


class LimitsReport(msgspec.Struct, frozen=True):
    """The limits that a witness has stored for a process.

    Attributes:
        process: Id of the witness's process.
        limit_by_customer: The highest limit of each customer; None if the
            process is unknown to the witness.
    """

    process: str
    limit_by_customer: dict[str, Integer] | None


class WitnessPeers(Protocol):
    """Sends messages between processes and their witnesses."""

    def witness_candidates(self) -> list[str]:
        """Returns the other routers' names, the preferred witnesses first."""

    async def announce_limits(
        self, router: str, notice: LimitNotice
    ) -> LimitNoticeAnswer:
        """Sends limits to a router; raises LoanError."""

    async def tell_grants(
        self, router: str, notice: GrantNotice
    ) -> GrantNoticeAnswer:
        """Tells a router which records are being written; raises LoanError."""

    async def fetch_limits(
        self, router: str, request: LimitsRequest
    ) -> LimitsReport:
        """Asks a router for the limits that it knows; raises LoanError."""


def write_quorum(count: int) -> int:
    """Returns how many of `count` witnesses must store a limit."""
    return (count + 1) // 2


def read_quorum(count: int) -> int:
    """Returns how many of `count` witnesses must report to a successor."""
    return count - write_quorum(count) + 1


class AnnouncedLimits:
    """The limits of this process that its witnesses have stored.

    Attributes:
        witnesses: The witnesses to name in new terms.
    """

    def __init__(self):
        self.witnesses: tuple[Holder, ...] = ()
        self._limits_by_witness: dict[Holder, dict[str, int]] = {}

    def add(self, witness: Holder, limit_by_customer: dict[str, int]) -> None:
        """Adds limits that a witness has stored."""
        stored = self._limits_by_witness.setdefault(witness, {})
        for customer, limit in limit_by_customer.items():
            stored[customer] = max(limit, stored.get(customer, 0))
        # A forgotten limit can only lower the tokens that may be used.
        while len(self._limits_by_witness) > defaults.MAX_KNOWN_WITNESSES:
            del self._limits_by_witness[next(iter(self._limits_by_witness))]

    def acknowledged(self, customer: str, witnesses: tuple[Holder, ...]) -> int:
        """Returns the highest limit that a write quorum has stored."""
        limits = sorted(
            (
                self._limits_by_witness.get(witness, {}).get(customer, 0)
                for witness in witnesses
            ),
            reverse=True,
        )
        return limits[write_quorum(len(witnesses)) - 1]


class LimitTable:
    """The limits of other routers' processes, kept by this one as a witness."""

    def __init__(self, process: str):
        """Starts empty.

        Args:
            process: Id of this process.
        """
        self._process = process
        # The newest processes of each router, the latest last.
        self._limits_by_router: dict[str, OrderedDict[str, dict[str, int]]] = {}

    def store(self, notice: LimitNotice) -> LimitNoticeAnswer:
        """Stores the limits of a notice, and never lowers any."""
        processes = self._limits_by_router.setdefault(
            notice.router, OrderedDict()
        )
        limits = processes.setdefault(notice.process, {})
        for customer, limit in notice.limit_by_customer.items():
            limits[customer] = max(limit, limits.get(customer, 0))
        while len(processes) > defaults.WITNESSED_PROCESSES_PER_ROUTER:
            processes.popitem(last=False)
        return LimitNoticeAnswer(self._process)

    def report(self, request: LimitsRequest) -> LimitsReport:
        """Returns the limits of a process."""
        processes = self._limits_by_router.get(request.router, {})
        return LimitsReport(self._process, processes.get(request.process))


class _Source(NamedTuple):
    """Whose limits a report tells, and who told them.

    Attributes:
        process: Id of the earlier process on this VM.
        witness: The witness.
    """

    process: str
    witness: Holder


class PredecessorLimits:
    """What witnesses have reported on earlier processes of this VM."""

    def __init__(self):
        self._limits_by_source: dict[_Source, dict[str, int] | None] = {}

    def is_missing(self, process: str, witness: Holder) -> bool:
        """Returns whether a witness is still to be asked about a process."""
        return _Source(process, witness) not in self._limits_by_source

    def add(
        self, process: str, witness: Holder, report: LimitsReport | None
    ) -> None:
        """Adds a witness's report; None if it did not answer.

        A report of another process than the named witness tells nothing.
        """
        limits = None
        if report is not None and report.process == witness.process:
            limits = report.limit_by_customer
        self._limits_by_source[_Source(process, witness)] = limits

    def is_settled(self, process: str, terms: GrantTerms) -> bool:
        """Returns whether there are enough reports, or never will be."""
        needed = read_quorum(len(terms.witnesses))
        missing = sum(self.is_missing(process, w) for w in terms.witnesses)
        found = len(self._reports(process, terms))
        return found >= needed or found + missing < needed

    def bound(self, customer: str, process: str, terms: GrantTerms) -> int:
        """Returns the most tokens that an earlier process can have announced.

        Args:
            customer: The customer.
            process: Id of the earlier process.
            terms: Its terms in the log.

        Returns:
            The whole grant if there are too few reports.
        """
        reports = self._reports(process, terms)
        if not reports or len(reports) < read_quorum(len(terms.witnesses)):
            return terms.granted
        announced = (limits.get(customer, 0) for limits in reports)
        return max(terms.first_limit, *announced)

    def _reports(self, process: str, terms: GrantTerms) -> list[dict[str, int]]:
        """Returns the limits by customer that each witness has reported."""
        found = (
            self._limits_by_source.get(_Source(process, witness))
            for witness in terms.witnesses
        )
        return [limits for limits in found if limits is not None]
