"""Attempts at a repeatable call: queued, retried and resumed."""

import random

from twisted.internet import task
from twisted.web import server

from chicorystack import defaults
from chicorystack.budget.keeper.wallet import Reservation
from chicorystack.errors import ApiError
from chicorystack.router.admission import Call
from chicorystack.router.attempts import Attempt
from chicorystack.router.forwarder import DeliveredResponse, NotDeliveredError
from chicorystack.router.progress import AttemptTimeouts, DeliveryProgress
from chicorystack.routing.call_queue import CallQueues
from chicorystack.routing.pending_call import PendingCall
from chicorystack.routing.retry_budget import RetryBounds, RetryBudget
from chicorystack.routing.targets import TargetState, TargetTable
from chicorystack.routing.timings import OperationId, Timings

# All services of this router share one retry budget.
ALL_SERVICES = "all"
RETRY_BOUNDS = RetryBounds(
    ratio=defaults.RETRIES_PER_CALL,
    window_s=defaults.RETRY_WINDOW_S,
    slack=defaults.RETRY_SLACK,
)


class RepeatableAttempts:
    """Tries the targets of a repeatable call until one delivers the response.

    Another target resumes an interrupted stream if the engines support that.
    """

    def __init__(
        self,
        clock,
        targets: TargetTable,
        attempt: Attempt,
        queues: CallQueues,
        timings: Timings,
    ):
        self._clock = clock
        self._targets = targets
        self._attempt = attempt
        self._queues = queues
        self._timings = timings
        self._retry_budget = RetryBudget(clock, RETRY_BOUNDS, lambda: 1)

    async def run(
        self, request: server.Request, call: Call, reservation: Reservation
    ) -> DeliveredResponse:
        """Delivers the response; raises as Attempts.run does."""
        self._retry_budget.record_call(ALL_SERVICES)
        progress = DeliveryProgress()
        progress.resumable = call.service.resumable
        tried: list[str] = []
        requeued = False
        while True:
            target = await self._acquire_target(call, tried, progress, requeued)
            is_last = len(tried) + 1 >= defaults.MAX_ATTEMPTS
            try:
                return await self._run_attempt(
                    request, call, reservation, target, progress, tried, is_last
                )
            except NotDeliveredError as error:
                if error.target_full:
                    requeued = True
                    continue
                if error.target_draining and not error.started:
                    # The target refused immediately and is not picked again.
                    requeued = True
                    continue
                tried.append(target.name)
                # Once the caller has events, no refusal can be sent.
                error.started = progress.started
                await self._prepare_retry(call, error, is_last)

    async def _acquire_target(
        self,
        call: Call,
        tried: list[str],
        progress: DeliveryProgress,
        requeued: bool,
    ) -> TargetState:
        pending_call = PendingCall(
            call.service,
            call.operation.name,
            call.customer,
            call.operation.priority,
            frozenset(tried),
            call.deadline,
            requeued,
        )
        try:
            return await self._queues.queue(call.service.name).acquire_target(
                pending_call
            )
        except ApiError as error:
            if progress.started:
                raise NotDeliveredError(str(error), True) from error
            raise

    async def _run_attempt(
        self,
        request: server.Request,
        call: Call,
        reservation: Reservation,
        target: TargetState,
        progress: DeliveryProgress,
        tried: list[str],
        is_last: bool,
    ) -> DeliveredResponse:
        operation = OperationId(call.service.name, call.operation.name)
        timeouts = self._timeouts(call, operation, len(tried), is_last)
        health = self._queues.health(call.service.name)
        queue = self._queues.queue(call.service.name)
        queue.record_start(call.customer)
        started_at = self._clock.seconds()
        events_before = progress.events
        try:
            delivered = await self._attempt.run(
                request, call, reservation, target, progress, timeouts
            )
        except NotDeliveredError as error:
            if error.refusal is None or error.refusal.code == "target_failed":
                health.record_failure(target.name)
            raise
        finally:
            queue.record_end(call.customer)
            self._record_first_byte(target, operation, started_at, progress)
        health.record_success(target.name)
        elapsed_s = self._clock.seconds() - started_at
        events = progress.events - events_before
        self._timings.record_response(operation, elapsed_s, events)
        return delivered

    def _timeouts(
        self, call: Call, operation: OperationId, attempt: int, is_last: bool
    ) -> AttemptTimeouts:
        """Returns an attempt's timeouts; the last gets all the time left."""
        remaining_s = max(0.0, call.deadline - self._clock.seconds())
        if is_last:
            return AttemptTimeouts(remaining_s, remaining_s)
        first_byte_s = self._timings.first_byte_timeout_s(operation, attempt)
        idle_s = self._timings.idle_timeout_s(call.service.name)
        return AttemptTimeouts(min(remaining_s, first_byte_s), idle_s)

    def _record_first_byte(
        self,
        target: TargetState,
        operation: OperationId,
        started_at: float,
        progress: DeliveryProgress,
    ) -> None:
        if not progress.first_byte_at:
            return
        seconds = progress.first_byte_at - started_at
        mean_s = self._timings.first_byte_s(operation)
        self._timings.record_first_byte(operation, seconds)
        if mean_s is not None:
            health = self._queues.health(target.service)
            health.record_first_byte(target.name, seconds, mean_s)

    async def _prepare_retry(
        self, call: Call, error: NotDeliveredError, is_last: bool
    ) -> None:
        """Checks that a retry is allowed, and delays it randomly.

        Raises:
            ApiError: If no retry is allowed and nothing was delivered.
            NotDeliveredError: If no retry is allowed and part of the response
                was delivered.
        """
        exhausted = is_last or self._clock.seconds() >= call.deadline
        if error.started and not call.service.resumable:
            raise error
        if exhausted or not self._retry_budget.take(ALL_SERVICES):
            if error.started:
                raise error
            raise error.refusal or _target_failed_error(call) from error
        delay_s = random.uniform(0.0, defaults.RETRY_DELAY_MAX_S)
        await task.deferLater(self._clock, delay_s)


def _target_failed_error(call: Call) -> ApiError:
    return ApiError(
        "target_failed",
        f"no target of {call.service.name} delivered a response",
        retry_after_ms=defaults.RETRY_AFTER_MS,
    )
