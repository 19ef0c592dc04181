"""Stand-in for the platform's list of VMs, with its lag."""

from typing import TypedDict

from chicorystack.calls.messages import Empty
from chicorystack.infrastructure.messages import Vm, VmList
from chicorystack.web.server import JsonEndpoint, ResourceTree, allow_all


class VmChange(TypedDict):
    """Request to change the list.

    Attributes:
        put: VMs to add or replace.
        remove: Names of VMs to remove.
    """

    put: list[Vm]
    remove: list[str]


class VmListService:
    """A list of VMs whose changes become visible after a lag."""

    def __init__(self, clock, lag_s: float):
        self._clock = clock
        self._lag_s = lag_s
        self._vm_by_name: dict[str, Vm] = {}
        self._version = 0

    async def change(self, change: VmChange) -> Empty:
        """Schedules a change, which becomes visible after the lag."""
        self._clock.callLater(self._lag_s, self._apply, change)
        return Empty()

    async def list(self, _message: Empty) -> VmList:
        """Returns the list as currently visible."""
        vms = list(self._vm_by_name.values())
        return VmList(version=self._version, vms=vms)

    def _apply(self, change: VmChange) -> None:
        for vm in change["put"]:
            self._vm_by_name[vm["name"]] = vm
        for name in change["remove"]:
            self._vm_by_name.pop(name, None)
        self._version += 1


def vm_list_tree(service: VmListService) -> ResourceTree:
    """Returns the HTTP interface of the stand-in."""
    root = ResourceTree()
    root.put("vms", JsonEndpoint(Empty, service.list, allow_all))
    root.put("change", JsonEndpoint(VmChange, service.change, allow_all))
    return root
