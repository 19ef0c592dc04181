"""Capacity of services that run a language model.

Their targets run many calls concurrently and read prompts between the tokens
of running ones. What a further call costs shows in its predicted time to the
first event, not in a number of slots.
"""

from collections.abc import Callable
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.scheduling.messages import CallEnd, Prediction, QueuedCall
from chicorystack.scheduling.reports import ReportTable


class _KeptPrediction(NamedTuple):
    """The last prediction.

    Attributes:
        call_id: ID of the call.
        made_at: Clock time at which it was made, in seconds.
        prediction: The prediction; None if no target can take the call.
    """

    call_id: str
    made_at: float
    prediction: Prediction | None


class PredictedCapacity:
    """Starts calls whose first event is predicted on time.

    One that would be late is held until the backlog at the best target is
    small. Implements Capacity.
    """

    def __init__(
        self,
        clock,
        predict: Callable[[object], Prediction | None],
        reports: ReportTable,
    ):
        """Starts without calls.

        Args:
            clock: The reactor.
            predict: Predicts a call's course, given the call's subject; None
                if no target can take the call.
            reports: Reports of the service's targets.
        """
        self._clock = clock
        self._predict = predict
        self._reports = reports
        self._open = 0
        self._duration_s = 0.0
        self._load = 0.0
        self._last: _KeptPrediction | None = None

    def room(self, call: QueuedCall) -> float:
        """See Capacity."""
        prediction = self._prediction(call)
        if prediction is None:
            # It is refused for want of targets once it starts.
            return 0.0
        if not prediction.fits_memory:
            return max(self.interval_s(), defaults.SCHEDULE_INTERVAL_S)
        return max(0.0, prediction.first_event_s - self._allowed_s(call))

    def duration_s(self, call: QueuedCall) -> float:
        """See Capacity."""
        prediction = self._prediction(call)
        if prediction is None:
            return 0.0
        return min(prediction.first_event_s, self._allowed_s(call))

    def interval_s(self) -> float:
        """See Capacity."""
        return self._duration_s / max(1, self._open)

    def load(self, call: QueuedCall) -> float:
        """See Capacity."""
        calls = self._reports.calls_per_slot()
        relative = calls / defaults.ADMISSION_MODEL_CALLS_PER_SLOT
        change = min(relative, 2.0) - self._load
        self._load += defaults.ADMISSION_LOAD_GAIN * change
        return self._load

    def has_slot(self, call: QueuedCall) -> bool:
        """See Capacity."""
        prediction = self._prediction(call)
        if prediction is None:
            return True
        answer_at = self._clock.seconds() + prediction.first_event_s
        return (
            prediction.fits_memory
            and answer_at <= call.deadline
            and self._reports.has_idle_target()
        )

    def is_idle(self, call: QueuedCall) -> bool:
        """See Capacity."""
        prediction = self._prediction(call)
        if prediction is None:
            return True
        allowed_s = self._allowed_s(call) * defaults.IDLE_BACKLOG_FRACTION
        return prediction.fits_memory and prediction.first_event_s <= allowed_s

    def started(self, call: QueuedCall) -> None:
        """See Capacity."""
        self._open += 1
        self._last = None

    def ended(self, call: QueuedCall, end: CallEnd | None) -> None:
        """See Capacity."""
        self._open -= 1
        if end is not None and end.completed:
            change = end.duration_s - self._duration_s
            self._duration_s += defaults.LIMIT_GAIN * change

    def _prediction(self, call: QueuedCall) -> Prediction | None:
        """Returns the prediction of a call.

        One decision asks for it several times; it is kept for that long.
        """
        now = self._clock.seconds()
        last = self._last
        if (
            last is None
            or last.call_id != call.id
            or now - last.made_at > defaults.PREDICTION_KEEP_S
        ):
            prediction = self._predict(call.subject)
            last = self._last = _KeptPrediction(call.id, now, prediction)
        return last.prediction

    def _allowed_s(self, call: QueuedCall) -> float:
        """Returns the time to the first event up to which a call is sent.

        It is most of the time until the objective; for a call that is late
        already, a part of the objective.
        """
        objective_s = call.objective_at - call.offered_at
        late_s = max(0.0, objective_s) * defaults.LATE_BACKLOG_FRACTION
        left_s = call.objective_at - self._clock.seconds()
        return max(left_s * defaults.PREDICTION_MARGIN_FRACTION, late_s)
