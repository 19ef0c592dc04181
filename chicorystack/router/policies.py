"""Builds the routing policy that a router's settings select."""

import random
from collections.abc import Callable

from chicorystack.calls.messages import AnswerHeader, LoadReport
from chicorystack.router.attempts import Attempt, Attempts
from chicorystack.router.plain_attempts import PlainAttempts
from chicorystack.router.repeatable_attempts import RepeatableAttempts
from chicorystack.routing.call_queue import CallQueues
from chicorystack.routing.pickers import (
    LeastOutstanding,
    Picker,
    RoundRobin,
    SampledLeastLoaded,
)
from chicorystack.routing.targets import TargetTable
from chicorystack.routing.timings import Timings
from chicorystack.settings.types import PickerName, RouterSettings

PLAIN_PICKERS = ("round_robin", "least_sent")


class RoutingPolicy:
    """How a router chooses targets for repeatable calls."""

    def __init__(self, clock, settings: RouterSettings, targets: TargetTable):
        self._clock = clock
        self._settings = settings
        self._targets = targets
        self._timings = Timings()
        make_picker = make_picker_factory(settings)
        self._picker = make_picker()
        self._queues = CallQueues(clock, targets, make_picker, self._timings)

    def make_attempts(self, attempt: Attempt) -> Attempts:
        """Returns the delivery strategy for repeatable calls."""
        if self._settings.picker in PLAIN_PICKERS:
            return PlainAttempts(
                self._clock, self._targets, attempt, self._picker
            )
        return RepeatableAttempts(
            self._clock, self._targets, attempt, self._queues, self._timings
        )

    def record_report(self, report: LoadReport) -> None:
        """Records a target's load report."""
        name = report["target"]
        target = self._targets.target_by_name.get(name)
        if target is None:
            return
        self._queues.health(target.service).record_report(name)
        self._targets.record_report(report, self._clock.seconds())

    def record_poll_failure(self, name: str) -> None:
        """Records that a target's agent did not respond to a poll."""
        target = self._targets.target_by_name.get(name)
        if target is not None:
            self._queues.health(target.service).record_failure(name)

    def record_response(self, url: str, answer: AnswerHeader) -> None:
        """Records the load reported in an agent's response."""
        name = self._targets.name_for_url(url)
        if name is not None:
            self._targets.update_load(
                name, answer["in_flight"], self._clock.seconds()
            )


def make_picker_factory(settings: RouterSettings) -> Callable[[], Picker]:
    """Returns a factory for the picker that the settings select."""
    data_centre = settings.data_centre
    factory_by_name: dict[PickerName, Callable[[], Picker]] = {
        "round_robin": RoundRobin,
        "least_sent": lambda: LeastOutstanding(data_centre),
        "sampled": lambda: SampledLeastLoaded(data_centre, random.Random()),
    }
    return factory_by_name[settings.picker]
