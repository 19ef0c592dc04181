"""How a keeper reads from and appends to the log: the journal of a shard."""

from collections.abc import Callable

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget.closures import CLOSURES_STREAM, ClosureLedger
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
    """The stream of closures, which all shards of a router share.

    Attributes:
        ledger: Its contents.
        follower: Its reader.
    """

    def __init__(self, reactor, log_client: LogClient):
        self.ledger = ClosureLedger()
        self.follower = LogFollower(
            reactor, log_client, CLOSURES_STREAM, self.ledger.apply
        )


class ShardJournal:
    """Appends to a shard's stream or the closures and reads back.

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
        self._closures = closures
        self.follower = follower

    async def append_and_read(
        self, stream: str, make_record: Callable[[], object]
    ) -> None:
        """Appends a record when its turn comes and waits to read it."""
        await self._pacer.turn()
        offset = await self._log_client.append_until_acknowledged(
            stream, make_record()
        )
        is_closure = stream == CLOSURES_STREAM
        follower = self._closures if is_closure else self.follower
        await follower.delivered_up_to(offset)


class Refresher:
    """Reads a stream to its end before something is refused.

    Reads are shared by all who ask and at most one begins in a while.
    """

    def __init__(self, reactor, log_client: LogClient, follower: LogFollower):
        self._reactor = reactor
        self._log_client = log_client
        self._follower = follower
        self._may_read_at = 0.0
        self._waiters: list[defer.Deferred[None]] = []

    async def refresh(self) -> None:
        """Returns once all that stood in the stream has been delivered.

        Returns without that where the log does not answer in time.
        """
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiters.append(waiter)
        if len(self._waiters) == 1:
            defer.ensureDeferred(self._run())
        await waiter

    async def _run(self) -> None:
        delay_s = max(0.0, self._may_read_at - self._reactor.seconds())
        await task.deferLater(self._reactor, delay_s)
        self._may_read_at = self._reactor.seconds() + defaults.REFRESH_MIN_S
        # Whoever asks from here on needs a newer read.
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
            log.warning("can't read to the end of the log: {}", error)
            return
        delivered = self._follower.delivered_up_to(end_offset - 1)
        delivered.addTimeout(defaults.CONTROL_TIMEOUT_S, self._reactor)
        delivered.addErrback(lambda failure: failure.trap(defer.TimeoutError))
        await delivered
