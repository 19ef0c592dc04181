"""Gives calls their targets: at once where there is room, else in turn.

Calls wait for room in lanes by customer. Among customers the one that had
fewest calls comes first; within a window of a few calls, priority decides.
A call whose wait would be too long is refused when it comes.
"""

import random
from collections.abc import Callable, Iterator
from itertools import count
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from chicorystack import defaults
from chicorystack.config.model import Priority, Service
from chicorystack.errors import ApiError
from chicorystack.observe.invariants import require
from chicorystack.routing.health import HealthTable
from chicorystack.routing.pickers import Picker
from chicorystack.routing.targets import TargetState, TargetTable
from chicorystack.routing.timings import OperationId, Timings

RANK_BY_PRIORITY: dict[Priority, int] = {"high": 0, "normal": 1, "low": 2}
# A call that was given to a target before goes first.
RETRY_RANK = -1


class Ticket(NamedTuple):
    """What the queue has to know of a call.

    Attributes:
        service: Service to call.
        operation: Operation to call.
        customer: Customer who pays.
        priority: Order among calls of customers with like shares.
        tried: Targets that have failed the call.
        deadline: Time on the clock when its caller gives up.
    """

    service: Service
    operation: str
    customer: str
    priority: Priority
    tried: frozenset[str]
    deadline: float

    @property
    def rank(self) -> int:
        """Order among waiting calls; low goes first."""
        return RETRY_RANK if self.tried else RANK_BY_PRIORITY[self.priority]

    @property
    def operation_id(self) -> OperationId:
        """The operation's full name."""
        return OperationId(self.service.name, self.operation)


class _Waiter(NamedTuple):
    rank: int
    number: int
    ticket: Ticket
    turn: defer.Deferred[TargetState]


