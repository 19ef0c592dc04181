"""The newest grant record of each router and customer in one log partition.

If the store comes back from an older copy, what was read before still counts
until the routers have written again: the tokens may be in use. So do records of
which a router has told others as it was writing them.
"""

from collections import defaultdict
from collections.abc import Iterator

import msgspec

from chicorystack.budget.grants.records import (
    GrantRecord,
    decode_record,
    promised,
    record_key,
    replaces,
    split_key,
)
from chicorystack.observe.unreadable import unreadable_records
from chicorystack.store.keyed_log import KeyedRecord


class OutstandingRecords:
    """Records of one router and customer of which each may still count.

    Attributes:
        read: Records that were in the log. A later one replaces those before.
        told: Records that the router was writing when it told this one. They
            may not have taken effect, so they replace no record that was read.
    """

    def __init__(self):
        self.read: list[GrantRecord] = []
        self.told: list[GrantRecord] = []

    def __iter__(self) -> Iterator[GrantRecord]:
        yield from self.read
        yield from self.told

    def add_read(self, record: GrantRecord) -> None:
        """Adds a record that was in the log."""
        if not any(replaces(known, record) for known in self.read):
            self.drop_replaced(record)
            self.read.append(record)

    def add_told(self, record: GrantRecord) -> None:
        """Adds a record that may not have taken effect."""
        if not any(replaces(known, record) for known in self):
            self.told = _not_replaced(self.told, record)
            self.told.append(record)

    def add_all(self, other: "OutstandingRecords") -> None:
        """Adds the records of another collection."""
        for record in other.read:
            self.add_read(record)
        for record in other.told:
            self.add_told(record)

    def drop_replaced(self, record: GrantRecord) -> None:
        """Drops what a record in the log replaces."""
        self.read = _not_replaced(self.read, record)
        self.told = _not_replaced(self.told, record)


def _not_replaced(
    records: list[GrantRecord], by: GrantRecord
) -> list[GrantRecord]:
    return [record for record in records if not replaces(by, record)]


