"""A fixed number of slots, given out by priority."""

import heapq
from itertools import count

from twisted.internet import defer

from chicorystack.config.model import Priority

RANK_BY_PRIORITY: dict[Priority, int] = {"high": 0, "normal": 1, "low": 2}


class PrioritySlots:
    """Slots that waiters of higher priority get first.

    Attributes:
        free: Slots that nobody holds.
    """

    def __init__(self, slots: int):
        self.free = slots
        self._numbers = count()
        self._waiting: list[tuple[int, int, defer.Deferred[None]]] = []

    async def acquire(self, priority: Priority) -> None:
        """Waits for a slot; a cancelled waiter gets none."""
        if self.free:
            self.free -= 1
            return
        turn: defer.Deferred[None] = defer.Deferred()
        rank = RANK_BY_PRIORITY[priority]
        heapq.heappush(self._waiting, (rank, next(self._numbers), turn))
        await turn

    def release(self) -> None:
        """Gives a slot back or on to the next waiter."""
        while self._waiting:
            turn = heapq.heappop(self._waiting)[-1]
            if not turn.called:
                turn.callback(None)
                return
        self.free += 1
