"""The targets that a router may send calls to, and their state."""

from typing import NamedTuple

from chicorystack.config.model import FleetConfig, Service
from chicorystack.membership.presence import Presence
from chicorystack.platform.messages import Vm
from chicorystack.util import rendezvous_order


class TargetState(NamedTuple):
    """What a router knows of one target.

    Attributes:
        name: Name of the target.
        url: Base URL of its agent.
        data_centre: Its data centre.
        leaving: Whether it takes no new calls.
        sent: Calls that this router has in flight there.
    """

    name: str
    url: str
    data_centre: str
    leaving: bool = False
    sent: int = 0


class TargetTable:
    """Targets by name, from the configuration and the VM list.

    Attributes:
        target_by_name: Targets that are in both.
    """

    def __init__(self, data_centre: str, presence: Presence):
        self._data_centre = data_centre
        self._presence = presence
        self.target_by_name: dict[str, TargetState] = {}

    def update(
        self, config: FleetConfig, site: str, vm_by_name: dict[str, Vm]
    ) -> None:
        """Takes over a new configuration or VM list."""
        self._presence.take_vm_list(vm_by_name)
        earlier = self.target_by_name
        self.target_by_name = {}
        if site not in config.site_by_name:
            return
        for service in config.site_by_name[site].service_by_name.values():
            for name, target in service.target_by_name.items():
                if name not in vm_by_name:
                    continue
                vm = vm_by_name[name]
                self.target_by_name[name] = TargetState(
                    name,
                    f"http://{vm['address']}:{vm['port']}",
                    target.data_centre,
                    vm["state"] == "leaving",
                    earlier[name].sent if name in earlier else 0,
                )

    def pick(self, service: Service, tried: set[str]) -> TargetState | None:
        """Returns the target with the fewest calls from here.

        Among equals it is one of this router's own data centre.
        """
        candidates = [
            self.target_by_name[name]
            for name in service.target_by_name
            if name in self.target_by_name and name not in tried
        ]
        usable = [
            target
            for target in candidates
            if self._presence.takes_work(target.name)
        ]
        return min(usable, key=self._cost, default=None)

    def has_target(self, service: Service) -> bool:
        """Tells whether any target of a service takes work."""
        return any(map(self._presence.takes_work, service.target_by_name))

    def takes_work(self, name: str) -> bool:
        """Tells whether a target may be sent new work now."""
        return self._presence.takes_work(name)

    def note_refused(self, name: str, asked_at: float) -> None:
        """Notes that a target's agent refused new work."""
        self._presence.take_word(name, False, asked_at)

    def _cost(self, target: TargetState) -> tuple[int, bool]:
        return target.sent, target.data_centre != self._data_centre

    def owner(self, service: Service, key: str) -> TargetState | None:
        """Returns the one target that may run an unrepeatable call."""
        order = rendezvous_order(key, service.target_by_name)
        return self.target_by_name.get(order[0]) if order else None

    def note_sent(self, name: str, change: int) -> None:
        """Counts a call that begins (+1) or ends (-1)."""
        target = self.target_by_name.get(name)
        if target is not None:
            self.target_by_name[name] = target._replace(
                sent=max(0, target.sent + change)
            )
