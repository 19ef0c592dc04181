"""Serves a caller's request: admits it, reserves its tokens and runs it."""

import math
import random
from collections.abc import Callable

from twisted.internet import defer

from chicorystack import defaults
from chicorystack.budget.grants.call_queue import GrantError
from chicorystack.budget.grants.client import GrantClient
from chicorystack.budget.grants.records import GrantReservation
from chicorystack.gateway.admission import Admission, RefusedError, refuse
from chicorystack.gateway.attempt import TargetCodec
from chicorystack.gateway.call_run import CallRunner
from chicorystack.gateway.messages import (
    Call,
    CallerRequest,
    ResponseWriter,
    TokenLimits,
)
from chicorystack.gateway.model import CallKind, GatewayConfig
from chicorystack.gateway.outcomes import record_refused
from chicorystack.gateway.own_errors import error_refusal, record_error
from chicorystack.gateway.target_pool import TargetPool
from chicorystack.gateway.turns import ServiceQueues
from chicorystack.routing.retry_budget import RetryBudget
from chicorystack.streams.finder import ResumedStream
from chicorystack.streams.stream_origins import StreamOrigins


class Dispatcher:
    """Serves the requests of one router.

    Attributes:
        open_requests: Number of requests in progress.
    """

    def __init__(
        self,
        clock,
        config: Callable[[], GatewayConfig],
        codec: TargetCodec,
        pool: TargetPool,
        grants: GrantClient,
        retries: RetryBudget,
        origins: StreamOrigins,
        queues: ServiceQueues,
    ):
        self._clock = clock
        self._config = config
        self._codec = codec
        self._pool = pool
        self._grants = grants
        self._retries = retries
        self._origins = origins
        self._queues = queues
        self._admission = Admission(clock, config)
        # Most urgent priority of a version of the configuration.
        self._urgency_version = 0
        self._most_urgent: int | None = None
        self._runners: set[CallRunner] = set()
        # Clock times, in seconds, from which on calls are refused that may not
        # end in time as the router stops, and by which calls must end;
        # infinity before the stop. And whether the latter has come.
        self._refuse_at = math.inf
        self._end_at = math.inf
        self._ended = False
        self.open_requests = 0

    def begin_stop(self, refuse_at: float, end_at: float) -> None:
        """Sets the times of the router's stop, as clock times in seconds.

        Args:
            refuse_at: From when on calls are refused that may not end in time.
            end_at: When calls must end.
        """
        self._refuse_at, self._end_at = refuse_at, end_at

    def end_calls(self) -> None:
        """Ends all calls: those that have not run are refused."""
        self._ended = True
        for runner in list(self._runners):
            try:
                runner.stop()
            except Exception as error:
                # The others must end in order all the same.
                record_error("", error)

    def serve(self, request: CallerRequest, writer: ResponseWriter) -> None:
        """Serves one request and writes its response."""
        self.open_requests += 1

        def cancel() -> None:
            serving.cancel()

        serving = defer.ensureDeferred(self._serve(request, writer, cancel))
        serving.addErrback(_handle_unexpected_error, request, writer)
        serving.addBoth(self._on_served)

    def _on_served(self, _result) -> None:
        self.open_requests -= 1

    async def _serve(
        self,
        request: CallerRequest,
        writer: ResponseWriter,
        cancel: Callable[[], None],
    ) -> None:
        # The call is settled by the terms that it is admitted with.
        config = self._config()
        try:
            call = self._admission.admit(request)
            has_budget = self._grants.has_budget(call.customer)
            self._check_stop(call)
            self._check_targets(call)
            self._retries.record_call(call.service)
            call = await self._pin_resumed_stream(call)
            runner = self._create_runner(call, writer, cancel)
            reservation = None
            if has_budget and request.token_limits is not None:
                reservation = await self._reserve(call, request.token_limits)
        except RefusedError as error:
            record_refused(request.id, self._config().version, error.refusal)
            writer.refuse(error.refusal)
            return
        try:
            await self._run(runner)
        except Exception as error:
            runner.fail(error)
        finally:
            spent = self._settle(runner, call, config, reservation)
        runner.record_outcome(spent)

    def _create_runner(
        self, call: Call, writer: ResponseWriter, cancel: Callable[[], None]
    ) -> CallRunner:
        return CallRunner(
            self._clock,
            call,
            writer,
            self._codec,
            self._pool,
            self._retries,
            self._origins,
            self._queues,
            cancel,
        )

    def _settle(
        self,
        runner: CallRunner,
        call: Call,
        config: GatewayConfig,
        reservation: GrantReservation | None,
    ) -> int:
        """Charges the customer for the call; returns the number of tokens.

        All that was reserved is charged if it can't be told what was used.
        """
        spent = 0
        if reservation is not None:
            spent = call.request.token_limits.total
        try:
            spent = runner.tokens_used(
                config.max_tokens_per_event(call.service)
            )
        finally:
            if reservation is not None:
                self._grants.settle(reservation, spent)
        return spent

    async def _run(self, runner: CallRunner) -> None:
        """Runs a call, which ends early if the router stops."""
        self._runners.add(runner)
        if self._ended:
            runner.stop()
        try:
            await runner.run()
        finally:
            self._runners.discard(runner)

    def _check_stop(self, call: Call) -> None:
        """Checks that the call will end before the router stops.

        Raises:
            RefusedError: If it may not.
        """
        refuses = self._clock.seconds() >= self._refuse_at
        if refuses and call.deadline > self._end_at:
            message = "this router stops; others are ready"
            retry_s = random.uniform(*defaults.NOT_RUN_RETRY_RANGE_S)
            raise refuse(503, "stopping", message, retry_s)

    def _check_targets(self, call: Call) -> None:
        """Checks that a target may run the call, before any waiting.

        Raises:
            RefusedError: If the call is quarantined, or all data centres are
                evacuated or in other regions.
        """
        refusal = self._pool.quarantine_refusal(
            call
        ) or self._pool.location_refusal(call)
        if refusal is not None:
            raise RefusedError(refusal)

    async def _pin_resumed_stream(self, call: Call) -> Call:
        """Returns the call, bound to the origin of a stream that it takes up.

        Raises:
            RefusedError: If the origin is not known, or the route's calls go
                to other services by now.
        """
        request, route = call.request, call.route
        if route.kind is not CallKind.STREAM or not request.last_event_id:
            return call
        services = tuple(split.service for split in route.services)
        origin = await self._origins.finder.find(
            ResumedStream(request.resumes, services, _max_stream_age_s(call))
        )
        if origin is None:
            retry_s = random.uniform(*defaults.NO_TARGET_RETRY_RANGE_S)
            message = f"nobody knows where stream {request.resumes} began"
            raise refuse(503, "unknown_stream", message, retry_s)
        if origin.service not in services:
            message = f"the stream began at service {origin.service}"
            raise refuse(503, "moved_stream", message)
        return call._replace(service=origin.service, version=origin.version)

    async def _reserve(
        self, call: Call, tokens: TokenLimits
    ) -> GrantReservation:
        """Reserves the call's tokens.

        Raises:
            RefusedError: If the budget is exhausted or no tokens were granted
                in time.
        """
        now = self._clock.seconds()
        give_up_at = min(call.deadline, now + defaults.GRANT_CALL_WAIT_S)
        try:
            return await self._grants.reserve(
                call.customer, tokens.total, give_up_at, self._is_urgent(call)
            )
        except GrantError as error:
            if error.exhausted:
                raise refuse(402, "budget_exhausted", str(error)) from error
            retry_s = error.retry_after_s * random.uniform(1.0, 1.5)
            raise refuse(503, "no_grant", str(error), retry_s) from error

    def _is_urgent(self, call: Call) -> bool:
        """Returns whether a call may use the tokens kept for urgent calls.

        Its route must have the most urgent priority of all routes with
        prompts, or none. A customer's priority is the same for all its calls
        and would not tell them apart.
        """
        config = self._config()
        if config.version != self._urgency_version:
            self._urgency_version = config.version
            self._most_urgent = config.most_urgent_priority()
        priority = call.route.priority
        return (
            priority is None
            or self._most_urgent is None
            or priority <= self._most_urgent
        )


def _handle_unexpected_error(failure, request: CallerRequest, writer) -> None:
    """Answers a request that an error ended before its call was run."""
    record_error(request.id, failure.value)
    writer.fail(error_refusal(may_have_run=False))


def _max_stream_age_s(call: Call) -> float:
    """Returns how long ago a stream that is taken up may have begun.

    A caller may wait longer than the route's timeout, by several requests.
    """
    waits_s = max(call.route.timeout_s, call.request.timeout_s or 0.0)
    return min(
        waits_s * defaults.STREAM_AGE_TIMEOUTS, defaults.STREAM_VERSION_KEEP_S
    )
