"""Calls that may not be repeated: the owner of the key runs or refuses them."""

from twisted.web import server

from chicorystack import defaults
from chicorystack.budget.wallet import Reservation
from chicorystack.errors import ApiError
from chicorystack.router.admission import Call
from chicorystack.router.attempts import Attempt
from chicorystack.router.forwarder import Delivered, NotDeliveredError
from chicorystack.routing.targets import TargetState, TargetTable


class OwnerAttempts:
    """Asks the one target that may run a call that may not be repeated."""

    def __init__(self, clock, targets: TargetTable, attempt: Attempt):
        self._clock = clock
        self._targets = targets
        self._attempt = attempt

    async def run(
        self, request: server.Request, call: Call, reservation: Reservation
    ) -> Delivered:
        """Delivers the answer; raises as Attempts.run says."""
        target = self._owner(call)
        try:
            return await self._attempt.run(request, call, reservation, target)
        except NotDeliveredError as error:
            if error.started:
                raise
            raise error.refusal or _owner_unreachable(call) from error

    async def refuse(
        self, request: server.Request, call: Call, refusal: ApiError
    ) -> Delivered:
        """Makes sure that a refused call never runs, and then refuses it.

        Where the call has run already, it delivers the kept answer instead.

        Raises:
            ApiError: With outcome `not_run` where the owner of the key
                recorded that it never runs it, `unknown` where the owner
                does not know or can't be reached.
            NotDeliveredError: If a kept answer broke off underway.
        """
        if refusal.outcome is not None:
            raise refusal
        least = self._clock.seconds() + defaults.REFUSAL_TIMEOUT_S
        asked = call._replace(refuse=True, deadline=max(call.deadline, least))
        nothing = Reservation(call.shard, call.budget, 0, 0, "")
        try:
            return await self.run(request, asked, nothing)
        except ApiError as error:
            raise _final(refusal, error) from error

    def _owner(self, call: Call) -> TargetState:
        target = self._targets.owner(call.service, call.key)
        if target is None:
            raise _owner_unreachable(call)
        return target


def _final(refusal: ApiError, told: ApiError) -> ApiError:
    """Returns the refusal with what the owner of the key told."""
    if told.outcome not in ("not_run", "unknown", None):
        return told
    return ApiError(
        refusal.code,
        refusal.message,
        told.outcome or "unknown",
        refusal.retry_after_ms or defaults.RETRY_AFTER_MS,
    )


def _owner_unreachable(call: Call) -> ApiError:
    # Whether the owner has run the call is for `refuse` to find out.
    return ApiError(
        "no_target",
        f"the target of {call.service.name} that owns this key does not answer",
        retry_after_ms=defaults.RETRY_AFTER_MS,
    )
