"""Records of decisions with their causes, in bounded rings in memory.

Parts record with the process-wide `decisions`. Ordinary decisions (a call
went to a target) and notable ones (a refusal, a retry) have a ring each, so
that a busy router's ordinary traffic does not push out the refusals.
"""

import time
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple, TypedDict

from chicorystack import defaults

# Subject of what a process decides on itself, such as to leave.
VM_SUBJECT = "vm"


class Decision(NamedTuple):
    """One decision.

    Attributes:
        time: This VM's clock, in seconds since 1970.
        subject: What it is about: a call's key hash, `config`, `shard-N`,
            `budget:<id>`, or `vm` for the process itself.
        part: Which part decided.
        decision: What was decided, in a few words.
        cause: Why.
    """

    time: float
    subject: str
    part: str
    decision: str
    cause: str


class ExplainQuery(TypedDict):
    """Asks a process for its decisions.

    Attributes:
        subjects: Subjects, separated by commas.
    """

    subjects: str


class ExplainReply(TypedDict):
    """A process's decisions on the subjects asked for, in order of time."""

    process: str
    decisions: list[Decision]


class DecisionLog:
    """The newest decisions of one process."""

    def __init__(
        self,
        limit: int = defaults.DECISIONS_KEPT,
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
        """Records a refusal, a retry or a change of state."""
        cause = cause[: defaults.DECISION_CAUSE_MAX_CHARS]
        self._notable.append(
            Decision(self._now(), subject, part, decision, cause)
        )

    def about(self, subjects: set[str]) -> list[Decision]:
        """Returns the kept decisions on any of the subjects, oldest first."""
        found = (item for item in self._all() if item.subject in subjects)
        return sorted(found, key=lambda decision: decision.time)

    def _all(self) -> Iterator[Decision]:
        yield from self._ordinary
        yield from self._notable


decisions = DecisionLog()
