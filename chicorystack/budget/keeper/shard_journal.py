"""A keeper's access to the log: reads and appends for one shard."""

from collections.abc import Callable

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget.keeper.closures import CLOSURES_STREAM, ClosureLedger
from chicorystack.errors import ApiError
from chicorystack.infrastructure.log_client import (
    AppendPacer,
    LogClient,
    LogFollower,
)
from chicorystack.observe.logs import part_logger
from chicorystack.web.client import UnreachableError

log = part_logger("keeper")


class ClosureFollower:
    """Follows the stream of closures for all shards of a router.

    Attributes:
        ledger: State replayed from the stream.
        follower: Reader of the stream.
    """

    def __init__(self, reactor, log_client: LogClient):
        self.ledger = ClosureLedger()
        self.follower = LogFollower(
            reactor, log_client, CLOSURES_STREAM, self.ledger.apply
        )


class ShardJournal:
    """Appends to a shard's stream or the stream of closures, and reads back.

    All shards of a router share its append rate.

    Attributes:
        follower: Reader of the shard's stream.
    """

    def __init__(
        self,
        log_client: LogClient,
        pacer: AppendPacer,
        follower: LogFollower,
        closures: LogFollower,
    ):
        self._log_client = log_client
        self._pacer = pacer
        self._closures_follower = closures
        self.follower = follower

    async def append_and_read(
        self, stream: str, make_record: Callable[[], object]
    ) -> None:
        """Appends a record and waits until this process has read it back."""
        await self._pacer.wait_for_turn()
        offset = await self._log_client.append_until_acknowledged(
            stream, make_record()
        )
        is_closure = stream == CLOSURES_STREAM
        follower = self._closures_follower if is_closure else self.follower
        await follower.delivered_up_to(offset)


class StreamRefresher:
    """Reads a stream to its end before a request is refused.

    Concurrent callers share a read, and reads begin at least
    `REFRESH_MIN_INTERVAL_S` apart.
    """

    def __init__(self, reactor, log_client: LogClient, follower: LogFollower):
        self._reactor = reactor
        self._log_client = log_client
        self._follower = follower
        self._next_read_at = 0.0
        self._waiters: list[defer.Deferred[None]] = []

    async def refresh(self) -> None:
        """Waits until all entries now in the stream have been delivered.

        Returns without them if the log does not answer in time.
        """
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiters.append(waiter)
        if len(self._waiters) == 1:
            defer.ensureDeferred(self._run_read())
        await waiter

    async def _run_read(self) -> None:
        delay_s = max(0.0, self._next_read_at - self._reactor.seconds())
        await task.deferLater(self._reactor, delay_s)
        self._next_read_at = (
            self._reactor.seconds() + defaults.REFRESH_MIN_INTERVAL_S
        )
        # Callers from here on need a newer read.
        waiters, self._waiters = self._waiters, []
        try:
            await self._read_to_end()
        finally:
            for waiter in waiters:
                if not waiter.called:
                    waiter.callback(None)

    async def _read_to_end(self) -> None:
        try:
            end_offset = await self._log_client.end_offset(
                self._follower.stream
            )
        except (UnreachableError, ApiError) as error:
            log.warning("can't read the end of a shard's stream: {}", error)
            return
        delivered = self._follower.delivered_up_to(end_offset - 1)
        delivered.addTimeout(defaults.CONTROL_TIMEOUT_S, self._reactor)
        delivered.addErrback(lambda failure: failure.trap(defer.TimeoutError))
        await delivered
