"""Readiness of a router: every service has been settled, one way or the other.

A router that says it is ready is sent callers. It waits with that until each
service that its configuration names has a target that takes work, or has had
the time to find one.
"""

from collections.abc import Callable, Iterable

from chicorystack import defaults


class ServiceReadiness:
    """Which services of a router are settled.

    A service that is settled stays so: if its targets leave later, callers
    are refused with a reason, and the router still serves the other services.
    """

    def __init__(self, clock, has_target: Callable[[str], bool]):
        """Starts with no service.

        Args:
            clock: The reactor.
            has_target: Tells whether a service, given by name, has a target
                that takes work.
        """
        self._clock = clock
        self._has_target = has_target
        self._settle_by_by_service: dict[str, float] = {}
        self._settled: set[str] = set()

    def update(self, services: Iterable[str]) -> None:
        """Takes over the names of the services to be served."""
        names = set(services)
        now = self._clock.seconds()
        self._settled &= names
        self._settle_by_by_service = {
            name: self._settle_by_by_service.get(
                name, now + defaults.SERVICE_SETTLE_S
            )
            for name in names
        }

    def unsettled(self) -> list[str]:
        """Returns services that may still turn out to have a target."""
        now = self._clock.seconds()
        for name, settle_by in self._settle_by_by_service.items():
            if now >= settle_by or self._has_target(name):
                self._settled.add(name)
        return sorted(set(self._settle_by_by_service) - self._settled)
