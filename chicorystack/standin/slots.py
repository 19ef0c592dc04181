"""A semaphore whose waiters are served by priority."""

import heapq
from itertools import count

from twisted.internet import defer

from chicorystack.config.model import Priority

RANK_BY_PRIORITY: dict[Priority, int] = {"high": 0, "normal": 1, "low": 2}


class PrioritySlots:
    """A fixed number of slots; waiters of higher priority get them first.

    Attributes:
        free: Slots that are not held.
    """

    def __init__(self, slots: int):
        self.free = slots
        self._sequence_numbers = count()
        self._waiters: list[tuple[int, int, defer.Deferred[None]]] = []

    async def acquire(self, priority: Priority) -> None:
        """Waits for a slot; a cancelled waiter does not get one."""
        if self.free:
            self.free -= 1
            return
        slot_granted: defer.Deferred[None] = defer.Deferred()
        rank = RANK_BY_PRIORITY[priority]
        heapq.heappush(
            self._waiters, (rank, next(self._sequence_numbers), slot_granted)
        )
        await slot_granted

    def release(self) -> None:
        """Releases a slot, which passes to the next waiter if there is one."""
        while self._waiters:
            slot_granted = heapq.heappop(self._waiters)[-1]
            if not slot_granted.called:
                slot_granted.callback(None)
                return
        self.free += 1
