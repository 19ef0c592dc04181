"""Attempts at a repeatable call: in turn, within bounds, resumed."""

import random

from twisted.internet import task
from twisted.web import server

from chicorystack import defaults
from chicorystack.budget.wallet import Reservation
from chicorystack.errors import ApiError
from chicorystack.router.admission import Call
from chicorystack.router.attempts import Attempt
from chicorystack.router.forwarder import Delivered, NotDeliveredError
from chicorystack.router.progress import Patience, Progress
from chicorystack.routing.call_queue import CallQueues, PendingCall
from chicorystack.routing.retry_budget import RetryBounds, RetryBudget
from chicorystack.routing.targets import TargetState, TargetTable
from chicorystack.routing.timings import OperationId, Timings

# One budget serves all services of this router.
ALL_SERVICES = "all"
RETRY_BOUNDS = RetryBounds(
    ratio=defaults.RETRIES_PER_CALL,
    window_s=defaults.RETRY_WINDOW_S,
    slack=defaults.RETRY_BUDGET_MAX,
)


class RepeatableAttempts:
    """Tries targets of a repeatable call until one gives the answer.

    A stream that breaks off is taken up by another target where the engines
    can do that.
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
        self._retries = RetryBudget(clock, RETRY_BOUNDS, lambda: 1)

    async def run(
        self, request: server.Request, call: Call, reservation: Reservation
    ) -> Delivered:
        """Delivers the answer; raises as Attempts.run says."""
        self._retries.note_call(ALL_SERVICES)
        progress = Progress()
        progress.resumable = call.service.resumable
        tried: list[str] = []
        refused = False
        while True:
            target = await self._take(call, tried, progress, refused)
            last = len(tried) + 1 >= defaults.MAX_ATTEMPTS
            try:
                return await self._run_one(
                    request, call, reservation, target, progress, tried, last
                )
            except NotDeliveredError as error:
                if error.target_full:
                    refused = True
                    continue
                if error.target_leaves and not error.started:
                    # It said so at once, and is not picked again.
                    refused = True
                    continue
                tried.append(target.name)
                # A refusal can't follow events that the caller has.
                error.started = progress.started
                await self._prepare_retry(call, error, last)

    async def _take(
        self,
        call: Call,
        tried: list[str],
        progress: Progress,
        granted_before: bool,
    ) -> TargetState:
        pending = PendingCall(
            call.service,
            call.operation.name,
            call.customer,
            call.operation.priority,
            frozenset(tried),
            call.deadline,
            granted_before,
        )
        try:
            return await self._queues.queue(call.service.name).acquire_target(
                pending
            )
        except ApiError as error:
            if progress.started:
                raise NotDeliveredError(str(error), True) from error
            raise

    async def _run_one(
        self,
        request: server.Request,
        call: Call,
        reservation: Reservation,
        target: TargetState,
        progress: Progress,
        tried: list[str],
        last: bool,
    ) -> Delivered:
        operation = OperationId(call.service.name, call.operation.name)
        patience = self._patience(call, operation, len(tried), last)
        health = self._queues.health(call.service.name)
        queue = self._queues.queue(call.service.name)
        queue.record_start(call.customer)
        begun_at = self._clock.seconds()
        events_before = progress.events
        try:
            delivered = await self._attempt.run(
                request, call, reservation, target, progress, patience
            )
        except NotDeliveredError as error:
            if error.refusal is None or error.refusal.code == "target_failed":
                health.note_failure(target.name)
            raise
        finally:
            queue.record_end(call.customer)
            self._note_first_byte(target, operation, begun_at, progress)
        health.note_success(target.name)
        elapsed_s = self._clock.seconds() - begun_at
        events = progress.events - events_before
        self._timings.record_response(operation, elapsed_s, events)
        return delivered

    def _patience(
        self, call: Call, operation: OperationId, attempt: int, last: bool
    ) -> Patience:
        """Returns the bounds of one attempt; the last one has all the time."""
        left_s = max(0.0, call.deadline - self._clock.seconds())
        if last:
            return Patience(left_s, left_s)
        start_s = self._timings.first_byte_timeout_s(operation, attempt)
        stall_s = self._timings.stall_timeout_s(call.service.name)
        return Patience(min(left_s, start_s), stall_s)

    def _note_first_byte(
        self,
        target: TargetState,
        operation: OperationId,
        begun_at: float,
        progress: Progress,
    ) -> None:
        if not progress.first_byte_at:
            return
        seconds = progress.first_byte_at - begun_at
        usual_s = self._timings.first_byte_s(operation)
        self._timings.record_first_byte(operation, seconds)
        if usual_s is not None:
            health = self._queues.health(target.service)
            health.record_first_byte(target.name, seconds, usual_s)

    async def _prepare_retry(
        self, call: Call, error: NotDeliveredError, last: bool
    ) -> None:
        """Waits a little before the next attempt.

        Raises:
            ApiError: If there is none and nothing has been delivered.
            NotDeliveredError: If there is none and something has been.
        """
        final = last or self._clock.seconds() >= call.deadline
        if error.started and not call.service.resumable:
            raise error
        if final or not self._retries.take(ALL_SERVICES):
            if error.started:
                raise error
            raise error.refusal or _failed(call) from error
        delay_s = random.uniform(0.0, defaults.RETRY_DELAY_MAX_S)
        await task.deferLater(self._clock, delay_s)


def _failed(call: Call) -> ApiError:
    return ApiError(
        "target_failed",
        f"no target of {call.service.name} gave an answer",
        retry_after_ms=defaults.RETRY_AFTER_MS,
    )
