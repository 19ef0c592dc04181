"""Estimates which parts of prompts are cached at which target."""

from collections import OrderedDict
from collections.abc import Sequence

from chicorystack import defaults


class PrefixCaches:
    """Prompt parts that this router's calls have brought to targets.

    A part counts as cached only if all parts before it are.
    """

    def __init__(self, clock):
        self._clock = clock
        # Clock time of the last use by target and part, least recent first.
        self._used_at: OrderedDict[tuple[str, str], float] = OrderedDict()

    def record(self, target_id: str, part_ids: Sequence[str]) -> None:
        """Records that a target has read a prompt."""
        now = self._clock.seconds()
        for part_id in part_ids:
            self._used_at[target_id, part_id] = now
            self._used_at.move_to_end((target_id, part_id))
        while len(self._used_at) > defaults.PREFIX_MAX_KNOWN_PARTS:
            self._used_at.popitem(last=False)

    def cached_parts(self, target_id: str, part_ids: Sequence[str]) -> int:
        """Returns how many parts, from the first on, are known as cached."""
        oldest = self._clock.seconds() - defaults.PREFIX_KEEP_S
        for count, part_id in enumerate(part_ids):
            if self._used_at.get((target_id, part_id), oldest) <= oldest:
                return count
        return len(part_ids)

    def remove(self, target_id: str) -> None:
        """Discards what is known of a target that has been removed."""
        for key in [key for key in self._used_at if key[0] == target_id]:
            del self._used_at[key]
