"""A clock that goes on while the VM is suspended."""

import time

from chicorystack import defaults


class LeaseClock:
    """A clock's time, and the time for which the VM has been suspended.

    The reactor's clock stops while the VM is suspended. Leases are read by two
    VMs, of which the other one goes on.
    """

    def __init__(self, clock):
        self._clock = clock
        self._start_s = _seconds_suspended()
        self._suspended_s = 0.0

    def seconds(self) -> float:
        """Returns the clock time, in seconds."""
        suspended_s = _seconds_suspended() - self._start_s
        if suspended_s >= self._suspended_s + defaults.MIN_SUSPENSION_S:
            self._suspended_s = suspended_s
        return self._clock.seconds() + self._suspended_s


def _seconds_suspended() -> float:
    """Returns for how long the VM has been suspended since its boot."""
    since_boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return since_boot_s - time.clock_gettime(time.CLOCK_MONOTONIC)
