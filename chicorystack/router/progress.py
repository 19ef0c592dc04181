"""How much of an answer its caller has, over all attempts."""

from typing import NamedTuple

from chicorystack.calls.messages import END_EVENT_PREFIX, EVENT_END

# Longer than any end record.
TAIL_BYTES = 256


class Patience(NamedTuple):
    """How long one attempt may go without bytes.

    Attributes:
        start_s: Time to the first byte, in seconds.
        stall_s: Time between bytes, in seconds; 0 for no bound.
    """

    start_s: float
    stall_s: float = 0.0


class Progress:
    """Counts the whole events of a stream that the caller has been given.

    Attributes:
        started: Whether the caller has received part of the answer.
        resumable: Whether another attempt may give the rest.
        events: Whole events passed on.
        first_byte_at: Time on the clock of the last attempt's first byte.
    """

    def __init__(self):
        self.started = False
        self.resumable = False
        self.events = 0
        self.first_byte_at = 0.0
        self._held = b""
        self._tail = b""

    def begin_attempt(self) -> None:
        """Forgets the part of an event that the last attempt left over."""
        self._held = b""
        self._tail = b""
        self.first_byte_at = 0.0

    def whole_events(self, data: bytes) -> bytes:
        """Returns the events that are whole with these bytes."""
        if self._held:
            data = self._held + data
            self._held = b""
        if not data.endswith(EVENT_END):
            cut = data.rfind(EVENT_END) + len(EVENT_END)
            if cut < len(EVENT_END):
                self._held = data
                return b""
            self._held = data[cut:]
            data = data[:cut]
        self.events += data.count(EVENT_END)
        self._tail = data[-TAIL_BYTES:]
        return data

    @property
    def end_data(self) -> bytes | None:
        """Data of the end record, None while it has not been passed on."""
        _, found, data = self._tail.rpartition(END_EVENT_PREFIX)
        return data if found else None
