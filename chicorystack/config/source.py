"""Source of a router's configuration: the log or its peers."""

from collections.abc import Callable

from chicorystack.config.messages import CONFIG_STREAM
from chicorystack.config.peers import (
    PeerPoller,
    config_peer_urls,
    config_readers,
)
from chicorystack.config.snapshots import SnapshotSchedule, SnapshotWriter
from chicorystack.config.store import ConfigStore
from chicorystack.infrastructure.log_client import LogClient, LogFollower
from chicorystack.infrastructure.messages import LogEntry, Vm
from chicorystack.settings.types import RouterSettings
from chicorystack.web.client import JsonClient


class RouterConfigSource:
    """Follows the config stream; polls peers while it does not.

    Attributes:
        peer_poller: Polls other routers.
    """

    def __init__(
        self,
        reactor,
        settings: RouterSettings,
        client: JsonClient,
        log_client: LogClient,
        store: ConfigStore,
        vms: Callable[[], list[Vm]],
    ):
        self._settings = settings
        self._store = store
        self._vms = vms
        self._reading = False
        self._follower = LogFollower(
            reactor, log_client, CONFIG_STREAM, self._deliver
        )
        self._snapshot_schedule = SnapshotSchedule(
            reactor, settings.log_retention_s, self._rank
        )
        self._snapshot_writer = SnapshotWriter(
            reactor,
            log_client,
            store.log_state,
            self._snapshot_schedule,
            self._is_caught_up,
        )
        self.peer_poller = PeerPoller(
            reactor, client, store, self._peer_urls, lambda: not self._following
        )

    def start(self) -> None:
        """Starts reading the log or polling peers."""
        self.handle_vm_list()
        self.peer_poller.start()
        self._snapshot_writer.start()

    def handle_vm_list(self) -> None:
        """Starts or stops reading the log, depending on the VM list."""
        vms = self._vms()
        name = self._settings.name
        # A router that is not listed yet does not know whether it is a reader.
        listed = any(vm["name"] == name for vm in vms)
        must_read = not listed or name in config_readers(vms)
        if must_read and not self._reading:
            self._follower.start()
        elif self._reading and not must_read:
            self._follower.stop()
        self._reading = must_read

    @property
    def _following(self) -> bool:
        return self._reading and self._follower.reachable

    def _is_caught_up(self) -> bool:
        return self._following and self._follower.caught_up

    def _rank(self) -> int:
        readers = config_readers(self._vms())
        name = self._settings.name
        return readers.index(name) if name in readers else len(readers)

    def _peer_urls(self) -> list[str]:
        settings = self._settings
        return config_peer_urls(
            self._vms(), settings.name, settings.data_centre
        )

    def _deliver(self, entry: LogEntry) -> None:
        if self._store.deliver(entry):
            self._snapshot_schedule.handle_record(self._follower.caught_up)
