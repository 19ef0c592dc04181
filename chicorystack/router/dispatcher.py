"""Handles a call from admission to settlement."""

from twisted.internet import defer
from twisted.web import server

from chicorystack import defaults
from chicorystack.budget.keeper.wallet import Reservation
from chicorystack.config.model import FleetConfig
from chicorystack.config.store import ConfigStore
from chicorystack.errors import ApiError
from chicorystack.observe.metrics import metrics
from chicorystack.router import call_log
from chicorystack.router.admission import Admission, Call
from chicorystack.router.attempts import Attempts
from chicorystack.router.forwarder import (
    DeliveredResponse,
    NotDeliveredError,
    abort_response,
)
from chicorystack.router.owner_attempts import OwnerAttempts
from chicorystack.router.settler import Settler

# Response header with the request's id, which `chicory-ctl explain` accepts.
REQUEST_HEADER = b"chicory-request"


class Dispatcher:
    """Serves the calls of one router.

    Attributes:
        in_flight: Number of calls being served.
    """

    def __init__(
        self,
        clock,
        store: ConfigStore,
        admission: Admission,
        settler: Settler,
        repeatable_attempts: Attempts,
        owner_attempts: OwnerAttempts,
    ):
        self._clock = clock
        self._store = store
        self._admission = admission
        self._settler = settler
        self._repeatable_attempts = repeatable_attempts
        self._owner_attempts = owner_attempts
        self.in_flight = 0

    def _attempts(self, call: Call) -> Attempts:
        return (
            self._repeatable_attempts
            if call.operation.repeatable
            else self._owner_attempts
        )

    async def serve(
        self, request: server.Request, service: str, operation: str
    ) -> None:
        """Serves one call.

        Raises:
            ApiError: A refusal to send to the caller.
        """
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
            call = await self._admit(request, config, service, operation)
            await self._serve_admitted(request, call)
        finally:
            self.in_flight -= 1

    async def _admit(
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
            call_log.record_rejected(request, error)
            raise

    async def _serve_admitted(
        self, request: server.Request, call: Call
    ) -> None:
        request.setHeader(REQUEST_HEADER, call.key.encode())
        started_at = self._clock.seconds()
        try:
            reservation = await self._admission.reserve(call)
        except ApiError as error:
            await self._refuse_call(request, call, error)
            return
        call_log.record_reserved(call, reservation)
        delivered = None
        try:
            delivered = await self._deliver(request, call, reservation)
            if delivered is not None:
                duration_s = self._clock.seconds() - started_at
                call_log.record_answered(call, delivered, duration_s)
        finally:
            if delivered is None:
                self._settler.settle_later(reservation, call.key)
            else:
                tokens = delivered.tokens
                self._settler.settle(reservation, call.key, tokens)

    async def _deliver(
        self, request: server.Request, call: Call, reservation: Reservation
    ) -> DeliveredResponse | None:
        """Delivers the response; returns None if it was interrupted."""
        try:
            return await self._run_attempts(request, call, reservation)
        except (NotDeliveredError, defer.CancelledError) as interruption:
            _record_interruption(call, interruption)
            abort_response(request)
        except ApiError as error:
            return await self._refuse_call(request, call, error)
        return None

    async def _run_attempts(
        self, request: server.Request, call: Call, reservation: Reservation
    ) -> DeliveredResponse:
        """Delivers the response; retries once if the epoch was closed."""
        attempts = self._attempts(call)
        try:
            return await attempts.run(request, call, reservation)
        except ApiError as error:
            if error.code != "epoch_closed":
                raise
        renewed = await self._admission.move_to_current_epoch(call, reservation)
        return await attempts.run(request, call, renewed)

    async def _refuse_call(
        self, request: server.Request, call: Call, error: ApiError
    ) -> DeliveredResponse | None:
        """Refuses a call, or delivers its stored response if it has run.

        Raises:
            ApiError: The refusal, with the call's outcome as far as known.
        """
        if call.operation.repeatable:
            raise _record_refusal(error, call) from error
        try:
            return await self._owner_attempts.refuse(request, call, error)
        except ApiError as refusal:
            call_log.record_refused(call, refusal)
            raise
        except (NotDeliveredError, defer.CancelledError) as interruption:
            _record_interruption(call, interruption)
            abort_response(request)
        return None


def _record_interruption(call: Call, error: BaseException) -> None:
    if isinstance(error, defer.CancelledError):
        call_log.record_abandoned(call)
    else:
        call_log.record_interrupted(call, error)


def _record_refusal(error: ApiError, call: Call) -> ApiError:
    """Records and returns the refusal that the caller receives."""
    refusal = _with_outcome(error, call)
    call_log.record_refused(call, refusal)
    return refusal


def _with_outcome(error: ApiError, call: Call) -> ApiError:
    """Adds the outcome of a repeatable call to a refusal."""
    if error.outcome is not None:
        return error
    outcome = "not_completed" if call.key_given else "not_run"
    return ApiError(error.code, error.message, outcome, error.retry_after_ms)
