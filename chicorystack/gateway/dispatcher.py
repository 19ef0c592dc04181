"""Carries one request from its caller to targets and the answer back."""

import random
from collections.abc import Callable

from twisted.internet import defer

from chicorystack import defaults
from chicorystack.budget.grant_client import GrantClient
from chicorystack.budget.grant_queue import GrantError
from chicorystack.budget.grant_records import GrantReservation
from chicorystack.errors import ApiError
from chicorystack.gateway.admission import Admission, RefusedError, refuse
from chicorystack.gateway.attempt import TargetDialect
from chicorystack.gateway.call_run import CallRun
from chicorystack.gateway.messages import Call, CallerReply, CallerRequest
from chicorystack.gateway.model import GatewayConfig
from chicorystack.gateway.outcomes import note_refused
from chicorystack.gateway.target_pool import TargetPool
from chicorystack.observe.events import emit
from chicorystack.quarantine.strikes import StrikeTable
from chicorystack.routing.retry_budget import RetryBudget


class Dispatcher:
    """Serves the requests of one router.

    Attributes:
        open_requests: Requests under way.
    """

    def __init__(
        self,
        clock,
        config: Callable[[], GatewayConfig],
        dialect: TargetDialect,
        pool: TargetPool,
        grants: GrantClient,
        retries: RetryBudget,
        strikes: StrikeTable,
    ):
        self._clock = clock
        self._config = config
        self._dialect = dialect
        self._pool = pool
        self._grants = grants
        self._retries = retries
        self._strikes = strikes
        self._admission = Admission(clock, config)
        self.open_requests = 0

    def serve(self, request: CallerRequest, reply: CallerReply) -> None:
        """Serves one request; its answer goes to the reply."""
        self.open_requests += 1
        serving = defer.ensureDeferred(self._serve(request, reply))
        serving.addErrback(self._note_bug, request, reply)
        serving.addBoth(self._note_end)

    def _note_end(self, _result) -> None:
        self.open_requests -= 1

    def _note_bug(self, failure, request: CallerRequest, reply) -> None:
        emit("request", "bug", id=request.id, reason=failure.getTraceback())
        reply.break_off()

    async def _serve(self, request: CallerRequest, reply: CallerReply) -> None:
        try:
            call = self._admission.admit(request)
            self._check_strikes(call)
            self._retries.note_call(call.service)
            reservation = await self._reserve(call, reply)
        except RefusedError as error:
            note_refused(request.id, self._config().version, error.refusal)
            reply.refuse(error.refusal)
            return
        run = CallRun(
            self._clock, call, reply, self._dialect, self._pool, self._retries
        )
        spent = 0
        try:
            await run.run()
            spent = run.tokens_used(self._tokens_per_event(call))
        finally:
            if reservation is not None:
                self._grants.settle(reservation, spent)
        run.tell(spent)

    def _check_strikes(self, call: Call) -> None:
        """Raises RefusedError for a content that crashes targets."""
        try:
            self._strikes.check(call.content)
        except ApiError as error:
            retry_s = error.retry_after_ms / 1000
            message = f"{error}: {call.content}"
            raise refuse(503, error.code, message, retry_s) from error

    async def _reserve(
        self, call: Call, reply: CallerReply
    ) -> GrantReservation | None:
        """Sets the call's tokens aside; raises RefusedError."""
        tokens = call.request.tokens
        if tokens is None or not self._grants.has_budget(call.customer):
            return None
        now = self._clock.seconds()
        give_up_at = min(call.deadline, now + defaults.GRANT_CALL_WAIT_S)
        try:
            return await self._grants.reserve(
                call.customer, tokens.total, give_up_at
            )
        except GrantError as error:
            if error.exhausted:
                raise refuse(402, "budget_exhausted", str(error)) from error
            retry_s = error.retry_after_s * random.uniform(1.0, 1.5)
            raise refuse(503, "no_grant", str(error), retry_s) from error

    def _tokens_per_event(self, call: Call) -> int:
        service = self._config().service_by_name.get(call.service)
        if service is None or service.engine is None:
            return 1
        return service.engine.tokens_per_event
