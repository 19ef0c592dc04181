"""Cost of the path: the router against a bare pass-through.

Both carry the same load in turn in one run. Processor times are those of
their processes, as the system counts them.

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
from bench.load import AnswerReader, record_seconds
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


class Way(NamedTuple):
    """One way to the engine.

    Attributes:
        name: Name for the table.
        port: Port to call.
        path: Path to call.
        secret: Customer's key; empty for none.
        processes: Processes whose time is counted.
    """

    name: str
    port: int
    path: str
    secret: str
    processes: tuple[str, ...]


class WayReport(TypedDict):
    """What a load cost on one way.

    Attributes:
        rate: Calls a second.
        calls: Calls sent.
        failed: Calls without a whole answer of all tokens.
        cpu_ms_by_process: Processor time for each call.
        first_ms: Time to the first byte at p50, p95 and p99.
        open_at_end: Calls open as the last was sent.
        open_half_way: Calls open at half of the time.
    """

    rate: float
    calls: int
    failed: int
    cpu_ms_by_process: dict[str, float]
    first_ms: list[float]
    open_at_end: int
    open_half_way: int


def processor_seconds(pid: int) -> float:
    """Returns the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


class SteadyLoad:
    """Calls at even intervals on one way, all of them `TOKENS` long."""

    def __init__(self, way: Way, rate: float, seconds: float):
        self._way = way
        self._rate = rate
        self._calls = int(rate * seconds)
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = CONNECTIONS
        self._http = client.Agent(reactor, pool=pool)
        self.first = HdrHistogram(1, 60_000_000, 3)
        self.failed = 0
        self.open = 0
        self.open_half_way = 0

    async def run(self) -> int:
        """Sends all calls; returns how many were open after the last."""
        start = reactor.seconds()
        running = []
        for number in range(self._calls):
            intended = start + number / self._rate
            delay = intended - reactor.seconds()
            if delay > 0:
                await task.deferLater(reactor, delay)
            if number == self._calls // 2:
                self.open_half_way = self.open
            running.append(defer.ensureDeferred(self._call(number, intended)))
        open_at_end = self.open
        await defer.gatherResults(running)
        return open_at_end

    async def _call(self, number: int, intended: float) -> None:
        reader = AnswerReader(reactor, HdrHistogram(1, 60_000_000, 3))
        self.open += 1
        try:
            response = await self._send(number)
            response.deliverBody(reader)
            await reader.finished
        except Exception:
            self.failed += 1
            return
        finally:
            self.open -= 1
        if b"".join(reader.chunks).count(b'{"text"') != TOKENS:
            self.failed += 1
            return
        record_seconds(self.first, reader.first_at - intended)

    async def _send(self, number: int):
        headers = http_headers.Headers({"content-type": ["application/json"]})
        if self._way.secret:
            headers.addRawHeader("authorization", f"Bearer {self._way.secret}")
        message = {"prompt": f"{number}", "max_tokens": TOKENS}
        if not self._way.secret:
            message["priority"] = "normal"
        url = f"http://{LOOPBACK}:{self._way.port}{self._way.path}"
        body = BytesProducer(msgspec.json.encode(message))
        return await self._http.request(b"POST", url.encode(), headers, body)


async def measure(
    fleet: Fleet, way: Way, rate: float, seconds: float
) -> WayReport:
    """Runs one load on one way."""
    pid_by_name = {
        name: fleet.process_by_name[name].pid for name in way.processes
    }
    await SteadyLoad(way, min(rate, 20.0), WARM_UP_S).run()
    before = {name: processor_seconds(pid) for name, pid in pid_by_name.items()}
    load = SteadyLoad(way, rate, seconds)
    open_at_end = await load.run()
    calls = int(rate * seconds)
    return WayReport(
        rate=rate,
        calls=calls,
        failed=load.failed,
        cpu_ms_by_process={
            name: (processor_seconds(pid) - before[name]) / calls * 1000
            for name, pid in pid_by_name.items()
        },
        first_ms=[
            load.first.get_value_at_percentile(percentile) / 1000
            for percentile in (50, 95, 99)
        ],
        open_at_end=open_at_end,
        open_half_way=load.open_half_way,
    )


def start(fleet: Fleet, first_token_s: float, gap_s: float) -> tuple[Way, ...]:
    """Starts the yardstick, a router, and engines with their agents."""
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
    wait_until("the pass-through", lambda: send(port, "GET", "/").status)
    secret = fleet.ctl("create_customer", "speed")["key"]
    fleet.ctl("top_up", "speed", str(BUDGET_TOKENS))
    router_port = fleet.router_by_name["router-1"].port
    path = "/v1/services/fault-model/summary"
    router = Way("router", router_port, path, secret, ("router-1", *ENGINES))
    bare = Way("bare", port, "/generate", "", ("pass-through",))
    return bare, router


async def compare_ways(
    rates: list[float], seconds: float, rounds: int, gap_s: float
) -> list[tuple[str, WayReport]]:
    """Runs all rates on both ways in turn."""
    reports = []
    with tempfile.TemporaryDirectory() as directory:
        config = Path(directory) / "config.yaml"
        text = EXAMPLE.read_text()
        config.write_text(
            text.replace("max_in_flight: 32", "max_in_flight: 128")
        )
        with running_fleet(config, Path(directory)) as fleet:
            ways = start(fleet, 0.05, gap_s)
            for rate in rates:
                for _ in range(rounds):
                    for way in ways:
                        report = await measure(fleet, way, rate, seconds)
                        reports.append((way.name, report))
                        print(way.name, json.dumps(report), flush=True)
    return reports


def _median_cost(reports: list[tuple[str, WayReport]], rate: float, name: str):
    return statistics.median(
        sum(report["cpu_ms_by_process"].values())
        if name == "bare"
        else report["cpu_ms_by_process"]["router-1"]
        for way, report in reports
        if way == name and report["rate"] == rate
    )


def compare(
    rates: str = "36",
    seconds: float = 6.0,
    rounds: int = 1,
    gap_s: float = 0.01,
) -> None:
    """Compares the router with the pass-through.

    Args:
        rates: Calls a second, with commas.
        seconds: Length of each load.
        rounds: Loads on each way.
        gap_s: Time between two tokens of the engine.
    """
    texts = str(rates).strip("()").split(",")
    rate_list = [float(text) for text in texts if text.strip()]

    async def main(_reactor) -> None:
        reports = await compare_ways(rate_list, seconds, rounds, gap_s)
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
