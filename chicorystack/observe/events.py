"""Structured events on standard output: one JSON object a line.

Lines are collected in memory and written without blocking. Where standard
output takes no more, or a second brings more lines than the limit, lines are
dropped and counted; the next line that is written says how many.
"""

import os
import time

import msgspec

from chicorystack import defaults

STDOUT = 1
_encoder = msgspec.json.Encoder()


class EventLog:
    """Writes events of one process.

    Attributes:
        dropped: Events dropped since the last one that was written.
    """

    def __init__(
        self,
        fd: int = STDOUT,
        now=time.time,
        lines_per_s: int = defaults.EVENT_LINES_PER_S,
    ):
        self._fd = fd
        self._now = now
        self._lines_per_s = lines_per_s
        self._second = 0
        self._lines_this_second = 0
        self._pending = bytearray()
        self.process = ""
        self.dropped = 0

    def emit(self, part: str, event: str, **fields) -> None:
        """Collects one event.

        Args:
            part: The part of the program that says it.
            event: What happened, in one word.
            **fields: What it was about, and what decided it.
        """
        now = self._now()
        if not self._has_room(int(now)):
            self.dropped += 1
            return
        line = {"t": round(now, 3), "vm": self.process, "part": part,
                "event": event, **fields}  # fmt: skip
        if self.dropped:
            line["dropped_before"] = self.dropped
            self.dropped = 0
        self._pending += _encoder.encode(line)
        self._pending += b"\n"

    def flush(self) -> None:
        """Writes what standard output takes without waiting."""
        if not self._pending:
            return
        try:
            written = os.write(self._fd, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; there is nowhere left to say so.
            self._pending.clear()
            return
        del self._pending[:written]

    def _has_room(self, second: int) -> bool:
        if second != self._second:
            self._second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        return (
            self._lines_this_second <= self._lines_per_s
            and len(self._pending) < defaults.EVENT_PENDING_BYTES
        )


event_log = EventLog()
emit = event_log.emit


def start_events(clock, process: str) -> None:
    """Begins to write events, with the process's name in each."""
    event_log.process = process
    os.set_blocking(STDOUT, False)
    _flush_later(clock)


def _flush_later(clock) -> None:
    event_log.flush()
    clock.callLater(defaults.EVENT_FLUSH_S, _flush_later, clock)
