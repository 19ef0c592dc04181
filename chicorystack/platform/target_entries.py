"""Decodes the entries that targets write to the store."""

from collections.abc import Iterable, Iterator

import msgspec

from chicorystack.decoding import JsonDecoder
from chicorystack.gateway.targets import TargetEntry
from chicorystack.observe.events import emit
from chicorystack.store.keyed_log import KeyedRecord, Partition
from chicorystack.web.exchange import Address

PARTITION = Partition("keyed.servers")
READY_BY_STATE = {"ready": True, "draining": False}


class _Entry(msgspec.Struct):
    """An entry as a target writes it.

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

    Service: str
    Address: str
    Zone: str
    Slots: int
    State: str
    Version: str = ""
    ColdRemainingMs: float = 0.0
    Sequence: int = 0
    born: int = 0


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
    if not record.value:
        return None
    try:
        entry = _decoder.decode(record.value)
        return TargetEntry(
            id=record.key,
            started_ms=entry.born,
            service=entry.Service,
            address=Address.parse(entry.Address),
            zone=entry.Zone,
            slots=entry.Slots,
            ready=READY_BY_STATE[entry.State],
            sequence=entry.Sequence,
            warmup_s=entry.ColdRemainingMs / 1000,
            version=entry.Version,
        )
    except (msgspec.DecodeError, ValueError, KeyError) as error:
        # Written by another program; not the entry of a target.
        emit("targets", "unreadable", key=record.key, reason=repr(error))
        return None