class GrantLedger:
    """The grants of all routers in one partition, as read so far.

    Attributes:
        end: Offset after the last record read; None before the first read.
    """

    def __init__(self):
        self._by_customer: dict[str, dict[str, GrantRecord]] = {}
        # What this process knew before the store came back, and the log lacks.
        self._earlier_by_key: dict[str, OutstandingRecords] = {}
        # What other routers were writing in this era, and is not read yet.
        self._told_by_key: dict[str, OutstandingRecords] = {}
        self.end: int | None = None

    def enter_era(self) -> None:
        """Prepares to read a store that has come back from an older copy."""
        for customer, holders in self._by_customer.items():
            for router, record in holders.items():
                key = record_key(customer, router)
                self._earlier(key).add_read(record)
        for key, told in self._told_by_key.items():
            self._earlier(key).add_all(told)
        self._told_by_key = {}
        self.end = None

    def _earlier(self, key: str) -> OutstandingRecords:
        return self._earlier_by_key.setdefault(key, OutstandingRecords())

    def load(self, records: list[KeyedRecord], end: int) -> None:
        """Replaces the contents with the newest record of each key."""
        self._by_customer = {}
        self.apply(records, end)

    def apply(self, records: list[KeyedRecord], end: int) -> None:
        """Applies further records, in log order."""
        for record in records:
            self._store(record)
            self._drop_replaced(self._earlier_by_key, record.key)
            self._drop_replaced(self._told_by_key, record.key)
        self.end = end

    def _store(self, record: KeyedRecord) -> None:
        customer, router = split_key(record.key)
        holders = self._by_customer.setdefault(customer, {})
        if not record.value:
            holders.pop(router, None)
            self._earlier_by_key.pop(record.key, None)
            self._told_by_key.pop(record.key, None)
            return
        try:
            holders[router] = decode_record(record.value)
        except msgspec.DecodeError as error:
            # The router's last readable record goes on to count.
            unreadable_records.report("budget", record.key, error)
            return
        unreadable_records.forget("budget", record.key)

    def _drop_replaced(
        self, outstanding_by_key: dict[str, OutstandingRecords], key: str
    ) -> None:
        """Drops what the log's record of a key replaces.

        The log may have an older one, if another router has written again what
        it knew.
        """
        outstanding = outstanding_by_key.get(key)
        record = self.record(*split_key(key))
        if outstanding is None or record is None:
            return
        outstanding.drop_replaced(record)
        if not any(outstanding):
            del outstanding_by_key[key]

    def add_earlier(
        self, key: str, record: GrantRecord, told: bool = False
    ) -> None:
        """Adds a record that a router says to know from an earlier era.

        Args:
            key: Key of the record.
            record: The record.
            told: Whether it may not have taken effect.
        """
        current = self.record(*split_key(key))
        if current is not None and replaces(current, record):
            return
        if told:
            self._earlier(key).add_told(record)
        else:
            self._earlier(key).add_read(record)

    def add_told(self, key: str, record: GrantRecord) -> None:
        """Keeps a record that its router is writing, until it has been read."""
        current = self.record(*split_key(key))
        if current is None or not replaces(current, record):
            told = self._told_by_key.setdefault(key, OutstandingRecords())
            told.add_told(record)

    def was_told_before(self, era: int) -> bool:
        """Returns whether routers have told of records of an earlier era."""
        return any(self._told_before(era))

    def _told_before(self, era: int) -> Iterator[str]:
        """Yields the keys of records of earlier eras that are not read yet."""
        for key, told in self._told_by_key.items():
            if any(record["terms"].era < era for record in told):
                yield key

    def keep_told(self, era: int) -> bool:
        """Keeps what was told before the first read of a later era.

        Args:
            era: The era that has been read.

        Returns:
            Whether there was any.
        """
        keys = list(self._told_before(era))
        for key in keys:
            self._earlier(key).add_all(self._told_by_key.pop(key))
        return bool(keys)

    def records_of(self, router: str) -> dict[str, OutstandingRecords]:
        """Returns what is known of a router's grants, by their keys.

        Those that it was writing count too: it may ask for them before this
        process has seen that the store has come back from an older copy.
        """
        found: dict[str, OutstandingRecords] = defaultdict(OutstandingRecords)
        for customer, holders in self._by_customer.items():
            if router in holders:
                key = record_key(customer, router)
                found[key].add_read(holders[router])
        for source in (self._earlier_by_key, self._told_by_key):
            for key, outstanding in source.items():
                if split_key(key)[1] == router:
                    found[key].add_all(outstanding)
        return found

    def known_records(self, customer: str, router: str) -> list[GrantRecord]:
        """Returns the records of a router of which each may still count.

        These are the log's, and those of earlier eras.
        """
        known = OutstandingRecords()
        record = self.record(customer, router)
        if record is not None:
            known.add_read(record)
        earlier = self._earlier_by_key.get(record_key(customer, router))
        if earlier is not None:
            known.add_all(earlier)
        return list(known)

    def may_lack_records(self, router: str, era: int) -> bool:
        """Returns whether the log may have lost a router's newest records.

        A process that starts has not seen whether the store has come back from
        an older copy. Records of its router in this era show that its
        predecessor has written all again.

        Args:
            router: Name of the router's VM.
            era: The store's era.
        """
        own = [
            holders[router]["terms"].era
            for holders in self._by_customer.values()
            if router in holders
        ]
        return not own or any(written_in != era for written_in in own)

    def lost_records(self) -> Iterator[KeyedRecord]:
        """Yields records of earlier eras that the log should have."""
        for key, outstanding in self._earlier_by_key.items():
            lost = _lost_record(self.record(*split_key(key)), outstanding)
            if lost is not None:
                yield KeyedRecord(key, msgspec.json.encode(lost))

    def _records_of(self, customer: str) -> dict[str, GrantRecord]:
        """Returns the records by router; of several, the one with most."""
        current = self._by_customer.get(customer, {})
        if not self._earlier_by_key:
            return current
        records = dict(current)
        for key, outstanding in self._earlier_by_key.items():
            owner, router = split_key(key)
            if owner != customer:
                continue
            known = [*outstanding, *filter(None, [records.get(router)])]
            records[router] = max(known, key=promised)
        return records

    def record(self, customer: str, router: str) -> GrantRecord | None:
        """Returns a router's grant record for a customer, if there is one."""
        return self._by_customer.get(customer, {}).get(router)

    def committed(self, customer: str, except_router: str = "") -> int:
        """Returns the tokens granted or lost, not counting `except_router`."""
        return sum(
            promised(record)
            for router, record in self._records_of(customer).items()
            if router != except_router
        )

    def in_use(self, customer: str) -> int:
        """Returns the tokens in use or lost, as of each newest record."""
        return sum(
            record["terms"].in_use + record.get("lost", 0)
            for record in self._records_of(customer).values()
        )

    def needed(self, customer: str, except_router: str) -> int:
        """Returns the sum of the headroom that other routers need."""
        return sum(
            record["need"]
            for router, record in self._records_of(customer).items()
            if router != except_router
        )

    def spent(self, customer: str) -> int:
        """Returns the tokens that are reported as used."""
        records = self._records_of(customer).values()
        return sum(
            record["spent"] + record.get("lost_spent", 0) for record in records
        )


def _lost_record(
    record: GrantRecord | None, outstanding: OutstandingRecords
) -> GrantRecord | None:
    """Returns the record to write in place of the log's, if any.

    It is the one that promises most, or else a later one than the log's.
    """
    most = max(outstanding, key=promised)
    if record is None or promised(record) < promised(most):
        return most
    return next((r for r in outstanding.read if replaces(r, record)), None)
