"""Works out from the config stream which version is in force.

Every reader comes to the same versions, as the order of records decides and
nothing else: a publication is accepted where it replaces the version in force
at its place in the stream.
"""

from typing import NamedTuple

import msgspec

from chicorystack import defaults
from chicorystack.config.messages import (
    CONFIG_STREAM,
    ConfigKept,
    ConfigRecord,
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
        version: The version that it made.
        offset: Its place in the config stream.
        record: The record.
    """

    version: int
    offset: int
    record: ConfigRecord


class ConfigFold:
    """The state of the config stream up to an offset.

    A reader that finds the beginning of the stream expired knows nothing
    until it meets a `config_kept` record whose writer had read at least up to
    the first record that this reader has. Publications after that point are
    then judged in order; those before it are part of what was kept.

    Attributes:
        latest: The publication in force; None until one is known.
        next_offset: Offset of the next entry to apply.
        based: Whether all that came before is known, from the beginning or
            from a `config_kept` record.
    """

    def __init__(self):
        self.latest: Publication | None = None
        self.next_offset = 0
        self.based = True
        self._first_held = 0
        self._held: list[tuple[int, ConfigRecord]] = []
        self._id_by_version: dict[int, str] = {}

    @property
    def version(self) -> int:
        """The version in force here; 0 until one is known."""
        return self.latest.version if self.latest else 0

    def winner_of(self, version: int) -> str | None:
        """Returns the id of the record that made one of the last versions."""
        return self._id_by_version.get(version)

    def apply(self, entry: LogEntry) -> bool:
        """Takes the next entry; tells whether it carries what is in force."""
        offset = entry["offset"]
        if offset < self.next_offset:
            return False
        if offset > self.next_offset:
            self._lose_base(offset)
        self.next_offset = offset + 1
        try:
            record = decode_record(entry["record"])
        except msgspec.DecodeError as error:
            log.warning("entry {} is no record: {}", offset, error)
            return False
        if record["kind"] == "config_kept":
            return self._apply_kept(offset, record)
        return self._apply_publication(offset, record)

    def _lose_base(self, offset: int) -> None:
        """Notes that records expired before they were read."""
        log.info("records before offset {} have expired", offset)
        self.based = False
        self._first_held = offset
        self._held = []

    def _apply_publication(self, offset: int, record: ConfigRecord) -> bool:
        if not self.based:
            self._held.append((offset, record))
            return False
        if record["replaces"] != self.version:
            log.info(
                "publication {} replaces version {}, but {} is in force",
                record["id"],
                record["replaces"],
                self.version,
            )
            if record["id"] not in self._id_by_version.values():
                _record_loser(record, self.version)
            return False
        self._accept(Publication(self.version + 1, offset, record))
        return True

    def _apply_kept(self, offset: int, kept: ConfigKept) -> bool:
        if not self.based:
            self._take_base(kept)
        elif kept["read_to"] == offset:
            # Nothing stands between what the writer had read and its record.
            require(
                "kept_version_is_in_force",
                kept["version"] == self.version,
                f"kept {kept['version']}, but {self.version} is in force",
            )
        return kept["version"] == self.version

    def _take_base(self, kept: ConfigKept) -> None:
        if kept["read_to"] < self._first_held:
            # What stood between is lost; it may have made a newer version.
            return
        self.based = True
        base = Publication(kept["version"], kept["offset"], kept["publication"])
        if base.version > self.version:
            self._accept(base)
        held, self._held = self._held, []
        for offset, record in held:
            if offset >= kept["read_to"]:
                self._apply_publication(offset, record)

    def _accept(self, publication: Publication) -> None:
        require(
            "config_never_reverts",
            publication.version > self.version,
            f"version {publication.version} after {self.version}",
        )
        self.latest = publication
        self._id_by_version[publication.version] = publication.record["id"]
        while len(self._id_by_version) > defaults.CONFIG_WINNERS_KEPT:
            del self._id_by_version[next(iter(self._id_by_version))]


def _record_loser(record: ConfigRecord, in_force: int) -> None:
    metrics.count("config.lost")
    decisions.record_notable(
        CONFIG_STREAM,
        "config",
        f"publication {record['id']} lost",
        f"it replaces version {record['replaces']}, but {in_force} is in force",
    )
