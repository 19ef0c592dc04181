"""The operating system's boot-time clock, which includes suspended time."""

import time
from collections.abc import Callable

from chicorystack.budget.grants.records import Instant


def _seconds_since_boot() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootClock:
    """Time since the VM's boot, from CLOCK_BOOTTIME; see BootTimeClock.

    The boot's Unix time is computed once per process, so that a step of the
    wall clock while the process runs does not look like another boot and does
    not change how fast the limit of its grants rises.
    """

    def __init__(
        self,
        unix_time: Callable[[], float] = time.time,
        since_boot: Callable[[], float] = _seconds_since_boot,
    ):
        self._since_boot = since_boot
        self._boot_time = unix_time() - since_boot()

    def instant(self) -> Instant:
        """Returns the current time."""
        return Instant(boot_time=self._boot_time, seconds=self._since_boot())
