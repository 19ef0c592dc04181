"""Holds the configuration in force; a version is never reverted."""

from collections.abc import Callable

from chicorystack.config.log_state import ConfigLogState, Publication
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

    It is the newest version received from the log or from peers. Versions from
    peers do not change `log_state`, which decides on publications. So a process
    that received a version from a peer before reading it still decides by the
    order of the log.

    Attributes:
        config: The configuration in force; version 0 until one is known.
        log_state: State of the config stream, as far as it has been read.
    """

    def __init__(self):
        self.config = FleetConfig()
        self.log_state = ConfigLogState()
        self._in_force = ConfigInForce(version=0, config=None, offset=-1)
        self._listeners: list[Callable[[FleetConfig], None]] = []

    def on_change(self, listener: Callable[[FleetConfig], None]) -> None:
        """Registers a listener that is called with each new configuration."""
        self._listeners.append(listener)

    def deliver(self, entry: LogEntry) -> bool:
        """Applies an entry of the config stream.

        Returns:
            Whether the entry contains the version in force according to the
            log.
        """
        has_version_in_force = self.log_state.apply(entry)
        if self.log_state.latest is not None:
            self._update_from_log(self.log_state.latest)
        return has_version_in_force

    def publication_id(self, version: int) -> str | None:
        """Returns the id of the record that created one of the last versions.

        Returns None for an unknown version and for one that is too old.
        """
        return self.log_state.publication_id(version)

    def in_force(self, known: int = 0) -> ConfigInForce:
        """Returns the version in force, with its contents if newer.

        Args:
            known: Version that the peer has.
        """
        if known >= self._in_force["version"]:
            return ConfigInForce(
                version=self._in_force["version"],
                config=None,
                offset=self._in_force["offset"],
            )
        return self._in_force

    def update_from_peer(self, received: ConfigInForce) -> bool:
        """Adopts a peer's version if it is newer; returns whether it was."""
        self._check_offset(received["version"], received["offset"])
        if (
            received["config"] is None
            or received["version"] <= self.config.version
        ):
            return False
        self._activate(received)
        return True

    def _update_from_log(self, latest: Publication) -> None:
        self._check_offset(latest.version, latest.offset)
        if latest.version <= self.config.version:
            return
        self._activate(
            ConfigInForce(
                version=latest.version,
                config=latest.record["config"],
                offset=latest.offset,
            )
        )

    def _check_offset(self, version: int, offset: int) -> None:
        if version == self.config.version:
            require(
                "one_publication_per_version",
                offset == self._in_force["offset"],
                f"version {version} at {offset} and at "
                f"{self._in_force['offset']}",
            )

    def _activate(self, received: ConfigInForce) -> None:
        require(
            "config_never_reverts",
            received["version"] > self.config.version,
            f"version {received['version']} after {self.config.version}",
        )
        self._in_force = received
        self.config = build_config(received["config"], received["version"])
        log.info("configuration version {} is in force", self.config.version)
        metrics.count("config.entered")
        decisions.record_notable(
            CONFIG_STREAM,
            "config",
            f"version {received['version']} in force",
            f"record at offset {received['offset']}",
        )
        for listener in self._listeners:
            listener(self.config)
