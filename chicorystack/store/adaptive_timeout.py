"""Timeout for calls of the store that adapts to its response times."""

from chicorystack import defaults


class AdaptiveTimeout:
    """A timeout derived from a moving average of response times.

    A short timeout detects an outage early while responses are fast. It
    doubles with each consecutive failure, up to a limit, so that a store that
    has become slow gets enough time.
    """

    def __init__(self):
        self._average_s = defaults.STORE_CALL_TIMEOUT_MAX_S
        self._failures = 0

    @property
    def timeout_s(self) -> float:
        """Timeout for the next call, in seconds."""
        minimum_s = defaults.STORE_CALL_TIMEOUT_MIN_S
        timeout_s = minimum_s + self._average_s * defaults.STORE_TIMEOUT_FACTOR
        return min(
            defaults.STORE_CALL_TIMEOUT_MAX_S,
            timeout_s * 2 ** min(self._failures, 4),
        )

    def record_response_time(self, response_time_s: float) -> None:
        """Updates the average; a response slower than it replaces it."""
        self._failures = 0
        gain = (
            1.0
            if response_time_s > self._average_s
            else defaults.STORE_TIMEOUT_GAIN
        )
        self._average_s += gain * (response_time_s - self._average_s)

    def record_failure(self) -> None:
        """Records a failed call."""
        self._failures += 1
