"""Which router may use which part of all limits.

Each router owns an equal share of every target's limit. It leases its share to
a coordinator for a short time, again and again; a coordinator that is cut off
or has died loses the shares as the leases end, and never before that another
router may use them. So the parts in use add up to one, however routers are cut
off from each other.
"""

from typing import NamedTuple


class Coordinator(NamedTuple):
    """A process that collects shares.

    Attributes:
        router: Name of its router.
        process: ID of the process.
    """

    router: str
    process: str


class ShareLedger:
    """One router's own share, and the shares that others lease to it.

    Attributes:
        own_usable_at: Clock time before which the own share must not be used,
            in seconds: a former process of this router may have leased it.
    """

    def __init__(self, clock):
        self._clock = clock
        self._coordinator: Coordinator | None = None
        self._leased_until = 0.0
        self._held_until_by_router: dict[str, float] = {}
        self.own_usable_at = 0.0

    def seconds(self) -> float:
        """Returns the time by which leases end, in seconds."""
        return self._clock.seconds()

    def lease_to(self, coordinator: Coordinator, lease_s: float) -> bool:
        """Leases the own share; returns whether it is free to be leased.

        A new process of the same router replaces its predecessor.
        """
        now = self._clock.seconds()
        if now < self.own_usable_at:
            return False
        holder = self._coordinator
        if (
            holder is not None
            and holder.router != coordinator.router
            and now < self._leased_until
        ):
            return False
        self._coordinator = coordinator
        self._leased_until = max(self._leased_until, now + lease_s)
        return True

    def hold(self, router: str, until: float) -> None:
        """Records that another router's share may be used until then.

        Args:
            router: The router.
            until: A time by `seconds`.
        """
        self._held_until_by_router[router] = until

    def held(self) -> int:
        """Returns the number of shares that this router may use now."""
        now = self._clock.seconds()
        self._held_until_by_router = {
            router: until
            for router, until in self._held_until_by_router.items()
            if until > now
        }
        shares = len(self._held_until_by_router)
        if now >= max(self.own_usable_at, self._leased_until):
            shares += 1
        return shares
