"""A small fleet for cases: routers as processes, stand-ins of the platform.

The routers are started with the command of `deploy/system.toml` and a settings
file as on the users' pages. The store, the engines and the clients are
stand-ins in the process of the case; they speak what `PROTOCOL.md` says.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HOST = "site.example"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
ID = "x-chicorystack-request-attempt-id"
HEARTBEAT_S = 1.2
PAGE = 50

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
    "StrictRevoke": False,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 52,
    "RecoveryS": 12,
    "PassMs": 120,
    "ReuseWindowS": 10,
    "settle_ms": 1500,
}


class CannotRunError(Exception):
    """The case could not run: this tells nothing about the rule."""


def trouble() -> bool:
    """Returns whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> int:
    """Returns the first of consecutive ports that are free now."""
    for _ in range(200):
        first = random.randrange(20_000, 30_000)
        taken = []
        try:
            for port in range(first, first + count):
                sock = socket.socket()
                taken.append(sock)
                sock.bind((LOOPBACK, port))
        except OSError:
            continue
        finally:
            for sock in taken:
                sock.close()
        return first
    raise CannotRunError("no free ports")


class Record:
    """The file `record.txt` of a case, with the time of each line."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self._began_at = time.monotonic()

    def seconds(self) -> float:
        """Returns the seconds since the case began."""
        return time.monotonic() - self._began_at

    def add(self, text: str) -> None:
        """Writes a line."""
        self._file.write(f"{self.seconds():8.3f} {text}\n")
        self._file.flush()


async def read_head(reader) -> tuple[str, list[tuple[str, str]]]:
    """Returns the first line and the headers, names in lowercase."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    pairs = []
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            pairs.append((name.strip().lower(), value.strip()))
    return first, pairs


async def read_body(reader, headers: dict[str, str]) -> bytes:
    """Returns the body of a request, by its length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns a complete response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """An HTTP server of a stand-in, which can stop and start again."""

    def __init__(self):
        self.port = free_ports(1)
        self._server = None
        self._writers = set()

    async def start(self) -> None:
        """Listens, at the same port as before."""
        for _ in range(50):
            try:
                self._server = await asyncio.start_server(
                    self._serve, LOOPBACK, self.port, limit=1 << 20
                )
                return
            except OSError:
                await asyncio.sleep(0.1)
        raise CannotRunError("a stand-in cannot listen")

    def stop(self) -> None:
        """Refuses new connections and resets the open ones, as a crash."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader, writer) -> None:
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        self._writers.add(writer)
        try:
            while True:
                first, pairs = await read_head(reader)
                method, target, _ = first.split(" ")
                if not await self.handle(method, target, pairs, reader, writer):
                    break
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, method, target, pairs, reader, writer) -> bool:
        """Answers one request; returns whether the connection goes on."""
        raise NotImplementedError


