"""How busy each target is: this router's own calls, and what targets tell."""

from collections import Counter
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.gateway.messages import LoadSample


class _Told(NamedTuple):
    """A target's own word.

    Attributes:
        others: Requests there that are not from this router.
        slots: Requests that it can run at once.
        at: Time on the clock when it came.
    """

    others: int
    slots: int
    at: float


class TargetLoads:
    """Loads by target id.

    Attributes:
        open_by_id: Calls of this router that a target has been given.
    """

    def __init__(self, clock):
        self._clock = clock
        self._told_by_id: dict[str, _Told] = {}
        self.open_by_id: Counter[str] = Counter()

    def note_begun(self, target_id: str) -> None:
        """Counts a call that a target is given."""
        self.open_by_id[target_id] += 1

    def note_ended(self, target_id: str) -> None:
        """Counts the end of a call."""
        self.open_by_id[target_id] -= 1
        if self.open_by_id[target_id] <= 0:
            del self.open_by_id[target_id]

    def note_sample(self, target_id: str, sample: LoadSample) -> None:
        """Takes a target's word, which counts this router's calls too."""
        there = sample.running + sample.waiting
        others = max(0, there - self.open_by_id[target_id])
        self._told_by_id[target_id] = _Told(
            others, sample.slots, self._clock.seconds()
        )

    def forget(self, target_id: str) -> None:
        """Drops what an incarnation that is gone has told."""
        self._told_by_id.pop(target_id, None)

    def load(self, target_id: str) -> float:
        """Returns calls there: own ones, and others as last told.

        What was told loses weight with its age, as the others' calls end.
        """
        own = self.open_by_id[target_id]
        told = self._told_by_id.get(target_id)
        if told is None:
            return own
        age_s = self._clock.seconds() - told.at
        return own + told.others * 0.5 ** (age_s / defaults.LOAD_HALF_LIFE_S)
