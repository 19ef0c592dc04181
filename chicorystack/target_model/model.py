"""Model of all targets: predicts the time to a call's first event."""

from collections.abc import Callable

from chicorystack import defaults
from chicorystack.gateway.targets import TargetEntry
from chicorystack.target_model.messages import (
    CallNeeds,
    Prediction,
    TargetLoadView,
)
from chicorystack.target_model.service_figures import ServiceFigures
from chicorystack.target_model.target_state import (
    OpenCall,
    TargetState,
    TargetView,
    Work,
)


class TargetModel:
    """Predicts what targets would do with a call sent now."""

    def __init__(self, clock, memory_tokens: Callable[[str], int | None]):
        """Starts without knowledge.

        Args:
            clock: The reactor.
            memory_tokens: Returns the tokens of KV cache that each target of a
                service has; None if the service has no such limit.
        """
        self._clock = clock
        self._memory_tokens = memory_tokens
        self._state_by_id: dict[str, TargetState] = {}
        self._figures_by_service: dict[str, ServiceFigures] = {}
        self._services_with_pace: set[str] = set()

    def reports_pace(self, service: str) -> bool:
        """Returns whether a target of the service has reported its pace."""
        return service in self._services_with_pace

    def predict(self, target: TargetEntry, needs: CallNeeds) -> Prediction:
        """Returns the prediction for a call sent to a target now."""
        figures = self._figures(target.service)
        state = self._state(target)
        view = state.view()
        work = _work(view, state.slots or target.slots, figures, needs)
        read_s = figures.first_event.coefficients[1] * view.scale / 1000
        return Prediction(
            _predicted_s(view, figures, needs, work) + view.delay_s,
            self._fits_memory(target, view, needs),
            needs.uncached_tokens * read_s,
        )

    def record_start(self, target: TargetEntry, needs: CallNeeds) -> OpenCall:
        """Records that a call is sent to a target."""
        figures = self._figures(target.service)
        state = self._state(target)
        view = state.view()
        work = _work(view, state.slots or target.slots, figures, needs)
        call = OpenCall(
            needs,
            work,
            view.scale,
            _predicted_s(view, figures, needs, work),
            self._clock.seconds(),
        )
        state.open_calls.add(call)
        state.uncached_tokens.add(needs.uncached_tokens)
        return call

    def record_first_event(self, target: TargetEntry, call: OpenCall) -> None:
        """Records that the first event of a response arrived."""
        if call.first_event_s is not None:
            return
        call.first_event_s = self._clock.seconds() - call.started_at
        self._learn(target, call, call.first_event_s)

    def record_failure(self, target: TargetEntry) -> None:
        """Records that a target was unreachable or broke off a response."""
        self._state(target).record_failure()

    def record_end(self, target: TargetEntry, call: OpenCall) -> None:
        """Records that a call at a target has ended."""
        state = self._state_by_id.get(target.id)
        if state is None:
            return
        state.open_calls.discard(call)
        duration_s = self._clock.seconds() - call.started_at
        if call.first_event_s is not None:
            figures = self._figures(target.service)
            figures.held_tokens.add(call.needs, duration_s)
            state.held_tokens.add(call.needs, duration_s)
            if duration_s > 0:
                state.reading_fraction.add(call.first_event_s / duration_s)
        elif duration_s > call.predicted_s:
            state.correct_speed(call.predicted_s, duration_s)

    def record_report(
        self, target: TargetEntry, report: TargetLoadView
    ) -> None:
        """Records a target's report of its load."""
        self._state(target).record_report(report)
        if report.pace is not None:
            self._services_with_pace.add(target.service)

    def remove(self, target_id: str) -> None:
        """Discards what is known of an incarnation that has been removed."""
        self._state_by_id.pop(target_id, None)

    def _state(self, target: TargetEntry) -> TargetState:
        state = self._state_by_id.get(target.id)
        if state is None:
            state = self._state_by_id[target.id] = TargetState(self._clock)
        return state

    def _figures(self, service: str) -> ServiceFigures:
        figures = self._figures_by_service.get(service)
        if figures is None:
            figures = self._figures_by_service[service] = ServiceFigures()
        return figures

    def _learn(
        self, target: TargetEntry, call: OpenCall, measured_s: float
    ) -> None:
        figures = self._figures(target.service)
        limit_s = call.predicted_s * defaults.MODEL_OUTLIER_FACTOR
        usual_s = min(measured_s, limit_s) / call.scale
        regression = figures.regression(call.needs)
        regression.learn(call.work.features, usual_s - call.work.wait_s)
        self._state(target).correct_speed(call.predicted_s, measured_s)

    def _fits_memory(
        self, target: TargetEntry, view: TargetView, needs: CallNeeds
    ) -> bool:
        capacity = self._memory_tokens(target.service)
        if not capacity:
            return True
        others = view.most_others
        # The calls of others are estimated from those of the service, from
        # those that ended at this target, as long prompts prefer some targets,
        # and from own ones there, as a burst has not ended yet.
        own = view.own_held_tokens
        held = own + max(
            self._figures(target.service).held_tokens.estimate(others),
            self._state(target).held_tokens.estimate(others),
            own / max(1, view.own_calls) * others,
        )
        # Other routers may have sent more since the report.
        age = min(1.0, view.report_age_s / defaults.MODEL_REPORT_OLD_S)
        reserve = (
            defaults.MODEL_MEMORY_RESERVE
            + age * defaults.MODEL_MEMORY_RESERVE_OLD
        )
        return held + needs.held_tokens <= capacity * (1.0 - reserve)


def _predicted_s(
    view: TargetView, figures: ServiceFigures, needs: CallNeeds, work: Work
) -> float:
    """Returns the predicted time to the first event, in seconds."""
    usual_s = figures.regression(needs).value(work.features) + work.wait_s
    return max(defaults.MODEL_MIN_S, usual_s * view.scale)


def _work(
    view: TargetView, slots: int, figures: ServiceFigures, needs: CallNeeds
) -> Work:
    """Returns the work at a target until a call's first event."""
    slots = max(1, slots)
    queued_per_slot = max(0.0, view.calls + 1 - slots) / slots
    if not needs.prompt_tokens:
        return Work((1.0 + queued_per_slot,))
    # Calls that are being read have half of their prompt left on average.
    running = view.others - view.unread_calls
    unread_calls = view.unread_calls + running * view.reading_fraction / 2
    others_tokens = unread_calls * view.uncached_tokens
    tokens = needs.uncached_tokens + view.own_unread_tokens + others_tokens
    features = (1.0, tokens / 1000, min(view.calls, slots))
    return Work(features, queued_per_slot * figures.held_tokens.duration_s)
