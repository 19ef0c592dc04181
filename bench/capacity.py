"""`make capacity`: projects measured costs to the planned size of the fleet.

Prints a table of the measured slopes, a table of the projected figures with
their limits, and as its last line one JSON object with both.
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

# Limits of what a node may spend on control traffic and state.
CONTROL_CPU_PERCENT = 1.8
CONTROL_MEMORY_MB = 64.0
CONTROL_BYTES_PER_S = 9_000.0
# The log is specified for "several hundred appends a second" of all its users;
# 300 is assumed.
APPENDS_PER_S = 300.0

# Assumed load of a core above which a process makes callers queue.
DATA_PATH_PERCENT = 60.0

# Assumed HTTP overhead of a message and its response.
HTTP_BYTES = 600
# Each bill is sent four times: from holder to keeper, from keeper to log, and
# back from both.
TRANSFERS_PER_BILL = 4
# An exchange is assumed to cost the holder as much as the keeper.
ENDS_PER_EXCHANGE = 2
RACK_NODES = 20
OUTAGE_S = 3_600


class Layout(NamedTuple):
    """Parameters that determine the cost of the keepers.

    Attributes:
        name: Name of the layout.
        shards: Number of shards.
        report_interval_s: Time between a holder's exchanges with a keeper, in
            seconds.
        skew: Shards of the most loaded node relative to the mean; the largest
            of 420 Poisson-distributed numbers.
        bill_bytes: Bytes of a bill in messages and log; None to use the
            measured value.
        key_bytes: Memory of a billed key in bytes; None to use the measured
            value.
        replay_s: Time span of the log that a new keeper replays, in seconds.
    """

    name: str
    shards: int
    report_interval_s: float
    skew: float
    bill_bytes: float | None
    key_bytes: float | None
    replay_s: float


CURRENT = Layout(
    "as it is", 4_096, defaults.USAGE_REPORT_INTERVAL_S, 2.1, None, None,
    defaults.LOG_RETENTION_S,
)  # fmt: skip
PROPOSED = Layout("proposed", 256, 30.0, 6.6, 14.0, 8.0, 600.0)


class Result(NamedTuple):
    """A figure projected to the planned size.

    Attributes:
        role: Role or component that the figure applies to.
        what: Description of the figure.
        formula: How the figure is computed from the slopes.
        value: The figure.
        unit: Its unit.
        limit: Largest acceptable value; None if there is no limit.
    """

    role: str
    what: str
    formula: str
    value: float
    unit: str
    limit: float | None = None

    @property
    def verdict(self) -> str:
        """Whether the figure is within its limit, as printed text."""
        if self.limit is None:
            return "-"
        return "fits" if self.value <= self.limit else "DOES NOT FIT"


class Projection:
    """Computes the projected figures from the medians of the slopes."""

    def __init__(self, slopes: list[Slope]):
        self._median_by_slope = {slope.name: slope.median for slope in slopes}

    def slope(self, name: str) -> float:
        """Returns the median of a slope."""
        return self._median_by_slope[name]

    def results(self) -> Iterator[Result]:
        """Yields all results."""
        yield from self._router_results()
        for layout in (CURRENT, PROPOSED):
            yield from self._exchange_results(layout)
            yield from self._keeper_results(layout)
            yield from self._failure_results(layout)
        yield from self._agent_results()
        yield from self._configuration_results()

    def _router_results(self) -> Iterator[Result]:
        yield Result(
            "router", "memory, with wallets of a tenth of all budgets",
            "idle + decision rings + wallets", self._router_memory_mb(), "MB",
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

    def _router_memory_mb(self) -> float:
        decisions = 2 * defaults.MAX_DECISIONS
        ring = decisions * self.slope("memory: decision record")
        wallets = BUDGETS / 10 * self.slope("memory: wallet, budget")
        return self.slope("idle router: memory") + (ring + wallets) / 1e6

    def _bill_bytes(self, layout: Layout) -> float:
        return layout.bill_bytes or self.slope("size: exchange, bill")

    def _key_bytes(self, layout: Layout) -> float:
        return layout.key_bytes or self.slope("memory: ledger, billed key")

    def _exchange_results(self, layout: Layout) -> Iterator[Result]:
        calls = REQUESTS_PER_S / NODES
        rate = exchange_rate(calls, layout)
        message = self.slope("router: control message")
        yield Result(
            "keeper", f"exchanges, processor, {layout.name}",
            "shards in use / interval x message x 2 sides",
            rate * message * ENDS_PER_EXCHANGE / 1e4, "% of a core",
            CONTROL_CPU_PERCENT,
        )  # fmt: skip
        fixed = self.slope("size: exchange, fixed part") + HTTP_BYTES
        bills = calls * self._bill_bytes(layout) * TRANSFERS_PER_BILL
        yield Result(
            "keeper", f"exchanges and bills, traffic, {layout.name}",
            "calls x bill x 4 passes + exchanges x (fixed + 600)",
            bills + rate * fixed, "bytes/s", CONTROL_BYTES_PER_S,
        )  # fmt: skip

    def _keeper_results(self, layout: Layout) -> Iterator[Result]:
        share = layout.skew / NODES
        state = (
            BUDGETS * self.slope("memory: ledger, budget")
            + CUSTOMERS * self.slope("memory: ledger, customer")
        ) * share
        window = REQUESTS_PER_S * defaults.KEY_WINDOW_S * share
        keys = window * self._key_bytes(layout)
        memory = self._router_memory_mb() + (state + keys) / 1e6
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
            layout.shards / min(layout.report_interval_s, 1.0),
        )
        yield Result(
            "log", f"appends at the peak, {layout.name}",
            "min(exchanges, shards / interval, at most 1 s)", appends, "1/s",
            APPENDS_PER_S,
        )  # fmt: skip

    def _failure_results(self, layout: Layout) -> Iterator[Result]:
        bills = REQUESTS_PER_S * layout.replay_s / layout.shards
        replay = bills * self.slope("time: ledger takes a bill") / 1e6
        yield Result(
            "failure", f"new keeper reads its shard, {layout.name}",
            "calls x read back / shards x ledger", replay, "s", 20.0,
        )  # fmt: skip
        shards_by_failure = {
            "data centre lost": layout.shards / DATA_CENTRES,
            "rack lost": layout.shards * RACK_NODES / NODES,
            "240 VMs a day, for each": layout.shards / NODES,
        }
        for name, claims in shards_by_failure.items():
            yield Result(
                "failure", f"{name}: claims over, {layout.name}",
                "shards kept there / 300 appends/s", claims / APPENDS_PER_S,
                "s", 20.0,
            )  # fmt: skip
        reports = REQUESTS_PER_S / NODES * OUTAGE_S
        backlog_bytes = reports * (
            layout.bill_bytes or 2 * self._key_bytes(layout)
        )
        yield Result(
            "failure", f"log down an hour: router's memory, {layout.name}",
            "router + calls x 3,600 s x report",
            self._router_memory_mb() + backlog_bytes / 1e6, "MB",
            CONTROL_MEMORY_MB,
        )  # fmt: skip

    def _agent_results(self) -> Iterator[Result]:
        calls = REQUESTS_PER_S / ENGINES
        keys = calls * defaults.KEY_WINDOW_S
        keys_mb = keys * self.slope("agent: key of a booking") / 1e6
        ring = 2 * defaults.MAX_DECISIONS
        ring_mb = ring * self.slope("memory: decision record") / 1e6
        yield Result(
            "agent", "memory", "idle + decision rings + kept keys of 600 s",
            self.slope("idle agent: memory") + ring_mb + keys_mb, "MB",
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

    def _configuration_results(self) -> Iterator[Result]:
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
        apply_s = ENGINES * self.slope(name) / 1e6
        yield Result(
            "configuration", "time to take one version over",
            "engines x target", apply_s, "s", 20.0,
        )  # fmt: skip


def exchange_rate(calls_per_s: float, layout: Layout) -> float:
    """Returns a node's exchanges per second as a holder.

    In each interval a node exchanges messages with the keeper of every shard
    that one of its calls belonged to. Calls are distributed over the shards
    uniformly at random.
    """
    calls = calls_per_s * layout.report_interval_s
    in_use = layout.shards * (1 - math.exp(-calls / layout.shards))
    return in_use / layout.report_interval_s


def print_slopes(slopes: list[Slope]) -> None:
    """Prints the slopes as a table."""
    headings = ("slope", "unit", "median", "lowest", "highest")
    print(format_table(headings, slopes), flush=True)


def print_results(results: list[Result]) -> None:
    """Prints the results as a table."""
    headings = ("role", "what", "value", "unit", "limit", "")
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
    print(format_table(headings, rows), flush=True)


def main() -> int:
    """Measures the slopes, prints the projection and returns the exit code."""
    slopes = [*memory_slopes(), *time_slopes(), *byte_slopes()]
    slopes += fleet_slopes()
    results = list(Projection(slopes).results())
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
