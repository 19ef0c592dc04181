"""What a router knows of one target: its reports, own calls and speed."""

import math
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.target_model.held_tokens import HeldTokens
from chicorystack.target_model.messages import CallNeeds, TargetLoadView
from chicorystack.target_model.moving_average import MovingAverage


class Work(NamedTuple):
    """Work at a target until a call's first event.

    Attributes:
        features: Features of the regression of the call's service.
        wait_s: Wait for a slot at usual pace, in seconds.
    """

    features: tuple[float, ...]
    wait_s: float = 0.0


class OpenCall:
    """One of this router's calls at a target.

    Attributes:
        needs: What it needs there.
        work: Work until its first event when it was sent.
        scale: Pace and speed of the target when it was sent.
        predicted_s: Predicted time to its first event, in seconds.
        started_at: Clock time when it was sent, in seconds.
        first_event_s: Measured time to its first event, in seconds; None
            before.
    """

    __slots__ = (
        "first_event_s",
        "needs",
        "predicted_s",
        "scale",
        "started_at",
        "work",
    )

    def __init__(
        self,
        needs: CallNeeds,
        work: Work,
        scale: float,
        predicted_s: float,
        started_at: float,
    ):
        self.needs = needs
        self.work = work
        self.scale = scale
        self.predicted_s = predicted_s
        self.started_at = started_at
        self.first_event_s: float | None = None

    def unread_tokens(self, now: float) -> float:
        """Returns the estimated tokens of its prompt that are yet unread."""
        if self.first_event_s is not None:
            return 0.0
        elapsed = (now - self.started_at) / self.predicted_s
        return self.needs.uncached_tokens * max(0.0, 1.0 - elapsed)

    def lateness_s(self, now: float) -> float:
        """Returns how long its first event has been overdue, in seconds."""
        if self.first_event_s is not None:
            return 0.0
        return max(0.0, now - self.started_at - self.predicted_s)


class TargetView(NamedTuple):
    """What is estimated of a target at one moment.

    Attributes:
        calls: Calls there, of this router and of others.
        own_calls: Those of this router.
        others: Those of others.
        most_others: The greater of the last and the mean report, and calls that
            others have probably sent since.
        unread_calls: Calls of others whose prompts are not being read yet.
        own_unread_tokens: Prompt tokens of own calls that are yet unread.
        own_held_tokens: Most tokens of KV cache that own calls occupy.
        scale: How long work takes there, relative to the mean target.
        delay_s: Delay shown by missing answers, in seconds.
        report_age_s: Age of the last report, in seconds; infinity without one.
        uncached_tokens: Mean tokens to read of a prompt.
        reading_fraction: Mean fraction of a call's time before its first event.
    """

    calls: float
    own_calls: int
    others: float
    most_others: float
    unread_calls: float
    own_unread_tokens: float
    own_held_tokens: int
    scale: float
    delay_s: float
    report_age_s: float
    uncached_tokens: float
    reading_fraction: float


