"""`make capacity`: measures slopes and works the planned size out of them.

It prints a table of the slopes, a table of the roles at the planned size with
the limit that each is held against, and as its last line one JSON object with
both.
"""

import json
import math
import sys
from collections.abc import Iterator
from typing import NamedTuple

from bench.fleet_slopes import fleet_slopes
from bench.slopes import Slope, byte_slopes, memory_slopes, time_slopes
from chicorystack import defaults
from chicorystack.ctl.tables import format_table

# The planned size.
NODES = 420
ENGINES = 1_700
REQUESTS_PER_S = 15_000
TOKENS_PER_S = 3_700_000
BUDGETS = 130_000
CUSTOMERS = 30_000
DATA_CENTRES = 6
CONFIG_CHANGES_PER_DAY = 950
REPLACED_PER_DAY = 240
DAY_S = 86_400

# What a node may spend on control.
CONTROL_CPU_PERCENT = 1.8
CONTROL_MEMORY_MB = 64.0
CONTROL_BYTES_PER_S = 9_000.0
# "Several hundred appends a second" for all users of the log, taken as this.
APPENDS_PER_S = 300.0

# Assumed: beyond this a process on one core makes callers wait in line.
DATA_PATH_PERCENT = 60.0

# Assumed, not measured: HTTP's own bytes around a message and its answer.
HTTP_BYTES = 600
# Bills pass four times: holder to keeper, keeper to log, and back from both.
PASSES_OF_A_BILL = 4
# A holder's side of an exchange is taken to cost what the keeper's does.
SIDES_OF_AN_EXCHANGE = 2
RACK_NODES = 20
OUTAGE_S = 3_600


class Layout(NamedTuple):
    """Choices that the figures of the keeper duty follow from.

    Attributes:
        name: Name of the layout.
        shards: Number of shards.
        report_s: Time between a holder's exchanges with a keeper, in seconds.
        skew: Shards of the most loaded node by the mean node's; from the
            largest of 420 Poisson numbers.
        bill_bytes: Bytes of a bill in messages and log; None as measured.
        key_bytes: Memory of a billed key; None as measured.
        snapshot_s: Time that a new keeper reads back over, in seconds.
    """

    name: str
    shards: int
    report_s: float
    skew: float
    bill_bytes: float | None
    key_bytes: float | None
    snapshot_s: float


AS_IT_IS = Layout(
    "as it is", 4_096, defaults.USAGE_REPORT_INTERVAL_S, 2.1, None, None,
    defaults.LOG_RETENTION_S,
)  # fmt: skip
PROPOSED = Layout("proposed", 256, 30.0, 6.6, 14.0, 8.0, 600.0)


class Result(NamedTuple):
    """A figure at the planned size.

    Attributes:
        role: Role or duty.
        what: What the figure is.
        formula: How it follows from the slopes.
        value: The figure.
        unit: Its unit.
        limit: What it is held against; None for no limit of its own.
    """

    role: str
    what: str
    formula: str
    value: float
    unit: str
    limit: float | None = None

    @property
    def verdict(self) -> str:
        """Whether the figure is within its limit."""
        if self.limit is None:
            return "-"
        return "fits" if self.value <= self.limit else "DOES NOT FIT"