class CallQueue:
    """Calls of one service that wait for room at a target.

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
        self._targets = targets
        self._picker = picker
        self._health = health
        self._timings = timings
        self._numbers = count()
        self._lane_by_customer: dict[str, list[_Waiter]] = {}
        self._served_by_customer: dict[str, float] = {}
        self.waiting = 0

    async def take(self, ticket: Ticket) -> TargetState:
        """Returns the target for a call, which has to be sent at once.

        Raises:
            ApiError: If there is no target, or no room in time.
        """
        if not self._usable(ticket):
            raise ApiError(
                "no_target",
                f"no target of {ticket.service.name} can take the call",
                retry_after_ms=defaults.RETRY_AFTER_MS,
            )
        if not self.waiting or ticket.rank == RETRY_RANK:
            target = self._pick(ticket)
            if target is not None:
                return target
        wait_s = self._expected_wait_s(ticket)
        latest = self._latest_start(ticket)
        if self._clock.seconds() + wait_s > latest:
            raise overloaded(ticket.service, wait_s)
        return await self._wait(ticket, latest)

    def pump(self) -> None:
        """Gives waiting calls their targets while there is room."""
        while self.waiting:
            granted = self._grant_next()
            if not granted:
                return

    def _usable(self, ticket: Ticket) -> list[TargetState]:
        """Returns the targets to choose from; ejected ones if all are."""
        usable = self._targets.usable(ticket.service, ticket.tried)
        healthy = [t for t in usable if self._health.admits(t.name, t.sent)]
        return healthy or usable

    def _pick(self, ticket: Ticket) -> TargetState | None:
        with_room = [t for t in self._usable(ticket) if t.has_room]
        return self._picker.pick(with_room)

    async def _wait(self, ticket: Ticket, latest: float) -> TargetState:
        turn: defer.Deferred[TargetState] = defer.Deferred()
        waiter = _Waiter(ticket.rank, next(self._numbers), ticket, turn)
        lane = self._lane_by_customer.setdefault(ticket.customer, [])
        lane.append(waiter)
        lane.sort(key=_lane_order)
        self.waiting += 1
        delay = max(0.0, latest - self._clock.seconds())
        timer = self._clock.callLater(delay, self._give_up, waiter)
        try:
            return await turn
        finally:
            if timer.active():
                timer.cancel()
            self._remove(waiter)

    def _give_up(self, waiter: _Waiter) -> None:
        self._remove(waiter)
        wait_s = self._expected_wait_s(waiter.ticket)
        waiter.turn.errback(overloaded(waiter.ticket.service, wait_s))

    def _remove(self, waiter: _Waiter) -> None:
        customer = waiter.ticket.customer
        lane = self._lane_by_customer.get(customer, [])
        if waiter not in lane:
            return
        lane.remove(waiter)
        self.waiting -= 1
        if not lane:
            del self._lane_by_customer[customer]
        if not self.waiting:
            self._served_by_customer.clear()

    def _grant_next(self) -> bool:
        """Gives the first call that can go its target."""
        for waiter in self._in_turn():
            target = self._pick(waiter.ticket)
            if target is None:
                continue
            self._count_served(waiter.ticket.customer)
            self._remove(waiter)
            require("waiter_is_granted_once", not waiter.turn.called, target)
            waiter.turn.callback(target)
            return True
        return False

    def _in_turn(self) -> Iterator[_Waiter]:
        """Yields the first call of each lane, the next to go first."""
        least = self._least_served()
        limit = least + defaults.FAIR_WINDOW_CALLS
        heads = [lane[0] for lane in self._lane_by_customer.values()]

        def order(waiter: _Waiter) -> tuple[bool, int, float, int]:
            served = self._served(waiter.ticket.customer)
            ahead = served > limit and waiter.rank != RETRY_RANK
            return ahead, waiter.rank, served, waiter.number

        yield from sorted(heads, key=order)

    def _served(self, customer: str) -> float:
        return self._served_by_customer.get(customer, 0.0)

    def _least_served(self) -> float:
        return min(map(self._served, self._lane_by_customer), default=0.0)

    def _count_served(self, customer: str) -> None:
        # A customer that waits anew has no claim from its idle time.
        base = max(self._served(customer), self._least_served())
        self._served_by_customer[customer] = base + 1

    def _latest_start(self, ticket: Ticket) -> float:
        duration_s = self._timings.duration_s(ticket.operation_id)
        bound = self._clock.seconds() + defaults.QUEUE_WAIT_MAX_S
        return min(ticket.deadline - duration_s, bound)

    def _expected_wait_s(self, ticket: Ticket) -> float:
        """Estimates the wait from the calls ahead and the pace of answers."""
        running = sum(
            target.sent for target in self._targets.subset(ticket.service)
        )
        duration_s = self._timings.service_duration_s(ticket.service.name)
        return (self._ahead(ticket) + 1) * duration_s / max(1, running)

    def _ahead(self, ticket: Ticket) -> int:
        """Counts waiting calls that go before a new one."""
        lane = self._lane_by_customer.get(ticket.customer, [])
        own = sum(waiter.rank <= ticket.rank for waiter in lane)
        others = sum(
            min(len(other), own + 1)
            for customer, other in self._lane_by_customer.items()
            if customer != ticket.customer
        )
        return own + others


def _lane_order(waiter: _Waiter) -> tuple[int, int]:
    return waiter.rank, waiter.number


def overloaded(service: Service, wait_s: float) -> ApiError:
    """Returns the refusal of a call that would wait too long."""
    least_s = max(wait_s, defaults.RETRY_AFTER_MS / 1000)
    # Spread over time, so that refused callers do not return together.
    after_s = least_s * random.uniform(1.0, 1.5)
    return ApiError(
        "overloaded",
        f"{service.name} has no room in time",
        retry_after_ms=int(after_s * 1000),
    )


class CallQueues:
    """Queues and health by service.

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
        targets.on_room(self._pump)

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

    def _pump(self, service: str) -> None:
        if service in self._queue_by_service:
            self._queue_by_service[service].pump()
