"""Runs a call: attempts it on targets until its response has ended."""

import random
from collections.abc import Callable

from twisted.internet import defer, task
from twisted.internet.interfaces import IDelayedCall

from chicorystack import defaults
from chicorystack.gateway.attempt import (
    NOT_RUN_STATUSES,
    Attempt,
    AttemptOutcome,
    AttemptResult,
    ResponseProgress,
    StallDetector,
    TargetCodec,
)
from chicorystack.gateway.messages import (
    Call,
    Refusal,
    ResponseHead,
    ResponseWriter,
)
from chicorystack.gateway.outcomes import CallRecorder
from chicorystack.gateway.own_errors import error_refusal, record_error
from chicorystack.gateway.target_pool import TargetPool
from chicorystack.gateway.targets import TargetEntry
from chicorystack.gateway.turns import ServiceQueues, Turn
from chicorystack.gateway.unanswered import CloseReason
from chicorystack.observe.events import emit
from chicorystack.routing.retry_budget import RetryBudget
from chicorystack.streams.messages import OriginRecord, StreamVersions
from chicorystack.streams.runs import run_of
from chicorystack.web.exchange import (
    ExchangeError,
    HttpConnection,
    InternalExchangeError,
)

DEADLINE_PASSED = "the deadline has passed"
ROUTER_STOPS = "the router stops"
# Outcomes of attempts that certainly did not run the call.
NOT_RUN_OUTCOMES = frozenset(
    {AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_RUN}
)


