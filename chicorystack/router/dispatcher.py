"""Carries one call from the caller to a target and back, and settles it."""

from twisted.internet import defer
from twisted.web import server

from chicorystack import defaults
from chicorystack.budget.client import BudgetClient
from chicorystack.budget.wallet import Reservation
from chicorystack.config.model import FleetConfig
from chicorystack.config.store import ConfigStore
from chicorystack.errors import ApiError
from chicorystack.observe.metrics import metrics
from chicorystack.router import call_log
from chicorystack.router.admission import Admission, Call
from chicorystack.router.attempts import Attempts
from chicorystack.router.forwarder import Delivered, NotDeliveredError

# Names a request to operators, who ask `chicory-ctl explain` for its story.
REQUEST_HEADER = b"chicory-request"


class Dispatcher:
    """Serves calls of one router."""

    def __init__(
        self,
        clock,
        store: ConfigStore,
        admission: Admission,
        budgets: BudgetClient,
        repeatable: Attempts,
        single: Attempts,
    ):
        self._clock = clock
        self._store = store
        self._admission = admission
        self._budgets = budgets
        self._repeatable = repeatable
        self._single = single
        self.in_flight = 0

    def _attempts(self, call: Call) -> Attempts:
        return self._repeatable if call.operation.repeatable else self._single

    async def serve(
        self, request: server.Request, service: str, operation: str
    ) -> None:
        """Serves one call; raises ApiError for the caller."""
        metrics.count("calls.received")
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
            call = await self._check(request, config, service, operation)
            await self._serve_checked(request, call)
        finally:
            self.in_flight -= 1

    async def _check(
        self,
        request: server.Request,
        config: FleetConfig,
        service: str,
        operation: str,
    ) -> Call:
        try:
            return await self._admission.check(
                request, config, service, operation
            )
        except ApiError as error:
            call_log.note_rejected(request, error)
            raise

    async def _serve_checked(self, request: server.Request, call: Call) -> None:
        request.setHeader(REQUEST_HEADER, call.key.encode())
        started = self._clock.seconds()
        try:
            reservation = await self._admission.reserve(call)
        except ApiError as error:
            raise _refusal(error, call) from error
        call_log.note_reserved(call, reservation)
        used = 0
        try:
            delivered = await self._run(request, call, reservation)
            used = min(delivered.tokens, reservation.tokens)
            duration_s = self._clock.seconds() - started
            call_log.note_answered(call, delivered, duration_s)
        except (NotDeliveredError, defer.CancelledError) as error:
            # What it used is not known here; charge the bound.
            used = reservation.tokens
            _note_cut(call, error)
            request.transport.abortConnection()
        except ApiError as error:
            raise _refusal(error, call) from error
        finally:
            wallet = self._budgets.wallet(reservation.shard)
            wallet.settle(reservation, call.key, used)

    async def _run(
        self, request: server.Request, call: Call, reservation: Reservation
    ) -> Delivered:
        """Delivers the answer, once more where the epoch was closed."""
        attempts = self._attempts(call)
        try:
            return await attempts.run(request, call, reservation)
        except ApiError as error:
            if error.code != "epoch_closed":
                raise
        restated = await self._budgets.restate(reservation, call.deadline)
        return await attempts.run(request, call, restated)


def _note_cut(call: Call, error: BaseException) -> None:
    if isinstance(error, defer.CancelledError):
        call_log.note_abandoned(call)
    else:
        call_log.note_broken_off(call, error)


def _refusal(error: ApiError, call: Call) -> ApiError:
    """Returns the refusal that the caller gets, and notes it."""
    refusal = _with_outcome(error, call)
    call_log.note_refused(call, refusal)
    return refusal


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
