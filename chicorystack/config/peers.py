"""Polls peers for the configuration in processes that don't read the log."""

from collections.abc import Callable, Iterable

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.config.messages import ConfigInForce
from chicorystack.config.store import ConfigStore
from chicorystack.errors import ApiError
from chicorystack.infrastructure.messages import Vm
from chicorystack.observe.logs import part_logger
from chicorystack.util import rendezvous_order
from chicorystack.web.client import JsonClient, UnreachableError

log = part_logger("config")


def live_routers(vms: Iterable[Vm]) -> list[Vm]:
    """Returns the routers whose state in the VM list is `live`."""
    return [
        vm for vm in vms if vm["role"] == "router" and vm["state"] == "live"
    ]


def config_readers(vms: Iterable[Vm]) -> list[str]:
    """Returns the names of the routers that read the config stream.

    These are a few per data centre, chosen and sorted by rendezvous hashing,
    so that the load on the log does not grow with the number of routers.
    """
    names_by_location: dict[tuple[str, str], list[str]] = {}
    for vm in live_routers(vms):
        location = (vm["site"], vm["data_centre"])
        names_by_location.setdefault(location, []).append(vm["name"])
    readers = [
        name
        for names in names_by_location.values()
        for name in rendezvous_order("config", names)[
            : defaults.CONFIG_READERS_PER_DATA_CENTRE
        ]
    ]
    return rendezvous_order("config", readers)


def config_peer_urls(
    vms: Iterable[Vm], name: str, data_centre: str
) -> list[str]:
    """Returns the control URLs of the routers that a process polls, in order.

    Routers in its own data centre come first. At least one in another data
    centre follows, if there is one, so that a newer version is found even if
    all routers in its own data centre lag.
    """
    vm_by_name = {vm["name"]: vm for vm in live_routers(vms)}
    vm_by_name.pop(name, None)
    order = [vm_by_name[peer] for peer in rendezvous_order(name, vm_by_name)]
    local = [vm for vm in order if vm["data_centre"] == data_centre]
    remote = [vm for vm in order if vm["data_centre"] != data_centre]
    local_count = defaults.CONFIG_PEERS - min(len(remote), 1)
    chosen = (local[:local_count] + remote)[: defaults.CONFIG_PEERS]
    return [f"http://{vm['address']}:{vm['port']}" for vm in chosen]


class PeerPoller:
    """Polls peers in turn, one at a time, for a newer configuration.

    Attributes:
        request_count: Number of requests sent.
    """

    def __init__(
        self,
        reactor,
        client: JsonClient,
        store: ConfigStore,
        peer_urls: Callable[[], list[str]],
        is_needed: Callable[[], bool],
    ):
        self._client = client
        self._store = store
        self._peer_urls = peer_urls
        self._is_needed = is_needed
        self._last_index = 0
        self._poll_running = False
        self._loop = task.LoopingCall(self._poll_if_needed)
        self._loop.clock = reactor
        self.request_count = 0

    def start(self) -> None:
        """Starts polling."""
        self._loop.start(defaults.CONFIG_POLL_INTERVAL_S)

    def stop(self) -> None:
        """Stops polling."""
        if self._loop.running:
            self._loop.stop()

    def handle_peer_version(self, version: int) -> None:
        """Polls at once if a peer's version is newer than this process's."""
        if version > self._store.config.version:
            self._start_poll()

    def _poll_if_needed(self) -> None:
        if self._is_needed():
            self._start_poll()

    def _start_poll(self) -> None:
        if self._poll_running:
            return
        self._poll_running = True
        poll = defer.ensureDeferred(self._poll_peers())
        poll.addErrback(_log_failure)

    async def _poll_peers(self) -> None:
        """Polls one peer after another until one has answered."""
        try:
            for _ in self._peer_urls():
                if await self._poll_next_peer():
                    return
        finally:
            self._poll_running = False

    async def _poll_next_peer(self) -> bool:
        urls = self._peer_urls()
        if not urls:
            return False
        self._last_index += 1
        url = urls[self._last_index % len(urls)]
        known = self._store.config.version
        self.request_count += 1
        try:
            received = await self._client.get(
                f"{url}/config?known={known}",
                ConfigInForce,
                defaults.CONFIG_PEER_TIMEOUT_S,
            )
        except (UnreachableError, ApiError) as error:
            log.debug("peer {} did not answer: {}", url, error)
            return False
        self._store.update_from_peer(received)
        return True


def _log_failure(failure) -> None:
    log.opt(exception=failure.value).error(
        "polling peers for the configuration failed"
    )
