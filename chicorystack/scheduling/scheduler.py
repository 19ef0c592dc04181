"""Queue of a service's calls: which start, wait or are refused.

It neither sends nor waits. Its owner calls `next` whenever a call has ended or
a target has reported, and `review` now and then while calls wait.
"""

import random
from itertools import count

from chicorystack import defaults
from chicorystack.scheduling.admission_level import AdmissionLevel, Rank
from chicorystack.scheduling.class_shares import ClassShares
from chicorystack.scheduling.fair_shares import FairShares
from chicorystack.scheduling.messages import (
    CallEnd,
    Capacity,
    Decision,
    QueuedCall,
    Refuse,
    Start,
    Wait,
)
from chicorystack.scheduling.order import (
    Order,
    SortKey,
    Waiting,
    is_late,
    late_limit,
)

DEADLINE = "deadline"
LATE = "late"
OVERLOAD = "overload"
QUEUE_FULL = "queue_full"


class Scheduler:
    """Calls of one service that wait for targets, and those that run."""

    def __init__(self, clock, capacity: Capacity, rng: random.Random):
        """Starts without calls.

        Args:
            clock: The reactor.
            capacity: Predicts when targets can take calls.
            rng: Spreads the times at which refused callers return.
        """
        self._clock = clock
        self._capacity = capacity
        self._rng = rng
        self._sequence_numbers = count()
        self._waiting_by_id: dict[str, Waiting] = {}
        self._shares = FairShares(defaults.CUSTOMER_WINDOW_CALLS)
        self._classes = ClassShares(rng)
        self._level = AdmissionLevel(clock)
        self._open_by_id: dict[str, QueuedCall] = {}
        # IDs of open calls that were sent without room.
        self._overflow: set[str] = set()

    @property
    def waiting(self) -> int:
        """Number of waiting calls."""
        return len(self._waiting_by_id)

    def offer(self, call: QueuedCall) -> Decision:
        """Decides on a new call.

        A call that waits may be the next: `next` is to be called after it.
        """
        is_raised = False
        if self._is_refused(call):
            is_raised = self._classes.grants(
                call.priority, self._level.priorities()
            )
            if not is_raised:
                return self._refuse(call, OVERLOAD, 0.0)
        if not self._waiting_by_id and self._has_room(call):
            self._start(call)
            return Start()
        candidate = self._make_waiting(call, is_raised)
        if not call.is_repeat:
            wait_s = self._expected_wait_s(candidate)
            reason = self._refusal_reason(candidate, wait_s)
            if reason is not None:
                return self._refuse(call, reason, wait_s)
        self._enqueue(candidate)
        return Wait()

    def next(self) -> QueuedCall | None:
        """Returns the call to start now, which counts as started."""
        blocked = None
        for waiting in self._in_order()[: defaults.MAX_EXAMINED_CALLS]:
            call = waiting.call
            if blocked is not None and call.priority > blocked:
                return None
            if self._has_room(call):
                self._start_waiting(waiting)
                return call
            if blocked is None:
                # Less urgent calls would delay this one further.
                blocked = call.priority
        return None

    def review(self) -> list[tuple[QueuedCall, Decision]]:
        """Decides on calls that have waited for some time.

        Returns:
            Calls that no longer wait, with Start or Refuse.
        """
        now = self._clock.seconds()
        due = [
            waiting
            for waiting in self._waiting_by_id.values()
            if waiting.review_at <= now
        ]
        decided: list[tuple[QueuedCall, Decision]] = []
        for waiting in due:
            decision = self._review(waiting)
            if not isinstance(decision, Wait):
                decided.append((waiting.call, decision))
        return decided

    def remove(self, call_id: str) -> bool:
        """Removes a waiting call whose caller left; returns whether it was."""
        waiting = self._waiting_by_id.get(call_id)
        if waiting is None:
            return False
        self._dequeue(waiting)
        return True

    def end(self, call: QueuedCall, end: CallEnd | None) -> None:
        """Counts the end of a started call; see `Capacity.ended`."""
        if self._open_by_id.pop(call.id, None) is None:
            return
        self._overflow.discard(call.id)
        self._capacity.ended(call, end)

    def _is_refused(self, call: QueuedCall) -> bool:
        """Returns whether the overload excludes calls of this rank."""
        if call.is_repeat:
            return False
        self._level.update(self._capacity.load(call))
        is_admitted = self._level.admits(_rank(call))
        return not is_admitted and not self._capacity.is_idle(call)

    def _has_room(self, call: QueuedCall) -> bool:
        """Returns whether a call that is the next may start now.

        Beyond the limit a bounded number may start: under overload calls of
        ranks that are admitted in full, otherwise calls for which a target
        reports a free slot.
        """
        if self._capacity.room(call) <= 0:
            return True
        if not self._has_overflow_room():
            return False
        if self._level.is_overloaded:
            return self._level.prefers(_rank(call))
        return self._capacity.has_slot(call)

    def _has_overflow_room(self) -> bool:
        """Returns whether calls may be sent beyond the limit."""
        allowed = len(self._open_by_id) * defaults.OVERFLOW_FRACTION
        return len(self._overflow) < max(1, int(allowed))

    def _make_waiting(self, call: QueuedCall, is_raised: bool) -> Waiting:
        waiting = Waiting(
            call,
            next(self._sequence_numbers),
            self._capacity.duration_s(call),
            is_raised,
        )
        waiting.review_at = self._clock.seconds() + _first_review_delay_s(call)
        return waiting

    def _enqueue(self, waiting: Waiting) -> None:
        self._waiting_by_id[waiting.call.id] = waiting
        self._shares.join(waiting.call.customer)

    def _dequeue(self, waiting: Waiting) -> None:
        del self._waiting_by_id[waiting.call.id]
        self._shares.leave(waiting.call.customer)

    def _start(self, call: QueuedCall) -> None:
        if self._capacity.room(call) > 0:
            self._overflow.add(call.id)
        self._open_by_id[call.id] = call
        self._capacity.started(call)
        self._classes.record(call.priority, True)

    def _start_waiting(self, waiting: Waiting) -> None:
        call = waiting.call
        self._shares.record_start(call.customer, call.weight)
        self._dequeue(waiting)
        self._start(call)

    def _refuse(self, call: QueuedCall, reason: str, wait_s: float) -> Refuse:
        self._classes.record(call.priority, False)
        return Refuse(reason, self._retry_after_s(call, wait_s))

    def _review(self, waiting: Waiting) -> Decision:
        call, now = waiting.call, self._clock.seconds()
        waiting.duration_s = self._capacity.duration_s(call)
        wait_s = self._expected_wait_s(waiting)
        useful_until = late_limit(call) - waiting.duration_s
        if (
            not call.is_repeat
            and now + wait_s <= useful_until
            and now < useful_until
        ):
            pause_s = (
                _first_review_delay_s(call) * defaults.WAIT_REVIEW_FRACTION
            )
            waiting.review_at = min(now + pause_s, useful_until)
            return Wait()
        if call.is_repeat or self._may_overflow(waiting):
            self._start_waiting(waiting)
            return Start()
        self._dequeue(waiting)
        answer_at = now + wait_s + waiting.duration_s
        reason = DEADLINE if answer_at > call.deadline else LATE
        return self._refuse(call, reason, wait_s)

    def _may_overflow(self, waiting: Waiting) -> bool:
        """Returns whether a call may be sent though the limit is reached."""
        if self._capacity.is_idle(waiting.call) or self._has_room(waiting.call):
            return True
        answer_at = self._clock.seconds() + waiting.duration_s
        if answer_at > late_limit(waiting.call):
            return False
        return self._has_overflow_room()

    def _order(self) -> Order:
        return Order(self._clock.seconds(), self._shares.ahead_of_others())

    def _in_order(self) -> list[Waiting]:
        return sorted(self._waiting_by_id.values(), key=self._order().key)

    def _expected_wait_s(self, waiting: Waiting) -> float:
        """Predicts the remaining wait of a call that waits or is offered."""
        order = self._order()
        own_key: SortKey = order.key(waiting)
        ahead = sum(
            other is not waiting and order.key(other) < own_key
            for other in self._waiting_by_id.values()
        )
        room_s = max(0.0, self._capacity.room(waiting.call))
        return room_s + ahead * self._capacity.interval_s()

    def _refusal_reason(self, waiting: Waiting, wait_s: float) -> str | None:
        """Returns why a new call is refused; None if it may wait."""
        call = waiting.call
        if self._capacity.is_idle(call) or self._has_room(call):
            return None
        if self.waiting >= defaults.MAX_WAITING_CALLS:
            return QUEUE_FULL
        answer_at = self._clock.seconds() + wait_s + waiting.duration_s
        if answer_at > call.deadline:
            return DEADLINE
        if answer_at > late_limit(call) and self._better_call_waits(call):
            return LATE
        return None

    def _better_call_waits(self, call: QueuedCall) -> bool:
        """Returns whether a more urgent call, or one on time, waits."""
        now = self._clock.seconds()
        return any(
            other.call.priority < call.priority
            or not is_late(other.call, now + other.duration_s)
            for other in self._waiting_by_id.values()
        )

    def _retry_after_s(self, call: QueuedCall, wait_s: float) -> float:
        """Returns when the caller should return, spread over time."""
        left_s = max(0.0, call.deadline - self._clock.seconds())
        latest_s = left_s * defaults.RETRY_LEFT_FRACTION
        earliest_s = latest_s * defaults.RETRY_EARLIEST_FRACTION
        earliest_s = min(max(wait_s, earliest_s), latest_s / 2)
        return self._rng.uniform(earliest_s, latest_s)


def _rank(call: QueuedCall) -> Rank:
    return Rank(call.priority, call.excess)


def _first_review_delay_s(call: QueuedCall) -> float:
    """Returns how long a call waits before its wait is decided on again."""
    objective_s = max(0.0, call.objective_at - call.offered_at)
    return objective_s * defaults.WAIT_FIRST_REVIEW_FRACTION
