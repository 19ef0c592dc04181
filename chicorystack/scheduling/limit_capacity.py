"""Capacity of services whose targets have few slots and short calls."""

from chicorystack import defaults
from chicorystack.scheduling.concurrency_limit import ConcurrencyLimit
from chicorystack.scheduling.messages import CallEnd, QueuedCall
from chicorystack.scheduling.reports import ReportTable


class LimitCapacity:
    """Keeps to a ConcurrencyLimit. Implements Capacity.

    Attributes:
        limit: The limit.
    """

    def __init__(self, clock, reports: ReportTable):
        self._clock = clock
        self._reports = reports
        self._open = 0
        self._ended_at = 0.0
        self.limit = ConcurrencyLimit(clock, defaults.LIMIT_INITIAL_CALLS)

    def room(self, call: QueuedCall) -> float:
        """See Capacity."""
        limit = self.limit.limit
        if limit < 1 and not self._open:
            pause_s = self.limit.estimate.mean_s * (1 / limit - 1)
            return max(0.0, self._ended_at + pause_s - self._clock.seconds())
        if self._open < max(1, int(limit)):
            return 0.0
        # The open calls are at any point of their course.
        mean_s = self.limit.estimate.mean_s or self.duration_s(call)
        return mean_s / (self._open + 1)

    def duration_s(self, call: QueuedCall) -> float:
        """See Capacity."""
        objective_s = call.objective_at - call.offered_at
        unknown_s = objective_s * defaults.INITIAL_DURATION_FRACTION
        estimate = self.limit.estimate
        likely_s = estimate.mean_s + defaults.DURATION_DEVIATIONS * (
            estimate.deviation_s
        )
        return max(likely_s or unknown_s, defaults.LEAST_DURATION_S)

    def interval_s(self) -> float:
        """See Capacity."""
        return self.limit.estimate.mean_s / max(self._open, self.limit.limit)

    def load(self, call: QueuedCall) -> float:
        """See Capacity."""
        calls_per_slot = self._reports.calls_per_slot()
        return calls_per_slot / defaults.ADMISSION_CALLS_PER_SLOT

    def has_slot(self, call: QueuedCall) -> bool:
        """See Capacity."""
        return self._reports.has_idle_target()

    def is_idle(self, call: QueuedCall) -> bool:
        """See Capacity.

        One free slot is not enough: many routers read the same report.
        """
        return (
            self._reports.has_idle_target()
            and self._reports.calls_per_slot() <= defaults.IDLE_CALLS_PER_SLOT
        )

    def started(self, call: QueuedCall) -> None:
        """See Capacity."""
        self._open += 1

    def ended(self, call: QueuedCall, end: CallEnd | None) -> None:
        """See Capacity."""
        open_calls, self._open = self._open, self._open - 1
        if end is None:
            return
        self._ended_at = self._clock.seconds()
        if end.rejected:
            self.limit.record_rejection()
        elif end.completed:
            pace = self._reports.pace(end.target_id)
            self.limit.record_duration(
                end.target_id, end.duration_s, pace, open_calls
            )
