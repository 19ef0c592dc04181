"""Decodes the entries that targets write to the store."""

from collections.abc import Iterable, Iterator
from typing import Literal

import msgspec

from chicorystack.decoding import (
    Amount,
    Count,
    HeaderId,
    JsonDecoder,
    Name,
    PositiveCount,
)
from chicorystack.gateway.targets import TargetEntry
from chicorystack.observe.unreadable import unreadable_records
from chicorystack.store.keyed_log import KeyedRecord, Partition
from chicorystack.web.exchange import Address

PARTITION = Partition("keyed.servers")
READY = "ready"


class _Entry(msgspec.Struct):
    """An entry as a target writes it; one that lacks a field is no target's.

    Attributes:
        Service: Service that the target offers.
        Address: Address that it listens on.
        Zone: Its data centre.
        Slots: Requests that it can run concurrently.
        State: `ready` or `draining`.
        Version: Version of its software.
        ColdRemainingMs: Remaining warm-up time after its start.
        Sequence: Sequence number of the entry.
        born: Unix time of its start in milliseconds.
    """

    Service: Name
    Address: str
    Zone: str
    Slots: PositiveCount
    State: Literal["ready", "draining"]
    Version: str
    ColdRemainingMs: Amount
    Sequence: Count
    born: Count


_decoder = JsonDecoder(_Entry)


def decode_entries(
    records: Iterable[KeyedRecord],
) -> Iterator[tuple[str, TargetEntry | None]]:
    """Yields the ID and entry of each record.

    The entry is None if it has been deleted or is invalid.
    """
    for record in records:
        yield record.key, decode_entry(record)


def decode_entry(record: KeyedRecord) -> TargetEntry | None:
    """Decodes one entry; returns None if it is deleted or invalid."""
    entry = None
    try:
        if record.value:
            entry = _decode(record)
    except (msgspec.DecodeError, ValueError) as error:
        # Written by another program; not the entry of a target.
        unreadable_records.report("targets", record.key, error)
        return None
    unreadable_records.forget("targets", record.key)
    return entry


def _decode(record: KeyedRecord) -> TargetEntry:
    entry = _decoder.decode(record.value)
    return TargetEntry(
        id=msgspec.convert(record.key, HeaderId),
        started_ms=entry.born,
        service=entry.Service,
        address=Address.parse(entry.Address),
        zone=entry.Zone,
        slots=entry.Slots,
        ready=entry.State == READY,
        sequence=entry.Sequence,
        warmup_s=entry.ColdRemainingMs / 1000,
        version=entry.Version,
    )
