"""Placement policy: the least predicted time to the first event."""

import random
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.gateway.call_predictions import CallPredictions
from chicorystack.gateway.messages import Call
from chicorystack.gateway.placement import PlacementPolicy
from chicorystack.gateway.targets import TargetEntry
from chicorystack.target_model.messages import Prediction


class _Option(NamedTuple):
    """A target that may get a call.

    Attributes:
        entry: The target.
        prediction: What it would do with the call.
        cost_s: Predicted time to the first event, and the delay of other calls
            while the target reads the prompt, in seconds.
    """

    entry: TargetEntry
    prediction: Prediction
    cost_s: float


class LeastPredicted:
    """Sends calls where their first event is predicted soonest.

    Calls with prompts compare the first targets in the ranking of their
    session, whose caches probably have most of their prompt, with some others
    at random. Those that take prompts of other lengths have to be better by a
    factor. Calls without prompts compare all targets. One of those that are
    about equal is chosen at random, as other routers read the same reports.

    Services whose targets report no pace are left to another policy.
    """

    def __init__(
        self,
        data_centre: str,
        predictions: CallPredictions,
        otherwise: PlacementPolicy,
    ):
        self._data_centre = data_centre
        self._predictions = predictions
        self._otherwise = otherwise

    def choose(
        self, call: Call, candidates: list[TargetEntry]
    ) -> TargetEntry | None:
        """See PlacementPolicy."""
        if not candidates or not self._predictions.in_force(call.service):
            return self._otherwise.choose(call, candidates)
        options = self._options(call, candidates)
        options = [o for o in options if o.prediction.fits_memory] or options
        least_s = min(option.cost_s for option in options)
        bound_s = (
            least_s * (1 + defaults.PREDICTED_EQUAL_FRACTION)
            + defaults.PREDICTED_EQUAL_S
        )
        near = [o.entry for o in options if o.cost_s <= bound_s]
        return random.choice(near)

    def predict_best(
        self, call: Call, candidates: list[TargetEntry]
    ) -> Prediction | None:
        """Returns the prediction for the best of the compared candidates.

        Returns:
            The least predicted time among those with room in their memory, or
            among all if none has; None if there is no candidate or the
            service's targets report no pace.
        """
        if not candidates or not self._predictions.in_force(call.service):
            return None
        options = self._options(call, candidates)
        return min(
            (option.prediction for option in options),
            key=lambda found: (not found.fits_memory, found.first_event_s),
        )

    def _options(
        self, call: Call, candidates: list[TargetEntry]
    ) -> list[_Option]:
        if not call.request.prompt_parts:
            return [self._option(call, entry, False) for entry in candidates]
        options = self._bounded_options(call, candidates)
        if any(option.prediction.fits_memory for option in options):
            return options
        return [self._option(call, entry, False) for entry in candidates]

    def _bounded_options(
        self, call: Call, candidates: list[TargetEntry]
    ) -> list[_Option]:
        ranked, others = self._predictions.rank(call, candidates)
        first = ranked[: defaults.PREDICTED_RANKED_TARGETS]
        rest = ranked[defaults.PREDICTED_RANKED_TARGETS :]
        preferred = first + _sample(rest)
        options = [
            self._option(call, entry, entry is ranked[0]) for entry in preferred
        ]
        for entry in _sample(others):
            option = self._option(call, entry, False)
            cost_s = option.cost_s * defaults.OTHER_LENGTHS_COST_FACTOR
            options.append(option._replace(cost_s=cost_s))
        return options

    def _option(self, call: Call, entry: TargetEntry, is_home: bool) -> _Option:
        prediction = self._predictions.predict(call, entry, is_home)
        cost_s = (
            prediction.first_event_s
            + defaults.READING_COST_FACTOR * prediction.reading_s
        )
        if entry.zone != self._data_centre:
            cost_s += defaults.REMOTE_ROUND_TRIP_S
        return _Option(entry, prediction, cost_s)


def _sample(entries: list[TargetEntry]) -> list[TargetEntry]:
    count = min(defaults.PREDICTED_RANDOM_TARGETS, len(entries))
    return random.sample(entries, count)
