"""Attempts at delivering one call: which targets, how often, what then."""

from typing import Protocol

from twisted.web import server

from chicorystack import defaults
from chicorystack.budget.wallet import Reservation
from chicorystack.observe.decisions import decisions
from chicorystack.observe.logs import part_logger
from chicorystack.observe.metrics import metrics
from chicorystack.router.admission import Call
from chicorystack.router.forwarder import (
    Delivered,
    Forwarder,
    NotDeliveredError,
)
from chicorystack.router.progress import Patience, Progress
from chicorystack.router.settler import Settler
from chicorystack.routing.targets import TargetState, TargetTable

log = part_logger("attempts")
DEFAULT_PATIENCE = Patience(defaults.ANSWER_START_TIMEOUT_S)


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
        progress: Progress | None = None,
        patience: Patience = DEFAULT_PATIENCE,
    ) -> Delivered:
        """Delivers the target's answer, or the rest of it.

        Raises:
            NotDeliveredError: If the target does not give the whole of it.
        """
        progress = progress or Progress()
        header = call.header(reservation, self._clock.seconds())
        asked_at = self._clock.seconds()
        if progress.events:
            header["resume_tokens"] = progress.events
        self._targets.note_sent(target.name, +1)
        if reservation.use:
            self._settler.note_sent(reservation.use, target)
        metrics.count("attempts.sent")
        decisions.record(call.key, "attempts", "sent", target.name)
        try:
            delivered = await self._forwarder.forward(
                target.url, header, call.body, request, progress, patience
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
