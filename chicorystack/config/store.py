"""Holds the configuration in force and never goes back to an older one."""

from collections.abc import Callable

from chicorystack.config.fold import ConfigFold, Publication
from chicorystack.config.messages import CONFIG_STREAM, ConfigInForce
from chicorystack.config.model import FleetConfig, build_config
from chicorystack.infrastructure.messages import LogEntry
from chicorystack.observe.decisions import decisions
from chicorystack.observe.invariants import require
from chicorystack.observe.logs import part_logger
from chicorystack.observe.metrics import metrics

log = part_logger("config")


class ConfigStore:
    """The configuration in force at one process.

    It is the newest of what the log says, as far as it has been read here,
    and what peers say. Peers never touch the state that judges publications,
    so a process that heard a version early still judges by the log's order.

    Attributes:
        config: The configuration in force; version 0 until one is known.
        fold: What the log says.
    """

    def __init__(self):
        self.config = FleetConfig()
        self.fold = ConfigFold()
        self._in_force = ConfigInForce(version=0, config=None, offset=-1)
        self._listeners: list[Callable[[FleetConfig], None]] = []

    def on_change(self, listener: Callable[[FleetConfig], None]) -> None:
        """Calls listener with each new configuration."""
        self._listeners.append(listener)

    def deliver(self, entry: LogEntry) -> bool:
        """Takes an entry of the config stream.

        Returns:
            Whether the entry carries the version that the log has in force.
        """
        carries = self.fold.apply(entry)
        if self.fold.latest is not None:
            self._take_publication(self.fold.latest)
        return carries

    def winner_of(self, version: int) -> str | None:
        """Returns the id of the record that made one of the last versions."""
        return self.fold.winner_of(version)

    def in_force(self, known: int = 0) -> ConfigInForce:
        """Returns what a peer that knows a version needs to take over."""
        if known >= self._in_force["version"]:
            return ConfigInForce(
                version=self._in_force["version"],
                config=None,
                offset=self._in_force["offset"],
            )
        return self._in_force

    def take_from_peer(self, told: ConfigInForce) -> bool:
        """Takes a peer's version where it is newer; tells whether it was."""
        self._check_same(told["version"], told["offset"])
        if told["config"] is None or told["version"] <= self.config.version:
            return False
        self._enter(told)
        return True

    def _take_publication(self, latest: Publication) -> None:
        self._check_same(latest.version, latest.offset)
        if latest.version <= self.config.version:
            return
        self._enter(
            ConfigInForce(
                version=latest.version,
                config=latest.record["config"],
                offset=latest.offset,
            )
        )

    def _check_same(self, version: int, offset: int) -> None:
        if version == self.config.version:
            require(
                "one_publication_per_version",
                offset == self._in_force["offset"],
                f"version {version} at {offset} and at "
                f"{self._in_force['offset']}",
            )

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
            CONFIG_STREAM,
            "config",
            f"version {told['version']} in force",
            f"record at offset {told['offset']}",
        )
        for listener in self._listeners:
            listener(self.config)