class Plan:
    """Works results out of slopes, by their names."""

    def __init__(self, slopes: list[Slope]):
        self._median_by_name = {slope.name: slope.median for slope in slopes}

    def slope(self, name: str) -> float:
        """Returns a slope's median."""
        return self._median_by_name[name]

    def results(self) -> Iterator[Result]:
        """Yields all results."""
        yield from self._router()
        for layout in (AS_IT_IS, PROPOSED):
            yield from self._exchanges(layout)
            yield from self._keeper(layout)
            yield from self._failures(layout)
        yield from self._agent()
        yield from self._configuration()

    def _router(self) -> Iterator[Result]:
        yield Result(
            "router", "memory, with wallets of a tenth of all budgets",
            "idle + decision rings + wallets", self._router_memory(), "MB",
            CONTROL_MEMORY_MB,
        )  # fmt: skip
        yield Result(
            "router", "idle, processor", "measured",
            self.slope("idle router: processor"), "% of a core",
            CONTROL_CPU_PERCENT,
        )  # fmt: skip
        calls = REQUESTS_PER_S / NODES
        tokens = TOKENS_PER_S / NODES
        stream = self.slope("routers: stream") * calls / 1e4
        token = self.slope("routers: token") * tokens / 1e4
        yield Result(
            "router", "data path, processor",
            "stream x 35.7/s + token x 8,810/s", stream + token,
            "% of a core",
            DATA_PATH_PERCENT,
        )  # fmt: skip
        entry = self.slope("size: VM list, VM")
        for interval, name in (
            (defaults.VM_LIST_POLL_INTERVAL_S, ""),
            (60.0, ", 60 s"),
        ):
            yield Result(
                "router", f"VM list, traffic{name}", "VMs x entry / interval",
                (NODES + ENGINES) * entry / interval, "bytes/s",
                CONTROL_BYTES_PER_S,
            )  # fmt: skip

    def _router_memory(self) -> float:
        decisions = 2 * defaults.MAX_DECISIONS
        ring = decisions * self.slope("memory: decision record")
        wallets = BUDGETS / 10 * self.slope("memory: wallet, budget")
        return self.slope("idle router: memory") + (ring + wallets) / 1e6

    def _bill_bytes(self, layout: Layout) -> float:
        return layout.bill_bytes or self.slope("size: exchange, bill")

    def _key_bytes(self, layout: Layout) -> float:
        return layout.key_bytes or self.slope("memory: ledger, billed key")

    def _exchanges(self, layout: Layout) -> Iterator[Result]:
        calls = REQUESTS_PER_S / NODES
        rate = exchange_rate(calls, layout)
        message = self.slope("router: control message")
        yield Result(
            "keeper", f"exchanges, processor, {layout.name}",
            "shards in use / interval x message x 2 sides",
            rate * message * SIDES_OF_AN_EXCHANGE / 1e4, "% of a core",
            CONTROL_CPU_PERCENT,
        )  # fmt: skip
        fixed = self.slope("size: exchange, fixed part") + HTTP_BYTES
        bills = calls * self._bill_bytes(layout) * PASSES_OF_A_BILL
        yield Result(
            "keeper", f"exchanges and bills, traffic, {layout.name}",
            "calls x bill x 4 passes + exchanges x (fixed + 600)",
            bills + rate * fixed, "bytes/s", CONTROL_BYTES_PER_S,
        )  # fmt: skip

    def _keeper(self, layout: Layout) -> Iterator[Result]:
        share = layout.skew / NODES
        state = (
            BUDGETS * self.slope("memory: ledger, budget")
            + CUSTOMERS * self.slope("memory: ledger, customer")
        ) * share
        window = REQUESTS_PER_S * defaults.KEY_WINDOW_S * share
        keys = window * self._key_bytes(layout)
        memory = self._router_memory() + (state + keys) / 1e6
        yield Result(
            "keeper", f"memory of the most loaded node, {layout.name}",
            "router + skew / nodes x (budgets + customers + keys of 600 s)",
            memory, "MB", CONTROL_MEMORY_MB,
        )  # fmt: skip
        bill_us = self.slope("time: ledger takes a bill")
        bill_us += self.slope("time: wallet states and decodes a bill")
        yield Result(
            "keeper", f"bills, processor, {layout.name}",
            "bills/s x skew / nodes x (decode + ledger)",
            REQUESTS_PER_S * share * bill_us / 1e4, "% of a core",
            CONTROL_CPU_PERCENT,
        )  # fmt: skip
        appends = min(
            NODES * exchange_rate(REQUESTS_PER_S / NODES, layout),
            layout.shards / min(layout.report_s, 1.0),
        )
        yield Result(
            "log", f"appends at the peak, {layout.name}",
            "min(exchanges, shards / interval, at most 1 s)", appends, "1/s",
            APPENDS_PER_S,
        )  # fmt: skip

    def _failures(self, layout: Layout) -> Iterator[Result]:
        bills = REQUESTS_PER_S * layout.snapshot_s / layout.shards
        replay = bills * self.slope("time: ledger takes a bill") / 1e6
        yield Result(
            "failure", f"new keeper reads its shard, {layout.name}",
            "calls x read back / shards x ledger", replay, "s", 20.0,
        )  # fmt: skip
        lost = {
            "data centre lost": layout.shards / DATA_CENTRES,
            "rack lost": layout.shards * RACK_NODES / NODES,
            "240 VMs a day, for each": layout.shards / NODES,
        }
        for name, claims in lost.items():
            yield Result(
                "failure", f"{name}: claims over, {layout.name}",
                "shards kept there / 300 appends/s", claims / APPENDS_PER_S,
                "s", 20.0,
            )  # fmt: skip
        reports = REQUESTS_PER_S / NODES * OUTAGE_S
        kept = reports * (layout.bill_bytes or 2 * self._key_bytes(layout))
        yield Result(
            "failure", f"log down an hour: router's memory, {layout.name}",
            "router + calls x 3,600 s x report",
            self._router_memory() + kept / 1e6, "MB", CONTROL_MEMORY_MB,
        )  # fmt: skip

    def _agent(self) -> Iterator[Result]:
        calls = REQUESTS_PER_S / ENGINES
        keys = calls * defaults.KEY_WINDOW_S
        held = keys * self.slope("agent: key of a booking") / 1e6
        ring = 2 * defaults.MAX_DECISIONS
        ring_mb = ring * self.slope("memory: decision record") / 1e6
        yield Result(
            "agent", "memory", "idle + decision rings + kept keys of 600 s",
            self.slope("idle agent: memory") + ring_mb + held, "MB",
            CONTROL_MEMORY_MB,
        )  # fmt: skip
        tokens = TOKENS_PER_S / ENGINES
        yield Result(
            "agent", "data path, processor",
            "stream x 8.8/s + token x 2,176/s",
            (calls * self.slope("agent: stream")
             + tokens * self.slope("agent: token")) / 1e4,
            "% of a core",
            DATA_PATH_PERCENT,
        )  # fmt: skip
        yield Result(
            "agent", "idle, processor", "measured",
            self.slope("idle agent: processor"), "% of a core",
            CONTROL_CPU_PERCENT,
        )  # fmt: skip
        interval = defaults.LOAD_REPORT_INTERVAL_S
        reports = self.slope("size: load report") + 400
        yield Result(
            "relay", "load reports of all engines to each router",
            "engines x (report + 400 B of HTTP) / interval",
            ENGINES * reports / interval, "bytes/s", CONTROL_BYTES_PER_S,
        )  # fmt: skip
        yield Result(
            "relay", "load reports of a subset of 5 engines to each router",
            "5 x (report + 400 B of HTTP) / interval",
            5 * reports / interval, "bytes/s", CONTROL_BYTES_PER_S,
        )  # fmt: skip

    def _configuration(self) -> Iterator[Result]:
        size = ENGINES * self.slope("size: configuration record, target")
        yield Result(
            "configuration", "one version", "engines x target", size, "bytes",
        )  # fmt: skip
        yield Result(
            "configuration", "traffic to each process",
            "version x changes a day / day",
            size * CONFIG_CHANGES_PER_DAY / DAY_S, "bytes/s",
            CONTROL_BYTES_PER_S,
        )  # fmt: skip
        name = "time: process takes over a target's configuration"
        take_over = ENGINES * self.slope(name) / 1e6
        yield Result(
            "configuration", "time to take one version over",
            "engines x target", take_over, "s", 20.0,
        )  # fmt: skip


