"""The clock that counts a VM's sleep, from the operating system."""

import time

from chicorystack.budget.grant_records import Instant


class BootClock:
    """Time since the VM's boot; see LeaseClock."""

    def instant(self) -> Instant:
        """Returns the time now."""
        seconds = time.clock_gettime(time.CLOCK_BOOTTIME)
        return Instant(boot=time.time() - seconds, seconds=seconds)
