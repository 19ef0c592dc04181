"""How much of a response the caller has received, over all attempts."""

from typing import NamedTuple

from chicorystack.calls.messages import END_EVENT_PREFIX, EVENT_END

# Large enough for any end record.
TAIL_BYTES = 256


class AttemptTimeouts(NamedTuple):
    """How long one attempt may go without receiving bytes.

    Attributes:
        first_byte_s: Time to the first byte, in seconds.
        idle_s: Time between bytes, in seconds; 0 for no limit.
    """

    first_byte_s: float
    idle_s: float = 0.0


class DeliveryProgress:
    """Tracks what the caller has received; splits a stream into events.

    Attributes:
        started: Whether the caller has received part of the response.
        resumable: Whether another attempt may deliver the rest.
        events: Number of complete events passed on.
        first_byte_at: Time on the clock when the current attempt's first byte
            arrived; 0 before it.
    """

    def __init__(self):
        self.started = False
        self.resumable = False
        self.events = 0
        self.first_byte_at = 0.0
        self._partial_event = b""
        self._tail = b""

    def begin_attempt(self) -> None:
        """Discards the incomplete event that the last attempt left over."""
        self._partial_event = b""
        self._tail = b""
        self.first_byte_at = 0.0

    def take_complete_events(self, data: bytes) -> bytes:
        """Returns the events that these bytes complete; keeps the rest."""
        if self._partial_event:
            data = self._partial_event + data
            self._partial_event = b""
        if not data.endswith(EVENT_END):
            cut = data.rfind(EVENT_END) + len(EVENT_END)
            if cut < len(EVENT_END):
                self._partial_event = data
                return b""
            self._partial_event = data[cut:]
            data = data[:cut]
        self.events += data.count(EVENT_END)
        self._tail = data[-TAIL_BYTES:]
        return data

    @property
    def end_record_data(self) -> bytes | None:
        """Data of the end record; None until it has been passed on."""
        _, found, data = self._tail.rpartition(END_EVENT_PREFIX)
        return data if found else None
