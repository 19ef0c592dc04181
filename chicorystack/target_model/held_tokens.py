"""Estimate of the KV cache that calls of other routers occupy."""

import math

from chicorystack import defaults
from chicorystack.target_model.messages import CallNeeds
from chicorystack.target_model.moving_average import MovingAverage


class HeldTokens:
    """Moments of the tokens that calls hold, learned from own calls.

    They are weighted by the calls' durations, as longer ones are found running
    more often.
    """

    def __init__(self, gain: float):
        duration_s = defaults.MODEL_DURATION_PRIOR_S
        held = defaults.MODEL_HELD_PRIOR_TOKENS
        self._duration_s = MovingAverage(duration_s, gain)
        self._held = MovingAverage(held * duration_s, gain)
        self._held_squared = MovingAverage(held**2 * duration_s, gain)

    @property
    def duration_s(self) -> float:
        """Mean duration of a call, in seconds."""
        return self._duration_s.value

    def add(self, needs: CallNeeds, duration_s: float) -> None:
        """Counts a call that has ended."""
        held = needs.held_tokens
        self._duration_s.add(duration_s)
        self._held.add(held * duration_s)
        self._held_squared.add(held**2 * duration_s)

    def estimate(self, calls: float) -> float:
        """Returns tokens that unknown calls hold: mean and one deviation."""
        mean = self._held.value / self._duration_s.value
        square = self._held_squared.value / self._duration_s.value
        deviation = math.sqrt(max(0.0, square - mean**2))
        return calls * mean + math.sqrt(calls) * deviation
