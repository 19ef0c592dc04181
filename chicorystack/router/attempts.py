"""Attempts at delivering one call: which targets, how often, what then."""

from typing import Protocol

from twisted.web import server

from chicorystack import defaults
from chicorystack.budget.wallet import Reservation
from chicorystack.errors import ApiError
from chicorystack.observe.decisions import decisions
from chicorystack.observe.logs import part_logger
from chicorystack.observe.metrics import metrics
from chicorystack.router.admission import Call
from chicorystack.router.forwarder import (
    Delivered,
    Forwarder,
    NotDeliveredError,
)
from chicorystack.router.settler import Settler
from chicorystack.routing.targets import TargetState, TargetTable

log = part_logger("attempts")
MAX_ATTEMPTS = 3


class Attempts(Protocol):
    """A way to get a call answered."""

    async def run(
        self, request: server.Request, call: Call, reservation: Reservation
    ) -> Delivered:
        """Delivers the answer.

        Raises:
            ApiError: If there is none, and nothing has been delivered.
            NotDeliveredError: If the answer broke off underway.
        """


class Attempt:
    """One attempt at one target."""

    def __init__(
        self,
        clock,
        targets: TargetTable,
        forwarder: Forwarder,
        settler: Settler,
    ):
        self._clock = clock
        self._targets = targets
        self._forwarder = forwarder
        self._settler = settler

    async def run(
        self,
        request: server.Request,
        call: Call,
        reservation: Reservation,
        target: TargetState,
    ) -> Delivered:
        """Delivers the target's answer; raises NotDeliveredError."""
        header = call.header(reservation, self._clock.seconds())
        asked_at = self._clock.seconds()
        self._targets.note_sent(target.name, +1)
        if reservation.use:
            self._settler.note_sent(reservation.use, target)
        metrics.count("attempts.sent")
        decisions.record(call.key, "attempts", "sent", target.name)
        try:
            delivered = await self._forwarder.forward(
                target.url, header, call.body, request
            )
        except NotDeliveredError as error:
            log.warning("target {}: {}", target.name, error, key=call.key)
            metrics.count("attempts.failed")
            decisions.record_notable(
                call.key, "attempts", f"failed at {target.name}", str(error)
            )
            if error.refusal and error.refusal.code == "draining":
                self._targets.note_refused(target.name, asked_at)
            raise
        finally:
            self._targets.note_sent(target.name, -1)
        request.finish()
        return delivered


class RepeatableAttempts:
    """Tries targets of a repeatable call until one gives the answer."""

    def __init__(self, clock, targets: TargetTable, attempt: Attempt):
        self._clock = clock
        self._targets = targets
        self._attempt = attempt

    async def run(
        self, request: server.Request, call: Call, reservation: Reservation
    ) -> Delivered:
        """Delivers the answer; raises as Attempts.run says."""
        tried: set[str] = set()
        refusal = ApiError(
            "no_target",
            f"no target of {call.service.name} can take the call",
            retry_after_ms=defaults.RETRY_AFTER_MS,
        )
        while len(tried) < MAX_ATTEMPTS:
            target = self._targets.pick(call.service, tried)
            if target is None:
                break
            tried.add(target.name)
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
