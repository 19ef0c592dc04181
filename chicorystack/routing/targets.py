"""The targets that a router may send calls to, and their load."""

from collections.abc import Callable
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.calls.messages import LoadReport
from chicorystack.config.messages import CONFIG_STREAM
from chicorystack.config.model import FleetConfig, Service
from chicorystack.errors import ApiError
from chicorystack.infrastructure.messages import Vm
from chicorystack.membership.availability import TargetAvailability
from chicorystack.observe.decisions import decisions
from chicorystack.observe.logs import part_logger
from chicorystack.util import rendezvous_order

log = part_logger("targets")


class TargetState(NamedTuple):
    """One target as a router sees it.

    Attributes:
        name: Name of the target.
        url: Base URL of its agent.
        data_centre: Its data centre.
        in_flight: Calls from this router in flight at the target.
        service: Service that it offers.
        limit: Most calls in flight at the target from all routers.
        in_flight_elsewhere: Calls from other routers in flight at the target,
            as of the last report.
        reported_at: Time on the router's clock of the last report.
    """

    name: str
    url: str
    data_centre: str
    in_flight: int = 0
    service: str = ""
    limit: int = defaults.MAX_IN_FLIGHT_PER_TARGET
    in_flight_elsewhere: int = 0
    reported_at: float = 0.0

    @property
    def load(self) -> int:
        """Calls in flight at the target, other routers' as last reported."""
        return self.in_flight + self.in_flight_elsewhere

    @property
    def has_capacity(self) -> bool:
        """Whether one more call stays within the limit."""
        return self.load < self.limit


