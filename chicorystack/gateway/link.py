"""Meters how much of its network link a router uses.

Each request and each response passes a router's link twice, once in each
direction, so one rate describes both directions. It is an average over about
LINK_RATE_TIME_CONSTANT_S.
"""

import math

from chicorystack import defaults


class LinkMeter:
    """Use of a VM's link."""

    def __init__(self, clock, bytes_per_s: float):
        """Starts with an idle link.

        Args:
            clock: The reactor.
            bytes_per_s: Capacity in each direction; infinity if unknown.
        """
        self._clock = clock
        self._bytes_per_s = bytes_per_s
        self._decayed_bytes = 0.0
        self._decayed_at = clock.seconds()

    def set_capacity(self, bytes_per_s: float) -> None:
        """Applies a changed capacity."""
        self._bytes_per_s = bytes_per_s

    def record(self, byte_count: int) -> None:
        """Counts a message that is received and sent on."""
        self._decay()
        self._decayed_bytes += byte_count + defaults.PACKET_OVERHEAD_BYTES

    def utilization(self) -> float:
        """Returns the used part of the link; 1 for a full one."""
        self._decay()
        used_bytes_per_s = (
            self._decayed_bytes / defaults.LINK_RATE_TIME_CONSTANT_S
        )
        return used_bytes_per_s / self._bytes_per_s

    def _decay(self) -> None:
        now = self._clock.seconds()
        age_s = now - self._decayed_at
        self._decayed_bytes *= math.exp(
            -age_s / defaults.LINK_RATE_TIME_CONSTANT_S
        )
        self._decayed_at = now
