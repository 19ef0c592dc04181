"""Assigns calls to targets, and queues them while no target has capacity.

Calls wait in one queue per customer. A customer that is more than a few calls
ahead of the least served one goes last; among the others, arrival time and
priority decide. A call whose expected wait is too long is refused on arrival.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import count
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from chicorystack import defaults
from chicorystack.config.model import Service
from chicorystack.errors import ApiError
from chicorystack.observe.invariants import require
from chicorystack.routing.health import HealthTable
from chicorystack.routing.pending_call import RETRY_RANK, PendingCall
from chicorystack.routing.pickers import Picker
from chicorystack.routing.shares import max_min_fair_share
from chicorystack.routing.target_choice import TargetChoice
from chicorystack.routing.targets import TargetState, TargetTable
from chicorystack.routing.timings import Timings
from chicorystack.scheduling.fair_shares import FairShares


class _Waiter(NamedTuple):
    """A waiting call.

    Attributes:
        due_at: Sort key: its arrival time on the clock plus a fixed delay per
            rank, so that no priority starves; 0 for a retry.
        sequence: Order among calls with the same `due_at`.
        call: The call.
        assignment: Fires with the assigned target.
    """

    due_at: float
    sequence: int
    call: PendingCall
    assignment: defer.Deferred[TargetState]


class CallQueue:
    """Calls of one service that wait until a target has capacity.

    Attributes:
        waiting: Number of waiting calls.
    """

    def __init__(
        self,
        clock: IReactorTime,
        targets: TargetTable,
        picker: Picker,
        health: HealthTable,
        timings: Timings,
    ):
        self._clock = clock
        self._choice = TargetChoice(clock, targets, picker, health)
        self._timings = timings
        self._sequence_numbers = count()
        self._waiters_by_customer: dict[str, list[_Waiter]] = {}
        self._shares = FairShares(defaults.FAIR_WINDOW_CALLS)
        self._in_flight_by_customer: Counter[str] = Counter()
        self._dispatch_timer: IDelayedCall | None = None
        # Moving average of each rank's fraction of the assigned calls.
        self._fraction_by_rank: dict[int, float] = {}
        self.waiting = 0

    async def acquire_target(self, call: PendingCall) -> TargetState:
        """Returns a target, to which the call must be sent immediately.

        Raises:
            ApiError: `no_target`, or `overloaded` if no target has capacity in
                time or is expected to have it.
        """
        if not self._choice.candidates(call):
            raise self._choice.refusal(call)
        if not self.waiting or call.is_retry:
            target = self._choice.pick(call)
            if target is not None:
                self._update_rank_mix(call)
                return target
        now = self._clock.seconds()
        latest_start = now + self._max_wait_s(call)
        wait_s = 0.0 if call.is_retry else self._expected_wait_s(call)
        if now + self._wait_safety_factor(call) * wait_s > latest_start:
            raise overloaded_error(call.service, wait_s)
        return await self._wait_for_target(call, max(now, latest_start))

    def dispatch_waiting(self) -> None:
        """Assigns targets to waiting calls while there is capacity."""
        while self.waiting:
            dispatched = self._dispatch_next()
            if not dispatched:
                return

    def record_start(self, customer: str) -> None:
        """Counts a call that is sent to a target as in flight."""
        self._in_flight_by_customer[customer] += 1

    def record_end(self, customer: str) -> None:
        """Removes a call from the count of calls in flight."""
        self._in_flight_by_customer[customer] -= 1
        if not self._in_flight_by_customer[customer]:
            del self._in_flight_by_customer[customer]

    async def _wait_for_target(
        self, call: PendingCall, expires_at: float
    ) -> TargetState:
        assignment: defer.Deferred[TargetState] = defer.Deferred()
        waiter = _Waiter(
            self._due_at(call), next(self._sequence_numbers), call, assignment
        )
        self._enqueue(waiter)
        timeout_s = max(0.0, expires_at - self._clock.seconds())
        timer = self._clock.callLater(timeout_s, self._expire, waiter)
        try:
            return await assignment
        finally:
            if timer.active():
                timer.cancel()
            self._dequeue(waiter)

    def _due_at(self, call: PendingCall) -> float:
        if call.is_retry:
            return 0.0
        delay_s = call.rank * defaults.PRIORITY_DELAY_S
        return self._clock.seconds() + delay_s

    def _enqueue(self, waiter: _Waiter) -> None:
        customer = waiter.call.customer
        self._shares.join(customer)
        waiters = self._waiters_by_customer.setdefault(customer, [])
        waiters.append(waiter)
        waiters.sort(key=_queue_order)
        self.waiting += 1
        if self._dispatch_timer is None:
            self._dispatch_timer = self._clock.callLater(
                defaults.PROBE_INTERVAL_S, self._retry_dispatch
            )

    def _retry_dispatch(self) -> None:
        """Periodically retries to assign targets while calls wait."""
        self._dispatch_timer = None
        self.dispatch_waiting()
        if self.waiting and self._dispatch_timer is None:
            self._dispatch_timer = self._clock.callLater(
                defaults.PROBE_INTERVAL_S, self._retry_dispatch
            )

    def _expire(self, waiter: _Waiter) -> None:
        self._dequeue(waiter)
        wait_s = self._expected_wait_s(waiter.call)
        waiter.assignment.errback(overloaded_error(waiter.call.service, wait_s))

    def _dequeue(self, waiter: _Waiter) -> None:
        customer = waiter.call.customer
        waiters = self._waiters_by_customer.get(customer, [])
        if waiter not in waiters:
            return
        waiters.remove(waiter)
        self.waiting -= 1
        self._shares.leave(customer)
        if not waiters:
            del self._waiters_by_customer[customer]

    def _dispatch_next(self) -> bool:
        """Assigns a target to the first waiting call that can have one."""
        for waiter in self._heads_in_order():
            target = self._choice.pick(waiter.call)
            if target is None:
                continue
            self._update_rank_mix(waiter.call)
            self._shares.record_start(waiter.call.customer)
            self._dequeue(waiter)
            require(
                "waiter_is_granted_once", not waiter.assignment.called, target
            )
            waiter.assignment.callback(target)
            return True
        return False

    def _heads_in_order(self) -> Iterator[_Waiter]:
        """Yields the first call of each customer in order of dispatch."""
        ahead_customers = self._shares.ahead_of_others()
        heads = [waiters[0] for waiters in self._waiters_by_customer.values()]

        def order(waiter: _Waiter) -> tuple[bool, float, int]:
            call = waiter.call
            ahead = call.customer in ahead_customers and not call.is_retry
            return ahead, waiter.due_at, waiter.sequence

        yield from sorted(heads, key=order)

    def _update_rank_mix(self, call: PendingCall) -> None:
        """Updates each rank's fraction of the assigned calls."""
        for rank in {call.rank, *self._fraction_by_rank}:
            fraction = self._fraction_by_rank.get(rank, 0.0)
            delta = float(rank == call.rank) - fraction
            self._fraction_by_rank[rank] = (
                fraction + defaults.RANK_MIX_GAIN * delta
            )

    def _duration_s(self, call: PendingCall) -> float:
        return self._timings.duration_s(call.operation_id)

    def _max_wait_s(self, call: PendingCall) -> float:
        """Returns the longest acceptable wait of a call, in seconds.

        A call of a customer within its fair share may wait longer.
        """
        limit_s = defaults.QUEUE_WAIT_MAX_S
        if self._within_fair_share(call.customer):
            limit_s = defaults.FAIR_SHARE_WAIT_MAX_S
        remaining_s = call.deadline - self._clock.seconds()
        return min(remaining_s - self._duration_s(call), limit_s)

    def _within_fair_share(self, customer: str) -> bool:
        if customer not in self._waiters_by_customer:
            return True
        customers = {*self._waiters_by_customer, *self._in_flight_by_customer}
        demands = [self._demand(name) for name in customers]
        capacity = self._in_flight_by_customer.total()
        return self._demand(customer) < max_min_fair_share(capacity, demands)

    def _demand(self, customer: str) -> int:
        waiters = self._waiters_by_customer.get(customer, ())
        return len(waiters) + self._in_flight_by_customer[customer]

    def _expected_wait_s(self, call: PendingCall) -> float:
        """Estimates a call's wait in seconds.

        It follows from the calls ahead, the calls in flight and the mean
        duration of a call.
        """
        in_flight = self._in_flight_by_customer.total()
        duration_s = self._timings.service_duration_s(call.service.name)
        concurrency = max(1, in_flight) * self._throughput_fraction(call)
        return (self._calls_ahead(call) + 1) * duration_s / concurrency

    def _wait_safety_factor(self, call: PendingCall) -> float:
        """Returns the factor by which the expected wait is multiplied.

        It is 1 for a customer within its fair share, so that the load of
        others does not cause a refusal, and while this router has no calls in
        flight, as the throughput is unknown then.
        """
        if not self._in_flight_by_customer:
            return 1.0
        if self._within_fair_share(call.customer):
            return 1.0
        return defaults.WAIT_SAFETY_FACTOR

    def _throughput_fraction(self, call: PendingCall) -> float:
        """Returns the fraction of the throughput that higher priorities leave.

        They overtake only within a customer's queue.
        """
        if call.customer not in self._waiters_by_customer:
            return 1.0
        higher = sum(
            fraction
            for rank, fraction in self._fraction_by_rank.items()
            if RETRY_RANK < rank < call.rank
        )
        return max(defaults.MIN_THROUGHPUT_FRACTION, 1 - higher)

    def _calls_ahead(self, call: PendingCall) -> int:
        """Counts the waiting calls that go before a new one."""
        waiters = self._waiters_by_customer.get(call.customer, [])
        due_at = self._due_at(call)
        from_same_customer = sum(waiter.due_at <= due_at for waiter in waiters)
        from_others = sum(
            min(len(other_waiters), from_same_customer + 1)
            for customer, other_waiters in self._waiters_by_customer.items()
            if customer != call.customer
        )
        return from_same_customer + from_others


