"""Starts a small deployment: store, engines and the project's routers.

Routers are started with the line `run` of the deploy file, from the
repository's root, with what its build has placed in `target/deps`.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from http_server import Answer, send
from store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = "llm.example"
KEY = "key-of-alpha"
HEARTBEAT_S = 1.2
# Cases that are played side by side use other addresses.
BASE_IP = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250}."
FRONT, READY, INTERNAL = 0, 1, 2
PORTS = 20


class CannotRunError(Exception):
    """The case cannot run here."""


def route(name: str, service: str, kind: str, **fields: object) -> dict:
    """Returns a route of the operator's configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 5000,
        "SloMs": 800,
        "Service": service,
        "MaxAttempts": 2,
    } | fields


def free_port_block(ips: list[str], size: int) -> int:
    """Returns the first of some ports that are free at all addresses."""
    for first in range(21_000, 30_000, size):
        sockets = []
        try:
            for ip in ips:
                for port in range(first, first + size):
                    probe = socket.socket()
                    sockets.append(probe)
                    probe.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise CannotRunError("no free ports")


class Deployment:
    """A store, engines and routers on loopback addresses.

    Attributes:
        store: The store.
        record: Lines for `record.txt`.
        bounds: Bounds in the routers' settings.
        limits: Limits in the routers' settings.
    """

    def __init__(self, folder: Path, routers: int, engines: int):
        if not (ROOT / "target" / "deps" / "twisted").is_dir():
            raise CannotRunError("the deploy file's build has not run")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._run_line = deploy["roles"]["router"]["run"].split()
        self._folder = folder
        self._temp = Path(tempfile.mkdtemp(prefix="case-"))
        self.store = Store()
        self.record: list[dict] = []
        self.bounds = {
            "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000,
            "AckMs": 4000, "SyncS": 4, "DrainMs": 2000, "GracePeriodS": 8,
            "LossSlackMs": 200, "ConfigApplyMs": 2000,
            "RollbackSlackMs": 250, "PartitionMaxMs": 5000,
            "StrictRevoke": False, "RevokeMs": 5000,
            "RetryBudgetRatio": 0.2, "RetryWindowS": 10, "RetrySlack": 52,
            "RecoveryS": 12, "PassMs": 120, "ReuseWindowS": 10,
            "settle_ms": 1500,
        }  # fmt: skip
        self.limits = {
            "CpuShare": 0.817, "CpuCores": 1, "MemoryMb": 300,
            "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0,
        }  # fmt: skip
        self._ips = [f"{BASE_IP}{n + 1}" for n in range(1 + routers + engines)]
        self._port = free_port_block(self._ips, PORTS)
        self.routers = [f"front-{n}" for n in range(1, routers + 1)]
        self._ip_by_router = dict(
            zip(self.routers, self._ips[1:], strict=False)
        )
        self._engine_ips = self._ips[1 + routers :]
        self._process: dict[str, subprocess.Popen] = {}
        self._entry: dict[str, dict] = {}
        self._last_beat: dict[str, float] = {}
        self._engine_settings: dict[str, dict] = {}
        self._engine_count = 0
        self._tasks: list[asyncio.Task] = []

    async def start(self, config: dict) -> None:
        """Starts the store with a configuration, and the heartbeats."""
        await self.store.start(self._ips[0], self._port)
        self.store.put("keyed.op", "config", json.dumps(config))
        self._tasks.append(asyncio.create_task(self._beat()))

    def note(self, event: str, **fields: object) -> None:
        """Adds a line to the record."""
        self.record.append(
            {"t": round(time.time(), 3), "event": event} | fields
        )

    def start_engine(self, place: int, service: str, **settings) -> str:
        """Starts an engine under a new ID; returns the ID."""
        self._engine_count += 1
        name = f"i-{self._engine_count:04d}"
        ip = self._engine_ips[place]
        all_settings = {"id": name, "ip": ip, "port": self._port} | settings
        with (self._temp / f"engine-{name}.log").open("ab") as output:
            self._process[name] = subprocess.Popen(
                [
                    sys.executable,
                    str(Path(__file__).with_name("engine.py")),
                    json.dumps(all_settings),
                ],
                stdout=output,
                stderr=subprocess.DEVNULL,
            )
        self._engine_settings[name] = {"place": place, "service": service}
        self._entry[name] = {
            "Service": service,
            "Address": f"{ip}:{self._port}",
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": settings.get("slots", 64),
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 0,
            "born": int(time.time() * 1000),
        }
        self.note("engine_started", engine=name, place=place)
        return name

    def crashed_engines(self) -> list[str]:
        """Returns engines that have ended since the last call."""
        ended = [
            name
            for name in self._engine_settings
            if name in self._entry and self._process[name].poll() is not None
        ]
        for name in ended:
            del self._entry[name]
            self.note("engine_crashed", engine=name)
        return ended

    def place_of(self, name: str) -> int:
        """Returns the place of an engine."""
        return self._engine_settings[name]["place"]

    async def _beat(self) -> None:
        """Writes the engines' entries; removes those that have fallen silent.

        An entry goes after three intervals of silence.
        """
        while True:
            now = time.monotonic()
            for name, entry in self._entry.items():
                if self._process[name].poll() is None:
                    entry["Sequence"] += 1
                    self.store.put("keyed.servers", name, json.dumps(entry))
                    self._last_beat[name] = now
            for name, at in list(self._last_beat.items()):
                if now - at > 3 * HEARTBEAT_S:
                    del self._last_beat[name]
                    self.store.put("keyed.servers", name, "")
            await asyncio.sleep(HEARTBEAT_S)

    def start_router(self, name: str) -> None:
        """Starts a router process."""
        ip, port = self._ip_by_router[name], self._port
        settings = {
            "NodeName": name,
            "Role": "router",
            "MachineClass": "front",
            "Serves": ["front"],
            "NodeIp": ip,
            "Zone": "zone-a",
            "Region": "region",
            "Zones": {"zone-a": "region"},
            "Listen": {
                "Front": f"{ip}:{port + FRONT}",
                "ReadyAddr": f"{ip}:{port + READY}",
            },
            "PortRange": [port + INTERNAL, port + PORTS - 1],
            "Limits": self.limits,
            "DataDir": None,
            "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "Bounds": self.bounds,
            "Platform": {"Address": f"{self._ips[0]}:{port}", "form": "log"},
        }
        path = self._temp / f"{name}.json"
        path.write_text(json.dumps(settings))
        with (self._temp / f"{name}.log").open("ab") as output:
            self._process[name] = subprocess.Popen(
                self._run_line,
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", ""),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "CHICORYSTACK_SETTINGS": str(path),
                },
            )
        self.note("router_started", router=name)

    async def wait_until_ready(self, names: list[str]) -> None:
        """Waits until routers report that they are ready."""
        give_up_at = time.monotonic() + 20.0
        for name in names:
            while not await self.is_ready(name):
                if time.monotonic() >= give_up_at:
                    raise CannotRunError(f"{name} does not become ready")
                await asyncio.sleep(0.05)

    async def is_ready(self, name: str) -> bool:
        """Returns whether a router reports that it is ready."""
        answer = await send(
            self._ip_by_router[name],
            self._port + READY,
            "GET",
            "/-/readiness",
            {"Host": HOST},
            timeout_s=1.0,
        )
        return answer.status == 200

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process of this deployment."""
        self.note("signal", process=name, number=int(number))
        self._process[name].send_signal(number)

    async def wait_for_end(self, name: str, timeout_s: float) -> None:
        """Waits until a process has ended; kills it after the timeout."""
        give_up_at = time.monotonic() + timeout_s
        while self._process[name].poll() is None:
            if time.monotonic() >= give_up_at:
                self.signal(name, signal.SIGKILL)
                give_up_at += 5.0
            await asyncio.sleep(0.02)

    async def call(
        self,
        router: str,
        target: str,
        call: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        method: str = "POST",
        deadline_s: float = 5.0,
    ) -> Answer:
        """Sends a client's request through a router and records it."""
        self.note("sent", call=call, router=router, target=target)
        answer = await send(
            self._ip_by_router[router],
            self._port + FRONT,
            method,
            target,
            {
                "Host": HOST,
                "X-Chicorystack-Request-Attempt-Id": call,
                "X-Chicorystack-Deadline-Ms": str(int(deadline_s * 1000)),
                "Authorization": f"Bearer {KEY}",
            }
            | (headers or {}),
            body,
            deadline_s,
        )
        self.note(
            "answered",
            call=call,
            status=answer.status,
            whole=answer.whole,
            retry_after=answer.headers.get("retry-after", ""),
            bytes=len(answer.body),
        )
        return answer

    def engine_lines(self) -> list[dict]:
        """Returns what the engines have written, in the order of time."""
        lines = []
        for path in self._temp.glob("engine-*.log"):
            for line in path.read_text().splitlines():
                with contextlib.suppress(ValueError):
                    lines.append(json.loads(line))
        return sorted(lines, key=lambda line: line["t"])

    def router_events(self, name: str) -> list[dict]:
        """Returns the events that a router has written."""
        events = []
        for line in (self._temp / f"{name}.log").read_text().splitlines():
            with contextlib.suppress(ValueError):
                events.append(json.loads(line))
        return events

    def write_record(self, verdict: str) -> None:
        """Writes `record.txt`: the verdict, then all that happened."""
        lines = [verdict]
        events = sorted(
            [*self.record, *self.engine_lines()], key=lambda line: line["t"]
        )
        lines += [json.dumps(event) for event in events]
        (self._folder / "record.txt").write_text("\n".join(lines) + "\n")

    def stop(self) -> None:
        """Kills all processes that were started, and removes their files."""
        for task in self._tasks:
            task.cancel()
        for process in self._process.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._process.values():
            process.wait()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self._temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self._temp, ignore_errors=True)


def run_case(folder: Path, routers: int, engines: int, case) -> int:
    """Runs a case; returns 1 if the rule was broken, 0 if not, 2 if not run.

    Args:
        folder: Folder of the case.
        routers: Number of routers.
        engines: Number of places for engines.
        case: Plays the case, given the deployment and whether there is
            trouble; returns whether the rule held, and a line on it.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        deployment = Deployment(folder, routers, engines)
    except CannotRunError as error:
        print(f"cannot run: {error}")
        return 2
    try:
        held, verdict = asyncio.run(case(deployment, trouble))
    except CannotRunError as error:
        deployment.write_record(f"cannot run: {error}")
        print(f"cannot run: {error}")
        return 2
    else:
        verdict = f"{'held' if held else 'BROKEN'}: {verdict}"
        deployment.write_record(verdict)
        print(verdict)
        return 0 if held else 1
    finally:
        deployment.stop()
