"""Non-repeatable calls: the owner of the key runs or refuses them."""

from twisted.web import server

from chicorystack import defaults
from chicorystack.budget.keeper.wallet import Reservation
from chicorystack.errors import ApiError
from chicorystack.router.admission import Call
from chicorystack.router.attempts import Attempt
from chicorystack.router.forwarder import DeliveredResponse, NotDeliveredError
from chicorystack.routing.targets import (
    TargetState,
    TargetTable,
    evacuated_error,
)


class OwnerAttempts:
    """Sends a non-repeatable call to the only target that may run it.

    If the target's data centre is evacuated, the call is refused. The target
    then only records that the call never runs, or returns its stored response.
    """

    def __init__(self, clock, targets: TargetTable, attempt: Attempt):
        self._clock = clock
        self._targets = targets
        self._attempt = attempt

    async def run(
        self, request: server.Request, call: Call, reservation: Reservation
    ) -> DeliveredResponse:
        """Delivers the response; raises as Attempts.run does."""
        target = self._owner(call)
        if not call.refuse and target.data_centre in self._targets.evacuated:
            raise evacuated_error(call.service, {target.data_centre})
        try:
            return await self._attempt.run(request, call, reservation, target)
        except NotDeliveredError as error:
            if error.started:
                raise
            raise error.refusal or _owner_unreachable_error(call) from error

    async def refuse(
        self, request: server.Request, call: Call, refusal: ApiError
    ) -> DeliveredResponse:
        """Ensures that a refused call never runs, and then refuses it.

        If the call has already run, delivers the stored response instead.

        Raises:
            ApiError: With outcome `not_run` if the owner of the key recorded
                that the call never runs, `unknown` if the owner does not
                know or is unreachable.
            NotDeliveredError: If a stored response was interrupted.
        """
        if refusal.outcome is not None:
            raise refusal
        min_deadline = self._clock.seconds() + defaults.REFUSAL_TIMEOUT_S
        tombstone_call = call._replace(
            refuse=True, deadline=max(call.deadline, min_deadline)
        )
        no_reservation = Reservation(call.shard, call.budget, 0, 0, "")
        try:
            return await self.run(request, tombstone_call, no_reservation)
        except ApiError as error:
            raise _with_owner_outcome(refusal, error) from error

    def _owner(self, call: Call) -> TargetState:
        target = self._targets.owner(call.service, call.key)
        if target is None:
            raise _owner_unreachable_error(call)
        return target


def _with_owner_outcome(refusal: ApiError, owner_error: ApiError) -> ApiError:
    """Returns the refusal with the outcome that the key's owner reported."""
    if owner_error.outcome not in ("not_run", "unknown", None):
        return owner_error
    return ApiError(
        refusal.code,
        refusal.message,
        owner_error.outcome or "unknown",
        refusal.retry_after_ms or defaults.RETRY_AFTER_MS,
    )


def _owner_unreachable_error(call: Call) -> ApiError:
    # No outcome: `refuse` determines whether the owner has run the call.
    return ApiError(
        "no_target",
        f"the target of {call.service.name} that owns this key is unreachable",
        retry_after_ms=defaults.RETRY_AFTER_MS,
    )
