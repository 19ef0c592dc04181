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
    """Reads from a stream; waits for the first record where told to."""

    stream: str
    from_offset: int
    limit: int
    wait_ms: int


class LogFaults(TypedDict):
    """Faults that tests order.

    Attributes:
        down: Refuses everything.
        delay_s: Delays each answer.
        lose_answers: Number of appends that take effect without an answer.
    """

    down: bool
    delay_s: float
    lose_answers: int


class LogCounts(TypedDict):
    """What the service has seen."""

    appends: int
    append_bytes: int


class LogService:
    """Streams of records with offsets, retention and ordered faults."""

    def __init__(self, clock, retention_s: float):
        self._clock = clock
        self._retention_s = retention_s
        self._entries_by_stream: defaultdict[str, list[LogEntry]] = defaultdict(
            list
        )
        self._first_by_stream: defaultdict[str, int] = defaultdict(int)
        self._waiters_by_stream: defaultdict[str, list[defer.Deferred]] = (
            defaultdict(list)
        )
        self._faults = LogFaults(down=False, delay_s=0.0, lose_answers=0)
        self._counts = LogCounts(appends=0, append_bytes=0)

    async def append(self, request: AppendRequest) -> AppendReply:
        """Appends a record."""
        await self._suffer()
        stream = request["stream"]
        entries = self._entries_by_stream[stream]
        offset = self._first_by_stream[stream] + len(entries)
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
            raise ApiError("internal", "the answer was lost")
        return AppendReply(offset=offset)

    async def read(self, query: ReadQuery) -> ReadPage:
        """Returns records from an offset on."""
        await self._suffer()
        stream = query["stream"]
        self._forget_old(stream)
        page = self._page(query)
        if not page["entries"] and query["wait_ms"] > 0:
            waiter: defer.Deferred = defer.Deferred()
            self._waiters_by_stream[stream].append(waiter)
            waiter.addTimeout(query["wait_ms"] / 1000, self._clock)
            waiter.addErrback(lambda failure: failure.trap(defer.TimeoutError))
            await waiter
            await self._suffer()
            page = self._page(query)
        return page

    def entries(self, stream: str) -> list[LogEntry]:
        """Returns what a stream holds, whatever the faults."""
        return self._entries_by_stream[stream]

    async def order_faults(self, faults: LogFaults) -> Empty:
        """Sets the faults from now on."""
        self._faults = faults
        return Empty()

    async def counts(self, _message: Empty) -> LogCounts:
        """Returns what has been appended."""
        return self._counts

    def _page(self, query: ReadQuery) -> ReadPage:
        entries = self._entries_by_stream[query["stream"]]
        first = self._first_by_stream[query["stream"]]
        start = max(query["from_offset"], first)
        chosen = entries[start - first : start - first + query["limit"]]
        return ReadPage(
            first_offset=first,
            next_offset=start + len(chosen),
            end_offset=first + len(entries),
            entries=chosen,
        )

    def _forget_old(self, stream: str) -> None:
        entries = self._entries_by_stream[stream]
        oldest = self._clock.seconds() - self._retention_s
        expired = sum(1 for _ in _older_than(entries, oldest))
        del entries[:expired]
        self._first_by_stream[stream] += expired

    async def _suffer(self) -> None:
        if self._faults["delay_s"] > 0:
            await task.deferLater(self._clock, self._faults["delay_s"])
        if self._faults["down"]:
            raise ApiError("not_ready", "the log service is down")


def _older_than(entries: list[LogEntry], oldest: float) -> Iterator[LogEntry]:
    for entry in entries:
        if entry["time"] >= oldest:
            return
        yield entry


def log_service_tree(service: LogService) -> ResourceTree:
    """Returns the stand-in's HTTP interface."""
    root = ResourceTree()
    endpoints = [
        ("append", AppendRequest, service.append),
        ("read", ReadQuery, service.read),
        ("faults", LogFaults, service.order_faults),
        ("counts", Empty, service.counts),
    ]
    for path, message_type, handler in endpoints:
        root.put(path, JsonEndpoint(message_type, handler, allow_all))
    return root
