"""Measures the cost of real processes.

The costs are those of an idle process and those per message, call, token and
idempotency key.
"""

import functools
import http.client
import json
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

from bench.fleet import FLEET_TOKEN, Fleet, running_fleet, send
from bench.slopes import PAGE_BYTES, Slope, slope_of
from chicorystack.calls.messages import EngineRequest
from chicorystack.defaults import LOOPBACK
from chicorystack.standin.engine import answer_length

EXAMPLE = Path(__file__).parent.parent / "examples" / "brandvagt.yaml"
SITE = "dk-east"
IDLE_S = 12.0
RUNS = 3
CONTROL_MESSAGES = 1_000
BOOKINGS = 300
STREAMS = 96
THREADS = 16
FEW_TOKENS, MANY_TOKENS = 8, 60
# The stand-in chooses the length of its answers; `long_prompt` looks for a
# prompt with a long one among these.
PROMPTS = tuple(f"panel {number}" for number in range(1_000))
BUDGET_TOKENS = 50_000_000
ROUTERS = {"router-1": "dk-east-1", "router-2": "dk-east-2"}
BOOKING_TARGETS = ("booking-1", "booking-2", "booking-3")
ENGINE = "fault-model-1"
# Linux's CPUCLOCK_SCHED, the exact processor-time clock of a process.
SCHEDULER_CLOCK = 2


class ProcessUsage(NamedTuple):
    """Resources that a process has used so far.

    Attributes:
        cpu_s: Processor time, in seconds.
        rss: Resident set size, in bytes.
    """

    cpu_s: float
    rss: int


def process_usage(pid: int) -> ProcessUsage:
    """Returns the resources that a process uses."""
    # The tick counts of /proc miss timer-driven work shorter than a tick. The
    # id of a process's clock contains the complement of its pid.
    clock = (~pid << 3) | SCHEDULER_CLOCK
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ProcessUsage(time.clock_gettime(clock), pages * PAGE_BYTES)


@functools.cache
def long_prompt() -> str:
    """Returns a prompt that the stand-in answers with `MANY_TOKENS` tokens."""
    for prompt in PROMPTS:
        message = EngineRequest(
            prompt=prompt, max_tokens=MANY_TOKENS, priority="normal"
        )
        if answer_length(message) == MANY_TOKENS:
            return prompt
    raise RuntimeError(f"no prompt has an answer of {MANY_TOKENS} tokens")


