"""How long to wait for the store's answer, from its answers so far."""

from chicorystack import defaults


class CallPatience:
    """A time-out that follows the usual answer time.

    It notices an outage soon where answers are usually fast, and gives a store
    that has turned slow more time with each call that was given up.
    """

    def __init__(self):
        self._usual_s = defaults.STORE_CALL_TIMEOUT_S
        self._failures = 0

    @property
    def timeout_s(self) -> float:
        """Time to wait for the next answer."""
        least = defaults.STORE_CALL_TIMEOUT_LEAST_S
        usual = least + self._usual_s * defaults.STORE_TIMEOUT_FACTOR
        return min(
            defaults.STORE_CALL_TIMEOUT_S, usual * 2 ** min(self._failures, 4)
        )

    def note_answer(self, seconds: float) -> None:
        """Takes the time of an answer; a slow one counts at once."""
        self._failures = 0
        gain = 1.0 if seconds > self._usual_s else defaults.STORE_TIMEOUT_GAIN
        self._usual_s += gain * (seconds - self._usual_s)

    def note_failure(self) -> None:
        """Takes a call that was given up."""
        self._failures += 1
