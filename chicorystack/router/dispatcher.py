"""Carries one call from the caller to a target and back, and settles it."""

from twisted.internet import defer
from twisted.web import server

from chicorystack import defaults
from chicorystack.budget.wallet import Reservation
from chicorystack.config.model import FleetConfig
from chicorystack.config.store import ConfigStore
from chicorystack.errors import ApiError
from chicorystack.observe.metrics import metrics
from chicorystack.router import call_log
from chicorystack.router.admission import Admission, Call
from chicorystack.router.attempts import Attempts
from chicorystack.router.forwarder import (
    Delivered,
    NotDeliveredError,
    break_off_answer,
)
from chicorystack.router.owner_attempts import OwnerAttempts
from chicorystack.router.settler import Settler

# Names a request to operators, who ask `chicory-ctl explain` for its story.
REQUEST_HEADER = b"chicory-request"


class Dispatcher:
    """Serves calls of one router."""

    def __init__(
        self,
        clock,
        store: ConfigStore,
        admission: Admission,
        settler: Settler,
        repeatable: Attempts,
        single: OwnerAttempts,
    ):
        self._clock = clock
        self._store = store
        self._admission = admission
        self._settler = settler
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
            await self._refuse(request, call, error)
            return
        call_log.note_reserved(call, reservation)
        delivered = None
        try:
            delivered = await self._deliver(request, call, reservation)
            if delivered is not None:
                duration_s = self._clock.seconds() - started
                call_log.note_answered(call, delivered, duration_s)
        finally:
            if delivered is None:
                self._settler.settle_later(reservation, call.key)
            else:
                tokens = delivered.tokens
                self._settler.settle(reservation, call.key, tokens)

    async def _deliver(
        self, request: server.Request, call: Call, reservation: Reservation
    ) -> Delivered | None:
        """Returns what was delivered; None where the answer was cut."""
        try:
            return await self._run(request, call, reservation)
        except (NotDeliveredError, defer.CancelledError) as cut:
            _note_cut(call, cut)
            break_off_answer(request)
        except ApiError as error:
            return await self._refuse(request, call, error)
        return None

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
        restated = await self._admission.restate(call, reservation)
        return await attempts.run(request, call, restated)

    async def _refuse(
        self, request: server.Request, call: Call, error: ApiError
    ) -> Delivered | None:
        """Refuses a call, or delivers its answer where it has run.

        Raises:
            ApiError: With what is known of the call.
        """
        if call.operation.repeatable:
            raise _refusal(error, call) from error
        try:
            return await self._single.refuse(request, call, error)
        except ApiError as refusal:
            call_log.note_refused(call, refusal)
            raise
        except (NotDeliveredError, defer.CancelledError) as cut:
            _note_cut(call, cut)
            break_off_answer(request)
        return None


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
    """Adds what is known of a repeatable call to a refusal."""
    if error.outcome is not None:
        return error
    outcome = "not_completed" if call.key_given else "not_run"
    return ApiError(error.code, error.message, outcome, error.retry_after_ms)