class FleetBenchmark:
    """Measures the costs of the processes of a small fleet."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._key = ""
        self._call_count = 0

    def start(self) -> None:
        """Starts two routers, one per data centre, and the targets."""
        fleet = self._fleet
        fleet.start_platform()
        fleet.start_proxy()
        services = fleet.config.site_by_name[SITE].service_by_name
        for name, data_centre in ROUTERS.items():
            fleet.start_router(name, SITE, data_centre)
        fleet.start_target(services["fault-model"], ENGINE, "--slots=64")
        for name in BOOKING_TARGETS:
            fleet.start_target(services["booking"], name)
        fleet.ctl("publish", str(EXAMPLE))
        fleet.wait_until_ready()
        self._key = fleet.ctl("create_customer", "capacity")["key"]
        fleet.ctl("top_up", "capacity", str(BUDGET_TOKENS))

    def _process_usage(self, name: str) -> ProcessUsage:
        return process_usage(self._fleet.process_by_name[name].pid)

    def _total_cpu_s(self, names) -> float:
        return sum(self._process_usage(name).cpu_s for name in names)

    def _total_rss(self, names) -> int:
        return sum(self._process_usage(name).rss for name in names)

    def idle_slopes(self) -> Iterator[Slope]:
        """Yields memory, processor time and traffic without calls."""
        names = (*ROUTERS, ENGINE)
        before = [self._process_usage(name).cpu_s for name in names]
        traffic = self._bytes_by_route()
        time.sleep(IDLE_S)
        after = [self._process_usage(name) for name in names]
        for role, numbers in (("router", (0, 1)), ("agent", (2,))):
            shares = [
                (after[number].cpu_s - before[number]) / IDLE_S * 100
                for number in numbers
            ]
            sizes = [after[number].rss / 1e6 for number in numbers]
            yield slope_of(f"idle {role}: processor", "% of a core", shares)
            yield slope_of(f"idle {role}: memory", "MB", sizes)
        for name in ("log", "vm-list", "router"):
            figures = [
                _traffic_rate(
                    traffic, self._bytes_by_route(), data_centre, name
                )
                for data_centre in ROUTERS.values()
            ]
            label = f"idle data centre: traffic with {name}"
            yield slope_of(label, "bytes/s", figures)

    def _bytes_by_route(self) -> dict[str, int]:
        reply = send(self._fleet.ports["proxy"], "GET", "/traffic").json()
        return {route: sum(counts) for route, counts in reply.items()}

    def control_message_slope(self) -> Slope:
        """Returns the processor time per request to a control port."""
        router = self._fleet.router_by_name["router-1"]
        figures = []
        for _ in range(RUNS):
            before = self._process_usage("router-1").cpu_s
            with _open_connection(router.control_port) as connection:
                for _ in range(CONTROL_MESSAGES):
                    _send_request(connection, "GET", "/status", None, {})
            spent = self._process_usage("router-1").cpu_s - before
            figures.append(spent / CONTROL_MESSAGES * 1e6)
        return slope_of("router: control message", "us", figures)

    def booking_slopes(self) -> Iterator[Slope]:
        """Yields the costs of calls that are not idempotent."""
        router, agent, memory = [], [], []
        for _ in range(RUNS):
            router_before = self._total_cpu_s(ROUTERS)
            agent_before = self._total_cpu_s(BOOKING_TARGETS)
            rss_before = self._total_rss(BOOKING_TARGETS)
            appends_before = self._appends()
            started = time.monotonic()
            with _open_connection(self._caller_port(0)) as connection:
                for _ in range(BOOKINGS):
                    self._book(connection)
            duration_s = time.monotonic() - started
            appended = self._appends() - appends_before
            router.append(
                (self._total_cpu_s(ROUTERS) - router_before) / BOOKINGS
            )
            agent.append(
                (self._total_cpu_s(BOOKING_TARGETS) - agent_before) / BOOKINGS
            )
            growth = self._total_rss(BOOKING_TARGETS) - rss_before
            memory.append(growth / BOOKINGS)
        yield slope_of(
            "routers: booking", "us", [figure * 1e6 for figure in router]
        )
        yield slope_of(
            "agent: booking", "us", [figure * 1e6 for figure in agent]
        )
        yield slope_of("agent: key of a booking", "bytes", memory)
        yield slope_of(
            "log: appends under load", "1/s", [appended / duration_s]
        )

    def _appends(self) -> int:
        counts = send(self._fleet.ports["log"], "GET", "/counts").json()
        return counts["appends"]

    def _caller_port(self, number: int) -> int:
        return list(self._fleet.router_by_name.values())[number].port

    def _headers(self) -> dict[str, str]:
        self._call_count += 1
        return {
            "Authorization": f"Bearer {self._key}",
            "Idempotency-Key": f"call-{self._call_count}",
        }

    def _book(self, connection) -> None:
        path = "/v1/services/booking/book"
        _send_request(connection, "POST", path, {"job": "1"}, self._headers())

    def stream_slopes(self) -> Iterator[Slope]:
        """Yields the costs of a stream and of each token in it."""
        names = {"routers": tuple(ROUTERS), "agent": (ENGINE,)}
        calls = {role: [] for role in names}
        tokens = {role: [] for role in names}
        for _ in range(RUNS):
            few = self._stream_costs(FEW_TOKENS, names)
            many = self._stream_costs(MANY_TOKENS, names)
            for role in names:
                growth = many[role] - few[role]
                token = growth / (MANY_TOKENS - FEW_TOKENS)
                tokens[role].append(token * 1e6)
                calls[role].append((few[role] - token * FEW_TOKENS) * 1e6)
        for role in names:
            yield slope_of(f"{role}: stream", "us", calls[role])
            yield slope_of(f"{role}: token", "us", tokens[role])

    def _stream_costs(self, count: int, names) -> dict[str, float]:
        before = {role: self._total_cpu_s(names[role]) for role in names}
        with ThreadPoolExecutor(THREADS) as pool:
            list(pool.map(self._stream, [count] * STREAMS))
        return {
            role: (self._total_cpu_s(names[role]) - before[role]) / STREAMS
            for role in names
        }

    def _stream(self, count: int) -> None:
        path = "/v1/services/fault-model/summary"
        body = {"prompt": long_prompt(), "max_tokens": count}
        with _open_connection(self._caller_port(0)) as connection:
            _send_request(connection, "POST", path, body, self._headers())


def _traffic_rate(before, after, data_centre: str, name: str) -> float:
    prefix = f"{data_centre}>{name}"
    return sum(
        (after[route] - before.get(route, 0)) / IDLE_S
        for route in after
        if route.startswith(prefix) and not route.startswith(f"{prefix}-list")
    )


@contextmanager
def _open_connection(port: int) -> Iterator[http.client.HTTPConnection]:
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=30)
    try:
        yield connection
    finally:
        connection.close()


def _send_request(connection, method: str, path: str, body, headers) -> None:
    headers = {"chicory-fleet-token": FLEET_TOKEN} | headers
    text = None if body is None else json.dumps(body)
    connection.request(method, path, text, headers)
    response = connection.getresponse()
    payload = response.read()
    if response.status != 200:
        raise RuntimeError(f"{path}: HTTP {response.status} {payload[:200]}")


def fleet_slopes() -> Iterator[Slope]:
    """Yields the costs of the processes of a small fleet."""
    with (
        tempfile.TemporaryDirectory() as directory,
        running_fleet(EXAMPLE, Path(directory)) as fleet,
    ):
        benchmark = FleetBenchmark(fleet)
        benchmark.start()
        yield from benchmark.idle_slopes()
        yield benchmark.control_message_slope()
        yield from benchmark.booking_slopes()
        yield from benchmark.stream_slopes()
