"""Connects calls with the model of targets."""

from collections import defaultdict
from collections.abc import Callable, Iterable

from chicorystack.gateway.attempt import AttemptOutcome, AttemptResult
from chicorystack.gateway.messages import Call, LoadSample
from chicorystack.gateway.model import GatewayConfig
from chicorystack.gateway.placement import rank_targets
from chicorystack.gateway.targets import TargetEntry
from chicorystack.observe.events import emit
from chicorystack.observe.exposition import first_event_ratio
from chicorystack.target_model.messages import (
    CallNeeds,
    Prediction,
    TargetLoadView,
)
from chicorystack.target_model.model import TargetModel
from chicorystack.target_model.prefix_caches import PrefixCaches
from chicorystack.target_model.prompt_lengths import Division, PromptLengths
from chicorystack.target_model.target_state import OpenCall


class CallPredictions:
    """Predictions for calls, from what this router's calls have shown.

    Attributes:
        model: The model of the targets.
    """

    def __init__(self, clock, config: Callable[[], GatewayConfig]):
        self._clock = clock
        self._config = config
        self._caches = PrefixCaches(clock)
        # By the identity of the request, which is the same object in all
        # attempts of a call; a call has one attempt at a time.
        self._open_by_request: dict[int, OpenCall] = {}
        self._lengths_by_service: defaultdict[str, PromptLengths] = defaultdict(
            PromptLengths
        )
        self.model = TargetModel(clock, self._memory_tokens)

    def in_force(self, service: str) -> bool:
        """Returns whether calls of a service are placed by predictions."""
        return self.model.reports_pace(service)

    def rank(self, call: Call, targets: list[TargetEntry]) -> Division:
        """Divides targets by the length of a call's prompt.

        Returns:
            Targets that its length prefers, in the order in which its session
            prefers them, and the others.
        """
        lengths = self._lengths_by_service[call.service]
        division = lengths.divide(call.route.name, targets)
        ranked = rank_targets(call, division.preferred)
        return Division(ranked, division.others)

    def needs(
        self, call: Call, target: TargetEntry, is_home: bool
    ) -> CallNeeds:
        """Returns what a call needs at a target.

        Args:
            call: The call.
            target: The target.
            is_home: Whether the target is the first in the ranking of the
                call's session, where the session probably ran before.
        """
        limits = call.request.token_limits
        if limits is None:
            return CallNeeds()
        parts = call.request.prompt_parts
        known = self._caches.cached_parts(target.id, [p.id for p in parts])
        cached_count = max(known, _probably_cached(len(parts), is_home))
        cached = sum(part.tokens for part in parts[:cached_count])
        uncached = max(0, limits.prompt - cached)
        return CallNeeds(limits.prompt, uncached, limits.output)

    def predict(
        self, call: Call, target: TargetEntry, is_home: bool
    ) -> Prediction:
        """Returns the prediction for a call at a target."""
        return self.model.predict(target, self.needs(call, target, is_home))

    def record_start(
        self, call: Call, target: TargetEntry, others: Iterable[TargetEntry]
    ) -> None:
        """Records that a call is sent to a target.

        Args:
            call: The call.
            target: The target.
            others: All targets of the service.
        """
        is_home = False
        if self.in_force(call.service) and call.request.prompt_parts:
            is_home = target == self.rank(call, [*others]).preferred[0]
        needs = self.needs(call, target, is_home)
        if needs.prompt_tokens:
            lengths = self._lengths_by_service[call.service]
            lengths.record_prompt(
                call.route.name, needs.prompt_tokens, needs.uncached_tokens
            )
        opened = self.model.record_start(target, needs)
        self._open_by_request[id(call.request)] = opened

    def record_first_event(self, call: Call, target: TargetEntry) -> None:
        """Records that the first event of a call's response arrived."""
        opened = self._open_by_request.get(id(call.request))
        if opened is None or opened.first_event_s is not None:
            return
        self.model.record_first_event(target, opened)
        parts = call.request.prompt_parts
        self._caches.record(target.id, [part.id for part in parts])
        if self.in_force(call.service):
            self._measure(call, opened)

    def _measure(self, call: Call, opened: OpenCall) -> None:
        if opened.predicted_s > 0:
            ratio = opened.first_event_s / opened.predicted_s
            first_event_ratio.labels(call.service).observe(ratio)
        if opened.needs.prompt_tokens and call.route.objective_s > 0:
            used_objective = opened.first_event_s / call.route.objective_s
            self._lengths_by_service[call.service].record_first_event(
                call.route.name, used_objective
            )

    def record_end(self, call: Call, target: TargetEntry) -> None:
        """Records that an attempt of a call has ended."""
        opened = self._open_by_request.pop(id(call.request), None)
        if opened is not None:
            self.model.record_end(target, opened)

    def record_result(self, target: TargetEntry, result: AttemptResult) -> None:
        """Records how an attempt ended."""
        if (
            result.outcome
            in (AttemptOutcome.UNREACHABLE, AttemptOutcome.BROKEN)
            or result.connection_lost
        ):
            self.model.record_failure(target)

    def record_report(self, target: TargetEntry, sample: LoadSample) -> None:
        """Records a load that a target has reported."""
        was_in_force = self.in_force(target.service)
        now = self._clock.seconds()
        self.model.record_report(target, TargetLoadView(*sample, now))
        if not was_in_force and self.in_force(target.service):
            emit("target_model", "in_force", service=target.service)

    def remove(self, entry: TargetEntry) -> None:
        """Discards what is known of an incarnation that has been removed."""
        self.model.remove(entry.id)
        self._caches.remove(entry.id)

    def _memory_tokens(self, service: str) -> int | None:
        spec = self._config().service_by_name.get(service)
        if spec is None or spec.engine is None:
            return None
        return spec.engine.memory_tokens


def _probably_cached(parts: int, is_home: bool) -> int:
    """Returns how many parts of a prompt a target probably has cached.

    The first part is shared by many sessions and cached nearly everywhere. The
    home of a session has read the part that identifies it, and all but the
    last, which may be new with this request.
    """
    if not is_home:
        return min(1, parts - 1)
    return max(min(2, parts), parts - 1)
