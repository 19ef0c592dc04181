"""Stand-in for the platform's engines: streams, plain responses and faults.

It writes a line for each request that it receives and for each end of one, so
that what an engine knew can be compared with what callers saw, also after the
process was killed. The query of a request may set its pace: `interval_ms`
between events, `event_bytes` of each, `work_ms` of a plain request.
"""

import math
import os
import time
from collections import Counter
from collections.abc import Callable
from typing import Literal

import msgspec
from twisted.internet import defer, task
from twisted.internet.interfaces import IPullProducer, IPushProducer
from twisted.web import resource, server
from zope.interface import implementer

from chicorystack.decoding import decode_json

TOKENS_PER_EVENT = 4
EVENT_INTERVAL_S = 0.01
PLAIN_DURATION_S = 0.02
FILLER = b"x" * 65_536
HEALTH_PATH = b"/health"
# Calls in one second at which a cold engine ends: this many times its rate,
# and so many more.
COLD_CRASH_FACTOR = 2.0
COLD_CRASH_CALLS = 10
SIGNATURE = b"3e1b.07.5a2.600.0.c9f2a4d1"

CallEvent = Literal[
    "received", "rejected", "complete", "broke_off", "caller_left", "crashed"
]


class CallLine(msgspec.Struct):
    """A line that the engine writes about one request.

    Attributes:
        call: ID of the request.
        event: `received` once it begins to run; `rejected` if it never does;
            then how it ends: `complete` once its whole response was written,
            `broke_off` if the engine closed the connection before that,
            `caller_left` if the other side did, `crashed` if the process ends.
        time: Unix time, in seconds.
    """

    call: str
    event: CallEvent
    time: float


class EngineFaults(msgspec.Struct):
    """Faults that a test injects.

    Attributes:
        shed: Whether it rejects every request and states that it has not run
            it.
        break_after: Events after which it closes a stream in the middle of an
            event; 0 for never.
        lose: Whether it runs plain requests and then resets the connection.
        foreign: Whether its responses carry another request's ID.
        unsigned: Whether its responses carry no signature.
        fail: Whether it responds to plain requests with status 500.
        silent: Whether it sends no response.
        surplus: Whether surplus bytes follow a complete response.
        repeat_after_s: Delay after which it sends each plain response again on
            the same connection, in seconds; 0 for never.
        leaving: Whether its responses state that it is leaving.
        retry_after: Value of Retry-After in rejections; empty for none.
        endless: Where it sends bytes without end: `head` or `body`; empty for
            nowhere.
        crash_on: Text; a request whose path contains it ends the process.
            Empty for none.
        crash_on_part: ID of a prompt part; a stream whose prompt contains it
            ends the process as it begins. Empty for none.
        unframed: Whether responses have neither a length nor chunks and end
            with their connection.
        limit: Requests a second that it takes from all routers together, as it
            states in its responses; empty for no statement.
        event_bytes: Least size of each event of a stream.
        abort_unread_s: Time in which a stream's client must read what it has
            been sent, else the connection is reset, in seconds; 0 for any.
        cold_s: Time for which it is cold, from when this is set, in seconds.
        cold_per_s: Requests a second that it accepts while it is cold. It ends
            if it gets far more.
        pace: How long work takes, in percent of the usual time, as it states
            in its responses; empty for no statement.
    """

    shed: bool = False
    break_after: int = 0
    lose: bool = False
    foreign: bool = False
    unsigned: bool = False
    fail: bool = False
    silent: bool = False
    surplus: bool = False
    repeat_after_s: float = 0.0
    leaving: bool = False
    retry_after: str = ""
    endless: str = ""
    crash_on: str = ""
    crash_on_part: str = ""
    unframed: bool = False
    limit: str = ""
    event_bytes: int = 0
    abort_unread_s: float = 0.0
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    pace: str = ""


class EngineCounts(msgspec.Struct):
    """Counts of what the engine has run.

    Attributes:
        runs: Requests run.
        tokens: Prompt tokens of new streams, and tokens generated.
        runs_by_id: Runs by request ID.
        seen: Headers of the last request.
        requests: Requests received.
        gone: Requests whose client disconnected while they ran.
        arrivals: Unix times at which requests were received, in seconds.
        unread: Streams that were aborted because they remained unread.
    """

    runs: int = 0
    tokens: int = 0
    runs_by_id: dict[str, int] = {}
    seen: dict[str, str] = {}
    gone: int = 0
    requests: int = 0
    arrivals: list[float] = []
    unread: int = 0


