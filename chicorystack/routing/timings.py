"""Response times by operation, for timeouts that adapt to the load."""

from typing import NamedTuple

from chicorystack import defaults


class OperationId(NamedTuple):
    """Identifies one operation of one service."""

    service: str
    operation: str


class LatencyEstimate(NamedTuple):
    """Moving mean and mean deviation of a latency, in seconds."""

    mean_s: float
    deviation_s: float

    def with_sample(self, sample_s: float) -> "LatencyEstimate":
        """Returns the estimate after one more sample."""
        error_s = sample_s - self.mean_s
        delta_s = abs(error_s) - self.deviation_s
        return LatencyEstimate(
            self.mean_s + defaults.LATENCY_ESTIMATE_GAIN * error_s,
            self.deviation_s + defaults.LATENCY_ESTIMATE_GAIN * delta_s,
        )

    @property
    def upper_bound_s(self) -> float:
        """A latency that few samples exceed, in seconds."""
        return 2 * self.mean_s + 4 * self.deviation_s


class Timings:
    """Times to first byte and total durations of responses, by operation."""

    def __init__(self):
        self._first_byte_by_operation: dict[OperationId, LatencyEstimate] = {}
        self._duration_by_operation: dict[OperationId, LatencyEstimate] = {}
        self._gap_by_service: dict[str, LatencyEstimate] = {}

    def record_first_byte(self, operation: OperationId, seconds: float) -> None:
        """Records the time to a response's first byte, in seconds."""
        _record_sample(self._first_byte_by_operation, operation, seconds)

    def record_response(
        self, operation: OperationId, seconds: float, events: int
    ) -> None:
        """Records a response's duration in seconds and its event count."""
        _record_sample(self._duration_by_operation, operation, seconds)
        if events > 1:
            _record_sample(
                self._gap_by_service, operation.service, seconds / events
            )

    def first_byte_s(self, operation: OperationId) -> float | None:
        """Returns the mean time to the first byte; None before any sample."""
        estimate = self._first_byte_by_operation.get(operation)
        return estimate.mean_s if estimate else None

    def first_byte_timeout_s(
        self, operation: OperationId, attempt: int
    ) -> float:
        """Returns the timeout for an attempt's first byte, in seconds.

        It doubles with each attempt, so that retries do not multiply when
        all targets are slow.
        """
        estimate = self._first_byte_by_operation.get(operation)
        if estimate is None:
            return defaults.FIRST_BYTE_TIMEOUT_MAX_S
        timeout_s = max(
            defaults.FIRST_BYTE_TIMEOUT_MIN_S, estimate.upper_bound_s
        )
        return min(timeout_s * 2**attempt, defaults.FIRST_BYTE_TIMEOUT_MAX_S)

    def idle_timeout_s(self, service: str) -> float:
        """Returns the longest pause between a stream's events, in seconds."""
        estimate = self._gap_by_service.get(service)
        if estimate is None:
            return defaults.FIRST_BYTE_TIMEOUT_MAX_S
        timeout_s = defaults.IDLE_TIMEOUT_GAPS * estimate.mean_s
        return max(defaults.IDLE_TIMEOUT_MIN_S, timeout_s)

    def duration_s(self, operation: OperationId) -> float:
        """Returns the mean duration in seconds; 0 before any sample."""
        estimate = self._duration_by_operation.get(operation)
        return estimate.mean_s if estimate else 0.0

    def service_duration_s(self, service: str) -> float:
        """Returns the mean of a service's operations; 0 before any sample."""
        means = [
            estimate.mean_s
            for operation, estimate in self._duration_by_operation.items()
            if operation.service == service
        ]
        return sum(means) / len(means) if means else 0.0


def _record_sample(estimate_by_key: dict, key: object, seconds: float) -> None:
    estimate = estimate_by_key.get(key)
    if estimate is None:
        estimate_by_key[key] = LatencyEstimate(seconds, seconds / 2)
    else:
        estimate_by_key[key] = estimate.with_sample(seconds)
