"""Compares the cost of the router with that of a minimal reverse proxy.

Both get the same load, one after the other in one run. Processor times are
those that the kernel reports for their processes.

    python -m bench.path_speed --seconds=6
"""

import json
import os
import statistics
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple, TypedDict

import fire
import msgspec
from hdrh.histogram import HdrHistogram
from twisted.internet import defer, reactor, task
from twisted.web import client, http_headers

from bench.fleet import Fleet, free_port, running_fleet, send, wait_until
from bench.load import ResponseReader, record_seconds
from chicorystack.defaults import LOOPBACK
from chicorystack.web.client import BytesProducer

EXAMPLE = Path(__file__).parent.parent / "examples" / "brandvagt.yaml"
SITE = "dk-east"
ENGINES = tuple(f"fault-model-{number}" for number in range(1, 5))
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
TOKENS = 250
BUDGET_TOKENS = 1_000_000_000
WARM_UP_S = 2.0
CONNECTIONS = 512


class CallPath(NamedTuple):
    """A path from the caller to the engines.

    Attributes:
        name: `router`, or `bare` for the reverse proxy.
        port: Port to call.
        path: URL path to call.
        secret: Customer's secret key; empty for none.
        processes: Names of the processes whose processor time is counted.
    """

    name: str
    port: int
    path: str
    secret: str
    processes: tuple[str, ...]


class CallPathReport(TypedDict):
    """Results of one load on one call path.

    Attributes:
        rate: Calls per second.
        calls: Calls sent.
        failed: Calls without a complete response of `TOKENS` tokens.
        cpu_ms_by_process: Processor time per call, in milliseconds.
        first_ms: Time to the first byte at p50, p95 and p99, in milliseconds.
        open_at_end: Calls in flight when the last one was sent.
        open_half_way: Calls in flight when half of them were sent.
    """

    rate: float
    calls: int
    failed: int
    cpu_ms_by_process: dict[str, float]
    first_ms: list[float]
    open_at_end: int
    open_half_way: int


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


class SteadyLoad:
    """Calls at regular intervals on one path, each of `TOKENS` tokens."""

    def __init__(self, call_path: CallPath, rate: float, seconds: float):
        self._call_path = call_path
        self._rate = rate
        self._calls = int(rate * seconds)
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = CONNECTIONS
        self._http = client.Agent(reactor, pool=pool)
        self.first_byte = HdrHistogram(1, 60_000_000, 3)
        self.failed = 0
        self.in_flight = 0
        self.open_half_way = 0

    async def run(self) -> int:
        """Sends all calls and waits for their end.

        Returns the number of calls in flight when the last one was sent.
        """
        start = reactor.seconds()
        running = []
        for number in range(self._calls):
            planned_at = start + number / self._rate
            delay = planned_at - reactor.seconds()
            if delay > 0:
                await task.deferLater(reactor, delay)
            if number == self._calls // 2:
                self.open_half_way = self.in_flight
            running.append(defer.ensureDeferred(self._call(number, planned_at)))
        open_at_end = self.in_flight
        await defer.gatherResults(running)
        return open_at_end

    async def _call(self, number: int, planned_at: float) -> None:
        reader = ResponseReader(reactor, HdrHistogram(1, 60_000_000, 3))
        self.in_flight += 1
        try:
            response = await self._send(number)
            response.deliverBody(reader)
            await reader.finished
        except Exception:
            self.failed += 1
            return
        finally:
            self.in_flight -= 1
        if b"".join(reader.chunks).count(b'{"text"') != TOKENS:
            self.failed += 1
            return
        record_seconds(self.first_byte, reader.first_at - planned_at)

    async def _send(self, number: int):
        headers = http_headers.Headers({"content-type": ["application/json"]})
        if self._call_path.secret:
            headers.addRawHeader(
                "authorization", f"Bearer {self._call_path.secret}"
            )
        message = {"prompt": f"{number}", "max_tokens": TOKENS}
        if not self._call_path.secret:
            message["priority"] = "normal"
        url = f"http://{LOOPBACK}:{self._call_path.port}{self._call_path.path}"
        body = BytesProducer(msgspec.json.encode(message))
        return await self._http.request(b"POST", url.encode(), headers, body)


