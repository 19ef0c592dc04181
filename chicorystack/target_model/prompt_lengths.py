"""Divides a service's targets between long and short prompts.

A long prompt delays the first event of all calls behind it, and a router learns
of those that other routers sent only once their answers arrive. Long prompts
therefore prefer one part of the targets, short ones the other part. All routers
order the targets alike, so that their parts agree without messages. The size of
the parts follows the measured times: see docs/design/prompt-lengths.md.
"""

import functools
from collections.abc import Sequence
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.gateway.targets import TargetEntry
from chicorystack.target_model.moving_average import MovingAverage
from chicorystack.util import stable_hash


class Division(NamedTuple):
    """Targets by what prompts of a length prefer.

    Attributes:
        preferred: Targets for prompts of this length.
        others: The other targets.
    """

    preferred: list[TargetEntry]
    others: list[TargetEntry]


class PromptLengths:
    """Lengths of a service's prompts by kind, and how well they are served.

    A kind is the calls of one route. Whether a prompt is long depends on its
    kind rather than on its own length, so that a session stays at its targets
    as it grows and all routers agree.
    """

    def __init__(self):
        self._tokens_by_kind: dict[str, MovingAverage] = {}
        gain = defaults.LONG_SHARE_GAIN
        # Tokens to read of a mean call, and those of them in long prompts.
        self._tokens = MovingAverage(1.0, gain)
        self._long_tokens = MovingAverage(0.5, gain)
        # Time to the first event of short prompts, relative to the objective.
        self._used_by_short = MovingAverage(0.0, gain)

    @property
    def long_fraction(self) -> float:
        """Fraction of the targets that long prompts prefer.

        It grows with their share of the tokens to read and shrinks while short
        prompts are answered late. It has no state of its own: routers that
        measure the same divide the targets alike.
        """
        share = self._long_tokens.value / self._tokens.value
        late = self._used_by_short.value - defaults.SHORT_USED_OBJECTIVE
        fraction = (
            defaults.LONG_FRACTION_BASE
            + defaults.LONG_FRACTION_PER_SHARE * share
            - defaults.LONG_FRACTION_PER_LATENESS * max(0.0, late)
        )
        return max(fraction, defaults.LONG_FRACTION_MIN)

    def is_long(self, kind: str) -> bool:
        """Returns whether prompts of a kind are long for their service."""
        means = [mean.value for mean in self._tokens_by_kind.values()]
        if kind not in self._tokens_by_kind:
            return False
        shortest, longest = min(means), max(means)
        if longest < shortest * defaults.LONG_PROMPT_MIN_RATIO:
            return False
        middle = (shortest * longest) ** 0.5
        return self._tokens_by_kind[kind].value > middle

    def record_prompt(
        self, kind: str, tokens: int, uncached_tokens: int
    ) -> None:
        """Counts a prompt.

        Args:
            kind: Its kind.
            tokens: Its length.
            uncached_tokens: Tokens of it that the target has to read.
        """
        mean = self._tokens_by_kind.get(kind)
        if mean is None:
            mean = self._tokens_by_kind[kind] = MovingAverage(tokens)
        mean.add(tokens)
        self._tokens.add(uncached_tokens)
        self._long_tokens.add(uncached_tokens if self.is_long(kind) else 0)

    def record_first_event(self, kind: str, used_objective: float) -> None:
        """Counts a measured time to the first event.

        Args:
            kind: Kind of the prompt.
            used_objective: The time, as a multiple of the call's objective.
        """
        if not self.is_long(kind):
            limited = min(used_objective, defaults.USED_OBJECTIVE_MAX)
            self._used_by_short.add(limited)

    def divide(self, kind: str, targets: Sequence[TargetEntry]) -> Division:
        """Divides targets for a prompt of a kind."""
        means = [mean.value for mean in self._tokens_by_kind.values()]
        if len(targets) < 2 or max(means, default=0.0) < (
            min(means, default=0.0) * defaults.LONG_PROMPT_MIN_RATIO
        ):
            return Division([*targets], [])
        ordered = sorted(targets, key=lambda entry: _place(entry.id))
        count = round(self.long_fraction * len(ordered))
        count = min(max(count, 1), len(ordered) - 1)
        for_long, for_short = ordered[:count], ordered[count:]
        if self.is_long(kind):
            return Division(for_long, for_short)
        return Division(for_short, for_long)


@functools.lru_cache(maxsize=defaults.MAX_REMOVED_TARGETS)
def _place(target_id: str) -> int:
    """Returns a target's place in the order that all routers share."""
    return stable_hash(f"prompt-lengths\0{target_id}")
