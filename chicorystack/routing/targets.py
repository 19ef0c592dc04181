"""The targets that a router may send calls to, and their state."""

from collections.abc import Callable
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.calls.messages import LoadReport
from chicorystack.config.model import FleetConfig, Service
from chicorystack.infrastructure.messages import Vm
from chicorystack.membership.presence import Presence
from chicorystack.util import rendezvous_order


class TargetState(NamedTuple):
    """What a router knows of one target.

    Attributes:
        name: Name of the target.
        url: Base URL of its agent.
        data_centre: Its data centre.
        sent: Calls that this router has in flight there.
        service: Service that it offers.
        limit: Most calls in flight there from all routers.
        others: Calls of other routers there, when last reported.
        reported_at: Time on the router's clock of the last report.
    """

    name: str
    url: str
    data_centre: str
    sent: int = 0
    service: str = ""
    limit: int = defaults.MAX_IN_FLIGHT_PER_TARGET
    others: int = 0
    reported_at: float = 0.0

    @property
    def load(self) -> int:
        """Calls there: the reported ones, corrected by what was sent since."""
        return self.sent + self.others

    @property
    def has_room(self) -> bool:
        """Whether one more call keeps within the limit."""
        return self.load < self.limit


class TargetTable:
    """Targets by name, from the configuration and the VM list.

    Attributes:
        target_by_name: Targets that are in both.
    """

    def __init__(self, data_centre: str, router: str, presence: Presence):
        self._data_centre = data_centre
        self._router = router
        self._presence = presence
        self._room_listeners: list[Callable[[str], None]] = []
        self.target_by_name: dict[str, TargetState] = {}
        self._name_by_url: dict[str, str] = {}

    def on_room(self, listener: Callable[[str], None]) -> None:
        """Calls listener with a service whose targets may have room."""
        self._room_listeners.append(listener)

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
                known = earlier.get(name, TargetState(name, "", ""))
                self.target_by_name[name] = known._replace(
                    url=f"http://{vm['address']}:{vm['port']}",
                    data_centre=target.data_centre,
                    service=service.name,
                    limit=service.max_in_flight,
                )
            self._tell_room(service.name)
        self._name_by_url = {
            target.url: name for name, target in self.target_by_name.items()
        }

    def name_of(self, url: str) -> str | None:
        """Returns the name of the target whose agent has this URL."""
        return self._name_by_url.get(url)

    def subset(self, service: Service) -> list[TargetState]:
        """Returns the targets of a service that this router works with.

        Half are of its own data centre where there are enough; the choice
        is by rendezvous hashing, so that routers spread over targets.
        """
        names = rendezvous_order(self._router, service.target_by_name)
        known = [
            self.target_by_name[name]
            for name in names
            if name in self.target_by_name
        ]
        if len(known) <= defaults.TARGETS_PER_ROUTER:
            return known
        near = [t for t in known if t.data_centre == self._data_centre]
        near = near[: defaults.TARGETS_PER_ROUTER // 2]
        far = [target for target in known if target not in near]
        return near + far[: defaults.TARGETS_PER_ROUTER - len(near)]

    def of_interest(self, service: Service) -> list[TargetState]:
        """Returns the targets of a service whose agents to ask for reports.

        Any target may own the key of a call that may not be repeated.
        """
        operations = service.operation_by_name.values()
        if all(operation.repeatable for operation in operations):
            return self.subset(service)
        names = service.target_by_name
        table = self.target_by_name
        return [table[name] for name in names if name in table]

    def usable(
        self, service: Service, tried: frozenset[str]
    ) -> list[TargetState]:
        """Returns the subset's targets that take new calls."""
        return [
            target
            for target in self.subset(service)
            if target.name not in tried
            and self._presence.takes_work(target.name)
        ]

    def has_target(self, service: Service) -> bool:
        """Tells whether any target of a service takes work."""
        return any(map(self._presence.takes_work, service.target_by_name))

    def takes_work(self, name: str) -> bool:
        """Tells whether a target may be sent new work now."""
        return self._presence.takes_work(name)

    def note_refused(self, name: str, asked_at: float) -> None:
        """Notes that a target's agent refused new work."""
        self._presence.take_word(name, False, asked_at)

    def owner(self, service: Service, key: str) -> TargetState | None:
        """Returns the one target that may run an unrepeatable call."""
        order = rendezvous_order(key, service.target_by_name)
        return self.target_by_name.get(order[0]) if order else None

    def note_sent(self, name: str, change: int) -> None:
        """Counts a call that begins (+1) or ends (-1)."""
        target = self.target_by_name.get(name)
        if target is None:
            return
        sent = max(0, target.sent + change)
        self.target_by_name[name] = target._replace(sent=sent)
        if change < 0:
            self._tell_room(target.service)

    def note_in_flight(self, name: str, in_flight: int, now: float) -> None:
        """Takes an agent's count of calls in flight, this router's included."""
        target = self.target_by_name.get(name)
        if target is None:
            return
        self.target_by_name[name] = target._replace(
            others=max(0, in_flight - target.sent), reported_at=now
        )

    def note_report(self, report: LoadReport, now: float) -> None:
        """Takes an agent's load report."""
        name = report["target"]
        if name not in self.target_by_name:
            return
        self.note_in_flight(name, report["in_flight"], now)
        self._tell_room(self.target_by_name[name].service)

    def note_full(self, name: str, now: float) -> None:
        """Takes an agent's refusal of a call that still counts as sent."""
        target = self.target_by_name.get(name)
        if target is None:
            return
        others = max(target.others, target.limit - target.sent + 1)
        self.target_by_name[name] = target._replace(
            others=others, reported_at=now
        )

    def _tell_room(self, service: str) -> None:
        for listener in self._room_listeners:
            listener(service)
