"""One attempt to deliver a call, and the interface of retry strategies."""

from typing import Protocol

from twisted.internet import defer
from twisted.web import server

from chicorystack import defaults
from chicorystack.budget.keeper.wallet import Reservation
from chicorystack.observe.decisions import decisions
from chicorystack.observe.logs import part_logger
from chicorystack.observe.metrics import metrics
from chicorystack.quarantine.router_quarantine import RouterQuarantine
from chicorystack.router.admission import Call
from chicorystack.router.forwarder import (
    DeliveredResponse,
    Forwarder,
    NotDeliveredError,
)
from chicorystack.router.progress import AttemptTimeouts, DeliveryProgress
from chicorystack.router.settler import Settler
from chicorystack.routing.targets import TargetState, TargetTable

log = part_logger("attempts")
DEFAULT_TIMEOUTS = AttemptTimeouts(defaults.FIRST_BYTE_TIMEOUT_MAX_S)


class Attempts(Protocol):
    """A strategy for delivering calls: chooses targets and retries."""

    async def run(
        self, request: server.Request, call: Call, reservation: Reservation
    ) -> DeliveredResponse:
        """Delivers the response.

        Raises:
            ApiError: If nothing was delivered.
            NotDeliveredError: If the response was interrupted.
        """


class Attempt:
    """Sends a call to one target once."""

    def __init__(
        self,
        clock,
        targets: TargetTable,
        forwarder: Forwarder,
        quarantine: RouterQuarantine,
        settler: Settler,
    ):
        self._clock = clock
        self._targets = targets
        self._forwarder = forwarder
        self._quarantine = quarantine
        self._settler = settler

    async def run(
        self,
        request: server.Request,
        call: Call,
        reservation: Reservation,
        target: TargetState,
        progress: DeliveryProgress | None = None,
        timeouts: AttemptTimeouts = DEFAULT_TIMEOUTS,
    ) -> DeliveredResponse:
        """Delivers the target's response, or the rest of it.

        Raises:
            NotDeliveredError: If the response is missing or incomplete.
            ApiError: `quarantined`.
        """
        self._check_quarantine(call)
        target = self._assign_target(call, target)
        progress = progress or DeliveryProgress()
        header = call.header(reservation, self._clock.seconds())
        header["strikes"] = self._quarantine.strikes.messages(call.content_hash)
        sent_at = self._clock.seconds()
        if progress.events:
            header["resume_tokens"] = progress.events
        self._targets.adjust_in_flight(target.name, +1)
        if reservation.use:
            self._settler.record_attempt(reservation.use, target)
        metrics.count("attempts.sent")
        decisions.record(call.key, "attempts", "sent", target.name)
        try:
            delivered = await self._forwarder.forward(
                target.url, header, call.body, request, progress, timeouts
            )
        except NotDeliveredError as error:
            log.warning(
                "attempt at target {} failed: {}",
                target.name,
                error,
                key=call.key,
            )
            metrics.count("attempts.failed")
            decisions.record_notable(
                call.key, "attempts", f"failed at {target.name}", str(error)
            )
            if request._disconnected:
                # The caller disconnected, which closed the connection to the
                # agent.
                raise defer.CancelledError from error
            if error.target_draining:
                self._targets.mark_draining(target.name, sent_at)
            if error.target_full:
                # Must precede the decrement of the calls in flight, which
                # dispatches a waiting call to the freed slot.
                self._targets.mark_full(target.name, self._clock.seconds())
            if error.may_have_crashed_target:
                await self._quarantine.handle_failure(target.name)
                if not error.started:
                    self._check_quarantine(call)
            raise
        finally:
            self._targets.adjust_in_flight(target.name, -1)
        request.finish()
        self._quarantine.strikes.record_completed(call.content_hash)
        return delivered

    def _check_quarantine(self, call: Call) -> None:
        # A tombstone request is allowed for any content, as it runs nothing.
        if not call.refuse:
            self._quarantine.strikes.check(call.content_hash)

    def _assign_target(self, call: Call, picked: TargetState) -> TargetState:
        """Returns the picked target, or the one that quarantine assigns."""
        if not call.operation.repeatable:
            return picked
        names = call.service.target_by_name
        usable = list(filter(self._targets.accepts_calls, names))
        name = self._quarantine.assign(call.content_hash, usable)
        if name is None:
            return picked
        decisions.record_notable(
            call.key, "quarantine", f"suspect goes to {name}", call.content_hash
        )
        return self._targets.target_by_name[name]
