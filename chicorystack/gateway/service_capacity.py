"""Capacities of services, by the kind of their targets."""

from collections.abc import Callable
from typing import Protocol

from chicorystack.gateway.messages import Call
from chicorystack.gateway.model import GatewayConfig
from chicorystack.observe.exposition import scheduling_limit
from chicorystack.scheduling.limit_capacity import LimitCapacity
from chicorystack.scheduling.messages import CallEnd, Capacity, Prediction
from chicorystack.scheduling.predicted_capacity import PredictedCapacity
from chicorystack.scheduling.queue_prediction import QueuePredictor
from chicorystack.scheduling.reports import ReportTable


class CallPredictor(Protocol):
    """Predicts the course of calls at a language model's targets."""

    def predict_best(self, call: Call) -> Prediction | None:
        """Returns the prediction at the best target; None without targets."""


class ServiceCapacity:
    """The capacity of one service, with what it is measured from.

    Attributes:
        capacity: The capacity.
        reports: Reports of the service's targets.
    """

    def __init__(self, capacity: Capacity, reports: ReportTable):
        self.capacity = capacity
        self.reports = reports

    def record_end(self, end: CallEnd) -> None:
        """Records the end of an attempt."""

    def forget(self, target_id: str) -> None:
        """Discards what is known of a removed target."""
        self.reports.forget(target_id)


class _LimitedService(ServiceCapacity):
    """A service whose targets have few slots."""

    def __init__(self, clock, service: str):
        reports = ReportTable(clock)
        capacity = LimitCapacity(clock, reports)
        super().__init__(capacity, reports)
        self._limit = capacity.limit
        limit_gauge = scheduling_limit.labels(service)
        limit_gauge.set_function(lambda: self._limit.limit)

    def forget(self, target_id: str) -> None:
        """See ServiceCapacity."""
        super().forget(target_id)
        self._limit.forget(target_id)


class _ModelService(ServiceCapacity):
    """A service that runs a language model."""

    def __init__(self, clock, predictor: CallPredictor | None):
        reports = ReportTable(clock)
        self._queue_predictor = QueuePredictor(reports)
        predict = (
            self._queue_predictor.predict
            if predictor is None
            else predictor.predict_best
        )
        super().__init__(PredictedCapacity(clock, predict, reports), reports)

    def record_end(self, end: CallEnd) -> None:
        """See ServiceCapacity."""
        self._queue_predictor.record_end(end)


def capacity_factory(
    clock,
    config: Callable[[], GatewayConfig],
    predictor: CallPredictor | None = None,
) -> Callable[[str], ServiceCapacity]:
    """Returns a function that makes the capacity of a service.

    Args:
        clock: The reactor.
        config: Returns the configuration in force.
        predictor: Predicts calls of language models; None to estimate from
            their targets' queues.
    """

    def make(service: str) -> ServiceCapacity:
        spec = config().service_by_name.get(service)
        if spec is not None and spec.engine is not None:
            return _ModelService(clock, predictor)
        return _LimitedService(clock, service)

    return make