class EngineResource(resource.Resource):
    """Runs requests to any path; `/standin/` is for tests."""

    isLeaf = True

    def __init__(self, reactor, engine_id: str, version: str = ""):
        """Starts without faults.

        Args:
            reactor: The reactor.
            engine_id: ID of the engine.
            version: Version of its software, which its events contain.
        """
        super().__init__()
        self._version = version
        self._reactor = reactor
        self._engine_id = engine_id
        self._faults = EngineFaults()
        self._counts = EngineCounts()
        self._runs_by_id: Counter[str] = Counter()
        self._running = 0
        self._cold_until = 0.0
        # Requests whose connection the engine itself has aborted.
        self._aborted: set[server.Request] = set()

    def render(self, request: server.Request) -> bytes | int:
        """Handles a request."""
        if request.path == b"/standin/faults":
            body = request.content.read()
            self._faults = decode_json(body, EngineFaults)
            self._cold_until = self._reactor.seconds() + self._faults.cold_s
            return b"{}"
        if request.path == b"/standin/counts":
            self._counts.runs_by_id = dict(self._runs_by_id)
            return msgspec.json.encode(self._counts)
        if request.method == b"GET" and request.path == HEALTH_PATH:
            return self._report_health(request)
        return self._serve_call(request)

    def _report_health(self, request: server.Request) -> bytes:
        """Responds at once; this is not a call."""
        self._set_response_headers(request)
        cold_s = max(0.0, self._cold_until - self._reactor.seconds())
        request.setHeader("X-Chicorystack-Cold-Ms", str(round(cold_s * 1000)))
        return b"{}"

    def _end_if_overrun(self) -> None:
        """Ends the process if a cold engine gets far too many calls."""
        if self._reactor.seconds() >= self._cold_until:
            return
        since = time.time() - 1.0
        recent = sum(1 for at in self._counts.arrivals if at >= since)
        rate = self._faults.cold_per_s
        if recent > COLD_CRASH_FACTOR * rate + COLD_CRASH_CALLS:
            os._exit(1)

    def _serve_call(self, request: server.Request) -> bytes | int:
        self._counts.requests += 1
        self._counts.arrivals.append(round(time.time(), 3))
        self._counts.seen = {
            name.decode().lower(): values[-1].decode("latin-1")
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        faults = self._faults
        expected_id = request.getHeader("X-Chicorystack-Expect-Instance")
        if expected_id not in (None, self._engine_id):
            request.setResponseCode(421)
            request.setHeader("X-Chicorystack-Engine-Id", self._engine_id)
            _write_line(request, "rejected")
            return b""
        self._end_if_overrun()
        self._set_response_headers(request)
        if faults.shed:
            request.setResponseCode(503)
            request.setHeader("X-Chicorystack-Not-Executed", "1")
            if faults.retry_after:
                request.setHeader("Retry-After", faults.retry_after)
            _write_line(request, "rejected")
            return b""
        _write_line(request, "received")
        if faults.silent:
            request.notifyFinish().addErrback(
                lambda _: _write_line(request, "caller_left")
            )
            return server.NOT_DONE_YET
        if faults.endless:
            _EndlessResponse(request).start(faults.endless)
            return server.NOT_DONE_YET
        self._counts.runs += 1
        self._runs_by_id[_request_id(request)] += 1
        if faults.crash_on and faults.crash_on.encode() in request.path:
            _crash(request)
        usage = request.getHeader("X-Chicorystack-Token-Usage")
        work = (
            self._run_stream(request, usage)
            if usage
            else self._run_plain(request)
        )
        running = defer.ensureDeferred(work)
        request.notifyFinish().addErrback(lambda _: running.cancel())
        running.addErrback(self._count_disconnect, request)
        running.addCallback(lambda end: _write_line(request, end))
        return server.NOT_DONE_YET

    def _count_disconnect(self, failure, request: server.Request) -> CallEvent:
        failure.trap(defer.CancelledError)
        self._counts.gone += 1
        if request in self._aborted:
            self._aborted.remove(request)
            return "broke_off"
        return "caller_left"

    def _set_response_headers(self, request: server.Request) -> None:
        faults = self._faults
        request_id = "0" * 16 if faults.foreign else _request_id(request)
        request.setHeader("X-Chicorystack-Request-Attempt-Id", request_id)
        load = f"{self._running},0,8"
        if faults.pace:
            load += f",{faults.pace}"
        request.setHeader("X-Chicorystack-Engine-Load", load)
        if faults.leaving:
            request.setHeader("Server-Leaving", "1")
        if faults.limit:
            request.setHeader("Server-Limit", faults.limit)
        if not faults.unsigned:
            request.setHeader("X-Chicorystack-Response-Seal", SIGNATURE)

    async def _run_plain(self, request: server.Request) -> CallEvent:
        work_s = _pace(request, b"work_ms", PLAIN_DURATION_S * 1000) / 1000
        await task.deferLater(self._reactor, work_s)
        if self._faults.lose:
            request.transport.abortConnection()
            return "broke_off"
        if self._faults.fail:
            request.setResponseCode(500)
        body = msgspec.json.encode({"engine": self._engine_id})
        if self._faults.unframed:
            _make_unframed(request)
        else:
            request.setHeader("content-length", str(len(body)))
        transport = request.transport
        request.write(body)
        request.finish()
        if self._faults.repeat_after_s:
            self._reactor.callLater(
                self._faults.repeat_after_s,
                transport.write,
                _encode_response(request, body),
            )
        if self._faults.surplus:
            request.transport.write(b"HTTP/1.1 200 OK\r\n\r\n")
        return "complete"

    async def _run_stream(
        self, request: server.Request, usage: str
    ) -> CallEvent:
        prompt, output = (int(part) for part in usage.split(","))
        first = int(request.getHeader("Last-Event-Id") or 0) + 1
        last = math.ceil(output / TOKENS_PER_EVENT)
        self._counts.tokens += prompt if first == 1 else 0
        request.setHeader("content-type", "text/event-stream")
        if self._faults.unframed:
            _make_unframed(request)
        if self._faults.crash_on_part in _prompt_part_ids(request):
            request.write(b"")
            await task.deferLater(self._reactor, EVENT_INTERVAL_S)
            _crash(request)
        self._running += 1
        try:
            return await self._send_events(request, first, last)
        finally:
            self._running -= 1

    async def _send_events(
        self, request: server.Request, first: int, last: int
    ) -> CallEvent:
        interval_s = (
            _pace(request, b"interval_ms", EVENT_INTERVAL_S * 1000) / 1000
        )
        event_bytes = int(
            _pace(request, b"event_bytes", self._faults.event_bytes)
        )
        unread = _UnreadGuard(
            self._reactor,
            self._faults.abort_unread_s,
            lambda: self._abort_unread(request),
        )
        request.registerProducer(unread, True)
        for number in range(first, last + 1):
            await task.deferLater(self._reactor, interval_s)
            if self._faults.break_after and (
                number - first >= self._faults.break_after
            ):
                request.write(f"id: {number}\nda".encode())
                request.transport.loseConnection()
                return "broke_off"
            data = f"token {number} {self._version}".rstrip()
            data = data.ljust(event_bytes, "x")
            request.write(f"id: {number}\ndata: {data}\n\n".encode())
            self._counts.tokens += TOKENS_PER_EVENT
        while unread.paused:
            await task.deferLater(self._reactor, EVENT_INTERVAL_S)
        request.unregisterProducer()
        request.finish()
        return "complete"

    def _abort_unread(self, request: server.Request) -> None:
        self._counts.unread += 1
        self._aborted.add(request)
        request.transport.abortConnection()


@implementer(IPushProducer)
class _UnreadGuard:
    """Resets the connection of a response that remains unread.

    Attributes:
        paused: Whether the client has yet to read what it has been sent.
    """

    def __init__(self, reactor, limit_s: float, abort: Callable[[], None]):
        """Starts with a response that has been read.

        Args:
            reactor: The reactor.
            limit_s: Longest time for which it may remain unread, in seconds; 0
                for any.
            abort: Called once it has remained unread for longer.
        """
        self._reactor = reactor
        self._limit_s = limit_s
        self._abort = abort
        self._timer = None
        self.paused = False

    def pauseProducing(self) -> None:
        """Called when much has not been read."""
        self.paused = True
        if self._limit_s and self._timer is None:
            self._timer = self._reactor.callLater(self._limit_s, self._abort)

    def resumeProducing(self) -> None:
        """Called when all has been read."""
        self.paused = False
        self.stopProducing()

    def stopProducing(self) -> None:
        """Called when the connection is lost."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


@implementer(IPullProducer)
class _EndlessResponse:
    """Sends bytes until the client closes the connection."""

    def __init__(self, request: server.Request):
        self._transport = request.channel.transport

    def start(self, where: str) -> None:
        """Starts in the head or the body of a response."""
        end = b"\r\n" if where == "body" else b""
        self._transport.unregisterProducer()
        self._transport.write(b"HTTP/1.1 200 OK\r\nX-Filler: " + end + end)
        self._transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Sends more bytes each time the client has taken the last ones."""
        self._transport.write(FILLER)

    def stopProducing(self) -> None:
        """Does nothing: nothing is sent after the connection is lost."""


def _encode_response(request: server.Request, body: bytes) -> bytes:
    """Returns a plain response as sent to a request."""
    lines = [b"HTTP/1.1 200 OK"]
    for name, values in request.responseHeaders.getAllRawHeaders():
        lines += [name + b": " + value for value in values]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _make_unframed(request: server.Request) -> None:
    """Lets a response have no length and no chunks, and end the connection."""
    request.clientproto = b"HTTP/1.0"
    request.setHeader("connection", "close")
    request.channel.persistent = False


def _prompt_part_ids(request: server.Request) -> list[str]:
    """Returns the IDs of a request's prompt parts."""
    prefix = request.getHeader("X-Chicorystack-Prompt-Prefix") or ""
    return [part.partition(":")[0] for part in prefix.split(",") if part]


def _pace(request: server.Request, name: bytes, default: float) -> float:
    """Returns a number of a request's query."""
    values = request.args.get(name)
    return float(values[0]) if values else default


def _write_line(request: server.Request, event: CallEvent) -> None:
    line = CallLine(_request_id(request), event, round(time.time(), 4))
    print(msgspec.json.encode(line).decode(), flush=True)


def _crash(request: server.Request) -> None:
    """Ends the process at a request."""
    _write_line(request, "crashed")
    os._exit(1)


def _request_id(request: server.Request) -> str:
    return request.getHeader("X-Chicorystack-Request-Attempt-Id") or ""
