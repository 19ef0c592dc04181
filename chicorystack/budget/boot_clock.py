"""The clock that counts a VM's sleep, from the operating system."""

import time
from collections.abc import Callable

from chicorystack.budget.grant_records import Instant


def _seconds_since_boot() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootClock:
    """Time since the VM's boot; see LeaseClock.

    The boot's Unix time is taken once: a step of the time of day during the
    life of a process is no new boot, and must not change how its terms grow.
    """

    def __init__(
        self,
        unix_time: Callable[[], float] = time.time,
        since_boot: Callable[[], float] = _seconds_since_boot,
    ):
        self._since_boot = since_boot
        self._boot = unix_time() - since_boot()

    def instant(self) -> Instant:
        """Returns the time now."""
        return Instant(boot=self._boot, seconds=self._since_boot())
