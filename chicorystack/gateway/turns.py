"""Lets calls wait for their turn to be sent to a target.

This is in force for services of which a target has reported its pace. Calls of
other services are sent at once.
"""

import random
from collections.abc import Callable
from itertools import count

from twisted.internet import defer
from twisted.internet.interfaces import IDelayedCall
from twisted.python.failure import Failure

from chicorystack import defaults
from chicorystack.gateway.attempt import AttemptOutcome, AttemptResult
from chicorystack.gateway.messages import Call, LoadSample, Refusal
from chicorystack.gateway.service_capacity import ServiceCapacity
from chicorystack.gateway.targets import TargetEntry
from chicorystack.observe.events import emit
from chicorystack.observe.exposition import (
    scheduling_refusals_total,
    scheduling_wait_seconds,
    scheduling_waiting,
)
from chicorystack.scheduling.messages import (
    CallEnd,
    Decision,
    QueuedCall,
    Refuse,
    Start,
    TargetReport,
)
from chicorystack.scheduling.scheduler import Scheduler
from chicorystack.scheduling.usual_load import UsualLoad

COMPLETED_OUTCOMES = frozenset(
    {AttemptOutcome.DELIVERED, AttemptOutcome.TARGET_FAILED}
)


class Turn:
    """The right of a call to make one attempt, once it is granted.

    Attributes:
        call: The call, as it is scheduled.
        granted: Fires with None when the attempt may begin or `leave` was
            called, or with a Refusal; fails with an unexpected exception.
        started_at: Clock time at which it was granted, in seconds.
    """

    def __init__(self, queue: "ServiceQueue", call: QueuedCall):
        self._queue = queue
        self.call = call
        self.granted: defer.Deferred[Refusal | None] = defer.Deferred()
        self.started_at = 0.0

    def leave(self) -> None:
        """Stops waiting: the caller has left or its deadline has passed."""
        self._queue.remove(self)

    def end(
        self,
        target: TargetEntry | None = None,
        result: AttemptResult | None = None,
    ) -> None:
        """Gives the turn back.

        Args:
            target: The target to which the call was sent; None for none.
            result: How the attempt ended.
        """
        self._queue.end(self, target, result)