def reset(writer) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class Store(Server):
    """The platform's store: keyed topics in memory, and a drill."""

    def __init__(self, record: Record):
        super().__init__()
        self.record = record
        self.era = 1
        self.away = False
        # Records as (key, value, time, writer) by topic and partition.
        self._logs: dict[tuple[str, int], list] = {}

    def log(self, topic: str, part: int = 0) -> list:
        """Returns the records of a partition."""
        return self._logs.setdefault((topic, part), [])

    def put(self, topic: str, key: str, value: object) -> None:
        """Writes a record as the operator or an engine does."""
        data = b"" if value is None else json.dumps(value).encode()
        self.log(topic).append((key.encode(), data, time.monotonic(), "out"))

    def leave(self) -> None:
        """Is away: resets all connections, and new ones once they ask."""
        self.away = True
        for writer in list(self._writers):
            reset(writer)

    def written(self, topic: str):
        """Yields time, key and value of each record of a topic."""
        for (name, _), records in self._logs.items():
            if name == topic:
                for key, value, written_at, _ in records:
                    yield written_at, key.decode(), value

    def restore(self, copied_at: float) -> None:
        """Comes back from a copy; others write again what they wrote."""
        self.era += 1
        self.away = False
        for records in self._logs.values():
            records[:] = [
                r for r in records if r[2] <= copied_at or r[3] == "out"
            ]

    async def handle(self, method, target, pairs, reader, writer) -> bool:
        """See Server."""
        body = await read_body(reader, dict(pairs))
        if self.away:
            reset(writer)
            return False
        path, _, query = target.partition("?")
        args = {name: values[0] for name, values in parse_qs(query).items()}
        name = path.rpartition("/")[2]
        log = self.log(args.get("Topic", ""), int(args.get("part", 0)))
        status, data = 200, b"{}"
        if name == "log-append":
            status, data = self._append(args, log, body)
        elif name == "log-newest":
            data = self._newest(args, log)
        elif name == "log-read":
            status, data = await self._read(args, log)
            if self.away:
                reset(writer)
                return False
        writer.write(answer(status, {"Store-Era": str(self.era)}, data))
        await writer.drain()
        return True

    def _append(self, args, log, body) -> tuple[int, bytes]:
        if args["Topic"] in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        if "At" in args and int(args["At"]) != len(log):
            return 412, json.dumps({"End": len(log)}).encode()
        offset, position, now = len(log), 0, time.monotonic()
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + size]
            position += 4 + size
            key = content[1 : 1 + content[0]]
            log.append((key, content[1 + content[0] :], now, "system"))
        return 200, json.dumps({"Offset": offset, "End": len(log)}).encode()

    def _newest(self, args, log) -> bytes:
        newest = {r[0]: (offset, r) for offset, r in enumerate(log)}
        keys = sorted(k for k, (_, r) in newest.items() if r[1])
        keys = [k for k in keys if k.decode() > args.get("After", "")]
        entries = [
            {
                "Key": key.decode(),
                "Value": base64.b64encode(newest[key][1][1]).decode(),
                "Offset": newest[key][0],
            }
            for key in keys[:PAGE]
        ]
        page = {"Entries": entries, "HasMore": len(keys) > PAGE}
        return json.dumps(page | {"End": len(log)}).encode()

    async def _read(self, args, log) -> tuple[int, bytes]:
        start = int(args["From"])
        until = time.monotonic() + int(args.get("WaitMs", 0)) / 1000
        while len(log) <= start and time.monotonic() < until:
            if self.away:
                break
            await asyncio.sleep(0.01)
        if start > len(log):
            return 410, json.dumps({"First": 0}).encode()
        parts = [struct.pack(">QQ", len(log), 0)]
        for key, value, _, _ in log[start:]:
            content = bytes([len(key)]) + key + value
            parts.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(parts)


