"""Readiness of a router, which depends on targets of each service.

A router that reports itself ready is sent callers. So it reports ready only
once each configured service has a target that accepts new calls, or a time
limit for finding one has passed.
"""

from collections.abc import Callable, Iterable

from chicorystack import defaults


class ServiceReadiness:
    """Tracks the services for which a router still waits for a target.

    A service is resolved once it has had a target or its deadline has passed,
    and stays resolved: if its targets leave later, callers are refused with a
    reason, and the router still serves the other services.
    """

    def __init__(self, clock, has_target: Callable[[str], bool]):
        """Starts without services.

        Args:
            clock: The reactor.
            has_target: Returns whether a service, given by name, has a target
                that accepts new calls.
        """
        self._clock = clock
        self._has_target = has_target
        self._deadline_by_service: dict[str, float] = {}
        self._resolved: set[str] = set()

    def update(self, services: Iterable[str]) -> None:
        """Sets the names of the services to be served."""
        names = set(services)
        now = self._clock.seconds()
        self._resolved &= names
        self._deadline_by_service = {
            name: self._deadline_by_service.get(
                name, now + defaults.SERVICE_TARGET_WAIT_S
            )
            for name in names
        }

    def pending_services(self) -> list[str]:
        """Returns the services that the router waits for, sorted by name."""
        now = self._clock.seconds()
        for name, deadline in self._deadline_by_service.items():
            if now >= deadline or self._has_target(name):
                self._resolved.add(name)
        return sorted(set(self._deadline_by_service) - self._resolved)
