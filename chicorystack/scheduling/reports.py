"""Newest load reports of a service's targets."""

from chicorystack import defaults
from chicorystack.scheduling.messages import TargetReport


class ReportTable:
    """Newest reports by target ID."""

    def __init__(self, clock):
        self._clock = clock
        self._report_by_id: dict[str, TargetReport] = {}

    def record(self, target_id: str, report: TargetReport) -> None:
        """Records a target's report."""
        self._report_by_id[target_id] = report

    def forget(self, target_id: str) -> None:
        """Discards the report of a target that was removed."""
        self._report_by_id.pop(target_id, None)

    def pace(self, target_id: str) -> int:
        """Returns a target's pace; the usual one if it is unknown."""
        report = self._report_by_id.get(target_id)
        return defaults.USUAL_PACE if report is None else report.pace

    def has_idle_target(self) -> bool:
        """Returns whether a recent report shows a free slot and no queue."""
        return any(
            not report.waiting and report.running < report.slots
            for report in self._recent(defaults.SLOT_REPORT_MAX_AGE_S)
        )

    def calls_per_slot(self) -> float:
        """Returns running and waiting calls, relative to all slots."""
        reports = self._recent(defaults.QUEUE_REPORT_MAX_AGE_S)
        calls = sum(report.running + report.waiting for report in reports)
        slots = sum(report.slots for report in reports)
        return calls / max(1, slots)

    def least_excess_per_slot(self) -> float:
        """Returns the least number of calls beyond a target's slots.

        It is relative to the slots, and 0 if a target has a free one or
        nothing is known.
        """
        return min(
            (
                max(0.0, report.running + report.waiting + 1 - report.slots)
                / max(1, report.slots)
                for report in self._recent(defaults.QUEUE_REPORT_MAX_AGE_S)
            ),
            default=0.0,
        )

    def _recent(self, max_age_s: float) -> list[TargetReport]:
        oldest_at = self._clock.seconds() - max_age_s
        return [
            report
            for report in self._report_by_id.values()
            if report.reported_at >= oldest_at
        ]
