"""Splits event streams and detects repeated, missing and foreign events."""

from collections.abc import Iterator
from typing import NamedTuple

from chicorystack.decoding import parse_whole_number
from chicorystack.errors import ChicoryError

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


# A comment, or the time after which to reconnect: no part of the content.
NO_CONTENT_PREFIXES = (b":", b"retry:")


class StreamEventError(ChicoryError):
    """A target sent an event that does not continue the stream."""


class StreamGapError(StreamEventError):
    """A target skipped events that the caller does not have."""


class NoEventIdError(StreamEventError):
    """An event without an ID followed events with IDs: a target's error."""


class Event(NamedTuple):
    """One complete event.

    Attributes:
        data: Its bytes, with the blank line that ends it.
        id: Its ID; None if it has none or the ID is not a number.
    """

    data: bytes
    id: int | None

    @property
    def has_content(self) -> bool:
        """Whether it has more than comments and control fields."""
        lines = self.data.rstrip(b"\n").split(b"\n")
        return not all(line.startswith(NO_CONTENT_PREFIXES) for line in lines)


class EventSplitter:
    """Splits the bytes of one target's stream into events."""

    def __init__(self):
        self._incomplete = b""

    @property
    def incomplete(self) -> bytes:
        """Bytes received of an event that is not complete yet."""
        return self._incomplete

    def feed(self, data: bytes) -> Iterator[Event]:
        """Yields the events that are completed by these bytes."""
        *complete, self._incomplete = (self._incomplete + data).split(EVENT_END)
        for part in complete:
            yield Event(part + EVENT_END, _event_id(part))


class StreamProgress:
    """How much of a stream the caller has, over all attempts.

    Attributes:
        events: Number of events accepted.
        last_id: ID of the last event that the caller has; None for none.
    """

    def __init__(self, last_id: int | None):
        self.last_id = last_id
        self.events = 0
        # Difference of consecutive IDs, and whether one target has shown it.
        self._step: int | None = None
        self._step_shown = False
        self._uneven = False
        # Whether the next event follows one that another target has sent.
        self._at_seam = False

    def begin_attempt(self) -> None:
        """Prepares for the events of another target."""
        self._at_seam = self.last_id is not None

    def accept(self, event: Event) -> bool:
        """Accepts an event to be sent to the caller, unless it is a repeat.

        Returns:
            Whether the event is new and must be sent.

        Raises:
            StreamGapError: If events before it are missing.
            NoEventIdError: If the events before it have IDs, but it has none.
        """
        if event.id is None:
            if self.last_id is not None and event.has_content:
                raise NoEventIdError("an event has no ID")
            self.events += 1
            return True
        if self.last_id is not None:
            if event.id <= self.last_id:
                # It is repeated by the target that sends what follows it.
                self._at_seam &= event.id < self.last_id
                return False
            self._check_step(event.id - self.last_id)
        self.last_id = event.id
        self.events += 1
        return True

    def _check_step(self, step: int) -> None:
        """Checks that no event is missing where another target goes on.

        One target's events arrive in order on one connection, so that their
        IDs may rise by any steps. If the steps were all the same, the next
        target's first event must be one step on.
        """
        at_seam, self._at_seam = self._at_seam, False
        if self._step is None:
            self._step = step
        elif step != self._step and not self._uneven:
            if at_seam or not self._step_shown:
                raise StreamGapError(
                    f"event ID {self.last_id} is followed by"
                    f" {self.last_id + step}, expected"
                    f" {self.last_id + self._step}"
                )
            self._uneven = True
        self._step_shown |= not at_seam


def _event_id(part: bytes) -> int | None:
    for line in part.split(b"\n"):
        if line.startswith(ID_FIELD):
            return parse_whole_number(line[len(ID_FIELD) :].strip())
    return None
