"""The stream of closures: the closed epochs of shards, and the agents.

Both are in one stream so that they are ordered. An agent serves only after it
has read its own `agent_started` record. So it has read every closure before
that record, and a keeper that writes a later closure knows of the agent and
queries it.
"""

from typing import Literal, NamedTuple, TypedDict

from chicorystack.budget.keeper.messages import RecordHeader, Usage
from chicorystack.decoding import decode_json
from chicorystack.infrastructure.messages import LogEntry
from chicorystack.util import new_id

CLOSURES_STREAM = "closures"
# Shown in place of the names of agents whose records have expired.
EXPIRED_AGENTS = "those whose records have expired"


class EpochClosed(TypedDict):
    """Closes epochs of a shard: agents refuse calls paid with their tokens.

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
    """Returns a record that closes a shard's epochs up to `epoch`."""
    return EpochClosed(
        kind="epoch_closed", id=new_id(), shard=shard, epoch=epoch
    )


class AgentStarted(TypedDict):
    """Announces an agent; appended again well before the record expires.

    Attributes:
        kind: Always `agent_started`.
        id: The record's own id.
        target: Name of the target and its VM.
        incarnation: Id of the agent's incarnation, new after a restart or
            after its memory was declared lost.
    """

    kind: Literal["agent_started"]
    id: str
    target: str
    incarnation: str


class AgentGone(TypedDict):
    """Declares an agent's memory lost; fields as in AgentStarted."""

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
    """Asks an agent to close epochs and report usage paid with their tokens.

    Attributes:
        shard: The shard.
        epoch: Newest epoch that is closed.
        holders: Holders declared void, whose usage the agent reports.
    """

    shard: int
    epoch: int
    holders: list[str]


class AgedUsage(NamedTuple):
    """Usage of a finished run, as an agent has recorded it.

    Attributes:
        usage: The usage.
        reserved: Tokens reserved for the run, an upper bound on its usage.
        age_s: Seconds since the run ended.
    """

    usage: Usage
    reserved: int
    age_s: float


class ClosingReply(TypedDict):
    """An agent's acknowledgement that it refuses calls of closed epochs.

    Attributes:
        incarnation: Id of the agent's incarnation, new after a restart or
            after its memory was declared lost.
        running: Number of the holders' runs that were paid with tokens of
            the closed epochs and have not ended.
        forgotten: Whether usage of their finished runs has been dropped.
        usage: Usage of their finished runs.
    """

    incarnation: str
    running: int
    forgotten: bool
    usage: list[AgedUsage]


class LostIncarnation(NamedTuple):
    """An agent incarnation whose memory is lost.

    Attributes:
        target: Name of the target.
        offset: Offset of the record that declares the loss or announces the
            next incarnation.
    """

    target: str
    offset: int


class ClosureLedger:
    """State replayed from the stream of closures.

    Attributes:
        closed_by_shard: Newest closed epoch by shard.
        incarnation_by_target: Current incarnation of each agent.
        lost_by_incarnation: Agent incarnations whose memory is lost.
        complete_from: Offset from which no record is missing; older records
            had expired before they were read.
    """

    def __init__(self):
        self.closed_by_shard: dict[int, int] = {}
        self.incarnation_by_target: dict[str, str] = {}
        self.lost_by_incarnation: dict[str, LostIncarnation] = {}
        self.complete_from = 0
        self._next_offset = 0
        self._apply_by_kind = {
            "epoch_closed": self._apply_epoch_closed,
            "agent_started": self._apply_agent_started,
            "agent_gone": self._apply_agent_gone,
        }

    def apply(self, entry: LogEntry) -> None:
        """Applies the next entry of the stream."""
        if entry["offset"] != self._next_offset:
            self.complete_from = entry["offset"]
        self._next_offset = entry["offset"] + 1
        raw = entry["record"]
        kind = decode_json(raw, RecordHeader)["kind"]
        record = decode_json(raw, RECORD_TYPE_BY_KIND[kind])
        self._apply_by_kind[kind](record, entry["offset"])

    def close_epochs(self, shard: int, epoch: int) -> None:
        """Closes a shard's epochs up to `epoch`, if not closed already."""
        closed = self.closed_by_shard.get(shard, 0)
        self.closed_by_shard[shard] = max(closed, epoch)

    def lost_since(self, offset: int) -> list[str]:
        """Returns targets whose agents' memory was lost at or after an offset.

        Returns only `EXPIRED_AGENTS` if records from the offset on are missing.
        """
        if offset < self.complete_from:
            return [EXPIRED_AGENTS]
        lost = self.lost_by_incarnation.values()
        return sorted(
            {agent.target for agent in lost if agent.offset >= offset}
        )

    def _apply_epoch_closed(self, record: EpochClosed, _offset: int) -> None:
        self.close_epochs(record["shard"], record["epoch"])

    def _apply_agent_started(self, record: AgentStarted, offset: int) -> None:
        incarnation = record["incarnation"]
        if incarnation in self.lost_by_incarnation:
            return
        previous = self.incarnation_by_target.get(record["target"])
        if previous not in (None, incarnation):
            self._record_lost(record["target"], previous, offset)
        self.incarnation_by_target[record["target"]] = incarnation

    def _apply_agent_gone(self, record: AgentGone, offset: int) -> None:
        target = record["target"]
        if self.incarnation_by_target.get(target) == record["incarnation"]:
            del self.incarnation_by_target[target]
            self._record_lost(target, record["incarnation"], offset)

    def _record_lost(self, target: str, incarnation: str, offset: int) -> None:
        self.lost_by_incarnation[incarnation] = LostIncarnation(target, offset)
