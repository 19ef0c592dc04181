"""State of a target that is leaving, and calls that still arrive."""

from typing import Literal, NamedTuple

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.observe.decisions import VM_SUBJECT, decisions
from chicorystack.observe.logs import part_logger

log = part_logger("leaving")
LeaveReason = Literal["stop", "vm_list"]


class LeaveOrder(NamedTuple):
    """An order to leave, with the deadline for routers to know of it.

    Attributes:
        reason: Source of the order to leave.
        deadline: Time on the reactor's clock after which no router should send
            new calls.
    """

    reason: LeaveReason
    deadline: float


class LeavingState:
    """Whether the target is leaving.

    Attributes:
        late_arrivals: Number of calls that arrived after all routers should
            have known.
    """

    def __init__(self, clock):
        self._clock = clock
        self._order: LeaveOrder | None = None
        self.late_arrivals = 0

    def __bool__(self) -> bool:
        """Whether the target is leaving."""
        return self._order is not None

    def begin(self, reason: LeaveReason) -> None:
        """Refuses new calls from now on."""
        if self._order is not None and self._order.reason == "stop":
            return
        if self._order is None or self._order.reason != reason:
            decisions.record_notable(
                VM_SUBJECT, "leaving", "takes no new work", reason
            )
        deadline = self._clock.seconds() + defaults.LEAVE_PROPAGATION_S
        if self._order is not None:
            deadline = self._order.deadline
        self._order = LeaveOrder(reason, deadline)
        log.info("refusing new calls: {}", reason)

    def update_from_vm_list(self, leaving: bool) -> None:
        """Applies the state in the VM list; a stop is not reverted by it."""
        if leaving:
            self.begin("vm_list")
        elif self._order is not None and self._order.reason == "vm_list":
            log.info("accepting calls again: listed as live")
            self._order = None
            decisions.record_notable(
                VM_SUBJECT, "leaving", "takes work again", "listed as live"
            )

    def refuse_call(self) -> ApiError:
        """Returns the refusal of a new call; counts the call if it is late."""
        if self._clock.seconds() > self._order.deadline:
            self.late_arrivals += 1
            log.warning(
                "a router sent a call after it should have known of the leave"
            )
        return ApiError(
            "draining",
            "the target is leaving",
            retry_after_ms=defaults.RETRY_AFTER_MS,
        )
