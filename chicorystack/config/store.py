"""Holds the configuration in force and never goes back to an older one."""

from collections.abc import Callable

import msgspec

from chicorystack.config.messages import ConfigInForce, ConfigRecord
from chicorystack.config.model import FleetConfig, build_config
from chicorystack.observe.decisions import decisions
from chicorystack.observe.invariants import require
from chicorystack.observe.logs import part_logger
from chicorystack.observe.metrics import metrics
from chicorystack.platform.messages import LogEntry

log = part_logger("config")
record_decoder = msgspec.json.Decoder(ConfigRecord)
CONFIG_SUBJECT = "config"


class ConfigStore:
    """The configuration in force at one process.

    Attributes:
        config: The configuration in force; version 0 until one is known.
    """

    def __init__(self):
        self.config = FleetConfig()
        self._in_force = ConfigInForce(version=0, config=None, offset=-1)
        self._id_by_version: dict[int, str] = {}
        self._listeners: list[Callable[[FleetConfig], None]] = []

    def on_change(self, listener: Callable[[FleetConfig], None]) -> None:
        """Calls listener with each new configuration."""
        self._listeners.append(listener)

    def deliver(self, entry: LogEntry) -> None:
        """Takes an entry of the config stream."""
        record = record_decoder.decode(entry["record"])
        if record["id"] in self._id_by_version.values():
            return
        if record["replaces"] != self.config.version:
            log.info(
                "publication {} replaces version {}, but {} is in force",
                record["id"],
                record["replaces"],
                self.config.version,
            )
            _record_loser(record, self.config.version)
            return
        self._id_by_version[record["replaces"] + 1] = record["id"]
        self._enter(
            ConfigInForce(
                version=record["replaces"] + 1,
                config=record["config"],
                offset=entry["offset"],
            )
        )

    def winner_of(self, version: int) -> str | None:
        """Returns the id of the record that made a version."""
        return self._id_by_version.get(version)

    def in_force(self) -> ConfigInForce:
        """Returns what a peer needs to take over this version."""
        return self._in_force

    def take_from_peer(self, told: ConfigInForce) -> bool:
        """Takes a peer's version where it is newer; tells whether it was."""
        if told["config"] is None or told["version"] <= self.config.version:
            return False
        self._enter(told)
        return True

    def _enter(self, told: ConfigInForce) -> None:
        require(
            "config_never_reverts",
            told["version"] > self.config.version,
            f"version {told['version']} after {self.config.version}",
        )
        self._in_force = told
        self.config = build_config(told["config"], told["version"])
        log.info("configuration {} is in force", self.config.version)
        metrics.count("config.entered")
        decisions.record_notable(
            CONFIG_SUBJECT,
            "config",
            f"version {told['version']} in force",
            f"record at offset {told['offset']}",
        )
        for listener in self._listeners:
            listener(self.config)


def _record_loser(record: ConfigRecord, in_force: int) -> None:
    metrics.count("config.lost")
    decisions.record_notable(
        CONFIG_SUBJECT,
        "config",
        f"publication {record['id']} lost",
        f"it replaces version {record['replaces']}, but {in_force} is in force",
    )
