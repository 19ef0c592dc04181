"""Polls the platform's list of VMs, which lags behind their state."""

from collections.abc import Callable

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.infrastructure.messages import Vm, VmList
from chicorystack.observe.logs import part_logger
from chicorystack.web.client import JsonClient, UnreachableError

log = part_logger("vm-list")


class VmListPoller:
    """Holds the last received VM list.

    Attributes:
        vm_by_name: The VMs of that list.
        loaded: Whether a list has been received.
    """

    def __init__(self, reactor, client: JsonClient, url: str):
        self._client = client
        self._url = url
        self._version = -1
        self._listeners: list[Callable[[], None]] = []
        self._loop = task.LoopingCall(self._poll)
        self._loop.clock = reactor
        self.vm_by_name: dict[str, Vm] = {}
        self.loaded = False

    def start(self) -> None:
        """Starts polling."""
        self._loop.start(defaults.VM_LIST_POLL_INTERVAL_S)

    def stop(self) -> None:
        """Stops polling."""
        if self._loop.running:
            self._loop.stop()

    def on_change(self, listener: Callable[[], None]) -> None:
        """Calls a listener after each change of the list."""
        self._listeners.append(listener)

    async def _fetch(self) -> None:
        try:
            vm_list = await self._client.get(self._url, VmList)
        except (UnreachableError, ApiError) as error:
            log.warning("cannot read the VM list: {}", error)
            return
        self.loaded = True
        if vm_list["version"] == self._version:
            return
        self._version = vm_list["version"]
        self.vm_by_name = {vm["name"]: vm for vm in vm_list["vms"]}
        for listener in self._listeners:
            listener()

    def _poll(self):
        return defer.ensureDeferred(self._fetch())
