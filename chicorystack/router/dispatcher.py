"""Carries one call from the caller to a target and back, and settles it."""

from twisted.internet import defer
from twisted.web import server

from chicorystack import defaults
from chicorystack.budget.client import BudgetClient
from chicorystack.budget.wallet import Reservation
from chicorystack.config.store import ConfigStore
from chicorystack.errors import ApiError
from chicorystack.observe.logs import part_logger
from chicorystack.router.admission import Admission, Call
from chicorystack.router.forwarder import (
    Delivered,
    Forwarder,
    NotDeliveredError,
)
from chicorystack.routing.targets import TargetState, TargetTable

log = part_logger("dispatch")
MAX_ATTEMPTS = 3


class Dispatcher:
    """Serves calls of one router."""

    def __init__(
        self,
        clock,
        store: ConfigStore,
        admission: Admission,
        budgets: BudgetClient,
        targets: TargetTable,
        forwarder: Forwarder,
    ):
        self._clock = clock
        self._store = store
        self._admission = admission
        self._budgets = budgets
        self._targets = targets
        self._forwarder = forwarder
        self.in_flight = 0

    async def serve(
        self, request: server.Request, service: str, operation: str
    ) -> None:
        """Serves one call; raises ApiError for the caller."""
        config = self._store.config
        if config.version == 0:
            raise ApiError(
                "not_ready",
                "no configuration has been read yet",
                "rejected",
                defaults.RETRY_AFTER_MS,
            )
        self.in_flight += 1
        try:
            call = await self._admission.check(
                request, config, service, operation
            )
            await self._serve_checked(request, call)
        finally:
            self.in_flight -= 1

    async def _serve_checked(self, request: server.Request, call: Call) -> None:
        try:
            reservation = await self._admission.reserve(call)
        except ApiError as error:
            raise _with_outcome(error, call) from error
        used = 0
        try:
            delivered = await self._attempt_all(request, call, reservation)
            used = min(delivered.tokens, reservation.tokens)
        except (NotDeliveredError, defer.CancelledError):
            # What it used is not known here; charge the bound.
            used = reservation.tokens
            raise
        finally:
            wallet = self._budgets.wallet(reservation.shard)
            wallet.settle(reservation, call.key, used)

    async def _attempt_all(
        self, request: server.Request, call: Call, reservation: Reservation
    ) -> Delivered:
        """Tries targets until one gives the answer.

        Raises:
            ApiError: If none can, and nothing has been delivered.
            NotDeliveredError: If the answer broke off underway.
        """
        tried: set[str] = set()
        refusal = ApiError(
            "no_target",
            f"no target of {call.service.name} can take the call",
            "not_completed" if call.operation.repeatable else "unknown",
            defaults.RETRY_AFTER_MS,
        )
        for _ in range(MAX_ATTEMPTS):
            target = self._choose(call, tried)
            if target is None:
                break
            tried.add(target.name)
            try:
                return await self._attempt(request, call, reservation, target)
            except NotDeliveredError as error:
                log.warning("target {}: {}", target.name, error)
                if error.started:
                    request.transport.abortConnection()
                    raise
                refusal = _with_outcome(error.refusal or refusal, call)
            if self._clock.seconds() >= call.deadline:
                break
        raise refusal

    def _choose(self, call: Call, tried: set[str]) -> TargetState | None:
        if call.operation.repeatable:
            return self._targets.pick(call.service, tried)
        return self._targets.owner(call.service, call.key)

    async def _attempt(
        self,
        request: server.Request,
        call: Call,
        reservation: Reservation,
        target: TargetState,
    ) -> Delivered:
        header = call.header(reservation, self._clock.seconds())
        self._targets.note_sent(target.name, +1)
        try:
            delivered = await self._forwarder.forward(
                target.url, header, call.body, request
            )
        finally:
            self._targets.note_sent(target.name, -1)
        request.finish()
        return delivered


def _with_outcome(error: ApiError, call: Call) -> ApiError:
    """Adds what is known of the call to a refusal that does not say it.

    Only the owner of a key knows that a call with a caller's key has not run
    at another router, so such a refusal claims less.
    """
    if error.outcome is not None:
        return error
    if call.operation.repeatable:
        outcome = "not_completed" if call.key_given else "not_run"
    else:
        outcome = "unknown"
    return ApiError(error.code, error.message, outcome, error.retry_after_ms)
