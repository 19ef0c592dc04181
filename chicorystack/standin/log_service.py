"""Stand-in for the platform's append-only log service, in memory."""

from collections import defaultdict
from collections.abc import Iterator
from typing import TypedDict

from twisted.internet import defer, task

from chicorystack.calls.messages import Empty
from chicorystack.errors import ApiError
from chicorystack.infrastructure.messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    ReadPage,
)
from chicorystack.web.server import JsonEndpoint, ResourceTree, allow_all


class ReadQuery(TypedDict):
    """Request to read records from a stream.

    Attributes:
        stream: Name of the stream.
        from_offset: Offset of the first record to return.
        limit: Most records to return.
        wait_ms: How long to wait, in milliseconds, if there is no record yet.
    """

    stream: str
    from_offset: int
    limit: int
    wait_ms: int


class LogFaults(TypedDict):
    """Faults that a test injects.

    Attributes:
        down: Whether all requests are refused.
        delay_s: Delay of each response, in seconds.
        lose_answers: Number of appends that take effect but return an error.
    """

    down: bool
    delay_s: float
    lose_answers: int


class LogCounts(TypedDict):
    """Counts of appends.

    Attributes:
        appends: Records appended.
        append_bytes: Their total length, in characters.
    """

    appends: int
    append_bytes: int


class LogService:
    """Streams of records with offsets, retention and injected faults."""

    def __init__(self, clock, retention_s: float):
        self._clock = clock
        self._retention_s = retention_s
        self._entries_by_stream: defaultdict[str, list[LogEntry]] = defaultdict(
            list
        )
        self._first_offset_by_stream: defaultdict[str, int] = defaultdict(int)
        self._waiters_by_stream: defaultdict[str, list[defer.Deferred]] = (
            defaultdict(list)
        )
        self._faults = LogFaults(down=False, delay_s=0.0, lose_answers=0)
        self._counts = LogCounts(appends=0, append_bytes=0)

    async def append(self, request: AppendRequest) -> AppendReply:
        """Appends a record."""
        await self._apply_faults()
        stream = request["stream"]
        entries = self._entries_by_stream[stream]
        offset = self._first_offset_by_stream[stream] + len(entries)
        record = request["record"]
        entries.append(
            LogEntry(offset=offset, time=self._clock.seconds(), record=record)
        )
        self._counts["appends"] += 1
        self._counts["append_bytes"] += len(record)
        waiters = self._waiters_by_stream.pop(stream, [])
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)
        if self._faults["lose_answers"] > 0:
            self._faults["lose_answers"] -= 1
            raise ApiError("internal", "the response was lost")
        return AppendReply(offset=offset)

    async def read(self, query: ReadQuery) -> ReadPage:
        """Returns records from an offset on; may wait for the first."""
        await self._apply_faults()
        stream = query["stream"]
        self._delete_expired(stream)
        page = self._read_page(query)
        if not page["entries"] and query["wait_ms"] > 0:
            waiter: defer.Deferred = defer.Deferred()
            self._waiters_by_stream[stream].append(waiter)
            waiter.addTimeout(query["wait_ms"] / 1000, self._clock)
            waiter.addErrback(lambda failure: failure.trap(defer.TimeoutError))
            await waiter
            await self._apply_faults()
            page = self._read_page(query)
        return page

    def entries(self, stream: str) -> list[LogEntry]:
        """Returns the entries of a stream, regardless of faults."""
        return self._entries_by_stream[stream]

    async def set_faults(self, faults: LogFaults) -> Empty:
        """Sets the faults to inject from now on."""
        self._faults = faults
        return Empty()

    async def counts(self, _message: Empty) -> LogCounts:
        """Returns the counts of appends."""
        return self._counts

    def _read_page(self, query: ReadQuery) -> ReadPage:
        entries = self._entries_by_stream[query["stream"]]
        first = self._first_offset_by_stream[query["stream"]]
        start = max(query["from_offset"], first)
        selected = entries[start - first : start - first + query["limit"]]
        return ReadPage(
            first_offset=first,
            next_offset=start + len(selected),
            end_offset=first + len(entries),
            entries=selected,
        )

    def _delete_expired(self, stream: str) -> None:
        entries = self._entries_by_stream[stream]
        oldest = self._clock.seconds() - self._retention_s
        expired = sum(1 for _ in _older_entries(entries, oldest))
        del entries[:expired]
        self._first_offset_by_stream[stream] += expired

    async def _apply_faults(self) -> None:
        if self._faults["delay_s"] > 0:
            await task.deferLater(self._clock, self._faults["delay_s"])
        if self._faults["down"]:
            raise ApiError("not_ready", "the log service is down")


def _older_entries(
    entries: list[LogEntry], oldest: float
) -> Iterator[LogEntry]:
    for entry in entries:
        if entry["time"] >= oldest:
            return
        yield entry


def log_service_tree(service: LogService) -> ResourceTree:
    """Returns the HTTP interface of the stand-in."""
    root = ResourceTree()
    endpoints = [
        ("append", AppendRequest, service.append),
        ("read", ReadQuery, service.read),
        ("faults", LogFaults, service.set_faults),
        ("counts", Empty, service.counts),
    ]
    for path, message_type, handler in endpoints:
        root.put(path, JsonEndpoint(message_type, handler, allow_all))
    return root
