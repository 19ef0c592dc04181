"""Splits a stream of events and keeps it free of gaps and repeats."""

from collections.abc import Iterator
from typing import NamedTuple

from chicorystack.errors import ChicoryError

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class StreamGapError(ChicoryError):
    """A target left out events that the caller does not have."""


class Event(NamedTuple):
    """One whole event.

    Attributes:
        data: Its bytes, with the blank line that ends it.
        id: Its id; None where it has none.
    """

    data: bytes
    id: int | None


class EventSplitter:
    """Cuts the bytes of one target's stream into whole events."""

    def __init__(self):
        self._held = b""

    @property
    def held(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._held

    def feed(self, data: bytes) -> Iterator[Event]:
        """Yields the events that these bytes complete."""
        *whole, self._held = (self._held + data).split(EVENT_END)
        for part in whole:
            yield Event(part + EVENT_END, _event_id(part))


class StreamProgress:
    """What the caller has of a stream, over all targets that made it.

    Attributes:
        events: Events passed on.
        last_id: Id of the last event that the caller has; None for none.
    """

    def __init__(self, last_id: int | None):
        self.last_id = last_id
        self.events = 0
        self._step: int | None = None

    def is_new(self, event: Event) -> bool:
        """Tells whether the caller lacks an event, which then counts as had.

        Raises:
            StreamGapError: If events before it are missing.
        """
        if event.id is None:
            self.events += 1
            return True
        if self.last_id is not None:
            if event.id <= self.last_id:
                return False
            self._check_step(event.id - self.last_id)
        self.last_id = event.id
        self.events += 1
        return True

    def _check_step(self, step: int) -> None:
        """Ids go up by the same step throughout a stream."""
        if self._step is None:
            self._step = step
        elif step != self._step:
            raise StreamGapError(f"event after {self.last_id} is {step} on")


def _event_id(part: bytes) -> int | None:
    for line in part.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
