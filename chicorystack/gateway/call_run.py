"""All attempts of one call, until its caller is answered, cut off or gone."""

import random

from chicorystack import defaults
from chicorystack.gateway.attempt import (
    PROMISES,
    Attempt,
    AttemptResult,
    End,
    StallWatch,
    TargetDialect,
    Transcript,
)
from chicorystack.gateway.messages import Call, CallerReply, Refusal
from chicorystack.gateway.outcomes import CallStory
from chicorystack.gateway.target_pool import TargetPool
from chicorystack.gateway.targets import TargetEntry
from chicorystack.observe.events import emit
from chicorystack.routing.retry_budget import RetryBudget
from chicorystack.web.exchange import ExchangeError

# Ends of attempts after which a call has certainly not run.
NOT_RUN = frozenset({End.UNREACHABLE, End.NOT_RUN})


class CallRun:
    """All attempts of one call."""

    def __init__(
        self,
        clock,
        call: Call,
        reply: CallerReply,
        dialect: TargetDialect,
        pool: TargetPool,
        retries: RetryBudget,
    ):
        self._clock = clock
        self._call = call
        self._reply = reply
        self._dialect = dialect
        self._pool = pool
        self._retries = retries
        self._story = CallStory(clock, call)
        self._transcript = Transcript(reply, call.request.last_event)
        self._attempt: Attempt | None = None
        self._tried: set[str] = set()
        # Attempts that may have run, that a target has refused to run, and
        # for which no target was reached.
        self._runs = 0
        self._rejections = 0
        self._unreached = 0
        self._outcome = "none"
        self._status = 0
        self._reason = ""

    async def run(self) -> None:
        """Ends with the caller answered, cut off or gone."""
        self._reply.on_gone(self._caller_left)
        left_s = max(0.0, self._call.deadline - self._clock.seconds())
        timer = self._clock.callLater(left_s, self._expire)
        try:
            result = await self._attempt_all()
        finally:
            if timer.active():
                timer.cancel()
        self._conclude(result)

    def tokens_used(self, tokens_per_event: int) -> int:
        """Returns the tokens that the customer has used."""
        tokens = self._call.request.tokens
        if tokens is None or not self._runs:
            return 0
        output = self._transcript.progress.events * tokens_per_event
        return tokens.prompt + min(tokens.output, output)

    def tell(self, tokens: int) -> None:
        """Writes the event of the call."""
        self._story.end(self._outcome, self._status, self._reason, tokens)

    async def _attempt_all(self) -> AttemptResult | Refusal:
        while True:
            target = self._pool.choose(self._call, self._tried)
            if target is None:
                return self._no_target()
            result = await self._attempt_one(target)
            if not self._may_retry(result):
                return result
            self._tried.add(target.id)
            if not self._pool.has_candidate(self._call, self._tried):
                return result
            if not self._may_send_again(result):
                emit(
                    "request", "retry_refused", id=self._call.request.id,
                    service=self._call.service, reason=result.reason,
                )  # fmt: skip
                return result

    def _no_target(self) -> Refusal:
        return Refusal(
            503,
            "no_target",
            f"no target of {self._call.service} takes work",
            random.uniform(*defaults.NO_TARGET_RETRY_RANGE_S),
        )

    async def _attempt_one(self, target: TargetEntry) -> AttemptResult:
        begun_at = self._clock.seconds()
        load = self._pool.loads.load(target.id)
        attempt = Attempt(
            self._clock,
            self._call,
            self._dialect,
            self._transcript,
            lambda head: self._pool.note_head(target, head),
        )
        self._attempt = attempt
        self._pool.note_begun(target)
        try:
            result = await self._exchange(attempt, target)
        finally:
            self._pool.note_ended(target)
            self._attempt = None
        self._count(result)
        self._pool.note_result(self._call, target, result)
        self._story.note_attempt(target, load, result, begun_at)
        return result

    async def _exchange(
        self, attempt: Attempt, target: TargetEntry
    ) -> AttemptResult:
        try:
            connection = await self._pool.connection(self._call, target)
        except ExchangeError as error:
            return AttemptResult(End.UNREACHABLE, str(error), lost=True)
        if attempt.done or self._reply.gone:
            connection.give_back()
            return await attempt.ended if attempt.done else _left()
        left_s = self._call.deadline - self._clock.seconds()
        request = self._dialect.request(
            self._call, target, left_s, self._transcript.last_event
        )
        watch = StallWatch(self._clock, attempt, self._call)
        attempt.run(connection, request)
        if self._can_go_elsewhere():
            watch.start()
        try:
            return await attempt.ended
        finally:
            watch.stop()

    def _can_go_elsewhere(self) -> bool:
        """Whether another target may take over if this one falls silent."""
        return (
            self._call.route.repeatable
            and self._runs + 1 < self._call.route.max_attempts
        )

    def _count(self, result: AttemptResult) -> None:
        if result.end is End.UNREACHABLE:
            self._unreached += 1
        elif result.end is End.NOT_RUN:
            self._rejections += 1
        else:
            self._runs += 1

    def _may_retry(self, result: AttemptResult) -> bool:
        """Whether the call may be sent to another target."""
        if result.end in (End.DELIVERED, End.EXPIRED, End.CALLER_LEFT):
            return False
        if self._reply.gone or self._runs >= self._call.route.max_attempts:
            return False
        if self._rejections > defaults.MAX_REJECTIONS:
            return False
        if self._unreached > defaults.MAX_UNREACHED:
            return False
        if self._call.deadline - self._clock.seconds() < self._least_time_s():
            return False
        return result.end in NOT_RUN or self._call.route.repeatable

    def _may_send_again(self, result: AttemptResult) -> bool:
        """Takes a retry from the budget, unless no target has been sent it."""
        if result.end is End.UNREACHABLE:
            return True
        return self._retries.take(self._call.service)

    def _least_time_s(self) -> float:
        """Returns the time below which a target could not answer."""
        return self._call.route.objective_s * defaults.LEAST_OBJECTIVE_PART

    def _expire(self) -> None:
        if self._attempt is not None:
            self._attempt.stop(End.EXPIRED, "the deadline has passed")

    def _caller_left(self) -> None:
        if self._attempt is not None:
            self._attempt.stop(End.CALLER_LEFT, "the caller has left")

    def _conclude(self, result: AttemptResult | Refusal) -> None:
        """Gives the caller its end, where it does not have it yet."""
        if isinstance(result, Refusal):
            self._refuse_after_runs(result)
            return
        self._reason = result.reason
        self._outcome = result.end.value
        if result.end is End.DELIVERED or self._reply.gone:
            return
        if self._transcript.started:
            self._reply.break_off()
        elif result.end is End.TARGET_FAILED:
            self._pass_failure(result)
        else:
            self._refuse_after_runs(self._refusal(result))

    def _pass_failure(self, result: AttemptResult) -> None:
        """Passes a target's own failure on, unless it would promise falsely."""
        if result.head.status in PROMISES and self._runs:
            self._refuse(
                Refusal(502, "target_failed", "the target failed the call")
            )
            return
        self._status = result.head.status
        self._reply.start(result.head.status, result.head.headers)
        self._reply.send(result.body)
        self._reply.end()

    def _refusal(self, result: AttemptResult) -> Refusal:
        if result.end is End.EXPIRED:
            return Refusal(504, "deadline_exceeded", "no answer came in time")
        if result.end in NOT_RUN:
            return Refusal(
                503,
                "not_run",
                result.reason,
                random.uniform(*defaults.NOT_RUN_RETRY_RANGE_S),
            )
        return Refusal(502, "target_failed", result.reason)

    def _refuse_after_runs(self, refusal: Refusal) -> None:
        """Refuses; says that the call has not run only where it has not."""
        if refusal.status in PROMISES and self._runs:
            refusal = Refusal(502, refusal.reason, refusal.message)
        self._refuse(refusal)

    def _refuse(self, refusal: Refusal) -> None:
        self._outcome = "refused"
        self._status, self._reason = refusal.status, refusal.reason
        if self._transcript.started:
            self._reply.break_off()
        else:
            self._reply.refuse(refusal)


def _left() -> AttemptResult:
    return AttemptResult(End.CALLER_LEFT, "the caller has left")
