"""Stand-in for an engine, as a process of its own.

Its settings are a JSON object, the only argument. It writes one JSON line to
standard output for each request that reaches it and for each end of one.
"""

import asyncio
import json
import os
import signal
import sys
import time

from http_server import Request, encode_response, serve

ATTEMPT_ID = "x-chicorystack-request-attempt-id"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
EVENT_S = 0.02


class Engine:
    """An engine.

    Settings: `id`, `ip`, `port`, `slots`, `queue`, `work_s` of a plain
    request, `poison` (a body that contains it ends the process as it begins
    to run), `fail` (in order, whether a request is failed with 500 before it
    runs; repeated) from `fail_from` until `fail_until` (Unix times), `events`
    of a stream, `event_s` between them, and `unframed` (streams have neither
    a length nor chunks and end with their connection).
    """

    def __init__(self, settings: dict):
        self._settings = settings
        self._received = 0
        self._running = 0
        self._slots = asyncio.Semaphore(settings.get("slots", 64))
        self._waiting = 0

    async def handle(self, request: Request, reader, writer) -> bool:
        """Handles one request."""
        call = request.headers.get(ATTEMPT_ID, "")
        expected = request.headers.get("x-chicorystack-expect-instance")
        if expected not in (None, self._settings["id"]):
            writer.write(
                encode_response(
                    421, {"X-Chicorystack-Engine-Id": self._settings["id"]}
                )
            )
            return True
        self._log(call, "arrived", request.target)
        if self._is_full():
            self._log(call, "rejected", request.target)
            head = self._head(call) | {"X-Chicorystack-Not-Executed": "1"}
            writer.write(encode_response(503, head))
            return True
        if self._fails():
            self._log(call, "failed", request.target)
            writer.write(encode_response(500, self._head(call), b"failed"))
            return True
        work = asyncio.create_task(self._wait_and_run(request, call, writer))
        closed = asyncio.create_task(reader.read(1))
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        closed.cancel()
        if not work.done():
            # The router has closed the connection: the request is dropped.
            work.cancel()
            self._log(call, "dropped", request.target)
            return False
        return work.result()

    async def _wait_and_run(self, request: Request, call: str, writer) -> bool:
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            return await self._run(request, call, writer)
        finally:
            self._running -= 1
            self._slots.release()

    def _is_full(self) -> bool:
        busy = self._running + self._waiting
        slots = self._settings.get("slots", 64)
        return busy >= slots + self._settings.get("queue", 192)

    def _fails(self) -> bool:
        pattern = self._settings.get("fail", [])
        begin = self._settings.get("fail_from", 0)
        end = self._settings.get("fail_until", 0)
        if not pattern or not begin <= time.time() < end:
            return False
        self._received += 1
        return bool(pattern[(self._received - 1) % len(pattern)])

    async def _run(self, request: Request, call: str, writer) -> bool:
        self._log(call, "runs", request.target)
        poison = self._settings.get("poison", "")
        if poison and poison.encode() in request.body:
            self._log(call, "crashes", request.target)
            os.kill(os.getpid(), signal.SIGKILL)
        if "x-chicorystack-token-usage" in request.headers:
            return await self._stream(request, call, writer)
        await asyncio.sleep(self._settings.get("work_s", 0.045))
        body = json.dumps({"call": call}).encode().ljust(800)
        writer.write(encode_response(200, self._head(call), body))
        self._log(call, "done", request.target)
        return True

    async def _stream(self, request: Request, call: str, writer) -> bool:
        unframed = self._settings.get("unframed", False)
        head = self._head(call) | {"Content-Type": "text/event-stream"}
        head |= (
            {"Connection": "close"}
            if unframed
            else {"Transfer-Encoding": "chunked"}
        )
        lines = [f"{name}: {value}" for name, value in head.items()]
        writer.write(
            ("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode()
        )
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self._settings.get("events", 13) + 1):
            await asyncio.sleep(self._settings.get("event_s", EVENT_S))
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            if not unframed:
                event = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            writer.write(event)
            await writer.drain()
        if not unframed:
            writer.write(b"0\r\n\r\n")
        self._log(call, "done", request.target)
        return not unframed

    def _head(self, call: str) -> dict[str, str]:
        load = f"{self._running},{self._waiting},"
        load += str(self._settings.get("slots", 64))
        return {
            "X-Chicorystack-Request-Attempt-Id": call,
            "X-Chicorystack-Response-Seal": SEAL,
            "X-Chicorystack-Engine-Load": load,
        }

    def _log(self, call: str, event: str, target: str) -> None:
        line = {
            "t": round(time.time(), 3),
            "engine": self._settings["id"],
            "event": event,
            "call": call,
            "target": target,
        }
        os.write(1, (json.dumps(line) + "\n").encode())


async def main() -> None:
    """Runs the engine until it is killed."""
    settings = json.loads(sys.argv[1])
    engine = Engine(settings)
    server = await serve(engine.handle, settings["ip"], settings["port"])
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
