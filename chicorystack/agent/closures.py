"""An agent's part in settlement: refuses closed epochs, reports usage."""

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.agent.usage_table import HolderUsage
from chicorystack.budget.closures import (
    CLOSURES_STREAM,
    AgentStarted,
    ClosingQuery,
    ClosingReply,
    ClosureLedger,
)
from chicorystack.calls.messages import CallHeader
from chicorystack.errors import ApiError
from chicorystack.infrastructure.log_client import LogClient, LogFollower
from chicorystack.infrastructure.messages import LogEntry
from chicorystack.observe.logs import part_logger
from chicorystack.util import new_id

log = part_logger("closures")


class EpochGate:
    """Decides whether a call's epoch may still spend.

    Attributes:
        ledger: The stream of closures, as far as it has been read.
        ready: Whether the agent's own record has been read and stands.
        incarnation: Id of this life of the agent's process.
    """

    def __init__(self, usage: HolderUsage):
        self._usage = usage
        self.ledger = ClosureLedger()
        self.ready = False
        self.incarnation = new_id()

    def renew(self) -> None:
        """Begins another life once this one is taken for lost."""
        self.ready = False
        self.incarnation = new_id()

    def check(self, call: CallHeader) -> None:
        """Refuses a call that may not spend.

        Raises:
            ApiError: `not_ready` before it is known what is closed;
                `epoch_closed` where the call's epoch is closed.
        """
        if not self.ready:
            raise ApiError(
                "not_ready",
                "the agent has not read which epochs are closed",
                retry_after_ms=defaults.RETRY_AFTER_MS,
            )
        closed = self.ledger.closed_by_shard.get(call["shard"], 0)
        if call["reserved"] and call["epoch"] <= closed:
            raise ApiError(
                "epoch_closed", f"epochs up to {closed} of the shard are closed"
            )

    async def close(self, query: ClosingQuery) -> ClosingReply:
        """Closes epochs and reports what routers that are gone have used."""
        shard, epoch = query["shard"], query["epoch"]
        self.ledger.close_epochs(shard, epoch)
        holders = set(query["holders"])
        return ClosingReply(
            incarnation=self.incarnation,
            running=self._usage.count_running(shard, epoch, holders),
            forgotten=self._usage.forgotten(shard, epoch, holders),
            usage=self._usage.finished(shard, epoch, holders),
        )


class AgentRegistration:
    """Says in the log that the agent is there, and follows the closures."""

    def __init__(
        self, reactor, log_client: LogClient, target: str, gate: EpochGate
    ):
        self._log_client = log_client
        self._target = target
        self._gate = gate
        self._follower = LogFollower(
            reactor,
            log_client,
            CLOSURES_STREAM,
            self._deliver,
            pause_s=defaults.CLOSURES_READ_PAUSE_S,
        )
        self._following = False
        self._loop = task.LoopingCall(self._register)
        self._loop.clock = reactor

    def start(self) -> None:
        """Begins; the gate is ready once the own record has been read."""
        self._loop.start(defaults.AGENT_PRESENT_INTERVAL_S)

    def _deliver(self, entry: LogEntry) -> None:
        ledger = self._gate.ledger
        ledger.apply(entry)
        if self._gate.incarnation in ledger.lost_by_incarnation:
            log.warning("was taken for lost; registers anew")
            self._gate.renew()
            self._register()

    def _register(self) -> defer.Deferred:
        return defer.ensureDeferred(self._append_presence())

    async def _append_presence(self) -> None:
        record = AgentStarted(
            kind="agent_started",
            id=new_id(),
            target=self._target,
            incarnation=self._gate.incarnation,
        )
        offset = await self._log_client.append_until_acknowledged(
            CLOSURES_STREAM, record
        )
        if not self._following:
            # So that the first read finds the record.
            self._following = True
            self._follower.start()
        await self._follower.delivered_up_to(offset)
        if record["incarnation"] != self._gate.incarnation:
            return
        if not self._gate.ready:
            log.info("has read which epochs are closed")
        self._gate.ready = True
