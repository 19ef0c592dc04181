"""Refuses calls of closed epochs and reports usage for settlement."""

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.agent.usage_table import HolderUsage
from chicorystack.budget.keeper.closures import (
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


class EpochFence:
    """Fences off calls that are paid under a closed epoch.

    Attributes:
        ledger: State of the stream of closures, as far as it has been read.
        ready: Whether the agent's own registration has been read and is valid.
        incarnation: Id of the agent's present incarnation.
    """

    def __init__(self, usage: HolderUsage):
        self._usage = usage
        self.ledger = ClosureLedger()
        self.ready = False
        self.incarnation = new_id()

    def renew(self) -> None:
        """Starts a new incarnation after this one was declared lost."""
        self.ready = False
        self.incarnation = new_id()

    def check(self, call: CallHeader) -> None:
        """Refuses a call whose epoch is closed.

        Raises:
            ApiError: `not_ready` until the closed epochs are known;
                `epoch_closed` if the call's epoch is closed.
        """
        if not self.ready:
            raise ApiError(
                "not_ready",
                "the agent has not yet read the closed epochs",
                retry_after_ms=defaults.RETRY_AFTER_MS,
            )
        closed = self.ledger.closed_by_shard.get(call["shard"], 0)
        if call["reserved"] and call["epoch"] <= closed:
            raise ApiError(
                "epoch_closed", f"epochs up to {closed} of the shard are closed"
            )

    async def close(self, query: ClosingQuery) -> ClosingReply:
        """Closes epochs and returns the usage of holders declared void."""
        shard, epoch = query["shard"], query["epoch"]
        self.ledger.close_epochs(shard, epoch)
        holders = set(query["holders"])
        return ClosingReply(
            incarnation=self.incarnation,
            running=self._usage.count_running(shard, epoch, holders),
            forgotten=self._usage.has_evicted(shard, epoch, holders),
            usage=self._usage.finished(shard, epoch, holders),
        )


class AgentRegistration:
    """Registers the agent in the log and follows the closures."""

    def __init__(
        self, reactor, log_client: LogClient, target: str, fence: EpochFence
    ):
        self._log_client = log_client
        self._target = target
        self._fence = fence
        self._follower = LogFollower(
            reactor,
            log_client,
            CLOSURES_STREAM,
            self._apply_entry,
            pause_s=defaults.CLOSURES_READ_PAUSE_S,
        )
        self._following = False
        self._register_loop = task.LoopingCall(self._register)
        self._register_loop.clock = reactor

    def start(self) -> None:
        """Registers now and at regular intervals.

        The fence is ready once the agent has read its own record.
        """
        self._register_loop.start(defaults.AGENT_REGISTRATION_INTERVAL_S)

    def _apply_entry(self, entry: LogEntry) -> None:
        ledger = self._fence.ledger
        ledger.apply(entry)
        if self._fence.incarnation in ledger.lost_by_incarnation:
            log.warning("the agent was declared lost; registering again")
            self._fence.renew()
            self._register()

    def _register(self) -> defer.Deferred:
        return defer.ensureDeferred(self._append_registration())

    async def _append_registration(self) -> None:
        record = AgentStarted(
            kind="agent_started",
            id=new_id(),
            target=self._target,
            incarnation=self._fence.incarnation,
        )
        offset = await self._log_client.append_until_acknowledged(
            CLOSURES_STREAM, record
        )
        if not self._following:
            # Only now, so that the first read already returns the record.
            self._following = True
            self._follower.start()
        await self._follower.delivered_up_to(offset)
        if record["incarnation"] != self._fence.incarnation:
            return
        if not self._fence.ready:
            log.info("closed epochs have been read")
        self._fence.ready = True
