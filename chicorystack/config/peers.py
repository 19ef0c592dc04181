"""Takes the configuration from peers where the log is not read."""

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
    """Returns the routers that the VM list does not show as leaving."""
    return [
        vm for vm in vms if vm["role"] == "router" and vm["state"] == "live"
    ]


def config_readers(vms: Iterable[Vm]) -> list[str]:
    """Returns names of the routers that read the config stream.

    They are a few in each data centre, in rendezvous order, so that the load
    on the log does not grow with the number of routers.
    """
    names_by_place: dict[tuple[str, str], list[str]] = {}
    for vm in live_routers(vms):
        place = (vm["site"], vm["data_centre"])
        names_by_place.setdefault(place, []).append(vm["name"])
    readers = [
        name
        for names in names_by_place.values()
        for name in rendezvous_order("config", names)[
            : defaults.CONFIG_READERS_PER_DATA_CENTRE
        ]
    ]
    return rendezvous_order("config", readers)


def config_peers(vms: Iterable[Vm], name: str, data_centre: str) -> list[str]:
    """Returns control URLs of the routers that a process asks, in order.

    Most are of its own data centre; the last ones are not, so that a data
    centre whose routers are all behind is left.
    """
    vm_by_name = {vm["name"]: vm for vm in live_routers(vms)}
    vm_by_name.pop(name, None)
    order = [vm_by_name[peer] for peer in rendezvous_order(name, vm_by_name)]
    near = [vm for vm in order if vm["data_centre"] == data_centre]
    far = [vm for vm in order if vm["data_centre"] != data_centre]
    near_count = defaults.CONFIG_PEERS - min(len(far), 1)
    chosen = (near[:near_count] + far)[: defaults.CONFIG_PEERS]
    return [f"http://{vm['address']}:{vm['port']}" for vm in chosen]


class PeerPoller:
    """Asks peers in turn, one at a time, for a newer configuration.

    Attributes:
        asked: Number of questions sent.
    """

    def __init__(
        self,
        reactor,
        client: JsonClient,
        store: ConfigStore,
        peer_urls: Callable[[], list[str]],
        needed: Callable[[], bool],
    ):
        self._client = client
        self._store = store
        self._peer_urls = peer_urls
        self._needed = needed
        self._turn = 0
        self._asking = False
        self._loop = task.LoopingCall(self._poll)
        self._loop.clock = reactor
        self.asked = 0

    def start(self) -> None:
        """Begins to poll."""
        self._loop.start(defaults.CONFIG_POLL_S)

    def stop(self) -> None:
        """Stops polling."""
        if self._loop.running:
            self._loop.stop()

    def note_version(self, version: int) -> None:
        """Asks at once where an exchange shows that this process is behind."""
        if version > self._store.config.version:
            self._start_asking()

    def _poll(self) -> None:
        if self._needed():
            self._start_asking()

    def _start_asking(self) -> None:
        if self._asking:
            return
        self._asking = True
        asking = defer.ensureDeferred(self._ask())
        asking.addErrback(_log_failure)

    async def _ask(self) -> None:
        """Asks until one peer has answered or all have failed."""
        try:
            for _ in self._peer_urls():
                if await self._ask_next():
                    return
        finally:
            self._asking = False

    async def _ask_next(self) -> bool:
        urls = self._peer_urls()
        if not urls:
            return False
        self._turn += 1
        url = urls[self._turn % len(urls)]
        known = self._store.config.version
        self.asked += 1
        try:
            told = await self._client.get(
                f"{url}/config?known={known}",
                ConfigInForce,
                defaults.CONFIG_PEER_TIMEOUT_S,
            )
        except (UnreachableError, ApiError) as error:
            log.debug("peer {} did not answer: {}", url, error)
            return False
        self._store.take_from_peer(told)
        return True


def _log_failure(failure) -> None:
    log.opt(exception=failure.value).error("asking peers failed")
