"""Moving average with a prior."""

from chicorystack import defaults


class MovingAverage:
    """Exponentially weighted moving average.

    The first samples count equally, with the prior, until the gain is reached.

    Attributes:
        value: The average.
    """

    def __init__(self, prior: float, gain: float = defaults.MODEL_GAIN):
        self._gain = gain
        self._samples = defaults.MODEL_PRIOR_MEASUREMENTS
        self.value = prior

    def add(self, sample: float) -> None:
        """Takes a sample into account."""
        self._samples += 1
        gain = max(self._gain, 1.0 / self._samples)
        self.value += gain * (sample - self.value)
