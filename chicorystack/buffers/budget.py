"""Budget of the bytes that a process holds in memory for its callers.

The budget only counts. Its user pauses the target of a caller that exceeds its
own limit, and disconnects `victim()` while the process exceeds its limit.
"""

import math
from collections.abc import Hashable
from typing import NamedTuple

from chicorystack import defaults


class BufferLimits(NamedTuple):
    """Limits on held bytes.

    Attributes:
        bytes_per_caller: Bytes above which a caller's target is paused.
        bytes_in_all: Bytes above which callers are disconnected; infinity for
            none.
    """

    bytes_per_caller: float
    bytes_in_all: float


# Targets pause as soon as their callers are slow.
NO_BUFFERING = BufferLimits(0, math.inf)


def limits_for_memory(memory_bytes: float) -> BufferLimits:
    """Returns the limits for a process with that memory limit.

    Args:
        memory_bytes: Memory limit of the process; infinity if unknown.
    """
    if memory_bytes == math.inf:
        return NO_BUFFERING
    unused_bytes = memory_bytes - defaults.PROCESS_BASE_BYTES
    bytes_in_all = max(
        unused_bytes * defaults.HELD_UNUSED_FRACTION,
        memory_bytes * defaults.HELD_MIN_FRACTION,
    )
    return BufferLimits(
        bytes_in_all * defaults.HELD_PER_CALLER_FRACTION, bytes_in_all
    )


class BufferBudget:
    """Counts the bytes held for each caller and in total.

    Attributes:
        held_bytes: Bytes held for all callers.
        limit_bytes: Limit on held_bytes; infinity for none.
    """

    def __init__(self, limit_bytes_per_caller: float, limit_bytes: float):
        self.held_bytes = 0
        self.limit_bytes = limit_bytes
        self._limit_bytes_per_caller = limit_bytes_per_caller
        self._bytes_by_caller: dict[Hashable, int] = {}

    def set_limits(
        self, limit_bytes_per_caller: float, limit_bytes: float
    ) -> None:
        """Applies changed limits."""
        self._limit_bytes_per_caller = limit_bytes_per_caller
        self.limit_bytes = limit_bytes

    def hold(self, caller: Hashable, size: int) -> None:
        """Counts bytes that are held for a caller, also above its limit."""
        self._bytes_by_caller[caller] = self.held_by(caller) + size
        self.held_bytes += size

    def release(self, caller: Hashable, size: int) -> None:
        """Counts bytes that are no longer held; at most those held."""
        held = self.held_by(caller)
        released = min(size, held)
        self.held_bytes -= released
        if released < held:
            self._bytes_by_caller[caller] = held - released
        else:
            self._bytes_by_caller.pop(caller, None)

    def release_all(self, caller: Hashable) -> None:
        """Counts that nothing is held for a caller any longer."""
        self.held_bytes -= self._bytes_by_caller.pop(caller, 0)

    def held_by(self, caller: Hashable) -> int:
        """Returns the bytes held for a caller."""
        return self._bytes_by_caller.get(caller, 0)

    def exceeds(self, caller: Hashable) -> bool:
        """Whether a caller exceeds its limit, so that its target must pause."""
        return self.held_by(caller) > self._limit_bytes_per_caller

    def has_room(self, caller: Hashable) -> bool:
        """Whether the paused target of a caller may send again.

        It may once half of the limit is free, so that it does not alternate
        between both states with each block that the caller reads.
        """
        room_bytes = (
            self._limit_bytes_per_caller * defaults.HELD_RESUME_FRACTION
        )
        return self.held_by(caller) <= room_bytes

    def victim(self) -> Hashable | None:
        """Returns the caller to disconnect: the one with most bytes held.

        Returns:
            The caller; None while the process keeps its limit.
        """
        if self.held_bytes <= self.limit_bytes:
            return None
        return max(self._bytes_by_caller, key=self._bytes_by_caller.__getitem__)