def exchange_rate(calls_per_s: float, layout: Layout) -> float:
    """Returns a node's exchanges a second, as a holder.

    In each interval a node speaks with the keeper of every shard that one of
    its calls fell to, for calls that fall on shards at random.
    """
    calls = calls_per_s * layout.report_s
    in_use = layout.shards * (1 - math.exp(-calls / layout.shards))
    return in_use / layout.report_s


def print_slopes(slopes: list[Slope]) -> None:
    """Prints the slopes for people."""
    head = ("slope", "unit", "median", "lowest", "highest")
    print(format_table(head, slopes), flush=True)


def print_results(results: list[Result]) -> None:
    """Prints the results for people."""
    head = ("role", "what", "value", "unit", "limit", "")
    rows = (
        (
            result.role,
            result.what,
            f"{result.value:,.2f}",
            result.unit,
            "-" if result.limit is None else f"{result.limit:,.1f}",
            result.verdict,
        )
        for result in results
    )
    print(format_table(head, rows), flush=True)


def main() -> int:
    """Measures, works out and prints; returns the exit code."""
    slopes = [*memory_slopes(), *time_slopes(), *byte_slopes()]
    slopes += fleet_slopes()
    results = list(Plan(slopes).results())
    print_slopes(slopes)
    print()
    print_results(results)
    message = {
        "slopes": [slope._asdict() for slope in slopes],
        "results": [
            result._asdict() | {"verdict": result.verdict} for result in results
        ],
    }
    print(json.dumps(message))
    return 0


if __name__ == "__main__":
    sys.exit(main())
