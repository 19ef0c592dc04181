"""Decides conservatively which targets may be sent new calls.

Three sources may disagree: the VM list, which lags; the reports of the
target's agent, which may be lost or late; and the refusals that this router
has received. A target may be sent new calls only if its VM is listed and not
leaving, and its agent recently reported that it is ready and has not refused a
call since. A target without a recent report gets no new calls, as it may have
been ordered to leave.
"""

from typing import NamedTuple

from chicorystack import defaults
from chicorystack.infrastructure.messages import Vm


class AgentStatus(NamedTuple):
    """The last readiness that an agent reported.

    Attributes:
        ready: Whether it accepts new calls.
        valid_until: Time on the reactor's clock until which it is valid.
        received_at: Time on the reactor's clock when it was received.
    """

    ready: bool
    valid_until: float
    received_at: float


class TargetAvailability:
    """The last status of each target's agent, and the newest VM list."""

    def __init__(self, clock):
        self._clock = clock
        self._vm_by_name: dict[str, Vm] = {}
        self._status_by_name: dict[str, AgentStatus] = {}

    def update_vm_list(self, vm_by_name: dict[str, Vm]) -> None:
        """Stores a new list; removes the status of VMs that are not on it."""
        self._vm_by_name = vm_by_name
        self._status_by_name = {
            name: status
            for name, status in self._status_by_name.items()
            if name in vm_by_name
        }

    def record_status(
        self, name: str, ready: bool, requested_at: float
    ) -> None:
        """Records the readiness from an agent's report or refusal.

        The age of a status counts from its request, as the agent may have
        changed after it answered. A report that was requested before a refusal
        was received does not override the refusal, even if it arrives later.

        Args:
            name: Name of the target.
            ready: Whether it accepts new calls.
            requested_at: Time on the reactor's clock when the request was sent.
        """
        earlier = self._status_by_name.get(name)
        valid_until = requested_at + defaults.AGENT_STATUS_VALID_S
        if earlier is not None and ready:
            if not earlier.ready and requested_at < earlier.received_at:
                return
            valid_until = max(valid_until, earlier.valid_until)
        self._status_by_name[name] = AgentStatus(
            ready, valid_until, self._clock.seconds()
        )

    def accepts_calls(self, name: str) -> bool:
        """Returns whether a target may be sent new calls now."""
        vm = self._vm_by_name.get(name)
        status = self._status_by_name.get(name)
        if vm is None or vm["state"] == "leaving" or status is None:
            return False
        return status.ready and self._clock.seconds() <= status.valid_until
