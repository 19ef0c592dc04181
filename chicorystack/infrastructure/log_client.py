"""Client of the platform's append-only log service.

A response from the service can be lost after the append took effect, so every
record carries an ID of its own and every reader ignores duplicates.
"""

from collections.abc import Callable
from urllib.parse import urlencode

import msgspec
from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.infrastructure.messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    ReadPage,
)
from chicorystack.observe.logs import part_logger
from chicorystack.util import backoff_delay
from chicorystack.web.client import JsonClient, UnreachableError

log = part_logger("log-client")
# Greater than the offset of any record.
END_OF_STREAM = 2**53


class LogClient:
    """Appends to and reads from streams of the log service."""

    def __init__(self, reactor, client: JsonClient, base_url: str):
        self._reactor = reactor
        self._client = client
        self._base_url = base_url.rstrip("/")

    async def append(self, stream: str, record: object) -> int:
        """Appends a record without retries and returns its offset.

        Raises:
            UnreachableError: If there was no response; the append may have
                taken effect.
            ApiError: If the service refused.
        """
        body = AppendRequest(
            stream=stream, record=msgspec.json.encode(record).decode()
        )
        reply = await self._client.post(
            f"{self._base_url}/append", body, AppendReply
        )
        return reply["offset"]

    async def append_until_acknowledged(
        self, stream: str, record: object, give_up_at: float | None = None
    ) -> int:
        """Appends a record, with retries until the service acknowledges it.

        Retries can append duplicates, so the record must carry its own ID.

        Args:
            stream: Name of the stream.
            record: The record.
            give_up_at: Time on the reactor's clock after which it does not
                retry; None to retry forever.

        Raises:
            UnreachableError: If it gave up; the append may have taken effect.
        """
        attempt = 0
        while True:
            try:
                return await self.append(stream, record)
            except (UnreachableError, ApiError) as error:
                log.warning("append failed: {}", error)
                if give_up_at and self._reactor.seconds() >= give_up_at:
                    raise UnreachableError(f"append failed: {error}") from error
            await task.deferLater(self._reactor, backoff_delay(attempt))
            attempt += 1

    async def read(
        self, stream: str, from_offset: int, wait_ms: int = 0
    ) -> ReadPage:
        """Returns records from an offset on.

        Args:
            stream: Name of the stream.
            from_offset: Offset of the first record to return.
            wait_ms: How long the service may wait, in milliseconds, if there
                is no record yet.

        Raises:
            UnreachableError: If there was no response.
            ApiError: If the service refused.
        """
        query = urlencode(
            {
                "stream": stream,
                "from_offset": from_offset,
                "limit": defaults.LOG_READ_LIMIT,
                "wait_ms": wait_ms,
            }
        )
        timeout_s = defaults.CONTROL_TIMEOUT_S + wait_ms / 1000
        return await self._client.get(
            f"{self._base_url}/read?{query}", ReadPage, timeout_s
        )

    async def end_offset(self, stream: str) -> int:
        """Returns the offset that the next append will get.

        Raises:
            UnreachableError: If there was no response.
            ApiError: If the service refused.
        """
        page = await self.read(stream, END_OF_STREAM)
        return page["end_offset"]


class AppendPacer:
    """Spaces out appends so that all routers together keep a rate limit.

    Each of n routers starts at most one append every
    n / KEEPER_APPENDS_PER_S seconds, so that all together start at most
    KEEPER_APPENDS_PER_S appends per second, whatever n is.
    """

    def __init__(self, clock, router_count: Callable[[], int]):
        self._clock = clock
        self._router_count = router_count
        self._next_at = 0.0

    async def wait_for_turn(self) -> None:
        """Waits until the next append may start."""
        interval_s = self._router_count() / defaults.KEEPER_APPENDS_PER_S
        slot_at = max(self._clock.seconds(), self._next_at)
        self._next_at = slot_at + interval_s
        delay_s = slot_at - self._clock.seconds()
        if delay_s > 0:
            await task.deferLater(self._clock, delay_s)


class LogFollower:
    """Delivers a stream's entries to a callback, in order, until stopped.

    At the end of the stream it waits for the next entry by long polling or, if
    `pause_s` is set, reads again after that time.

    Attributes:
        stream: Name of the stream.
        next_offset: Offset of the next entry to deliver.
        caught_up: Whether the end of the stream has been reached at least
            once.
        reachable: Whether the last read succeeded.
    """

    def __init__(
        self,
        reactor,
        client: LogClient,
        stream: str,
        on_entry: Callable[[LogEntry], None],
        pause_s: float = 0.0,
    ):
        self._reactor = reactor
        self._client = client
        self._pause_s = pause_s
        self.stream = stream
        self._on_entry = on_entry
        self._running: defer.Deferred | None = None
        self._waiters: list[tuple[int, defer.Deferred]] = []
        self.next_offset = 0
        self.caught_up = False
        self.reachable = False

    def start(self) -> None:
        """Starts reading."""
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(_ignore_cancellation)

    def stop(self) -> None:
        """Stops reading."""
        if self._running is not None:
            self._running.cancel()

    def delivered_up_to(self, offset: int) -> defer.Deferred[None]:
        """Returns a Deferred that fires once the offset has been delivered."""
        if self.next_offset > offset:
            return defer.succeed(None)
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiters.append((offset, waiter))
        return waiter

    async def _run(self) -> None:
        failures = 0
        while True:
            long_polls = self.caught_up and not self._pause_s
            wait_ms = defaults.LOG_READ_WAIT_MS if long_polls else 0
            try:
                page = await self._client.read(
                    self.stream, self.next_offset, wait_ms
                )
            except (UnreachableError, ApiError) as error:
                if self.reachable:
                    log.warning("cannot read stream {}: {}", self.stream, error)
                self.reachable = False
                await task.deferLater(self._reactor, backoff_delay(failures))
                failures += 1
                continue
            failures = 0
            self.reachable = True
            self._deliver_page(page)
            if self._pause_s and self.caught_up:
                await task.deferLater(self._reactor, self._pause_s)

    def _deliver_page(self, page: ReadPage) -> None:
        for entry in page["entries"]:
            self._on_entry(entry)
        self.next_offset = page["next_offset"]
        if self.next_offset >= page["end_offset"]:
            self.caught_up = True
        waiters, self._waiters = self._waiters, []
        for offset, waiter in waiters:
            if self.next_offset > offset:
                waiter.callback(None)
            elif not waiter.called:
                self._waiters.append((offset, waiter))


def _ignore_cancellation(failure) -> None:
    failure.trap(defer.CancelledError)