class CallRunner:
    """Runs one call, with retries, and responds to its caller."""

    def __init__(
        self,
        clock,
        call: Call,
        writer: ResponseWriter,
        codec: TargetCodec,
        pool: TargetPool,
        retries: RetryBudget,
        versions: StreamVersions,
        queues: ServiceQueues | None = None,
        cancel: Callable[[], None] = lambda: None,
    ):
        """Prepares a call.

        Args:
            clock: The reactor.
            call: The call.
            writer: Writes the response.
            codec: Codec for targets.
            pool: The targets.
            retries: Limits retries.
            versions: Keeps a stream to the version that began it.
            queues: Queues in which attempts wait for their turn; None to make
                them at once.
            cancel: Called once if the call has not ended CALL_OVERDUE_S after
                its deadline; cancels what it waits for.
        """
        self._clock = clock
        self._call = call
        self._writer = writer
        self._codec = codec
        self._pool = pool
        self._retries = retries
        self._versions = versions
        # What began the stream, if this call did, and when the connection to
        # it had been opened.
        self._origin: OriginRecord | None = None
        self._recorded = False
        self._origin_connected_at = 0.0
        self._connected_at = 0.0
        self._queues = queues
        self._cancel = cancel
        self._timer: IDelayedCall | None = None
        self._turn: Turn | None = None
        # Whether the last attempt, or any, was given up for its target's
        # silence alone.
        self._stalled = False
        self._gave_up_silent = False
        self._stopped = False
        self._recorder = CallRecorder(clock, call)
        self._progress = ResponseProgress(writer, call.request.last_event_id)
        self._attempt: Attempt | None = None
        self._tried: set[str] = set()
        # Numbers of attempts that may have run the call, that certainly did
        # not run it, and that could not connect to their target.
        self._runs = 0
        self._rejections = 0
        self._connect_failures = 0
        self._outcome = "none"
        self._status = 0
        self._reason = ""

    async def run(self) -> None:
        """Returns once the response has ended or the caller disconnected."""
        self._writer.on_disconnect(self._on_disconnect)
        left_s = max(0.0, self._call.deadline - self._clock.seconds())
        self._timer = self._clock.callLater(left_s, self._on_deadline)
        try:
            result = await self._attempt_all()
        finally:
            if self._timer.active():
                self._timer.cancel()
            self._end_turn()
        self._respond(result)

    def stop(self) -> None:
        """Ends the call as the router stops."""
        self._stopped = True
        self._leave_queue()
        if self._attempt is None:
            return
        outcome = AttemptOutcome.NOT_RUN
        if self._attempt.sent:
            outcome = AttemptOutcome.STOPPED
        self._attempt.stop(outcome, ROUTER_STOPS)

    def fail(self, error: Exception) -> None:
        """Ends the response after an exception of the router's own."""
        record_error(self._call.request.id, error)
        self._outcome = "error"
        refusal = error_refusal(self._runs > 0)
        self._status, self._reason = refusal.status, refusal.code
        self._writer.fail(refusal)

    def tokens_used(self, tokens_per_event: int) -> int:
        """Returns the number of tokens to charge the customer.

        Only a stream's events tell how many it got. Another response may carry
        as many as the call allows.

        Args:
            tokens_per_event: Most tokens that one event of a stream carries.
        """
        tokens = self._call.request.token_limits
        if tokens is None or not self._runs:
            return 0
        if self._progress.delivered_whole:
            return tokens.total
        output = self._progress.stream.events * tokens_per_event
        return tokens.prompt + min(tokens.output, output)

    def record_outcome(self, tokens: int) -> None:
        """Emits the call's event with the tokens that were charged."""
        self._recorder.record_end(
            self._outcome, self._status, self._reason, tokens
        )

    async def _attempt_all(self) -> AttemptResult | Refusal:
        result: AttemptResult | None = None
        while True:
            ended = self._end_without_attempt() or await self._take_turn()
            if ended is not None:
                return ended
            target = self._pool.choose(self._call, self._tried)
            if target is None:
                if result is not None and await self._wait_after_silence(
                    result
                ):
                    continue
                return result or self._no_target_refusal()
            admitted = await self._pool.admit(target)
            ended = self._end_without_attempt()
            if ended is not None:
                return ended
            if not admitted or not self._pool.is_allowed(self._call, target):
                continue
            attempted = await self._attempt_one(target)
            if attempted.outcome is AttemptOutcome.DIVERTED:
                # No longer a candidate: its data centre is evacuated, or it
                # has started again. The turn is kept.
                continue
            result = attempted
            self._end_turn(target, result)
            self._tried.add(target.id)
            goes_on = (
                self._may_retry(result)
                and self._pool.has_candidate(self._call, self._tried)
                and self._take_retry(result)
            )
            if not goes_on and not await self._wait_after_silence(result):
                return result

    async def _wait_after_silence(self, result: AttemptResult) -> bool:
        """Waits before all targets are tried again.

        A target that was given up for its silence alone may be sound. A call
        does not end because no other one has taken over from it.

        Returns:
            Whether to try again; False at once for other calls.
        """
        can_go_on = (
            result.outcome in NOT_RUN_OUTCOMES
            or result.outcome is AttemptOutcome.UNCONFIRMED
            or self._stalled
        )
        if not (
            self._gave_up_silent
            and can_go_on
            and self._runs < self._call.route.max_attempts
            and self._may_be_repeated()
        ):
            return False
        self._end_turn()
        self._tried.clear()
        self._rejections = self._connect_failures = 0
        await task.deferLater(self._clock, defaults.SILENT_RETRY_PAUSE_S)
        return True

    def _end_without_attempt(self) -> AttemptResult | Refusal | None:
        """Returns the result of a call that needs no further attempt.

        It may have been quarantined while it waited.
        """
        if self._writer.disconnected:
            return _disconnected_result()
        if self._stopped:
            return _unsent_result()
        if self._clock.seconds() >= self._call.deadline:
            return _expired_result()
        return self._pool.quarantine_refusal(self._call)

    async def _take_turn(self) -> AttemptResult | Refusal | None:
        """Waits until an attempt may begin.

        A turn that was not used is kept: the target had no permit.

        Returns:
            None if an attempt may begin, otherwise how the call ends. It is
            not refused once an attempt was made.
        """
        if self._queues is None or self._turn is not None:
            return None
        queue = self._queues.queue(self._call.service)
        if queue is None:
            return None
        if not self._pool.has_candidate(self._call, self._tried):
            return None
        is_repeat = bool(self._tried or self._call.request.last_event_id)
        self._turn = queue.request(self._call, is_repeat)
        refusal = await self._turn.granted
        return self._end_without_attempt() or refusal

    def _end_turn(
        self,
        target: TargetEntry | None = None,
        result: AttemptResult | None = None,
    ) -> None:
        turn, self._turn = self._turn, None
        if turn is not None:
            turn.end(target, result)

    def _leave_queue(self) -> None:
        if self._turn is not None:
            self._turn.leave()

    def _no_target_refusal(self) -> Refusal:
        refusal = self._pool.location_refusal(self._call)
        if refusal is not None:
            return refusal
        delay_s = random.uniform(*defaults.NO_TARGET_RETRY_RANGE_S)
        pause_left_s = self._pool.pause_left_s(self._call.service)
        return Refusal(
            503,
            "no_target",
            f"no target of service {self._call.service} accepts calls",
            delay_s + (pause_left_s or 0.0),
        )

    async def _attempt_one(self, target: TargetEntry) -> AttemptResult:
        started_at = self._clock.seconds()
        load = self._pool.loads.load(target.id)
        limit_revision = self._pool.limit_revision(target)
        attempt = Attempt(
            self._clock,
            self._call,
            self._codec,
            self._progress,
            lambda head: self._record_head(target, head, limit_revision),
            lambda: self._on_first_event(target),
        )
        self._attempt = attempt
        try:
            self._pool.record_start(self._call, target)
            result = await self._exchange(attempt, target)
        except Exception as error:
            attempt.fail(error, attempt.sent)
            result = attempt.result
        self._attempt = None
        self._stalled = attempt.stalled
        self._gave_up_silent |= attempt.stalled
        self._count_attempt(result)
        self._pool.record_end(self._call, target)
        self._pool.record_result(self._call, target, result)
        self._recorder.record_attempt(target, load, result, started_at)
        return result

    def _record_head(
        self, target: TargetEntry, head: ResponseHead, limit_revision: int
    ) -> None:
        """Records what a head says of its target; the call doesn't need it."""
        try:
            self._pool.record_head(self._call, target, head, limit_revision)
        except Exception as error:
            record_error(self._call.request.id, error)

    def _on_first_event(self, target: TargetEntry) -> None:
        try:
            self._pool.record_first_event(self._call, target)
        except Exception as error:
            record_error(self._call.request.id, error)
        self._begin_stream(target)

    def _begin_stream(self, target: TargetEntry) -> None:
        """Keeps the call to the version of the target that has begun it.

        A stream that is taken up is recorded too: its caller may name this
        request as it takes it up once more.
        """
        if self._recorded:
            return
        self._recorded = True
        begins_here = self._call.version is None
        record = OriginRecord(
            self._call.request.id,
            target.service,
            target.version,
            run_of(target) if begins_here else None,
        )
        if begins_here:
            self._call = self._call._replace(version=target.version)
            self._origin = record
            self._origin_connected_at = self._connected_at
        self._versions.record(record, self._connected_at)

    async def _check_until_end(
        self, attempt: Attempt, target: TargetEntry, connection: HttpConnection
    ) -> AttemptResult | None:
        """Checks the version; returns early if the attempt ends meanwhile."""
        first: defer.Deferred[AttemptResult | None] = defer.Deferred()

        def end_check(result) -> None:
            if not first.called:
                first.callback(result)

        def end_attempt(result: AttemptResult) -> AttemptResult:
            end_check(None)
            return result

        checking = self._check_version(target, connection)
        defer.ensureDeferred(checking).addBoth(end_check)
        attempt.ended.addCallback(end_attempt)
        return await first

    async def _check_version(
        self, target: TargetEntry, connection: HttpConnection
    ) -> AttemptResult | None:
        """Checks that a stream that goes on stays at its version.

        The entry of what began it, or of this target, may be out of date.

        Returns:
            None if the call may be sent, otherwise how the attempt ends.
        """
        if self._call.version is None:
            return None
        if self._origin is not None and not await self._versions.confirm(
            self._origin.run, self._origin_connected_at
        ):
            return AttemptResult(
                AttemptOutcome.UNCONFIRMED,
                "the target that began the stream may run another version",
            )
        if not await self._versions.confirm(
            run_of(target), connection.opened_at
        ):
            if not self._pool.is_registered(target):
                return AttemptResult(
                    AttemptOutcome.DIVERTED, "it has started again"
                )
            return AttemptResult(
                AttemptOutcome.UNCONFIRMED, "it may run another version"
            )
        if connection.closed:
            return AttemptResult(
                AttemptOutcome.UNREACHABLE,
                "it closed the connection",
                connection_lost=True,
            )
        return None

    async def _exchange(
        self, attempt: Attempt, target: TargetEntry
    ) -> AttemptResult:
        try:
            connection = await self._pool.connect(self._call, target)
        except Exception as error:
            return self._unreachable_result(error)
        try:
            return await self._exchange_over(connection, attempt, target)
        finally:
            if not (attempt.sent or connection.closed):
                connection.release()

    def _unreachable_result(self, error: Exception) -> AttemptResult:
        """Returns the result of an attempt that could not connect."""
        if isinstance(error, InternalExchangeError):
            record_error(self._call.request.id, error.__cause__ or error)
        elif not isinstance(error, ExchangeError):
            record_error(self._call.request.id, error)
        return AttemptResult(
            AttemptOutcome.UNREACHABLE, str(error), connection_lost=True
        )

    async def _exchange_over(
        self, connection: HttpConnection, attempt: Attempt, target: TargetEntry
    ) -> AttemptResult:
        unchecked = await self._check_until_end(attempt, target, connection)
        if attempt.done:
            return await attempt.ended
        if self._writer.disconnected:
            return _disconnected_result()
        if unchecked is not None:
            connection.abort()
            return unchecked
        if not self._pool.is_allowed(self._call, target):
            return AttemptResult(
                AttemptOutcome.DIVERTED, "its data centre is evacuated"
            )
        left_s = self._call.deadline - self._clock.seconds()
        self._connected_at = connection.opened_at
        request = self._codec.encode_request(
            self._call, target, left_s, self._progress.last_event_id
        )
        stall_detector = StallDetector(
            self._clock,
            attempt,
            self._call,
            lambda: self._could_go_on_elsewhere(target),
            lambda: self._pool.record_silence(target),
        )
        attempt.run(connection, request)
        if self._can_fail_over():
            stall_detector.start()
        try:
            return await attempt.ended
        finally:
            stall_detector.stop()

    def _can_fail_over(self) -> bool:
        """Whether the call may be retried elsewhere if this attempt stalls."""
        return (
            self._call.route.retryable
            and self._runs + 1 < self._call.route.max_attempts
        )

    def _could_go_on_elsewhere(self, target: TargetEntry) -> bool:
        """Returns whether another target could take over from this one now."""
        tried = self._tried | {target.id}
        return (
            self._may_be_repeated()
            and self._retries.allows(self._call.service)
            and self._pool.has_candidate(self._call, tried)
        )

    def _count_attempt(self, result: AttemptResult) -> None:
        if result.outcome in (
            AttemptOutcome.DIVERTED,
            AttemptOutcome.UNCONFIRMED,
        ):
            return
        if result.outcome is AttemptOutcome.UNREACHABLE:
            self._connect_failures += 1
        elif result.outcome is AttemptOutcome.NOT_RUN:
            self._rejections += 1
        else:
            self._runs += 1

    def _may_retry(self, result: AttemptResult) -> bool:
        """Whether the call may be sent to another target."""
        if result.outcome in (
            AttemptOutcome.DELIVERED,
            AttemptOutcome.EXPIRED,
            AttemptOutcome.CALLER_LEFT,
            AttemptOutcome.STOPPED,
            AttemptOutcome.UNCONFIRMED,
        ):
            return False
        if self._runs >= self._call.route.max_attempts:
            return False
        if result.outcome is AttemptOutcome.ERROR and self._progress.begun:
            # It is not known whether the caller was sent all of it.
            return False
        if self._has_failed_too_often() or not self._may_be_repeated():
            return False
        return result.outcome in NOT_RUN_OUTCOMES or self._call.route.retryable

    def _may_be_repeated(self) -> bool:
        """Whether another target could still end the call in time."""
        left_s = self._call.deadline - self._clock.seconds()
        return (
            left_s >= self._min_time_s()
            and self._progress.can_continue
            and not self._writer.disconnected
            and not self._stopped
            and self._pool.quarantine_refusal(self._call) is None
        )

    def _has_failed_too_often(self) -> bool:
        """Whether too many targets rejected the call or were unreachable."""
        return (
            self._rejections > defaults.MAX_REJECTIONS
            or self._connect_failures > defaults.MAX_UNREACHABLE_TARGETS
        )

    def _take_retry(self, result: AttemptResult) -> bool:
        """Takes a retry from the budget; free if no connection was made.

        Returns:
            Whether the call may be retried.
        """
        if result.outcome is AttemptOutcome.UNREACHABLE:
            return True
        if self._retries.take(self._call.service):
            return True
        emit(
            "request", "retry_refused", id=self._call.request.id,
            service=self._call.service, reason=result.reason,
        )  # fmt: skip
        return False

    def _min_time_s(self) -> float:
        """Returns the least time in which a target could respond, in seconds.

        With less time left until the deadline, the call is not retried.
        """
        return self._call.route.objective_s * defaults.MIN_OBJECTIVE_FRACTION

    def _on_deadline(self) -> None:
        self._timer = self._clock.callLater(
            defaults.CALL_OVERDUE_S, self._cancel
        )
        self._stop_waiting(AttemptOutcome.EXPIRED, DEADLINE_PASSED)

    def _on_disconnect(self) -> None:
        self._stop_waiting(
            AttemptOutcome.CALLER_LEFT, "the caller disconnected"
        )

    def _stop_waiting(self, outcome: AttemptOutcome, reason: str) -> None:
        try:
            self._leave_queue()
        finally:
            if self._attempt is not None:
                self._attempt.stop(outcome, reason)

    def _respond(self, result: AttemptResult | Refusal) -> None:
        """Ends the response to the caller unless that has been done."""
        if isinstance(result, Refusal):
            self._send_refusal(result)
            return
        self._reason = result.reason
        self._outcome = result.outcome.value
        if (
            result.outcome is AttemptOutcome.DELIVERED
            or self._writer.disconnected
        ):
            return
        if result.outcome is AttemptOutcome.ERROR:
            self._status = 502
            self._writer.fail(Refusal(502, "internal", result.reason))
        elif self._progress.started:
            self._writer.abort(self._close_reason(result.outcome))
        elif result.outcome is AttemptOutcome.TARGET_FAILED:
            self._forward_failure(result)
        else:
            self._send_refusal(self._refusal(result))

    def _close_reason(
        self, outcome: AttemptOutcome | None = None
    ) -> CloseReason:
        """Returns why a response that has begun can't be completed."""
        if self._stopped or outcome is AttemptOutcome.STOPPED:
            return CloseReason.STOP
        if outcome is AttemptOutcome.EXPIRED:
            return CloseReason.DEADLINE
        return CloseReason.TARGET_FAILED

    def _forward_failure(self, result: AttemptResult) -> None:
        """Forwards a target's error response.

        A status that means "not run" is replaced if an attempt may have run.
        """
        if result.head.status in NOT_RUN_STATUSES and self._runs:
            self._write_refusal(
                Refusal(502, "target_failed", "the target failed")
            )
            return
        self._status = result.head.status
        self._writer.start(result.head.status, result.head.headers)
        self._writer.send(result.body)
        self._writer.end()

    def _refusal(self, result: AttemptResult) -> Refusal:
        if result.outcome is AttemptOutcome.EXPIRED:
            return Refusal(
                504, "deadline_exceeded", "no response before the deadline"
            )
        if result.outcome is AttemptOutcome.STOPPED:
            return Refusal(502, "stopping", result.reason)
        if result.outcome is AttemptOutcome.UNCONFIRMED:
            return Refusal(
                503,
                "unconfirmed_version",
                result.reason,
                random.uniform(*defaults.NO_TARGET_RETRY_RANGE_S),
            )
        if result.outcome in NOT_RUN_OUTCOMES:
            return Refusal(
                503,
                "not_run",
                result.reason,
                random.uniform(*defaults.NOT_RUN_RETRY_RANGE_S),
            )
        return Refusal(502, "target_failed", result.reason)

    def _send_refusal(self, refusal: Refusal) -> None:
        """Refuses the call.

        A status that means "not run" is replaced if an attempt may have run.
        """
        if refusal.status in NOT_RUN_STATUSES and self._runs:
            refusal = Refusal(502, refusal.code, refusal.message)
        self._write_refusal(refusal)

    def _write_refusal(self, refusal: Refusal) -> None:
        """Sends a refusal; aborts the response instead if it has started."""
        self._outcome = "refused"
        self._status, self._reason = refusal.status, refusal.code
        if self._progress.started:
            self._writer.abort(self._close_reason())
        else:
            self._writer.refuse(refusal)


def _expired_result() -> AttemptResult:
    return AttemptResult(AttemptOutcome.EXPIRED, DEADLINE_PASSED)


def _unsent_result() -> AttemptResult:
    return AttemptResult(AttemptOutcome.NOT_RUN, ROUTER_STOPS)


def _disconnected_result() -> AttemptResult:
    return AttemptResult(AttemptOutcome.CALLER_LEFT, "the caller disconnected")
