"""Snapshots of a shard's state, appended before older records expire.

A snapshot contains the state replayed from the records before an offset. As
replay is deterministic, it does not matter which router appends a snapshot or
whether that router is still the keeper. A reader that finds the beginning of
the stream expired waits for a complete snapshot, loads it, and applies all
records from its offset on.
"""

from collections.abc import Iterator
from typing import Literal, NamedTuple, TypedDict

import msgspec

from chicorystack import defaults
from chicorystack.budget.keeper.ledger import LedgerState, ShardLedger
from chicorystack.budget.keeper.messages import RecordHeader
from chicorystack.decoding import decode_json
from chicorystack.infrastructure.messages import LogEntry
from chicorystack.observe.logs import part_logger
from chicorystack.util import new_id

log = part_logger("ledger")
SNAPSHOT_KIND = "ledger_snapshot"


class LedgerSnapshot(TypedDict):
    """One part of a snapshot.

    Attributes:
        kind: Always `ledger_snapshot`.
        id: Id of the snapshot, the same in all its parts.
        part: Number of this part, from 0.
        parts: Number of parts.
        read_to: Offset of the first record that the snapshot does not
            include.
        text: This part of the state's JSON text.
    """

    kind: Literal["ledger_snapshot"]
    id: str
    part: int
    parts: int
    read_to: int
    text: str


def snapshot_records(
    ledger: ShardLedger, read_to: int
) -> Iterator[LedgerSnapshot]:
    """Yields the parts of a snapshot of the entries before `read_to`."""
    text = msgspec.json.encode(ledger.state()).decode()
    size = defaults.SNAPSHOT_PART_CHARS
    chunks = [text[at : at + size] for at in range(0, len(text), size)]
    snapshot_id = new_id()
    for part, chunk in enumerate(chunks):
        yield LedgerSnapshot(
            kind=SNAPSHOT_KIND,
            id=snapshot_id,
            part=part,
            parts=len(chunks),
            read_to=read_to,
            text=chunk,
        )


class _PartialSnapshot(NamedTuple):
    """A snapshot of which not all parts have been read.

    Attributes:
        part_count: Number of parts.
        read_to: Offset of the first record that the snapshot does not
            include.
        text_by_part: Texts of the parts read so far, by number.
    """

    part_count: int
    read_to: int
    text_by_part: dict[int, str]


class LedgerReader:
    """Replays a shard's stream into a ledger, from the start or a snapshot.

    Attributes:
        ledger: The ledger; empty while `has_base` is False.
        has_base: Whether the ledger reflects the whole stream. False while
            the beginning has expired and no snapshot has been loaded.
        next_offset: Offset of the next entry.
        base_time: Log time of the newest complete snapshot, or else of the
            first entry read; 0 before any.
        time: Log time of the newest entry.
    """

    def __init__(self, ledger: ShardLedger):
        self.ledger = ledger
        self.has_base = True
        self.next_offset = 0
        self.base_time = 0.0
        self.time = 0.0
        self._first_offset = 0
        self._pending_entries: list[LogEntry] = []
        self._partial_snapshot_by_id: dict[str, _PartialSnapshot] = {}

    def deliver(self, entry: LogEntry) -> None:
        """Processes the next entry that the log still has."""
        if entry["offset"] != self.next_offset:
            self._discard_base(entry["offset"])
        self.next_offset = entry["offset"] + 1
        self.time = entry["time"]
        self.base_time = self.base_time or self.time
        kind = decode_json(entry["record"], RecordHeader)["kind"]
        if kind == SNAPSHOT_KIND:
            self._add_part(entry)
        elif self.has_base:
            self.ledger.apply(entry)
        else:
            self._pending_entries.append(entry)

    def _discard_base(self, offset: int) -> None:
        """Starts over because unread records before `offset` have expired."""
        log.warning(
            "records before offset {} have expired; waiting for a snapshot",
            offset,
        )
        self.has_base = False
        self._first_offset = offset
        self.ledger.clear()
        self._pending_entries = []
        self._partial_snapshot_by_id = {}

    def _add_part(self, entry: LogEntry) -> None:
        record = decode_json(entry["record"], LedgerSnapshot)
        partial = self._partial_snapshot_by_id.setdefault(
            record["id"],
            _PartialSnapshot(record["parts"], record["read_to"], {}),
        )
        partial.text_by_part[record["part"]] = record["text"]
        if len(partial.text_by_part) < partial.part_count:
            return
        del self._partial_snapshot_by_id[record["id"]]
        self.base_time = entry["time"]
        if not self.has_base:
            self._load_snapshot(partial)

    def _load_snapshot(self, partial: _PartialSnapshot) -> None:
        if partial.read_to < self._first_offset:
            # Records between the snapshot and the first entry have expired.
            return
        text = "".join(
            partial.text_by_part[part] for part in range(partial.part_count)
        )
        self.ledger.load(decode_json(text, LedgerState))
        self.has_base = True
        pending, self._pending_entries = self._pending_entries, []
        for entry in pending:
            if entry["offset"] >= partial.read_to:
                self.ledger.apply(entry)
