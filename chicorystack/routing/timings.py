"""How long answers take, for bounds on waiting that follow the load."""

from typing import NamedTuple

from chicorystack import defaults


class OperationId(NamedTuple):
    """Names one operation of one service."""

    service: str
    operation: str


class Spread(NamedTuple):
    """Moving mean and mean deviation of a time, in seconds."""

    mean_s: float
    deviation_s: float

    def with_sample(self, sample_s: float) -> "Spread":
        """Returns the spread after one more sample."""
        error_s = sample_s - self.mean_s
        change_s = abs(error_s) - self.deviation_s
        return Spread(
            self.mean_s + defaults.TIMING_GAIN * error_s,
            self.deviation_s + defaults.TIMING_GAIN * change_s,
        )

    @property
    def bound_s(self) -> float:
        """A time that few samples exceed, in seconds."""
        return 2 * self.mean_s + 4 * self.deviation_s


class Timings:
    """Times to the first byte and to the end, by operation."""

    def __init__(self):
        self._first_byte_by_operation: dict[OperationId, Spread] = {}
        self._duration_by_operation: dict[OperationId, Spread] = {}
        self._gap_by_service: dict[str, Spread] = {}

    def note_first_byte(self, operation: OperationId, seconds: float) -> None:
        """Takes the time to one answer's first byte."""
        _note(self._first_byte_by_operation, operation, seconds)

    def note_answer(
        self, operation: OperationId, seconds: float, events: int
    ) -> None:
        """Takes the time to one answer's end and its number of events."""
        _note(self._duration_by_operation, operation, seconds)
        if events > 1:
            _note(self._gap_by_service, operation.service, seconds / events)

    def first_byte_s(self, operation: OperationId) -> float | None:
        """Returns the mean time to the first byte, None before any sample."""
        spread = self._first_byte_by_operation.get(operation)
        return spread.mean_s if spread else None

    def start_bound_s(self, operation: OperationId, attempt: int) -> float:
        """Returns how long an attempt may go without a first byte.

        It doubles with each attempt, so that slowness of all targets does
        not turn into ever more attempts.
        """
        spread = self._first_byte_by_operation.get(operation)
        if spread is None:
            return defaults.ANSWER_START_TIMEOUT_S
        bound_s = max(defaults.START_BOUND_MIN_S, spread.bound_s)
        return min(bound_s * 2**attempt, defaults.ANSWER_START_TIMEOUT_S)

    def stall_bound_s(self, service: str) -> float:
        """Returns how long a stream may pause between two events."""
        spread = self._gap_by_service.get(service)
        if spread is None:
            return defaults.ANSWER_START_TIMEOUT_S
        bound_s = defaults.STALL_GAPS * spread.mean_s
        return max(defaults.STALL_BOUND_MIN_S, bound_s)

    def duration_s(self, operation: OperationId) -> float:
        """Returns the mean time to the end; 0 before any sample."""
        spread = self._duration_by_operation.get(operation)
        return spread.mean_s if spread else 0.0

    def service_duration_s(self, service: str) -> float:
        """Returns the mean over a service's operations."""
        means = [
            spread.mean_s
            for operation, spread in self._duration_by_operation.items()
            if operation.service == service
        ]
        return sum(means) / len(means) if means else 0.0


def _note(spread_by_key: dict, key: object, seconds: float) -> None:
    known = spread_by_key.get(key)
    if known is None:
        spread_by_key[key] = Spread(seconds, seconds / 2)
    else:
        spread_by_key[key] = known.with_sample(seconds)
