"""Snapshot records: a shard's state, appended before older records expire.

A snapshot states what the log up to an offset amounts to. It is no decision:
every reader's fold of the same records is the same, so it does not matter who
appends it or whether that keeper has been replaced since. A reader that finds
the beginning of the stream gone waits for a whole snapshot, loads it, and
applies all records from its offset on.
"""

from collections.abc import Iterator
from typing import Literal, NamedTuple, TypedDict

import msgspec

from chicorystack import defaults
from chicorystack.budget.ledger import LedgerState, ShardLedger
from chicorystack.budget.messages import RecordHead
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
        read_to: Offset up to which records are folded in; those from here on
            are not.
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
    """Yields the records of a snapshot."""
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


class _Parts(NamedTuple):
    """What has come of a snapshot.

    Attributes:
        count: Number of parts.
        read_to: Offset up to which records are folded in.
        text_by_part: The parts.
    """

    count: int
    read_to: int
    text_by_part: dict[int, str]


class LedgerReader:
    """Brings a ledger up to date from any place of the stream.

    Attributes:
        ledger: The ledger; empty while `based` is False.
        based: Whether the ledger holds all that the stream says.
        next_offset: Offset of the next entry.
        kept_since: Log time of the newest whole snapshot, or of the stream's
            first entry; 0 before any.
        time: Log time of the newest entry.
    """

    def __init__(self, ledger: ShardLedger):
        self.ledger = ledger
        self.based = True
        self.next_offset = 0
        self.kept_since = 0.0
        self.time = 0.0
        self._begun_at = 0
        self._waiting: list[LogEntry] = []
        self._parts_by_id: dict[str, _Parts] = {}

    def deliver(self, entry: LogEntry) -> None:
        """Takes the next entry that the log still has."""
        if entry["offset"] != self.next_offset:
            self._lose_base(entry["offset"])
        self.next_offset = entry["offset"] + 1
        self.time = entry["time"]
        self.kept_since = self.kept_since or self.time
        kind = msgspec.json.decode(entry["record"], type=RecordHead)["kind"]
        if kind == SNAPSHOT_KIND:
            self._take_part(entry)
        elif self.based:
            self.ledger.apply(entry)
        else:
            self._waiting.append(entry)

    def _lose_base(self, offset: int) -> None:
        """Begins anew: records before an offset have expired."""
        log.warning("records before offset {} have expired", offset)
        self.based = False
        self._begun_at = offset
        self.ledger.clear()
        self._waiting = []
        self._parts_by_id = {}

    def _take_part(self, entry: LogEntry) -> None:
        record = msgspec.json.decode(entry["record"], type=LedgerSnapshot)
        parts = self._parts_by_id.setdefault(
            record["id"], _Parts(record["parts"], record["read_to"], {})
        )
        parts.text_by_part[record["part"]] = record["text"]
        if len(parts.text_by_part) < parts.count:
            return
        del self._parts_by_id[record["id"]]
        self.kept_since = entry["time"]
        if not self.based:
            self._load(parts)

    def _load(self, parts: _Parts) -> None:
        if parts.read_to < self._begun_at:
            # Records that it does not hold have expired, too.
            return
        text = "".join(parts.text_by_part[part] for part in range(parts.count))
        self.ledger.load(msgspec.json.decode(text, type=LedgerState))
        self.based = True
        waiting, self._waiting = self._waiting, []
        for entry in waiting:
            if entry["offset"] >= parts.read_to:
                self.ledger.apply(entry)