class TargetState:
    """What is known of one target.

    Reports lose weight with age in favour of the target's mean report, not of
    zero: a target that has not been heard of is probably as busy as usual.

    Attributes:
        open_calls: This router's calls there.
        uncached_tokens: Mean tokens to read of the prompts sent there, which
            probably holds for those of other routers, too.
        reading_fraction: Mean fraction of a call's time before its first event.
        held_tokens: KV cache that calls there hold.
    """

    def __init__(self, clock):
        self._clock = clock
        self._report: TargetLoadView | None = None
        self._others_running = 0
        self._others_waiting = 0
        self._own_reported = 0
        self._mean_running = MovingAverage(0.0, defaults.MODEL_LOAD_GAIN)
        self._mean_waiting = MovingAverage(0.0, defaults.MODEL_LOAD_GAIN)
        self._mean_pace = MovingAverage(1.0, defaults.MODEL_TARGET_GAIN)
        self._log_speed = 0.0
        self._failed_at = -math.inf
        self.open_calls: set[OpenCall] = set()
        gain = defaults.MODEL_TARGET_GAIN
        self.held_tokens = HeldTokens(gain)
        self.uncached_tokens = MovingAverage(
            defaults.MODEL_PROMPT_PRIOR_TOKENS, gain
        )
        self.reading_fraction = MovingAverage(
            defaults.MODEL_READING_FRACTION_PRIOR, gain
        )

    @property
    def slots(self) -> int | None:
        """Calls that the target can run concurrently; None if unknown."""
        return None if self._report is None else self._report.slots

    def record_report(self, report: TargetLoadView) -> None:
        """Records a report, which includes this router's calls."""
        own_waiting = sum(
            call.first_event_s is None for call in self.open_calls
        )
        total = max(0, report.running + report.waiting - len(self.open_calls))
        waiting = min(total, max(0, report.waiting - own_waiting))
        if self._report is None:
            self._mean_running.value = float(total - waiting)
            self._mean_waiting.value = float(waiting)
        self._report = report
        self._own_reported = len(self.open_calls)
        self._others_running = total - waiting
        self._others_waiting = waiting
        self._mean_running.add(total - waiting)
        self._mean_waiting.add(waiting)
        if report.pace is not None:
            self._mean_pace.add(report.pace / 100)

    def view(self) -> TargetView:
        """Returns what is estimated of the target now."""
        now = self._clock.seconds()
        report = self._report
        age_s = math.inf if report is None else now - report.reported_at
        running, waiting = self._others(age_s)
        unread = lateness_s = 0.0
        held = 0
        for call in self.open_calls:
            held += call.needs.held_tokens
            if call.first_event_s is None:
                unread += call.unread_tokens(now)
                lateness_s = max(lateness_s, call.lateness_s(now))
        return TargetView(
            len(self.open_calls) + running + waiting,
            len(self.open_calls),
            running + waiting,
            self._most_others(),
            waiting,
            unread,
            held,
            self._scale(age_s),
            lateness_s + self._failure_delay_s(now),
            age_s,
            self.uncached_tokens.value,
            self.reading_fraction.value,
        )

    def _others(self, age_s: float) -> tuple[float, float]:
        """Returns the estimated running and waiting calls of others."""
        weight = 0.5 ** (age_s / defaults.MODEL_LOAD_HALF_LIFE_S)
        mean_running = self._mean_running.value
        mean_waiting = self._mean_waiting.value
        return (
            mean_running + weight * (self._others_running - mean_running),
            mean_waiting + weight * (self._others_waiting - mean_waiting),
        )

    def _most_others(self) -> float:
        """Returns the most calls of others that are likely.

        Other routers have probably sent as many calls for each one that was
        there as this router has since the last report.
        """
        reported = self._others_running + self._others_waiting
        mean = self._mean_running.value + self._mean_waiting.value
        if self._report is None:
            return mean
        own_since = sum(
            call.started_at > self._report.reported_at
            for call in self.open_calls
        )
        sent_since = own_since * reported / max(1, self._own_reported)
        return max(mean, reported) + sent_since

    def _scale(self, age_s: float) -> float:
        pace = self._mean_pace.value
        if self._report is not None and self._report.pace is not None:
            weight = 0.5 ** (age_s / defaults.MODEL_PACE_HALF_LIFE_S)
            pace += weight * (self._report.pace / 100 - pace)
        return max(defaults.MODEL_SCALE_MIN, pace * math.exp(self._log_speed))

    def _failure_delay_s(self, now: float) -> float:
        age_s = now - self._failed_at
        weight = 0.5 ** (age_s / defaults.MODEL_FAILURE_HALF_LIFE_S)
        return weight * defaults.MODEL_FAILURE_DELAY_S

    def correct_speed(self, predicted_s: float, measured_s: float) -> None:
        """Moves the learned speed towards a measured time."""
        error = math.log(max(measured_s, defaults.MODEL_MIN_S) / predicted_s)
        error = min(max(error, -1.0), 1.0)
        self._log_speed += defaults.MODEL_TARGET_GAIN * error
        bound = defaults.MODEL_LOG_SPEED_MAX
        self._log_speed = min(max(self._log_speed, -bound), bound)

    def record_failure(self) -> None:
        """Records that the target did not answer."""
        self._failed_at = self._clock.seconds()
