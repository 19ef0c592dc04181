"""Carries one call from the caller to a target and back, and settles it."""

from twisted.internet import defer
from twisted.web import server

from chicorystack import defaults
from chicorystack.budget.wallet import Reservation
from chicorystack.config.store import ConfigStore
from chicorystack.errors import ApiError
from chicorystack.router.admission import Admission, Call
from chicorystack.router.attempts import Attempts
from chicorystack.router.forwarder import (
    Delivered,
    NotDeliveredError,
    break_off_answer,
)
from chicorystack.router.owner_attempts import OwnerAttempts
from chicorystack.router.settler import Settler


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
            await self._refuse(request, call, error)
            return
        delivered = None
        try:
            delivered = await self._deliver(request, call, reservation)
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
            return await self._attempts(call).run(request, call, reservation)
        except (NotDeliveredError, defer.CancelledError):
            break_off_answer(request)
        except ApiError as error:
            return await self._refuse(request, call, error)
        return None

    async def _refuse(
        self, request: server.Request, call: Call, error: ApiError
    ) -> Delivered | None:
        """Refuses a call, or delivers its answer where it has run.

        Raises:
            ApiError: With what is known of the call.
        """
        if call.operation.repeatable:
            raise _with_outcome(error, call) from error
        try:
            return await self._single.refuse(request, call, error)
        except (NotDeliveredError, defer.CancelledError):
            break_off_answer(request)
        return None


def _with_outcome(error: ApiError, call: Call) -> ApiError:
    """Adds what is known of a repeatable call to a refusal."""
    if error.outcome is not None:
        return error
    outcome = "not_completed" if call.key_given else "not_run"
    return ApiError(error.code, error.message, outcome, error.retry_after_ms)