class TargetTable:
    """Targets by name, from the configuration and the VM list.

    Attributes:
        target_by_name: Targets that appear in both.
        evacuated: Data centres whose targets get no new calls.
    """

    def __init__(
        self, data_centre: str, router: str, availability: TargetAvailability
    ):
        self._data_centre = data_centre
        self._router = router
        self._availability = availability
        self._capacity_listeners: list[Callable[[str], None]] = []
        self.target_by_name: dict[str, TargetState] = {}
        self._target_name_by_url: dict[str, str] = {}
        self.evacuated: frozenset[str] = frozenset()

    def on_capacity(self, listener: Callable[[str], None]) -> None:
        """Registers a listener for services that may have free capacity.

        Args:
            listener: Called with the name of the service.
        """
        self._capacity_listeners.append(listener)

    def update(
        self, config: FleetConfig, site: str, vm_by_name: dict[str, Vm]
    ) -> None:
        """Applies a new configuration or VM list."""
        self._availability.update_vm_list(vm_by_name)
        self._set_evacuated(config.evacuated)
        previous = self.target_by_name
        self.target_by_name = {}
        if site not in config.site_by_name:
            return
        for service in config.site_by_name[site].service_by_name.values():
            for name, target in service.target_by_name.items():
                if name not in vm_by_name:
                    continue
                vm = vm_by_name[name]
                known = previous.get(name, TargetState(name, "", ""))
                self.target_by_name[name] = known._replace(
                    url=f"http://{vm['address']}:{vm['port']}",
                    data_centre=target.data_centre,
                    service=service.name,
                    limit=service.max_in_flight,
                )
            self._notify_capacity(service.name)
        self._target_name_by_url = {
            target.url: name for name, target in self.target_by_name.items()
        }

    def name_for_url(self, url: str) -> str | None:
        """Returns the name of the target whose agent has this URL."""
        return self._target_name_by_url.get(url)

    def subset(self, service: Service) -> list[TargetState]:
        """Returns the subset of a service's targets that this router uses.

        At least half of them are in its own data centre if there are enough.
        The choice is by rendezvous hashing, which spreads the routers
        over the targets.
        """
        names = rendezvous_order(self._router, service.target_by_name)
        targets = [
            self.target_by_name[name]
            for name in names
            if name in self.target_by_name
        ]
        if len(targets) <= defaults.TARGETS_PER_ROUTER:
            return targets
        local = [t for t in targets if t.data_centre == self._data_centre]
        local = local[: defaults.TARGETS_PER_ROUTER // 2]
        rest = [target for target in targets if target not in local]
        return local + rest[: defaults.TARGETS_PER_ROUTER - len(local)]

    def polled_targets(self, service: Service) -> list[TargetState]:
        """Returns the targets of a service to poll for load reports.

        All of them are polled if the service has a non-repeatable operation,
        as any target may own the key of such a call.
        """
        operations = service.operation_by_name.values()
        if all(operation.repeatable for operation in operations):
            return self.subset(service)
        names = service.target_by_name
        known = self.target_by_name
        return [known[name] for name in names if name in known]

    def usable_targets(
        self, service: Service, tried: frozenset[str]
    ) -> list[TargetState]:
        """Returns the subset's untried targets that accept new calls."""
        return [
            target
            for target in self.subset(service)
            if target.name not in tried
            and target.data_centre not in self.evacuated
            and self._availability.accepts_calls(target.name)
        ]

    def no_target_error(self, service: Service) -> ApiError:
        """Returns the refusal of a call that no target can take."""
        data_centres = {t.data_centre for t in service.target_by_name.values()}
        if data_centres and data_centres <= self.evacuated:
            return evacuated_error(service, data_centres)
        return ApiError(
            "no_target",
            f"no target of {service.name} can take the call",
            retry_after_ms=defaults.RETRY_AFTER_MS,
        )

    def has_target(self, service: Service) -> bool:
        """Returns whether any target of a service accepts new calls."""
        return any(
            map(self._availability.accepts_calls, service.target_by_name)
        )

    def accepts_calls(self, name: str) -> bool:
        """Returns whether a target may be sent new calls now."""
        return self._availability.accepts_calls(name)

    def mark_draining(self, name: str, sent_at: float) -> None:
        """Records that an agent refused a call because its target drains.

        Args:
            name: Name of the target.
            sent_at: Time on the clock when the call was sent.
        """
        self._availability.record_status(name, False, sent_at)

    def owner(self, service: Service, key: str) -> TargetState | None:
        """Returns the only target that may run a non-repeatable call."""
        order = rendezvous_order(key, service.target_by_name)
        return self.target_by_name.get(order[0]) if order else None

    def adjust_in_flight(self, name: str, delta: int) -> None:
        """Counts a call that starts (+1) or ends (-1)."""
        target = self.target_by_name.get(name)
        if target is None:
            return
        in_flight = max(0, target.in_flight + delta)
        self.target_by_name[name] = target._replace(in_flight=in_flight)
        if delta < 0:
            self._notify_capacity(target.service)

    def update_load(self, name: str, in_flight: int, now: float) -> None:
        """Updates a target's load.

        Args:
            name: Name of the target.
            in_flight: The agent's count of calls in flight from all routers,
                this one included.
            now: Time on the router's clock.
        """
        target = self.target_by_name.get(name)
        if target is None:
            return
        self.target_by_name[name] = target._replace(
            in_flight_elsewhere=max(0, in_flight - target.in_flight),
            reported_at=now,
        )

    def record_report(self, report: LoadReport, now: float) -> None:
        """Records an agent's load report."""
        name = report["target"]
        if name not in self.target_by_name:
            return
        self.update_load(name, report["in_flight"], now)
        self._notify_capacity(self.target_by_name[name].service)

    def mark_full(self, name: str, now: float) -> None:
        """Records that an agent refused a call because the target is full.

        The call must still be counted as in flight.
        """
        target = self.target_by_name.get(name)
        if target is None:
            return
        in_flight_elsewhere = max(
            target.in_flight_elsewhere, target.limit - target.in_flight + 1
        )
        self.target_by_name[name] = target._replace(
            in_flight_elsewhere=in_flight_elsewhere, reported_at=now
        )

    def _set_evacuated(self, evacuated: frozenset[str]) -> None:
        if evacuated == self.evacuated:
            return
        self.evacuated = evacuated
        names = ", ".join(sorted(evacuated)) or "none"
        log.info("evacuated data centres: {}", names)
        decisions.record_notable(
            CONFIG_STREAM, "targets", f"evacuated data centres: {names}", ""
        )

    def _notify_capacity(self, service: str) -> None:
        for listener in self._capacity_listeners:
            listener(service)


def evacuated_error(service: Service, data_centres: set[str]) -> ApiError:
    """Returns the refusal of a call whose data centres are evacuated."""
    names = ", ".join(sorted(data_centres))
    return ApiError(
        "evacuated",
        f"the data centres of {service.name} are evacuated: {names}",
        retry_after_ms=defaults.RETRY_AFTER_MS,
    )
