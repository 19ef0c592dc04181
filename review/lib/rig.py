"""Parts of the review's scripts: routers, stand-ins and clients.

The routers and the store run as separate processes. Engines and clients run in
the script itself, on one asyncio loop, and use only the standard library. All
addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.request
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HOST = "review.example"
KEY = "key-of-alpha"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
REQUEST_ID = "x-chicorystack-request-attempt-id"
# What the deploy file runs, and its variable for the settings.
ROUTER_MODULE = "chicorystack.platform.router"
STORE_COMMAND = ("-m", "chicorystack.platform.standin.main", "store")
SETTINGS_VARIABLE = "CHICORYSTACK_SETTINGS"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Bounds of the small deployments (DEPLOY.md, the sheets in SYSTEM.md).
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "SyncS": 4,
    "DrainMs": 2000,
    "GracePeriodS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "PartitionMaxMs": 5000,
    "RetryBudgetRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 52,
    "RecoveryS": 12,
    "PassMs": 120,
    "ReuseWindowS": 10,
    "settle_ms": 1500,
}


def free_ports(count: int = 1) -> int:
    """Returns the first of some consecutive ports that are free."""
    while True:
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(_bound_socket(0)).getsockname()[1]
            try:
                for offset in range(1, count):
                    stack.enter_context(_bound_socket(first + offset))
            except (OSError, OverflowError):
                continue
            return first


def _bound_socket(port: int) -> socket.socket:
    bound = socket.socket()
    bound.bind((LOOPBACK, port))
    return bound


class Record:
    """Writes what was sent, answered and run, with times from the start."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Writes one line."""
        now = time.monotonic() - self._start
        self._file.write(f"{now:8.3f} {text}\n")
        self._file.flush()


class Processes:
    """The processes that a script has started."""

    def __init__(self):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._by_name: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, name: str, *words: str, **variables: str) -> None:
        """Starts a program of the project at the root, with a log file."""
        paths = [str(ROOT / "target" / "deps"), str(ROOT)]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": os.pathsep.join(paths),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self._by_name[name] = await asyncio.create_subprocess_exec(
                *(sys.executable, *words),
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment | variables,
            )

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process that was started here."""
        self._by_name[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        self.signal(name, signal.SIGKILL)
        await self._by_name[name].wait()

    async def stop(self) -> None:
        """Kills all processes and removes the folder."""
        for process in self._by_name.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
            await process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Store:
    """The project's stand-in of the platform's store."""

    def __init__(self, processes: Processes):
        self._processes = processes
        self.port = free_ports()

    async def start(self) -> None:
        """Starts it and waits until it answers."""
        await self._processes.start("store", *STORE_COMMAND, str(self.port))
        await until("the store answers", self._answers)

    def _answers(self) -> bool:
        return self._send("GET", "/standin/counts") is not None

    def _send(self, method: str, path: str, message=None) -> bytes | None:
        data = None if message is None else json.dumps(message).encode()
        url = f"http://{LOOPBACK}:{self.port}{path}"
        request = urllib.request.Request(url, data, method=method)
        try:
            with urllib.request.urlopen(request, timeout=5) as response:
                return response.read()
        except OSError:
            return None

    async def put(self, topic: str, key: str, value: str) -> float:
        """Writes a record; returns the time of its acknowledgement."""
        message = {"topic": topic, "key": key, "value": value}
        await asyncio.to_thread(self._send, "POST", "/standin/put", message)
        return time.monotonic()

    async def publish(self, config: dict) -> float:
        """Writes a configuration; returns the time of its acknowledgement."""
        return await self.put("keyed.op", "config", json.dumps(config))

    async def control(self, path: str, message: dict) -> None:
        """Sends a message to the stand-in's test interface."""
        await asyncio.to_thread(self._send, "POST", path, message)


async def until(what: str, holds: Callable[[], bool], seconds=20.0) -> None:
    """Waits for a condition; raises CaseError if it does not come."""
    end = time.monotonic() + seconds
    while not await asyncio.to_thread(holds):
        if time.monotonic() > end:
            raise CaseError(f"not in {seconds} s: {what}")
        await asyncio.sleep(0.05)