class ServiceQueue:
    """Turns of one service's calls."""

    def __init__(self, clock, service: str, capacity: ServiceCapacity):
        self._clock = clock
        self._service = service
        self._capacity = capacity
        self._scheduler = Scheduler(
            clock, capacity.capacity, random.Random(random.random())
        )
        self._usual_load = UsualLoad(clock)
        self._turn_by_id: dict[str, Turn] = {}
        self._sequence_numbers = count()
        self._timer: IDelayedCall | None = None
        self._pumping = False
        self._refused = 0
        self._next_event_at = 0.0

    def request(self, call: Call, is_repeat: bool) -> Turn:
        """Returns a turn for an attempt of a call.

        Args:
            call: The call.
            is_repeat: Whether an attempt of it has failed or its stream has
                begun.
        """
        turn = Turn(self, self._queued_call(call, is_repeat))
        try:
            self._offer(turn)
        except Exception:
            self._discard(turn)
            raise
        return turn

    def _offer(self, turn: Turn) -> None:
        decision = self._scheduler.offer(turn.call)
        if isinstance(decision, (Start, Refuse)):
            self._decide(turn, decision)
            return
        self._turn_by_id[turn.call.id] = turn
        self.pump()

    def _discard(self, turn: Turn) -> None:
        """Forgets a turn whose call does not learn of it."""
        self._turn_by_id.pop(turn.call.id, None)
        self._scheduler.remove(turn.call.id)
        self._scheduler.end(turn.call, None)

    def pump(self) -> None:
        """Starts waiting calls while there is room."""
        if self._pumping:
            # A call that starts may end at once; the loop goes on with it.
            return
        self._pumping = True
        try:
            while (call := self._scheduler.next()) is not None:
                self._decide(self._turn_by_id.pop(call.id), Start())
        finally:
            self._pumping = False
            self._set_timer()
        scheduling_waiting.labels(self._service).set(self._scheduler.waiting)

    def remove(self, turn: Turn) -> None:
        """Removes a turn that is not granted yet."""
        if turn.granted.called:
            return
        try:
            self._turn_by_id.pop(turn.call.id, None)
            self._scheduler.remove(turn.call.id)
        finally:
            turn.granted.callback(None)
        self.pump()

    def end(
        self,
        turn: Turn,
        target: TargetEntry | None,
        result: AttemptResult | None,
    ) -> None:
        """Ends a turn that was granted."""
        end = None
        try:
            if target is not None and result is not None:
                end = CallEnd(
                    target.id,
                    self._clock.seconds() - turn.started_at,
                    rejected=result.outcome is AttemptOutcome.NOT_RUN,
                    completed=result.outcome in COMPLETED_OUTCOMES,
                )
                self._capacity.record_end(end)
        finally:
            self._scheduler.end(turn.call, end)
            self.pump()

    def record_report(self, target_id: str, report: TargetReport) -> None:
        """Records a target's load."""
        self._capacity.reports.record(target_id, report)

    def forget_target(self, target_id: str) -> None:
        """Discards what is known of a removed target."""
        self._capacity.forget(target_id)
        self.pump()

    def _queued_call(self, call: Call, is_repeat: bool) -> QueuedCall:
        priority = call.priority
        if priority is None:
            priority = defaults.UNSTATED_PRIORITY
        objective_at = call.request.received_at + call.route.objective_s
        excess = 0
        if not is_repeat:
            excess = self._usual_load.record_call(call.customer)
        return QueuedCall(
            id=f"{call.request.id}/{next(self._sequence_numbers)}",
            customer=call.customer,
            weight=self._usual_load.weight(call.customer),
            priority=priority,
            objective_at=min(objective_at, call.deadline),
            deadline=call.deadline,
            late_value=defaults.LATE_VALUE,
            offered_at=self._clock.seconds(),
            excess=excess,
            is_repeat=is_repeat,
            subject=call,
        )

    def _decide(self, turn: Turn, decision: Decision) -> None:
        """Tells a call the decision; it fails if that raises an exception."""
        try:
            refusal = self._record_decision(turn, decision)
        except Exception:
            turn.granted.errback(Failure())
            return
        turn.granted.callback(refusal)

    def _record_decision(
        self, turn: Turn, decision: Decision
    ) -> Refusal | None:
        now = self._clock.seconds()
        wait_s = now - turn.call.offered_at
        if isinstance(decision, Refuse):
            scheduling_wait_seconds.labels("refused").observe(wait_s)
            self._usual_load.record_refusal(
                turn.call.customer, turn.call.excess
            )
            scheduling_refusals_total.labels(decision.reason).inc()
            self._report_overload(decision)
            return self._refusal(decision)
        scheduling_wait_seconds.labels("started").observe(wait_s)
        turn.started_at = now
        return None

    def _refusal(self, decision: Refuse) -> Refusal:
        return Refusal(
            503,
            "overloaded",
            f"the targets of service {self._service} have no room in time "
            f"({decision.reason})",
            decision.retry_after_s,
        )

    def _report_overload(self, decision: Refuse) -> None:
        """Emits an event, at most one in OVERLOAD_EVENT_INTERVAL_S."""
        self._refused += 1
        now = self._clock.seconds()
        if now < self._next_event_at:
            return
        self._next_event_at = now + defaults.OVERLOAD_EVENT_INTERVAL_S
        emit(
            "scheduling", "overloaded", service=self._service,
            refused=self._refused, reason=decision.reason,
            waiting=self._scheduler.waiting,
        )  # fmt: skip
        self._refused = 0

    def _set_timer(self) -> None:
        if self._timer is not None or not self._scheduler.waiting:
            return
        delay_s = defaults.SCHEDULE_INTERVAL_S * random.uniform(0.5, 1.5)
        self._timer = self._clock.callLater(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        try:
            for call, decision in self._scheduler.review():
                self._decide(self._turn_by_id.pop(call.id), decision)
        finally:
            self.pump()


class ServiceQueues:
    """Queues of the services whose calls are scheduled."""

    def __init__(
        self,
        clock,
        make_capacity: Callable[[str], ServiceCapacity],
        is_scheduled: Callable[[str], bool],
    ):
        """Starts without queues.

        Args:
            clock: The reactor.
            make_capacity: Returns the capacity of a service, given its name.
            is_scheduled: Returns whether calls of a service are scheduled once
                a target has reported a pace.
        """
        self._clock = clock
        self._make_capacity = make_capacity
        self._is_scheduled = is_scheduled
        self._queue_by_service: dict[str, ServiceQueue] = {}

    def queue(self, service: str) -> ServiceQueue | None:
        """Returns a service's queue; None if its calls are not scheduled."""
        return self._queue_by_service.get(service)

    def record_load(self, target: TargetEntry, sample: LoadSample) -> None:
        """Records a target's load; a pace puts its service under scheduling."""
        queue = self._queue_by_service.get(target.service)
        if queue is None:
            if sample.pace is None or not self._is_scheduled(target.service):
                return
            queue = self._create_queue(target.service)
        pace = defaults.USUAL_PACE if sample.pace is None else sample.pace
        report = TargetReport(
            sample.running,
            sample.waiting,
            sample.slots,
            pace,
            self._clock.seconds(),
        )
        queue.record_report(target.id, report)

    def forget_target(self, target: TargetEntry) -> None:
        """Discards what is known of a removed target."""
        queue = self._queue_by_service.get(target.service)
        if queue is not None:
            queue.forget_target(target.id)

    def _create_queue(self, service: str) -> ServiceQueue:
        emit("scheduling", "in_force", service=service)
        queue = ServiceQueue(self._clock, service, self._make_capacity(service))
        self._queue_by_service[service] = queue
        return queue
