"""Plain prediction of a call's course from the targets' reported queues."""

from typing import NamedTuple

from chicorystack import defaults
from chicorystack.scheduling.messages import CallEnd
from chicorystack.scheduling.reports import ReportTable


class QueuePrediction(NamedTuple):
    """Predicted course of a call; see Prediction.

    Attributes:
        first_event_s: Seconds until its first event if it is sent now.
        fits_memory: Whether the target has memory for it.
    """

    first_event_s: float
    fits_memory: bool


class QueuePredictor:
    """Predicts that a call waits for a slot of the least occupied target.

    It knows nothing of prompts and memory. It serves until a model of the
    targets is available.
    """

    def __init__(self, reports: ReportTable):
        self._reports = reports
        self._duration_s = 0.0

    def predict(self, _subject: object) -> QueuePrediction:
        """Returns the prediction for any call."""
        excess = self._reports.least_excess_per_slot()
        return QueuePrediction(excess * self._duration_s, True)

    def record_end(self, end: CallEnd) -> None:
        """Records the end of an attempt."""
        if end.completed:
            change = end.duration_s - self._duration_s
            self._duration_s += defaults.LIMIT_GAIN * change
