"""Determines from the config stream which version is in force.

All readers derive the same versions, because only the order of the records
counts: a publication is accepted if it replaces the version that is in force
at its offset in the stream.
"""

from typing import NamedTuple

import msgspec

from chicorystack import defaults
from chicorystack.config.messages import (
    CONFIG_STREAM,
    ConfigRecord,
    ConfigSnapshot,
    decode_record,
)
from chicorystack.infrastructure.messages import LogEntry
from chicorystack.observe.decisions import decisions
from chicorystack.observe.invariants import require
from chicorystack.observe.logs import part_logger
from chicorystack.observe.metrics import metrics

log = part_logger("config")


class Publication(NamedTuple):
    """An accepted publication.

    Attributes:
        version: The version that it created.
        offset: Offset of its record in the config stream.
        record: The record.
    """

    version: int
    offset: int
    record: ConfigRecord


class ConfigLogState:
    """The state of the config stream up to an offset.

    If the beginning of the stream has expired, the state is incomplete until
    it has loaded a snapshot whose writer had read at least up to the first
    record available here. Publications from the writer's position on are then
    applied in order; the snapshot covers the earlier ones.

    Attributes:
        latest: The publication in force; None until one is known.
        next_offset: Offset of the next entry to apply.
        is_complete: Whether the state covers all earlier entries, because they
            were read from the beginning or from a snapshot.
    """

    def __init__(self):
        self.latest: Publication | None = None
        self.next_offset = 0
        self.is_complete = True
        self._gap_end = 0
        self._pending: list[tuple[int, ConfigRecord]] = []
        self._id_by_version: dict[int, str] = {}

    @property
    def version(self) -> int:
        """The version in force according to the log; 0 if none is known."""
        return self.latest.version if self.latest else 0

    def publication_id(self, version: int) -> str | None:
        """Returns the id of the record that created one of the last versions.

        Returns None for an unknown version and for one that is too old.
        """
        return self._id_by_version.get(version)

    def apply(self, entry: LogEntry) -> bool:
        """Applies the next entry; entries that were applied are ignored.

        Returns:
            Whether the entry contains the version in force.
        """
        offset = entry["offset"]
        if offset < self.next_offset:
            return False
        if offset > self.next_offset:
            self._handle_gap(offset)
        self.next_offset = offset + 1
        try:
            record = decode_record(entry["record"])
        except msgspec.DecodeError as error:
            log.warning("ignored invalid entry at offset {}: {}", offset, error)
            return False
        if record["kind"] == "config_kept":
            return self._apply_snapshot(offset, record)
        return self._apply_publication(offset, record)

    def _handle_gap(self, offset: int) -> None:
        """Marks the state incomplete: records expired before being read."""
        log.info("records before offset {} have expired", offset)
        self.is_complete = False
        self._gap_end = offset
        self._pending = []

    def _apply_publication(self, offset: int, record: ConfigRecord) -> bool:
        if not self.is_complete:
            self._pending.append((offset, record))
            return False
        if record["replaces"] != self.version:
            log.info(
                "publication {} replaces version {}, but {} is in force",
                record["id"],
                record["replaces"],
                self.version,
            )
            if record["id"] not in self._id_by_version.values():
                _record_rejection(record, self.version)
            return False
        self._accept(Publication(self.version + 1, offset, record))
        return True

    def _apply_snapshot(self, offset: int, snapshot: ConfigSnapshot) -> bool:
        if not self.is_complete:
            self._load_snapshot(snapshot)
        elif snapshot["read_to"] == offset:
            # The writer had read all records before its snapshot.
            require(
                "kept_version_is_in_force",
                snapshot["version"] == self.version,
                f"snapshot of version {snapshot['version']}, "
                f"but {self.version} is in force",
            )
        return snapshot["version"] == self.version

    def _load_snapshot(self, snapshot: ConfigSnapshot) -> None:
        if snapshot["read_to"] < self._gap_end:
            # An expired record that the writer had not read may have created
            # a newer version.
            return
        self.is_complete = True
        publication = Publication(
            snapshot["version"], snapshot["offset"], snapshot["publication"]
        )
        if publication.version > self.version:
            self._accept(publication)
        pending, self._pending = self._pending, []
        for offset, record in pending:
            if offset >= snapshot["read_to"]:
                self._apply_publication(offset, record)

    def _accept(self, publication: Publication) -> None:
        require(
            "config_never_reverts",
            publication.version > self.version,
            f"version {publication.version} after {self.version}",
        )
        self.latest = publication
        self._id_by_version[publication.version] = publication.record["id"]
        while len(self._id_by_version) > defaults.CONFIG_PUBLICATION_IDS_MAX:
            del self._id_by_version[next(iter(self._id_by_version))]


def _record_rejection(record: ConfigRecord, in_force: int) -> None:
    metrics.count("config.lost")
    decisions.record_notable(
        CONFIG_STREAM,
        "config",
        f"publication {record['id']} lost",
        f"it replaces version {record['replaces']}, but {in_force} is in force",
    )
