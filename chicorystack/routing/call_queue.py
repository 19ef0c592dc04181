"""Gives calls their targets: at once where there is room, else in turn.

Calls wait for room in lanes by customer. Among customers the one that had
fewest calls comes first; within a window of a few calls, priority decides.
A call whose wait would be too long is refused when it comes.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import count
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from chicorystack import defaults
from chicorystack.config.model import Priority, Service
from chicorystack.errors import ApiError
from chicorystack.observe.invariants import require
from chicorystack.routing.health import HealthTable
from chicorystack.routing.pickers import Picker
from chicorystack.routing.shares import fair_level
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
        granted_before: Whether it has had a target, which could not take it.
    """

    service: Service
    operation: str
    customer: str
    priority: Priority
    tried: frozenset[str]
    deadline: float
    granted_before: bool = False

    @property
    def is_retry(self) -> bool:
        """Whether it has waited its turn already."""
        return self.granted_before or bool(self.tried)

    @property
    def rank(self) -> int:
        """Order among waiting calls; low goes first."""
        return RETRY_RANK if self.is_retry else RANK_BY_PRIORITY[self.priority]

    @property
    def operation_id(self) -> OperationId:
        """The operation's full name."""
        return OperationId(self.service.name, self.operation)


class _Waiter(NamedTuple):
    """A waiting call.

    Attributes:
        due: Place in the order of a lane: its arrival, later by a fixed
            time for each lower priority, so that none waits for ever.
        number: Order among those due at the same time.
        ticket: The call.
        turn: Fires with its target.
    """

    due: float
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
        self._in_flight_by_customer: Counter[str] = Counter()
        self._next_probe_at = 0.0
        self._probing: IDelayedCall | None = None
        # Part of the calls given a target lately, by rank.
        self._part_by_rank: dict[int, float] = {}
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
        if not self.waiting or ticket.is_retry:
            target = self._pick(ticket)
            if target is not None:
                self._note_granted(ticket)
                return target
        now = self._clock.seconds()
        latest = now + self._longest_wait_s(ticket)
        wait_s = 0.0 if ticket.is_retry else self._expected_wait_s(ticket)
        if now + self._wait_margin(ticket) * wait_s > latest:
            raise overloaded(ticket.service, wait_s)
        return await self._wait(ticket, max(now, latest))

    def pump(self) -> None:
        """Gives waiting calls their targets while there is room."""
        while self.waiting:
            granted = self._grant_next()
            if not granted:
                return

    def note_begun(self, customer: str) -> None:
        """Counts a call that a target has been given."""
        self._in_flight_by_customer[customer] += 1

    def note_ended(self, customer: str) -> None:
        """Counts the end of a call that a target had been given."""
        self._in_flight_by_customer[customer] -= 1
        if not self._in_flight_by_customer[customer]:
            del self._in_flight_by_customer[customer]

    def _usable(self, ticket: Ticket) -> list[TargetState]:
        """Returns the targets to choose from; ejected ones if all are."""
        usable = self._targets.usable(ticket.service, ticket.tried)
        healthy = [t for t in usable if self._health.admits(t.name, t.sent)]
        return self._elsewhere(ticket, healthy) or healthy or usable

    def _elsewhere(
        self, ticket: Ticket, targets: list[TargetState]
    ) -> list[TargetState]:
        """Returns targets outside the data centres that failed the call."""
        failed = {
            self._targets.target_by_name[name].data_centre
            for name in ticket.tried
            if name in self._targets.target_by_name
        }
        return [t for t in targets if t.data_centre not in failed]

    def _pick(self, ticket: Ticket) -> TargetState | None:
        usable = self._usable(ticket)
        with_room = [target for target in usable if target.has_room]
        return self._picker.pick(with_room) or self._pick_probe(usable)

    def _pick_probe(self, usable: list[TargetState]) -> TargetState | None:
        """Returns a target that only an old report shows as full.

        Its agent refuses the call at once where it is full indeed.
        """
        now = self._clock.seconds()
        if now < self._next_probe_at:
            return None
        oldest = min(
            (target for target in usable if target.sent < target.limit),
            key=lambda target: target.reported_at,
            default=None,
        )
        if oldest is None or oldest.reported_at + defaults.PROBE_AGE_S > now:
            return None
        self._next_probe_at = now + defaults.PROBE_INTERVAL_S
        return oldest

    async def _wait(self, ticket: Ticket, give_up_at: float) -> TargetState:
        turn: defer.Deferred[TargetState] = defer.Deferred()
        waiter = _Waiter(self._due(ticket), next(self._numbers), ticket, turn)
        self._enter_lane(waiter)
        delay = max(0.0, give_up_at - self._clock.seconds())
        timer = self._clock.callLater(delay, self._give_up, waiter)
        try:
            return await turn
        finally:
            if timer.active():
                timer.cancel()
            self._remove(waiter)

    def _due(self, ticket: Ticket) -> float:
        if ticket.is_retry:
            return 0.0
        head_start_s = ticket.rank * defaults.PRIORITY_HEAD_START_S
        return self._clock.seconds() + head_start_s

    def _enter_lane(self, waiter: _Waiter) -> None:
        customer = waiter.ticket.customer
        if customer not in self._lane_by_customer:
            # Idle time gives no claim but to go first once.
            least = self._least_served() - defaults.FAIR_WINDOW_CALLS
            self._served_by_customer[customer] = max(
                self._served(customer), least
            )
        lane = self._lane_by_customer.setdefault(customer, [])
        lane.append(waiter)
        lane.sort(key=_lane_order)
        self.waiting += 1
        if self._probing is None:
            self._probing = self._clock.callLater(
                defaults.PROBE_INTERVAL_S, self._probe
            )

    def _probe(self) -> None:
        """Looks again for room while calls wait."""
        self._probing = None
        self.pump()
        if self.waiting and self._probing is None:
            self._probing = self._clock.callLater(
                defaults.PROBE_INTERVAL_S, self._probe
            )

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
            self._note_granted(waiter.ticket)
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

        def order(waiter: _Waiter) -> tuple[bool, float, int]:
            served = self._served(waiter.ticket.customer)
            ahead = served > limit and not waiter.ticket.is_retry
            return ahead, waiter.due, waiter.number

        yield from sorted(heads, key=order)

    def _served(self, customer: str) -> float:
        return self._served_by_customer.get(customer, 0.0)

    def _least_served(self) -> float:
        return min(map(self._served, self._lane_by_customer), default=0.0)

    def _count_served(self, customer: str) -> None:
        self._served_by_customer[customer] = self._served(customer) + 1

    def _note_granted(self, ticket: Ticket) -> None:
        """Follows the mix of ranks among the calls that are given a target."""
        for rank in {ticket.rank, *self._part_by_rank}:
            part = self._part_by_rank.get(rank, 0.0)
            change = float(rank == ticket.rank) - part
            self._part_by_rank[rank] = part + defaults.RANK_MIX_GAIN * change

    def _duration_s(self, ticket: Ticket) -> float:
        return self._timings.duration_s(ticket.operation_id)

    def _longest_wait_s(self, ticket: Ticket) -> float:
        """Returns how long a call may be expected to wait.

        A call of a customer within its fair share may wait longer.
        """
        bound_s = defaults.QUEUE_WAIT_MAX_S
        if self._within_share(ticket.customer):
            bound_s = defaults.SHARE_WAIT_MAX_S
        left_s = ticket.deadline - self._clock.seconds()
        return min(left_s - self._duration_s(ticket), bound_s)

    def _within_share(self, customer: str) -> bool:
        if customer not in self._lane_by_customer:
            return True
        customers = {*self._lane_by_customer, *self._in_flight_by_customer}
        demands = [self._demand(name) for name in customers]
        capacity = self._in_flight_by_customer.total()
        return self._demand(customer) < fair_level(capacity, demands)

    def _demand(self, customer: str) -> int:
        lane = self._lane_by_customer.get(customer, ())
        return len(lane) + self._in_flight_by_customer[customer]

    def _expected_wait_s(self, ticket: Ticket) -> float:
        """Estimates the wait from the calls ahead and the pace of answers."""
        running = self._in_flight_by_customer.total()
        duration_s = self._timings.service_duration_s(ticket.service.name)
        pace = max(1, running) * self._pace_part(ticket)
        return (self._ahead(ticket) + 1) * duration_s / pace

    def _wait_margin(self, ticket: Ticket) -> float:
        """Returns how many times its expected wait a call must have.

        A customer within its fair share is not refused for the pace of
        others, and where nothing runs from here the pace is not known.
        """
        if not self._in_flight_by_customer:
            return 1.0
        if self._within_share(ticket.customer):
            return 1.0
        return defaults.WAIT_MARGIN

    def _pace_part(self, ticket: Ticket) -> float:
        """Returns the part of the pace that higher ranks leave.

        They overtake only within a customer's lane.
        """
        if ticket.customer not in self._lane_by_customer:
            return 1.0
        higher = sum(
            part
            for rank, part in self._part_by_rank.items()
            if RETRY_RANK < rank < ticket.rank
        )
        return max(defaults.LEAST_PACE_PART, 1 - higher)

    def _ahead(self, ticket: Ticket) -> int:
        """Counts waiting calls that go before a new one."""
        lane = self._lane_by_customer.get(ticket.customer, [])
        due = self._due(ticket)
        own = sum(waiter.due <= due for waiter in lane)
        others = sum(
            min(len(other), own + 1)
            for customer, other in self._lane_by_customer.items()
            if customer != ticket.customer
        )
        return own + others


def _lane_order(waiter: _Waiter) -> tuple[float, int]:
    return waiter.due, waiter.number


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
