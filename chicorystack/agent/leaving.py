"""Why an agent's target takes no new work, and who still sent some."""

from typing import Literal, NamedTuple

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.observe.decisions import VM_SUBJECT, decisions
from chicorystack.observe.logs import part_logger

log = part_logger("leaving")
LeaveReason = Literal["stop", "vm_list"]


class Leave(NamedTuple):
    """A reason to leave.

    Attributes:
        reason: Who told the agent.
        late_at: Time on the reactor's clock from which no router should send
            new work any more.
    """

    reason: LeaveReason
    late_at: float


class LeavingState:
    """Whether the target is leaving.

    Attributes:
        late_arrivals: Calls that routers sent although they should have
            known.
    """

    def __init__(self, clock):
        self._clock = clock
        self._leave: Leave | None = None
        self.late_arrivals = 0

    def __bool__(self) -> bool:
        """Whether the target is leaving."""
        return self._leave is not None

    def begin(self, reason: LeaveReason) -> None:
        """Takes no new work from now on."""
        if self._leave is not None and self._leave.reason == "stop":
            return
        if self._leave is None or self._leave.reason != reason:
            decisions.record_notable(
                VM_SUBJECT, "leaving", "takes no new work", reason
            )
        late_at = self._clock.seconds() + defaults.LEAVE_KNOWN_S
        if self._leave is not None:
            late_at = self._leave.late_at
        self._leave = Leave(reason, late_at)
        log.info("takes no new work: {}", reason)

    def note_vm_list(self, leaving: bool) -> None:
        """Takes what the VM list says; a stop is never taken back."""
        if leaving:
            self.begin("vm_list")
        elif self._leave is not None and self._leave.reason == "vm_list":
            log.info("takes work again: the VM list shows it as live")
            self._leave = None
            decisions.record_notable(
                VM_SUBJECT, "leaving", "takes work again", "listed as live"
            )

    def refusal(self) -> ApiError:
        """Counts a call that arrived and returns its refusal."""
        if self._clock.seconds() > self._leave.late_at:
            self.late_arrivals += 1
            log.warning("a router sent new work late")
        return ApiError(
            "draining",
            "the target is leaving",
            retry_after_ms=defaults.RETRY_AFTER_MS,
        )
