"""Messages of the target model."""

from typing import NamedTuple


class CallNeeds(NamedTuple):
    """What a call needs of a target.

    Attributes:
        prompt_tokens: Tokens of its prompt; 0 for calls without one.
        uncached_tokens: Tokens of the prompt that the target has to read.
        output_tokens: Most tokens of its response.
    """

    prompt_tokens: int = 0
    uncached_tokens: int = 0
    output_tokens: int = 0

    @property
    def held_tokens(self) -> int:
        """Most tokens of KV cache that the call occupies while it runs."""
        return self.prompt_tokens + self.output_tokens


class TargetLoadView(NamedTuple):
    """Load that a target has reported.

    Attributes:
        running: Calls that it was running.
        waiting: Calls in its queue.
        slots: Calls that it can run concurrently.
        pace: How long work takes there, in percent of the usual time; None if
            not reported.
        reported_at: Clock time when the report arrived, in seconds.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None
    reported_at: float


class Prediction(NamedTuple):
    """What a target would do with a call sent to it now.

    Attributes:
        first_event_s: Predicted time until the first event of its response,
            or until the response if it is not a stream, in seconds.
        fits_memory: Whether its memory is estimated to have room.
        reading_s: For how long it would be busy reading the prompt, in
            seconds.
    """

    first_event_s: float
    fits_memory: bool
    reading_s: float = 0.0
