"""Which routers count as live: the VM list without those that said goodbye."""

from collections.abc import Callable
from typing import TypedDict

from chicorystack import defaults
from chicorystack.config.peers import live_routers
from chicorystack.infrastructure.messages import Vm


class RouterLeaving(TypedDict):
    """A router says that it is stopping.

    Attributes:
        name: Name of its VM.
    """

    name: str


class LiveRouters:
    """Routers that may keep shards.

    The VM list lags, so a router that stops tells those that come after it.
    The notice only decides who claims a shard how soon; what a claim is worth
    is decided by the log's order. It lapses by itself, as the router may come
    back under the same name.
    """

    def __init__(self, clock, vms: Callable[[], list[Vm]]):
        self._clock = clock
        self._vms = vms
        self._forget_at_by_name: dict[str, float] = {}

    def note_leaving(self, name: str) -> None:
        """Takes a router's notice, or this router's own stop."""
        forget_at = self._clock.seconds() + defaults.LEAVING_ROUTER_KEPT_S
        self._forget_at_by_name[name] = forget_at

    def url_by_name(self) -> dict[str, str]:
        """Returns control URLs of live routers by name."""
        now = self._clock.seconds()
        self._forget_at_by_name = {
            name: forget_at
            for name, forget_at in self._forget_at_by_name.items()
            if forget_at > now
        }
        return {
            vm["name"]: f"http://{vm['address']}:{vm['port']}"
            for vm in live_routers(self._vms())
            if vm["name"] not in self._forget_at_by_name
        }
