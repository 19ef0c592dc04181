"""Compares routing policies under load in several fault situations.

Each situation is run with one policy after another.

python -m bench.situations --situations=steady,slow --seed=1
"""

import contextlib
import json
import signal
import sys
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

import fire
from twisted.internet import defer, reactor, task

from bench.fleet import Fleet, running_fleet, send
from bench.load import (
    BRANDVAGT_KINDS,
    CEDARLINE_KINDS,
    Load,
    LoadCallKind,
    LoadCustomer,
    LoadReport,
    plan_calls,
)

EXAMPLES = Path(__file__).parent.parent / "examples"
SLOTS = 2
FIRST_TOKEN_S = 0.05
GAP_S = 0.02
SLOWDOWN = 8.0
BUDGET_TOKENS = 50_000_000
CUSTOMERS = 10
ENGINES = 10
# Share of the load sent by each of the two large customers.
LARGE_SHARE = 0.25
WARM_UP_CALLS = 40
FAULT_AT_S = 2.0


class Example(NamedTuple):
    """The site of one of the users and its kinds of calls."""

    name: str
    site: str
    kinds: tuple[LoadCallKind, ...]


EXAMPLE_BY_NAME = {
    "brandvagt": Example("brandvagt", "dk-east", BRANDVAGT_KINDS),
    "cedarline": Example("cedarline", "bc-coast", CEDARLINE_KINDS),
}


class Situation(NamedTuple):
    """A fault or an unusual load.

    Attributes:
        inject_fault: Injects the fault `FAULT_AT_S` after the start of the
            load; None for no fault.
        overload: Load relative to the capacity of the engines, instead of the
            given rate; 0 for the given rate.
        flood_factor: Factor on the rate of the first large customer.
        proxy: Whether the data centres communicate through the fault proxy.
    """

    inject_fault: Callable[[Fleet, Example], None] | None = None
    overload: float = 0.0
    flood_factor: float = 1.0
    proxy: bool = False


def slow_engine(fleet: Fleet, example: Example) -> None:
    """Slows one engine down without stopping it."""
    target = fleet.target_by_name[_engine_name(example, 1)]
    faults = {"slowdown": SLOWDOWN, "break_after": 0}
    send(target.port, "POST", "/faults", faults)


def kill_engine(fleet: Fleet, example: Example) -> None:
    """Kills an engine and its agent."""
    name = _engine_name(example, 1)
    fleet.signal(f"{name}-target", signal.SIGKILL)
    fleet.signal(name, signal.SIGKILL)


def cut_data_centre(fleet: Fleet, example: Example) -> None:
    """Cuts the third data centre, which has no router, off from the others."""
    data_centres = fleet.config.site_by_name[example.site].data_centres
    for data_centre in data_centres[:2]:
        fleet.cut_data_centres(data_centre, data_centres[2], "both")


SITUATION_BY_NAME = {
    "steady": Situation(),
    "slow": Situation(slow_engine),
    "kill": Situation(kill_engine),
    "cut": Situation(cut_data_centre, proxy=True),
    "overload": Situation(overload=2.0),
    "flood": Situation(flood_factor=10.0),
}


def _engine_name(example: Example, number: int) -> str:
    return f"{example.kinds[0].service}-{number}"


@contextlib.contextmanager
def situation_fleet(
    example: Example, situation: Situation, policy: str, slots: int
) -> Iterator[Fleet]:
    """Yields a ready fleet with two routers and all targets of the example."""
    with tempfile.TemporaryDirectory() as directory:
        config = Path(directory) / "config.yaml"
        text = (EXAMPLES / f"{example.name}.yaml").read_text()
        limit = f"max_in_flight: {slots}"
        config.write_text(text.replace("max_in_flight: 32", limit))
        with running_fleet(config, Path(directory)) as fleet:
            _start(fleet, example, situation, policy, slots)
            yield fleet


def _start(
    fleet: Fleet,
    example: Example,
    situation: Situation,
    policy: str,
    slots: int,
) -> None:
    fleet.start_platform()
    if situation.proxy:
        fleet.start_proxy()
    site = fleet.config.site_by_name[example.site]
    for number in (1, 2):
        name, data_centre = f"router-{number}", site.data_centres[number - 1]
        fleet.start_router(
            name, example.site, data_centre, f"--picker={policy}"
        )
    flags = f"--slots={slots} --first_token_s={FIRST_TOKEN_S} --gap_s={GAP_S}"
    for service in site.service_by_name.values():
        is_engine = service.kind == "engine"
        for name in service.target_by_name:
            fleet.start_target(service, name, *flags.split() * is_engine)
    fleet.ctl("publish", str(fleet.config_path))
    fleet.wait_until_ready()


def create_customers(
    fleet: Fleet, rate: float, flood_factor: float
) -> list[LoadCustomer]:
    """Creates two large and several small customers with ample budgets."""
    small = rate * (1 - 2 * LARGE_SHARE) / (CUSTOMERS - 2)
    rates = [rate * LARGE_SHARE] * 2 + [small] * (CUSTOMERS - 2)
    rates[0] *= flood_factor
    customers = []
    for number, customer_rate in enumerate(rates):
        name = f"customer-{number}"
        secret = fleet.ctl("create_customer", name)["key"]
        fleet.ctl("top_up", name, str(BUDGET_TOKENS))
        customers.append(LoadCustomer(name, secret, customer_rate))
    return customers


