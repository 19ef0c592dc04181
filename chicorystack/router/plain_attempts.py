"""Attempts with a simple load-balancing policy; a baseline for comparison."""

from twisted.web import server

from chicorystack import defaults
from chicorystack.budget.keeper.wallet import Reservation
from chicorystack.router.admission import Call
from chicorystack.router.attempts import Attempt
from chicorystack.router.forwarder import DeliveredResponse, NotDeliveredError
from chicorystack.routing.pickers import Picker
from chicorystack.routing.targets import TargetTable


class PlainAttempts:
    """Tries targets in sequence, without queueing, ejection or resumption."""

    def __init__(
        self, clock, targets: TargetTable, attempt: Attempt, picker: Picker
    ):
        self._clock = clock
        self._targets = targets
        self._attempt = attempt
        self._picker = picker

    async def run(
        self, request: server.Request, call: Call, reservation: Reservation
    ) -> DeliveredResponse:
        """Delivers the response; raises as Attempts.run does."""
        tried: frozenset[str] = frozenset()
        refusal = self._targets.no_target_error(call.service)
        while len(tried) < defaults.MAX_ATTEMPTS:
            usable = self._targets.usable_targets(call.service, tried)
            target = self._picker.pick(usable)
            if target is None:
                break
            tried |= {target.name}
            try:
                return await self._attempt.run(
                    request, call, reservation, target
                )
            except NotDeliveredError as error:
                if error.started:
                    raise
                refusal = error.refusal or refusal
            if self._clock.seconds() >= call.deadline:
                break
        raise refusal
