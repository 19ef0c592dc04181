"""Structured events on standard output: one JSON object per line.

Lines are buffered in memory and written without blocking. If the buffer is
full because standard output is blocked, or the limit of lines per second is
reached, lines are dropped; the next line contains their number.
"""

import os
import time

import msgspec
from twisted.logger import globalLogPublisher

from chicorystack import defaults

STDOUT = 1
_encoder = msgspec.json.Encoder()


class EventLog:
    """Writes the events of a process.

    Attributes:
        process: Name of the process, a field of each event.
        dropped: Number of events dropped since the last event buffered.
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
        """Buffers an event.

        Args:
            part: The part of the program that reports the event.
            event: What happened, in one word.
            **fields: Subject and cause of the event.
        """
        now = self._now()
        if not self._count_line(int(now)):
            self.dropped += 1
            return
        line = {"t": round(now, 3), "vm": self.process, "part": part,
                "event": event, **fields}  # fmt: skip
        if self.dropped:
            line["dropped_before"] = self.dropped
            self.dropped = 0
        self._pending += _encode(line)
        self._pending += b"\n"

    def flush(self) -> None:
        """Writes as much as standard output accepts without blocking."""
        if not self._pending:
            return
        try:
            written = os.write(self._fd, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed standard output; this can't be logged.
            self._pending.clear()
            return
        del self._pending[:written]

    def _count_line(self, second: int) -> bool:
        """Counts a line; returns whether the limits allow buffering it."""
        if second != self._second:
            self._second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        return (
            self._lines_this_second <= self._lines_per_s
            and len(self._pending) < defaults.EVENT_BUFFER_MAX_BYTES
        )


def _encode(line: dict[str, object]) -> bytes:
    """Returns a line as JSON; an event must not fail what it reports on."""
    try:
        return _encoder.encode(line)
    except Exception:
        return _encoder.encode({k: _encodable(line[k]) for k in line})


def _encodable(value: object) -> object:
    """Returns a value, or a text if it is none that JSON can have."""
    try:
        _encoder.encode(value)
    except Exception:
        return ascii(value)
    return value


event_log = EventLog()
emit = event_log.emit


def start_events(clock, process: str) -> None:
    """Starts writing events, with the process's name in each."""
    event_log.process = process
    os.set_blocking(STDOUT, False)
    globalLogPublisher.addObserver(_emit_failure)
    _flush_periodically(clock)


def _emit_failure(event: dict[str, object]) -> None:
    """Emits an exception that the reactor has caught, as of a timer."""
    failure = event.get("log_failure")
    if failure is not None:
        emit("main", "bug", reason=failure.getTraceback())


def _flush_periodically(clock) -> None:
    event_log.flush()
    clock.callLater(defaults.EVENT_FLUSH_INTERVAL_S, _flush_periodically, clock)