def slot_seconds(kind: LoadCallKind) -> float:
    """Returns the mean time in seconds that a call occupies an engine slot."""
    tokens = [min(8 + extra, kind.max_tokens) for extra in range(56)]
    return FIRST_TOKEN_S + GAP_S * sum(tokens) / len(tokens)


def capacity(example: Example, slots: int) -> float:
    """Returns the rate of calls of all kinds that fills the engines' slots."""
    weight = sum(kind.weight for kind in example.kinds)
    busy_s = sum(
        kind.weight / weight * slot_seconds(kind)
        for kind in example.kinds
        if kind.max_tokens
    )
    return ENGINES * slots / busy_s


def carried_share(
    example: Example, report: LoadReport, slots: int, seconds: float
) -> float:
    """Returns the share of engine capacity used for responses in time."""
    busy_s = sum(
        report["report_by_kind"][kind.operation]["in_time"] * slot_seconds(kind)
        for kind in example.kinds
        if kind.max_tokens
    )
    return busy_s / (ENGINES * slots * seconds)


def other_customers_share(report: LoadReport) -> float:
    """Returns the share answered in time of all customers but the first.

    The first customer is the one whose rate the flood raises.
    """
    others = [
        customer
        for name, customer in report["report_by_customer"].items()
        if name != "customer-0"
    ]
    sent = sum(customer["sent"] for customer in others)
    return sum(customer["in_time"] for customer in others) / max(1, sent)


async def run_one(
    example: Example,
    situation: Situation,
    policy: str,
    seed: int,
    rate: float,
    seconds: float,
    slots: int = SLOTS,
) -> LoadReport:
    """Runs one load in one situation with one policy, after a warm-up."""
    with situation_fleet(example, situation, policy, slots) as fleet:
        if situation.overload:
            rate = situation.overload * capacity(example, slots)
        customers = create_customers(fleet, rate, situation.flood_factor)
        ports = [router.port for router in fleet.router_by_name.values()]
        warm_up = [
            call._replace(start_s=call.number / WARM_UP_CALLS)
            for call in plan_calls(-seed, example.kinds, customers, 10.0)
        ]
        await Load(reactor, ports).run(-seed, warm_up[:WARM_UP_CALLS])
        plan = plan_calls(seed, example.kinds, customers, seconds)
        if situation.inject_fault is not None:
            reactor.callLater(
                FAULT_AT_S, situation.inject_fault, fleet, example
            )
        return await Load(reactor, ports).run(seed, plan)


HEADINGS = (
    "situation policy calls in_time% others% carried% late cut refused "
    "false first50 first95 first99 gap95 refuse95"
)
ROW_FORMAT = "{:<10}{:<13}" + "{:>9}" * 13


def table_row(
    situation: str, policy: str, report: LoadReport, carried: float
) -> str:
    """Returns one row of the table."""
    total = report["total"]
    first = total["first_byte_ms"]
    gaps = [kind["gap_ms"]["p95"] for kind in report["report_by_kind"].values()]
    return ROW_FORMAT.format(
        situation,
        policy,
        report["calls"],
        f"{report['in_time_share'] * 100:.2f}",
        f"{other_customers_share(report) * 100:.2f}",
        f"{carried * 100:.1f}",
        total["late"],
        total["cut"] + total["wrong"],
        sum(total["refused_by_code"].values()),
        total["false_refusals"],
        first["p50"],
        first["p95"],
        first["p99"],
        max(gaps),
        total["refusal_ms"]["p95"],
    )


async def run_all(
    examples: list[str],
    situations: list[str],
    policies: list[str],
    seed: int,
    rate: float,
    seconds: float,
    slots: int,
) -> dict[str, LoadReport]:
    """Runs all combinations and prints a table row after each."""
    report_by_name = {}
    for example in examples:
        print(f"{example}, seed {seed}, {rate:g}/s for {seconds:g} s")
        print(ROW_FORMAT.format(*HEADINGS.split()), flush=True)
        for situation in situations:
            for policy in policies:
                report = await run_one(
                    EXAMPLE_BY_NAME[example],
                    SITUATION_BY_NAME[situation],
                    policy,
                    seed,
                    rate,
                    seconds,
                    slots,
                )
                report_by_name[f"{example}/{situation}/{policy}"] = report
                carried = carried_share(
                    EXAMPLE_BY_NAME[example], report, slots, seconds
                )
                row = table_row(situation, policy, report, carried)
                print(row, flush=True)
    return report_by_name


def compare(
    examples: str = "brandvagt",
    situations: str = "steady,slow,kill,cut,overload,flood",
    policies: str = "round_robin,least_sent,sampled",
    seed: int = 1,
    rate: float = 22.0,
    seconds: float = 10.0,
    slots: int = SLOTS,
    output: str = "",
) -> None:
    """Compares policies in situations.

    Args:
        examples: Names of examples, separated by commas.
        situations: Names of situations, separated by commas.
        policies: Names of routing policies, separated by commas.
        seed: Seed of the arrivals.
        rate: Calls per second, except in the overload situation.
        seconds: Length of each load.
        slots: Concurrent generations per engine.
        output: File for all reports as JSON; empty for none.
    """
    names = [_split_names(text) for text in (examples, situations, policies)]

    async def main(_reactor) -> None:
        reports = await run_all(*names, seed, rate, seconds, slots)
        if output:
            Path(output).write_text(json.dumps(reports, indent=1))

    task.react(lambda _: defer.ensureDeferred(main(_)))


def _split_names(text: str | tuple[str, ...]) -> list[str]:
    return text.split(",") if isinstance(text, str) else list(text)


if __name__ == "__main__":
    sys.exit(fire.Fire(compare))