class Engine(Server):
    """An engine of a service.

    Attributes:
        runs: What it has run, as (time, id, method, target, size of body).
    """

    def __init__(self, store: Store, name: str, service: str, slots: int = 8):
        super().__init__()
        self.store = store
        self.record = store.record
        self.name = name
        self.service = service
        self.slots = slots
        self.active = 0
        self.state = "ready"
        self.sequence = 0
        self.work_ms = 20.0
        self.event_ms = 20.0
        self.runs: list[tuple] = []
        self.delivered: dict[str, int] = {}
        self.up = False
        self._beating = None

    async def start(self) -> None:
        """Starts a new incarnation and registers it."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        await super().start()
        self.up = True
        self._beating = asyncio.ensure_future(self._beat())

    def stop(self) -> None:
        """Crashes."""
        self.up = False
        if self._beating is not None:
            self._beating.cancel()
        super().stop()

    def register(self) -> None:
        """Writes its entry."""
        self.sequence += 1
        entry = {
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
        self.store.put("keyed.servers", self.name, entry)

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def headers(self, request_id: str) -> dict[str, str]:
        """Returns the headers of an answer to a request that it has run."""
        load = f"{self.active},0,{self.slots}"
        return {
            "X-Chicorystack-Request-Attempt-Id": request_id,
            "X-Chicorystack-Response-Seal": SEAL,
            "X-Chicorystack-Engine-Load": load,
        }

    def before_run(self, request: dict) -> bool:
        """Called as a request begins to run; False if the engine crashes."""
        return True

    async def handle(self, method, target, pairs, reader, writer) -> bool:
        """See Server."""
        headers = dict(pairs)
        body = await read_body(reader, headers)
        expected = headers.get("x-chicorystack-expect-instance")
        if expected not in (None, self.name):
            writer.write(answer(421, {"X-Chicorystack-Engine-Id": self.name}))
            return True
        request_id = headers.get(ID, "")
        if self.active >= self.slots * 4:
            refused = {ID: request_id, "X-Chicorystack-Not-Executed": "1"}
            writer.write(answer(503, refused))
            return True
        request = {
            "id": request_id,
            "method": method,
            "target": target,
            "headers": headers,
            "size": len(body),
        }
        self.runs.append((time.monotonic(), request_id, method, target))
        self.record.add(f"{self.name} runs {request_id} {method} {target}")
        if not self.before_run(request):
            return False
        self.active += 1
        try:
            if usage := headers.get("x-chicorystack-token-usage"):
                await self._stream(request, usage, writer)
            else:
                await asyncio.sleep(self.work_ms / 1000)
                done = json.dumps({"by": self.name, "id": request_id}).encode()
                writer.write(answer(200, self.headers(request_id), done))
            await writer.drain()
        finally:
            self.active -= 1
        return True

    async def _stream(self, request, usage, writer) -> None:
        _, output = (int(part) for part in usage.split(","))
        lines = self.headers(request["id"]) | {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        first = int(request["headers"].get("last-event-id") or 0) + 1
        for number in range(first, -(-output // 4) + 1):
            await asyncio.sleep(self.event_ms / 1000)
            if writer.transport.is_closing():
                raise ConnectionError
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            self.delivered[request["id"]] = number
        writer.write(b"0\r\n\r\n")


class Router:
    """A router process on a machine of its own name."""

    def __init__(self, fleet: "Fleet", name: str, zone: str, memory_mb: int):
        self._fleet = fleet
        self.name = name
        first = free_ports(18)
        self.front, self.ready_port = first, first + 1
        settings = {
            "NodeName": name,
            "Role": "router",
            "MachineClass": "front",
            "Serves": ["front"],
            "NodeIp": LOOPBACK,
            "Zone": zone,
            "Region": "region",
            "Zones": {"zone-a": "region", "zone-b": "region"},
            "Listen": {
                "Front": f"{LOOPBACK}:{self.front}",
                "ReadyAddr": f"{LOOPBACK}:{self.ready_port}",
            },
            "PortRange": [first + 2, first + 17],
            "Bootstrap": True,
            "Limits": {
                "CpuShare": 0.817,
                "CpuCores": 1,
                "MemoryMb": memory_mb,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "HeartbeatMs": 1200,
            "Bounds": BOUNDS,
            "Platform": {
                "Address": f"{LOOPBACK}:{fleet.store.port}",
                "form": "log",
                "WritesPerS": 800,
                "ReadsPerS": 2000,
                "parts": 24,
                "keep_s": 300,
            },
        }
        self._settings = fleet.folder / f"{name}.json"
        self._settings.write_text(json.dumps(settings))
        self.process = None

    async def start(self) -> None:
        """Starts the process."""
        log = (self._fleet.folder / f"{self.name}.log").open("ab")
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["CHICORYSTACK_SETTINGS"] = str(self._settings)
        self.process = await asyncio.create_subprocess_exec(
            *self._fleet.command,
            cwd=ROOT,
            env=variables,
            stdout=log,
            stderr=log,
        )
        log.close()

    async def is_ready(self) -> bool:
        """Returns whether the router says that it is ready."""
        try:
            reply = await call(self.ready_port, "GET", "/-/readiness", {})
        except (OSError, asyncio.IncompleteReadError):
            return False
        return reply["status"] == 200

    async def wait_ready(self, within_s: float = 20.0) -> None:
        """Waits until the router is ready."""
        until = time.monotonic() + within_s
        while not await self.is_ready():
            if time.monotonic() > until or self.process.returncode is not None:
                raise CannotRunError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def events(self) -> list[str]:
        """Returns the lines that the process has written."""
        path = self._fleet.folder / f"{self.name}.log"
        return path.read_text(errors="replace").splitlines()

    def resident_mb(self) -> float:
        """Returns the resident memory of the process, in MB."""
        pages = Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def call(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    connection=None,
) -> dict:
    """Sends a request and returns the answer.

    Args:
        port: Port to connect to.
        method: HTTP method.
        target: Path and query.
        headers: Headers besides the host and the length.
        body: Body.
        connection: Reader and writer to use; None for a new connection.
    """
    reader, writer = connection or await asyncio.open_connection(LOOPBACK, port)
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    try:
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        first, pairs = await read_head(reader)
        reply = dict(pairs)
        data, whole = await _read_answer(reader, reply)
    finally:
        if connection is None:
            writer.close()
    status = int(first.split(" ")[1])
    return {"status": status, "headers": reply, "body": data, "whole": whole}


async def _read_answer(reader, headers) -> tuple[bytes, bool]:
    if headers.get("transfer-encoding", "") != "chunked":
        return await read_body(reader, headers), True
    parts = []
    try:
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return b"".join(parts), False
    return b"".join(parts), True


class Fleet:
    """A store, engines and routers of one case."""

    def __init__(self, record: Record):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = shlex.split(deploy["roles"]["router"]["run"])
        self.store = Store(record)
        self.engines: list[Engine] = []
        self.routers: list[Router] = []

    def add_router(
        self, name: str, zone: str = "zone-a", memory_mb: int = 300
    ) -> Router:
        """Adds a router, which is not started yet."""
        router = Router(self, name, zone, memory_mb)
        self.routers.append(router)
        return router

    async def stop(self) -> None:
        """Ends all that the case has started."""
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
        for router in self.routers:
            if router.process is not None:
                await router.process.wait()
        for engine in self.engines:
            engine.stop()
        self.store.stop()
        self._temporary.cleanup()


def route(name: str, service: str, kind: str, **more: object) -> dict:
    """Returns a route of a configuration."""
    fields = {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 5000,
        "SloMs": 800,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 1,
        "AuthExempt": False,
        "Sticky": False,
        "StreamResume": False,
    }
    return fields | more


def config(version: int, prepaid: int) -> dict:
    """Returns a configuration with a model service and a plain one."""
    return {
        "Version": version,
        "Routes": [
            route(
                "ask", "llm", "streaming", MaxAttempts=2, StreamResume=True,
                Sticky=True, TargetGapMs=300,
            ),
            route(
                "guide", "llm", "streaming", Sticky=True, TimeoutMs=15000,
                TargetGapMs=300,
            ),
            route("book", "app", "non_idempotent"),
            route("status", "app", "idempotent", MaxAttempts=2),
        ],
        "Services": [
            {
                "Name": "llm",
                "HealthPath": "/health",
                "MaxConnections": 360,
                "Protocol": "h1",
                "Tls": False,
                "Engine": {"Slots": 64, "KvCapacity": 289242, "Stride": 4},
            },
            {
                "Name": "app",
                "HealthPath": "/health",
                "MaxConnections": 96,
                "Protocol": "h1",
                "Tls": False,
            },
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [
            {"Name": "alpha", "ApiKeys": ["key-alpha"], "Prepaid": prepaid}
        ],
    }  # fmt: skip


def client_headers(request_id: str, deadline_ms: int) -> dict[str, str]:
    """Returns the headers of a client's request."""
    return {
        "X-Chicorystack-Request-Attempt-Id": request_id,
        "X-Chicorystack-Deadline-Ms": str(deadline_ms),
        "Authorization": "Bearer key-alpha",
    }


def new_id() -> str:
    """Returns an ID for a client attempt."""
    return f"{random.getrandbits(64):016x}"


def run(case, folder: str) -> None:
    """Runs a case and exits: 0 if the rule held, 1 if not, 2 if it can't run.

    Args:
        case: Coroutine function that gets the fleet and the record, and
            returns whether the rule held.
        folder: File in the case's folder.
    """
    record = Record(Path(folder).resolve().parent)

    async def play() -> bool:
        fleet = Fleet(record)
        try:
            await fleet.store.start()
            return await asyncio.wait_for(case(fleet, record), 110)
        finally:
            await fleet.stop()

    try:
        held = asyncio.run(play())
    except (TimeoutError, CannotRunError, OSError) as error:
        record.add(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    record.add("the rule held" if held else "THE RULE WAS BROKEN")
    print("held" if held else "BROKEN")
    sys.exit(0 if held else 1)
