"""The stream of closures: which epochs are closed, which agents there are.

The one stream orders both. An agent serves only after it has read its own
`agent_started` record; so it either knows of a closure that stands before its
record, or the keeper that closes an epoch knows of the agent and asks it.
"""

from typing import Literal, NamedTuple, TypedDict

import msgspec

from chicorystack.budget.messages import RecordHead, Usage
from chicorystack.infrastructure.messages import LogEntry
from chicorystack.util import new_id

CLOSURES_STREAM = "closures"
# Stands for all agents whose records are not known any more.
EXPIRED = "those whose records have expired"


class EpochClosed(TypedDict):
    """Closes a shard's epochs: agents refuse calls paid under them.

    Attributes:
        kind: Always `epoch_closed`.
        id: The record's own id.
        shard: The shard.
        epoch: Newest epoch that is closed.
    """

    kind: Literal["epoch_closed"]
    id: str
    shard: int
    epoch: int


def epoch_closed(shard: int, epoch: int) -> EpochClosed:
    """Returns a record that closes a shard's epochs up to one."""
    return EpochClosed(
        kind="epoch_closed", id=new_id(), shard=shard, epoch=epoch
    )


class AgentStarted(TypedDict):
    """Says that an agent is there; appended again well before it expires.

    Attributes:
        kind: Always `agent_started`.
        id: The record's own id.
        target: Name of the target and its VM.
        incarnation: Id of this life of the agent's process.
    """

    kind: Literal["agent_started"]
    id: str
    target: str
    incarnation: str


class AgentGone(TypedDict):
    """Says that an agent's memory is lost; fields as in AgentStarted."""

    kind: Literal["agent_gone"]
    id: str
    target: str
    incarnation: str


ClosureRecord = EpochClosed | AgentStarted | AgentGone
RECORD_TYPE_BY_KIND: dict[str, type] = {
    "epoch_closed": EpochClosed,
    "agent_started": AgentStarted,
    "agent_gone": AgentGone,
}


class ClosingQuery(TypedDict):
    """Asks an agent to close epochs and to say what it knows of them.

    Attributes:
        shard: The shard.
        epoch: Newest epoch that is closed.
        holders: Holders that have not registered since; the keeper wants to
            know what they used.
    """

    shard: int
    epoch: int
    holders: list[str]


class AgedUsage(NamedTuple):
    """Usage that an agent remembers.

    Attributes:
        usage: The usage.
        reserved: Upper bound on it.
        age_s: Seconds since the run ended.
    """

    usage: Usage
    reserved: int
    age_s: float


class ClosingReply(TypedDict):
    """An agent's acknowledgement that it refuses the closed epochs.

    Attributes:
        incarnation: Id of this life of the agent's process.
        running: Number of the holders' runs, paid under the closed epochs,
            that go on.
        forgotten: Whether finished ones were forgotten.
        usage: Finished ones.
    """

    incarnation: str
    running: int
    forgotten: bool
    usage: list[AgedUsage]


class LostAgent(NamedTuple):
    """An agent's life whose memory is lost.

    Attributes:
        target: Name of the target.
        offset: Offset of the record that tells of it.
    """

    target: str
    offset: int


class ClosureLedger:
    """Folds the stream of closures.

    Attributes:
        closed_by_shard: Newest closed epoch by shard.
        incarnation_by_target: Present life of each agent.
        lost_by_incarnation: Agents' lives that ended with their memory.
        complete_from: Offset from which on no record is missing; those before
            had expired when they were to be read.
    """

    def __init__(self):
        self.closed_by_shard: dict[int, int] = {}
        self.incarnation_by_target: dict[str, str] = {}
        self.lost_by_incarnation: dict[str, LostAgent] = {}
        self.complete_from = 0
        self._next_offset = 0
        self._apply_by_kind = {
            "epoch_closed": self._apply_closed,
            "agent_started": self._apply_started,
            "agent_gone": self._apply_gone,
        }

    def apply(self, entry: LogEntry) -> None:
        """Takes the next entry of the stream."""
        if entry["offset"] != self._next_offset:
            self.complete_from = entry["offset"]
        self._next_offset = entry["offset"] + 1
        raw = entry["record"]
        kind = msgspec.json.decode(raw, type=RecordHead)["kind"]
        record = msgspec.json.decode(raw, type=RECORD_TYPE_BY_KIND[kind])
        self._apply_by_kind[kind](record, entry["offset"])

    def close(self, shard: int, epoch: int) -> None:
        """Closes a shard's epochs up to one; older orders change nothing."""
        closed = self.closed_by_shard.get(shard, 0)
        self.closed_by_shard[shard] = max(closed, epoch)

    def lost_since(self, offset: int) -> list[str]:
        """Returns targets whose agents' memory was lost after an offset."""
        if offset < self.complete_from:
            return [EXPIRED]
        lost = self.lost_by_incarnation.values()
        return sorted({life.target for life in lost if life.offset >= offset})

    def _apply_closed(self, record: EpochClosed, _offset: int) -> None:
        self.close(record["shard"], record["epoch"])

    def _apply_started(self, record: AgentStarted, offset: int) -> None:
        incarnation = record["incarnation"]
        if incarnation in self.lost_by_incarnation:
            return
        before = self.incarnation_by_target.get(record["target"])
        if before not in (None, incarnation):
            self._lose(record["target"], before, offset)
        self.incarnation_by_target[record["target"]] = incarnation

    def _apply_gone(self, record: AgentGone, offset: int) -> None:
        target = record["target"]
        if self.incarnation_by_target.get(target) == record["incarnation"]:
            del self.incarnation_by_target[target]
            self._lose(target, record["incarnation"], offset)

    def _lose(self, target: str, incarnation: str, offset: int) -> None:
        self.lost_by_incarnation[incarnation] = LostAgent(target, offset)
