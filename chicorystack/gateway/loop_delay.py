"""Measures how late the event loop runs its timers.

A loop that is late has more work than its share of a processor can do.
"""

from chicorystack import defaults


class LoopDelayMeter:
    """The recent delay of timers, in seconds.

    Attributes:
        delay_s: Moving average of the delay.
    """

    def __init__(self, clock):
        self._clock = clock
        self._due_at = 0.0
        self.delay_s = 0.0

    def start(self) -> None:
        """Starts measuring."""
        self._schedule()

    def _schedule(self) -> None:
        self._due_at = (
            self._clock.seconds() + defaults.LOOP_DELAY_CHECK_INTERVAL_S
        )
        self._clock.callLater(
            defaults.LOOP_DELAY_CHECK_INTERVAL_S, self._measure
        )

    def _measure(self) -> None:
        late_s = max(0.0, self._clock.seconds() - self._due_at)
        self.delay_s += defaults.LOOP_DELAY_GAIN * (late_s - self.delay_s)
        self._schedule()