def _queue_order(waiter: _Waiter) -> tuple[float, int]:
    return waiter.due_at, waiter.sequence


def overloaded_error(service: Service, wait_s: float) -> ApiError:
    """Returns the error for a call that would wait too long."""
    least_s = max(wait_s, defaults.RETRY_AFTER_MS / 1000)
    # Jitter keeps refused callers from retrying simultaneously.
    after_s = least_s * random.uniform(1.0, 1.5)
    return ApiError(
        "overloaded",
        f"no target of {service.name} has capacity in time",
        retry_after_ms=int(after_s * 1000),
    )


class CallQueues:
    """Call queues and target health by service.

    Attributes:
        health_by_service: Health of each service's targets.
    """

    def __init__(
        self,
        clock: IReactorTime,
        targets: TargetTable,
        make_picker: Callable[[], Picker],
        timings: Timings,
    ):
        self._clock = clock
        self._targets = targets
        self._make_picker = make_picker
        self._timings = timings
        self._queue_by_service: dict[str, CallQueue] = {}
        self.health_by_service: dict[str, HealthTable] = {}
        targets.on_capacity(self._dispatch_waiting)

    def queue(self, service: str) -> CallQueue:
        """Returns a service's queue."""
        if service not in self._queue_by_service:
            self._queue_by_service[service] = CallQueue(
                self._clock,
                self._targets,
                self._make_picker(),
                self.health(service),
                self._timings,
            )
        return self._queue_by_service[service]

    def health(self, service: str) -> HealthTable:
        """Returns the health of a service's targets."""
        if service not in self.health_by_service:
            self.health_by_service[service] = HealthTable(self._clock)
        return self.health_by_service[service]

    def _dispatch_waiting(self, service: str) -> None:
        if service in self._queue_by_service:
            self._queue_by_service[service].dispatch_waiting()
