"""Chooses a target for a call among those that can take it."""

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.routing.health import HealthTable
from chicorystack.routing.pending_call import PendingCall
from chicorystack.routing.pickers import Picker
from chicorystack.routing.targets import TargetState, TargetTable


class TargetChoice:
    """Chooses targets of one service."""

    def __init__(
        self,
        clock,
        targets: TargetTable,
        picker: Picker,
        health: HealthTable,
    ):
        self._clock = clock
        self._targets = targets
        self._picker = picker
        self._health = health
        self._next_probe_at = 0.0

    def candidates(self, call: PendingCall) -> list[TargetState]:
        """Returns the targets to choose from; ejected ones if all are ejected.

        Targets outside the data centres where the call failed are preferred.
        """
        usable = self._targets.usable_targets(call.service, call.tried)
        healthy = [
            t for t in usable if self._health.admits(t.name, t.in_flight)
        ]
        return (
            self._outside_failed_data_centres(call, healthy)
            or healthy
            or usable
        )

    def _outside_failed_data_centres(
        self, call: PendingCall, targets: list[TargetState]
    ) -> list[TargetState]:
        """Returns targets outside the data centres where the call failed."""
        failed = {
            self._targets.target_by_name[name].data_centre
            for name in call.tried
            if name in self._targets.target_by_name
        }
        return [t for t in targets if t.data_centre not in failed]

    def refusal(self, call: PendingCall) -> ApiError:
        """Returns the refusal of a call without candidates."""
        return self._targets.no_target_error(call.service)

    def pick(self, call: PendingCall) -> TargetState | None:
        """Returns a target with capacity for a call; None if there is none."""
        candidates = self.candidates(call)
        with_capacity = [target for target in candidates if target.has_capacity]
        return self._picker.pick(with_capacity) or self._pick_outdated_target(
            candidates
        )

    def _pick_outdated_target(
        self, candidates: list[TargetState]
    ) -> TargetState | None:
        """Returns a target that only an outdated load report shows as full.

        If it still is full, its agent refuses the call immediately.
        """
        now = self._clock.seconds()
        if now < self._next_probe_at:
            return None
        oldest = min(
            (
                target
                for target in candidates
                if target.in_flight < target.limit
            ),
            key=lambda target: target.reported_at,
            default=None,
        )
        if (
            oldest is None
            or oldest.reported_at + defaults.PROBE_MIN_REPORT_AGE_S > now
        ):
            return None
        self._next_probe_at = now + defaults.PROBE_INTERVAL_S
        return oldest