async def measure(
    fleet: Fleet, call_path: CallPath, rate: float, seconds: float
) -> CallPathReport:
    """Runs one load on one call path, after a warm-up."""
    pid_by_name = {
        name: fleet.process_by_name[name].pid for name in call_path.processes
    }
    await SteadyLoad(call_path, min(rate, 20.0), WARM_UP_S).run()
    before = {name: cpu_seconds(pid) for name, pid in pid_by_name.items()}
    load = SteadyLoad(call_path, rate, seconds)
    open_at_end = await load.run()
    calls = int(rate * seconds)
    return CallPathReport(
        rate=rate,
        calls=calls,
        failed=load.failed,
        cpu_ms_by_process={
            name: (cpu_seconds(pid) - before[name]) / calls * 1000
            for name, pid in pid_by_name.items()
        },
        first_ms=[
            load.first_byte.get_value_at_percentile(percentile) / 1000
            for percentile in (50, 95, 99)
        ],
        open_at_end=open_at_end,
        open_half_way=load.open_half_way,
    )


def start(
    fleet: Fleet, first_token_s: float, gap_s: float
) -> tuple[CallPath, ...]:
    """Starts the reverse proxy, a router, and engines with their agents.

    Returns the call paths through both.
    """
    fleet.start_platform()
    service = fleet.config.site_by_name[SITE].service_by_name["fault-model"]
    fleet.start_router("router-1", SITE, "dk-east-1")
    flags = f"--slots=4096 --first_token_s={first_token_s} --gap_s={gap_s}"
    flags += f" --answer_tokens={TOKENS}"
    targets = [
        fleet.start_target(service, name, *flags.split()) for name in ENGINES
    ]
    fleet.ctl("publish", str(fleet.config_path))
    fleet.wait_until_ready()
    port = free_port()
    ports = [target.port for target in targets]
    fleet.spawn_python("pass-through", "bench.pass_through", port, *ports)
    wait_until(
        "the reverse proxy answers", lambda: send(port, "GET", "/").status
    )
    secret = fleet.ctl("create_customer", "speed")["key"]
    fleet.ctl("top_up", "speed", str(BUDGET_TOKENS))
    router_port = fleet.router_by_name["router-1"].port
    path = "/v1/services/fault-model/summary"
    router = CallPath(
        "router", router_port, path, secret, ("router-1", *ENGINES)
    )
    bare = CallPath("bare", port, "/generate", "", ("pass-through",))
    return bare, router


async def compare_call_paths(
    rates: list[float], seconds: float, rounds: int, gap_s: float
) -> list[tuple[str, CallPathReport]]:
    """Runs all rates on both call paths in turn."""
    reports = []
    with tempfile.TemporaryDirectory() as directory:
        config = Path(directory) / "config.yaml"
        text = EXAMPLE.read_text()
        config.write_text(
            text.replace("max_in_flight: 32", "max_in_flight: 128")
        )
        with running_fleet(config, Path(directory)) as fleet:
            call_paths = start(fleet, 0.05, gap_s)
            for rate in rates:
                for _ in range(rounds):
                    for call_path in call_paths:
                        report = await measure(fleet, call_path, rate, seconds)
                        reports.append((call_path.name, report))
                        print(call_path.name, json.dumps(report), flush=True)
    return reports


def _median_cost(
    reports: list[tuple[str, CallPathReport]], rate: float, name: str
):
    return statistics.median(
        sum(report["cpu_ms_by_process"].values())
        if name == "bare"
        else report["cpu_ms_by_process"]["router-1"]
        for path_name, report in reports
        if path_name == name and report["rate"] == rate
    )


def compare(
    rates: str = "36",
    seconds: float = 6.0,
    rounds: int = 1,
    gap_s: float = 0.01,
) -> None:
    """Compares the router with the reverse proxy.

    Args:
        rates: Calls per second, separated by commas.
        seconds: Length of each load.
        rounds: Loads per rate and call path.
        gap_s: Time between two tokens of the engine, in seconds.
    """
    texts = str(rates).strip("()").split(",")
    rate_list = [float(text) for text in texts if text.strip()]

    async def main(_reactor) -> None:
        reports = await compare_call_paths(rate_list, seconds, rounds, gap_s)
        for rate in rate_list:
            bare = _median_cost(reports, rate, "bare")
            router = _median_cost(reports, rate, "router")
            print(
                f"{rate:g}/s: bare {bare:.2f} ms, router {router:.2f} ms, "
                f"ratio {router / bare:.2f}"
            )

    task.react(lambda _: defer.ensureDeferred(main(_)))


if __name__ == "__main__":
    sys.exit(fire.Fire(compare))