class CaseError(Exception):
    """The case could not run."""


class Router:
    """A router, started with the command of the deploy file."""

    def __init__(self, processes: Processes, name: str, zone: str = "zone-a"):
        self._processes = processes
        self.name = name
        self.zone = zone
        self.front, self.ready = free_ports(), free_ports()
        self.internal = free_ports(8)
        self.bounds: dict = {}
        self.memory_mb = 300

    async def start(self, store_port: int) -> None:
        """Starts it; the settings are those of a small deployment."""
        settings = {
            "NodeName": self.name,
            "Role": "router",
            "MachineClass": "front",
            "Serves": ["front"],
            "NodeIp": LOOPBACK,
            "Zone": self.zone,
            "Region": "region",
            "Zones": {"zone-a": "region", "zone-b": "region"},
            "Listen": {
                "Front": f"{LOOPBACK}:{self.front}",
                "ReadyAddr": f"{LOOPBACK}:{self.ready}",
            },
            "PortRange": [self.internal, self.internal + 7],
            "Seeds": [],
            "Bootstrap": False,
            "Limits": {
                "CpuShare": 0.817,
                "CpuCores": 1,
                "MemoryMb": self.memory_mb,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "HeartbeatMs": 1200,
            "Bounds": BOUNDS | self.bounds,
            "Platform": {
                "Address": f"{LOOPBACK}:{store_port}",
                "form": "log",
                "WritesPerS": 800,
                "ReadsPerS": 2000,
                "parts": 24,
                "keep_s": 300,
            },
        }
        path = self._processes.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        await self._processes.start(
            self.name, "-m", ROUTER_MODULE, **{SETTINGS_VARIABLE: str(path)}
        )

    def is_ready(self) -> bool:
        """Returns whether it answers the readiness check with 200."""
        url = f"http://{LOOPBACK}:{self.ready}/-/readiness"
        try:
            with urllib.request.urlopen(url, timeout=2) as response:
                return response.status == 200
        except OSError:
            return False

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Waits until it says that it is ready."""
        await until(f"{self.name} is ready", self.is_ready, seconds)


class Head:
    """The first line and the headers of a message."""

    def __init__(self, data: bytes):
        lines = data.decode("latin-1").split("\r\n")
        self.line = lines[0]
        self.fields = {}
        for line in filter(None, lines[1:]):
            name, _, value = line.partition(":")
            self.fields[name.strip().lower()] = value.strip()

    def get(self, name: str, default: str = "") -> str:
        """Returns a header's value."""
        return self.fields.get(name, default)


class Engine:
    """A sound engine.

    The body of a request is JSON that says how long it works: `ms`, and for a
    stream `events` with `gap_ms` between them, and a `pause_ms` before event
    `pause_at`. It stops when its connection closes.

    Attributes:
        runs: Requests that it has begun to run.
    """

    def __init__(self, name: str, service: str, record: Record, store: Store):
        self.name, self.service = name, service
        self._record, self._store = record, store
        self.port = free_ports()
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs: list[dict] = []
        self.slots = 64
        self.running = 0
        self._server = None
        self._beat = None
        self._connections: set[asyncio.StreamWriter] = set()

    def entry(self) -> str:
        """Returns its entry in the store."""
        return json.dumps(
            {
                "Service": self.service,
                "Address": f"{LOOPBACK}:{self.port}",
                "Zone": "zone-a",
                "Version": "v1",
                "Slots": self.slots,
                "State": self.state,
                "ColdRemainingMs": 0,
                "Sequence": self.sequence,
                "born": self.born,
            }
        )

    async def start(self) -> None:
        """Listens and registers; then writes its entry at intervals."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port
        )
        await self.register()
        self._beat = asyncio.ensure_future(self._heartbeat())

    async def register(self) -> float:
        """Writes its entry; returns the time of the acknowledgement."""
        self.sequence += 1
        return await self._store.put("keyed.servers", self.name, self.entry())

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            await self.register()

    async def drain(self) -> float:
        """Reports `draining` and serves on; returns the time of the ack."""
        self.state = "draining"
        return await self.register()

    def stop(self) -> None:
        """Ends it; its connections are reset."""
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._connections.add(writer)
        try:
            while True:
                head = Head(await reader.readuntil(b"\r\n\r\n"))
                length = int(head.get("content-length", "0"))
                body = await reader.readexactly(length)
                await self._answer(head, body, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, head: Head, body: bytes, reader, writer) -> None:
        request_id = head.get(REQUEST_ID)
        expected = head.get("x-chicorystack-expect-instance", self.name)
        lines = [
            f"X-Chicorystack-Request-Attempt-Id: {request_id}",
            f"X-Chicorystack-Response-Seal: {SEAL}",
            f"X-Chicorystack-Engine-Load: {self.running},0,{self.slots}",
        ]
        if expected != self.name:
            writer.write(message("421 Misdirected", lines, b""))
            return
        work = json.loads(body) if body else {}
        run = {
            "id": request_id,
            "at": time.monotonic(),
            "head": head,
            "ended": "",
            "events": 0,
        }
        self.runs.append(run)
        self._record(f"{self.name} runs {request_id}")
        # What it does when its connection closes: it drops the request.
        closed = asyncio.ensure_future(_closed(reader))
        working = asyncio.ensure_future(self._work(work, lines, writer, run))
        self.running += 1
        await asyncio.wait(
            {closed, working}, return_when=asyncio.FIRST_COMPLETED
        )
        self.running -= 1
        if not working.done():
            working.cancel()
            run["ended"] = "dropped"
            self._record(f"{self.name} drops {request_id}: closed")
            raise OSError("closed")
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        working.result()
        run["ended"] = "complete"
        self._record(f"{self.name} has completed {request_id}")

    async def _work(self, work: dict, lines: list[str], writer, run) -> None:
        await asyncio.sleep(work.get("ms", 20) / 1000)
        if not work.get("events"):
            body = json.dumps({"engine": self.name, "id": run["id"]})
            writer.write(message("200 OK", lines, body.encode()))
            await writer.drain()
            return
        chunked = ["Content-Type: text/event-stream"]
        chunked += ["Transfer-Encoding: chunked"]
        text = "\r\n".join(["HTTP/1.1 200 OK", *lines, *chunked, "", ""])
        writer.write(text.encode())
        first = int(run["head"].get("last-event-id") or 0) + 1
        for number in range(first, work["events"] + 1):
            if number == work.get("pause_at") and first == 1:
                await asyncio.sleep(work["pause_ms"] / 1000)
            await asyncio.sleep(work.get("gap_ms", 50) / 1000)
            event = f"id: {number}\ndata: {self.name}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            run["events"] = number
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def _closed(reader) -> None:
    """Returns once a connection is closed or reset."""
    with contextlib.suppress(OSError):
        await reader.read(1)


def message(status: str, lines: list[str], body: bytes) -> bytes:
    """Returns a response with a length."""
    text = "\r\n".join(
        [f"HTTP/1.1 {status}", *lines, f"Content-Length: {len(body)}", "", ""]
    )
    return text.encode() + body


class Answer:
    """What a client has received for one request.

    Attributes:
        status: Status; 0 if there was no head.
        complete: Whether the response arrived whole.
        protocol_error: Bytes that came instead of a response.
        events: Complete events of a stream.
        closes: Whether it says that the connection closes.
        sent_at: Time when the last byte of the request was sent.
        ended_at: Time when the response ended or broke off.
    """

    def __init__(self, request_id: str):
        self.id = request_id
        self.status = 0
        self.complete = False
        self.body = b""
        self.head: Head | None = None
        self.protocol_error = b""
        self.sent_at = self.ended_at = 0.0

    @property
    def events(self) -> int:
        """Number of complete events."""
        return self.body.count(b"\n\n")

    @property
    def closes(self) -> bool:
        """Whether the router will close the connection."""
        return (
            self.head is None or self.head.get("connection").lower() == "close"
        )

    def __str__(self) -> str:
        end = "whole" if self.complete else "broken off"
        return f"{self.id}: {self.status}, {end}, {self.events} events"


class Client:
    """A client with one connection that it keeps."""

    def __init__(self, port: int, record: Record, key: str = KEY):
        self._port, self._record, self._key = port, record, key
        self._reader = self._writer = None

    @property
    def connected(self) -> bool:
        """Whether it has an open connection."""
        return self._writer is not None

    async def request(
        self,
        request_id: str,
        path: str,
        work: dict,
        deadline_ms: int = 15_000,
        headers: dict[str, str] | None = None,
        method: str = "POST",
    ) -> Answer:
        """Sends a request and receives the response."""
        answer = Answer(request_id)
        fields = {
            "Host": HOST,
            "X-Chicorystack-Request-Attempt-Id": request_id,
            "X-Chicorystack-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {self._key}",
        } | (headers or {})
        body = json.dumps(work).encode() if method == "POST" else b""
        fields["Content-Length"] = str(len(body))
        lines = [f"{name}: {value}" for name, value in fields.items()]
        text = "\r\n".join([f"{method} {path} HTTP/1.1", *lines, "", ""])
        try:
            if self._writer is None:
                self._reader, self._writer = await asyncio.wait_for(
                    asyncio.open_connection(LOOPBACK, self._port), 1.0
                )
            self._writer.write(text.encode() + body)
            await self._writer.drain()
            answer.sent_at = time.monotonic()
            self._record(f"client sends {request_id} {method} {path}")
            await asyncio.wait_for(
                self._receive(answer), deadline_ms / 1000 + 1.0
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self._record(f"client's connection of {request_id}: {error!r}")
            self.close()
        answer.ended_at = time.monotonic()
        self._record(f"client has {answer}")
        if answer.closes:
            self.close()
        return answer

    async def _receive(self, answer: Answer) -> None:
        data = await self._reader.readuntil(b"\r\n\r\n")
        if not data.startswith(b"HTTP/1.1 "):
            answer.protocol_error = data[:60]
            raise OSError(f"no answer: {data[:60]!r}")
        answer.head = head = Head(data)
        answer.status = int(head.line.split()[1])
        if head.get("transfer-encoding") == "chunked":
            while True:
                size = int(await self._reader.readuntil(b"\r\n"), 16)
                chunk = await self._reader.readexactly(size + 2)
                answer.body += chunk[:-2]
                if not size:
                    break
        else:
            length = int(head.get("content-length", "0"))
            while len(answer.body) < length:
                data = await self._reader.read(length - len(answer.body))
                if not data:
                    raise asyncio.IncompleteReadError(answer.body, length)
                answer.body += data
        answer.complete = True

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def route(name: str, service: str, kind: str, **fields) -> dict:
    """Returns a route of the configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 15_000,
        "SloMs": 800,
        "Service": service,
        "MaxAttempts": 1,
    } | fields


def config(version: int, routes: list[dict], services: list[str], **fields):
    """Returns a configuration with one tenant."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": s, "MaxConnections": 300} for s in services],
        "Tenants": [{"Name": "alpha", "ApiKeys": [KEY]}],
    } | fields


def run_case(folder: str, case: Callable) -> None:
    """Runs a case and exits with its result.

    Args:
        folder: Folder of the case, for its record.
        case: Coroutine function of (processes, record, trouble) that returns
            HELD or BROKEN.
    """
    record = Record(Path(folder).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")

    async def run() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        processes = Processes()
        try:
            return await asyncio.wait_for(
                case(processes, record, trouble), 110.0
            )
        except (CaseError, TimeoutError, asyncio.CancelledError) as error:
            record(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await processes.stop()

    try:
        result = asyncio.run(run())
    except Exception as error:  # noqa: BLE001
        record(f"could not run: {error!r}")
        result = NOT_RUN
    verdict = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[result]
    record(f"result: {verdict}")
    print(verdict)
    sys.stdout.flush()
    os._exit(result)
