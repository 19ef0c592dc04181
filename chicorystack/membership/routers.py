"""Live routers: those on the VM list that have not announced a stop."""

from collections.abc import Callable
from typing import TypedDict

from chicorystack import defaults
from chicorystack.config.peers import live_routers
from chicorystack.infrastructure.messages import Vm


class RouterLeaving(TypedDict):
    """Notice that a router is stopping.

    Attributes:
        name: Name of its VM.
    """

    name: str


class LiveRouters:
    """Routers that may be keepers of shards.

    The VM list lags, so a stopping router notifies its possible successors.
    The notice affects only which router claims a shard, and how soon; the
    order of the log decides whether a claim is valid. A notice expires, as the
    router may return under the same name.
    """

    def __init__(self, clock, vms: Callable[[], list[Vm]]):
        self._clock = clock
        self._vms = vms
        self._notice_expiry_by_name: dict[str, float] = {}

    def mark_leaving(self, name: str) -> None:
        """Records a router's notice, or this router's own stop."""
        expires_at = self._clock.seconds() + defaults.LEAVING_NOTICE_TTL_S
        self._notice_expiry_by_name[name] = expires_at

    def url_by_name(self) -> dict[str, str]:
        """Returns the control URLs of live routers by name."""
        now = self._clock.seconds()
        self._notice_expiry_by_name = {
            name: expires_at
            for name, expires_at in self._notice_expiry_by_name.items()
            if expires_at > now
        }
        return {
            vm["name"]: f"http://{vm['address']}:{vm['port']}"
            for vm in live_routers(self._vms())
            if vm["name"] not in self._notice_expiry_by_name
        }
