"""The targets' own entries in the store as the product's TargetEntry."""

from collections.abc import Iterable, Iterator

import msgspec

from chicorystack.gateway.targets import TargetEntry
from chicorystack.store.keyed_log import KeyedRecord, Partition
from chicorystack.web.exchange import Address

PARTITION = Partition("keyed.servers")
READY_BY_STATE = {"ready": True, "draining": False}


class _Entry(msgspec.Struct):
    """An entry as a target writes it.

    Attributes:
        Service: The service that it offers.
        Address: Where it listens.
        Zone: Its data centre.
        Slots: Requests that it runs at once.
        State: `ready` or `draining`.
        ColdRemainingMs: How much longer it is slow after its start.
        Sequence: Number of the entry.
        born: Unix time of its start in milliseconds.
    """

    Service: str
    Address: str
    Zone: str
    Slots: int
    State: str
    ColdRemainingMs: float = 0.0
    Sequence: int = 0
    born: int = 0


_decoder = msgspec.json.Decoder(_Entry)


def decode_entries(
    records: Iterable[KeyedRecord],
) -> Iterator[tuple[str, TargetEntry | None]]:
    """Yields entries by id; None where one is gone or cannot be read."""
    for record in records:
        yield record.key, decode_entry(record)


def decode_entry(record: KeyedRecord) -> TargetEntry | None:
    """Decodes one entry; None where it names no target to use."""
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
        )
    except (msgspec.DecodeError, ValueError, KeyError):
        # Another writer's entry; it names no target.
        return None
