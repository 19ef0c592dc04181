"""Records of decisions with their causes, in ring buffers in memory.

All parts of a process record in the shared `decisions`. Ordinary decisions (a
call was sent to a target) and notable ones (a refusal, a retry) have separate
ring buffers, so that a busy router's ordinary traffic does not evict the
refusals.
"""

import time
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple, TypedDict

from chicorystack import defaults

# Subject of decisions about the process itself, such as to drain.
VM_SUBJECT = "vm"


class Decision(NamedTuple):
    """A decision of the process.

    Attributes:
        time: Time by this VM's clock, in seconds since 1970.
        subject: What the decision is about: a call's key hash, `config`,
            `shard-N`, `budget:<id>`, or `vm` for the process itself.
        part: Part of the program that decided.
        decision: What was decided, in a few words.
        cause: Reason for the decision.
    """

    time: float
    subject: str
    part: str
    decision: str
    cause: str


class ExplainQuery(TypedDict):
    """Query for the decisions of a process.

    Attributes:
        subjects: Subjects, separated by commas.
    """

    subjects: str


class ExplainReply(TypedDict):
    """A process's decisions on the queried subjects, oldest first."""

    process: str
    decisions: list[Decision]


class DecisionLog:
    """The most recent decisions of a process."""

    def __init__(
        self,
        limit: int = defaults.MAX_DECISIONS,
        now: Callable[[], float] = time.time,
    ):
        self._now = now
        self._ordinary: deque[Decision] = deque(maxlen=limit)
        self._notable: deque[Decision] = deque(maxlen=limit)

    def record(
        self, subject: str, part: str, decision: str, cause: str = ""
    ) -> None:
        """Records an ordinary decision."""
        self._ordinary.append(
            Decision(self._now(), subject, part, decision, cause)
        )

    def record_notable(
        self, subject: str, part: str, decision: str, cause: str
    ) -> None:
        """Records a refusal, a retry or a change of state.

        The cause is truncated to DECISION_CAUSE_MAX_CHARS.
        """
        cause = cause[: defaults.DECISION_CAUSE_MAX_CHARS]
        self._notable.append(
            Decision(self._now(), subject, part, decision, cause)
        )

    def find_by_subject(self, subjects: set[str]) -> list[Decision]:
        """Returns the recorded decisions on the subjects, oldest first."""
        matching = (item for item in self._all() if item.subject in subjects)
        return sorted(matching, key=lambda decision: decision.time)

    def _all(self) -> Iterator[Decision]:
        yield from self._ordinary
        yield from self._notable


decisions = DecisionLog()
