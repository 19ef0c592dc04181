"""A stand-in for the platform's engines: streams, plain answers and faults."""

import math
import os
from collections import Counter

import msgspec
from twisted.internet import defer, task
from twisted.web import resource, server

TOKENS_PER_EVENT = 4
EVENT_PAUSE_S = 0.01
PLAIN_WORK_S = 0.02
SEAL = b"3e1b.07.5a2.600.0.c9f2a4d1"


class EngineFaults(msgspec.Struct):
    """What the engine does wrong from now on.

    Attributes:
        shed: Whether it refuses all, saying that it has not run them.
        break_after: Events after which streams are reset; 0 for never.
        lose: Whether it runs plain requests and resets their connection.
        foreign: Whether its answers bear another request's id.
        unsigned: Whether its answers bear no signature.
        fail: Whether it answers plain requests with 500.
        silent: Whether it says nothing.
        surplus: Whether bytes follow a whole answer.
        crash_on: Part of a path whose requests end the process; empty for
            none.
    """

    shed: bool = False
    break_after: int = 0
    lose: bool = False
    foreign: bool = False
    unsigned: bool = False
    fail: bool = False
    silent: bool = False
    surplus: bool = False
    crash_on: str = ""


class EngineCounts(msgspec.Struct):
    """What the engine has done.

    Attributes:
        runs: Requests run.
        tokens: Prompt tokens of its runs, and tokens made.
        runs_by_id: Runs by request id.
        seen: Headers of the last request.
        gone: Requests whose caller left while they ran.
    """

    runs: int = 0
    tokens: int = 0
    runs_by_id: dict[str, int] = {}
    seen: dict[str, str] = {}
    gone: int = 0


class EngineResource(resource.Resource):
    """All paths are requests, but for `/standin/`."""

    isLeaf = True

    def __init__(self, reactor, instance: str):
        super().__init__()
        self._reactor = reactor
        self._instance = instance
        self._faults = EngineFaults()
        self._counts = EngineCounts()
        self._runs_by_id: Counter[str] = Counter()
        self._running = 0

    def render(self, request: server.Request) -> bytes | int:
        """Serves a request."""
        if request.path == b"/standin/faults":
            body = request.content.read()
            self._faults = msgspec.json.decode(body, type=EngineFaults)
            return b"{}"
        if request.path == b"/standin/counts":
            self._counts.runs_by_id = dict(self._runs_by_id)
            return msgspec.json.encode(self._counts)
        return self._serve(request)

    def _serve(self, request: server.Request) -> bytes | int:
        self._counts.seen = {
            name.decode().lower(): values[-1].decode("latin-1")
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        faults = self._faults
        expected = request.getHeader("X-Chicorystack-Expect-Instance")
        if expected not in (None, self._instance):
            request.setResponseCode(421)
            request.setHeader("X-Chicorystack-Engine-Id", self._instance)
            return b""
        self._set_headers(request)
        if faults.shed:
            request.setResponseCode(503)
            request.setHeader("X-Chicorystack-Not-Executed", "1")
            return b""
        if faults.silent:
            return server.NOT_DONE_YET
        self._counts.runs += 1
        self._runs_by_id[_request_id(request)] += 1
        if faults.crash_on and faults.crash_on.encode() in request.path:
            os._exit(1)
        usage = request.getHeader("X-Chicorystack-Token-Usage")
        work = self._stream(request, usage) if usage else self._plain(request)
        running = defer.ensureDeferred(work)
        request.notifyFinish().addErrback(lambda _: running.cancel())
        running.addErrback(self._note_gone)
        return server.NOT_DONE_YET

    def _note_gone(self, failure) -> None:
        failure.trap(defer.CancelledError)
        self._counts.gone += 1

    def _set_headers(self, request: server.Request) -> None:
        faults = self._faults
        own_id = "0" * 16 if faults.foreign else _request_id(request)
        request.setHeader("X-Chicorystack-Request-Attempt-Id", own_id)
        request.setHeader("X-Chicorystack-Engine-Load", f"{self._running},0,8")
        if not faults.unsigned:
            request.setHeader("X-Chicorystack-Response-Seal", SEAL)

    async def _plain(self, request: server.Request) -> None:
        await task.deferLater(self._reactor, PLAIN_WORK_S)
        if self._faults.lose:
            request.transport.abortConnection()
            return
        if self._faults.fail:
            request.setResponseCode(500)
        body = msgspec.json.encode({"engine": self._instance})
        request.setHeader("content-length", str(len(body)))
        request.write(body)
        request.finish()
        if self._faults.surplus:
            request.transport.write(b"HTTP/1.1 200 OK\r\n\r\n")

    async def _stream(self, request: server.Request, usage: str) -> None:
        prompt, output = (int(part) for part in usage.split(","))
        first = int(request.getHeader("Last-Event-Id") or 0) + 1
        last = math.ceil(output / TOKENS_PER_EVENT)
        self._counts.tokens += prompt if first == 1 else 0
        request.setHeader("content-type", "text/event-stream")
        self._running += 1
        try:
            await self._send_events(request, first, last)
        finally:
            self._running -= 1

    async def _send_events(
        self, request: server.Request, first: int, last: int
    ) -> None:
        for number in range(first, last + 1):
            await task.deferLater(self._reactor, EVENT_PAUSE_S)
            if self._faults.break_after and (
                number - first >= self._faults.break_after
            ):
                request.write(f"id: {number}\nda".encode())
                request.transport.loseConnection()
                return
            request.write(f"id: {number}\ndata: token {number}\n\n".encode())
            self._counts.tokens += TOKENS_PER_EVENT
        request.finish()


def _request_id(request: server.Request) -> str:
    return request.getHeader("X-Chicorystack-Request-Attempt-Id") or ""
