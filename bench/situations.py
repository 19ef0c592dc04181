"""Loads in situations, one routing policy after another, in one run.

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
    Kind,
    Load,
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
# Part of the load that the two large customers send each.
LARGE_SHARE = 0.25
WARM_UP_CALLS = 40
FAULT_AT_S = 2.0


class Example(NamedTuple):
    """One of the users' sites."""

    name: str
    site: str
    kinds: tuple[Kind, ...]


EXAMPLE_BY_NAME = {
    "brandvagt": Example("brandvagt", "dk-east", BRANDVAGT_KINDS),
    "cedarline": Example("cedarline", "bc-coast", CEDARLINE_KINDS),
}


class Situation(NamedTuple):
    """What happens during a load.

    Attributes:
        disturb: Brings it about, some seconds after the load began.
        overload: Engine calls relative to what the engines carry, in place
            of the given rate; 0 for the given rate.
        flood_factor: Factor on the rate of the first large customer.
        proxy: Whether the data centres speak through the fault proxy.
    """

    disturb: Callable[[Fleet, Example], None] | None = None
    overload: float = 0.0
    flood_factor: float = 1.0
    proxy: bool = False


def slow_one(fleet: Fleet, example: Example) -> None:
    """Makes one engine slow, not dead."""
    target = fleet.target_by_name[_engine(example, 1)]
    faults = {"slowdown": SLOWDOWN, "break_after": 0}
    send(target.port, "POST", "/faults", faults)


def kill_one(fleet: Fleet, example: Example) -> None:
    """Kills an engine and its agent."""
    name = _engine(example, 1)
    fleet.signal(f"{name}-target", signal.SIGKILL)
    fleet.signal(name, signal.SIGKILL)


def cut_one(fleet: Fleet, example: Example) -> None:
    """Cuts the third data centre, which has no router, from the others."""
    centres = fleet.config.site_by_name[example.site].data_centres
    for near in centres[:2]:
        fleet.cut_data_centres(near, centres[2], "both")


SITUATION_BY_NAME = {
    "steady": Situation(),
    "slow": Situation(slow_one),
    "kill": Situation(kill_one),
    "cut": Situation(cut_one, proxy=True),
    "overload": Situation(overload=2.0),
    "flood": Situation(flood_factor=10.0),
}


def _engine(example: Example, number: int) -> str:
    return f"{example.kinds[0].service}-{number}"


@contextlib.contextmanager
def situation_fleet(
    example: Example, situation: Situation, policy: str, slots: int
) -> Iterator[Fleet]:
    """Yields a ready fleet of the example's size with two routers."""
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
        engine = service.kind == "engine"
        for name in service.target_by_name:
            fleet.start_target(service, name, *flags.split() * engine)
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


def answer_seconds(kind: Kind) -> float:
    """Returns the mean time that an answer takes an engine's slot."""
    tokens = [min(8 + extra, kind.max_tokens) for extra in range(56)]
    return FIRST_TOKEN_S + GAP_S * sum(tokens) / len(tokens)


def capacity(example: Example, slots: int) -> float:
    """Returns calls a second of all kinds that fill the engines' slots."""
    weight = sum(kind.weight for kind in example.kinds)
    busy_s = sum(
        kind.weight / weight * answer_seconds(kind)
        for kind in example.kinds
        if kind.max_tokens
    )
    return ENGINES * slots / busy_s


def carried_share(
    example: Example, report: LoadReport, slots: int, seconds: float
) -> float:
    """Returns engine time of answers in time, relative to what there was."""
    busy_s = sum(
        report["report_by_kind"][kind.operation]["in_time"]
        * answer_seconds(kind)
        for kind in example.kinds
        if kind.max_tokens
    )
    return busy_s / (ENGINES * slots * seconds)


def healthy_share(report: LoadReport) -> float:
    """Returns the part answered in time of all customers but the first."""
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
    """Runs one load in one situation under one policy."""
    with situation_fleet(example, situation, policy, slots) as fleet:
        if situation.overload:
            rate = situation.overload * capacity(example, slots)
        customers = create_customers(fleet, rate, situation.flood_factor)
        ports = [router.port for router in fleet.router_by_name.values()]
        warm_up = [
            call._replace(at=call.number / WARM_UP_CALLS)
            for call in plan_calls(-seed, example.kinds, customers, 10.0)
        ]
        await Load(reactor, ports).run(-seed, warm_up[:WARM_UP_CALLS])
        plan = plan_calls(seed, example.kinds, customers, seconds)
        if situation.disturb is not None:
            reactor.callLater(FAULT_AT_S, situation.disturb, fleet, example)
        return await Load(reactor, ports).run(seed, plan)


HEADINGS = (
    "situation policy calls in_time% others% carried% late cut refused "
    "false first50 first95 first99 gap95 refuse95"
)
ROW_FORMAT = "{:<10}{:<13}" + "{:>9}" * 13


def table_row(
    situation: str, policy: str, report: LoadReport, carried: float
) -> str:
    """Returns one line of the table."""
    total = report["total"]
    first = total["first_byte_ms"]
    gaps = [kind["gap_ms"]["p95"] for kind in report["report_by_kind"].values()]
    return ROW_FORMAT.format(
        situation,
        policy,
        report["calls"],
        f"{report['in_time_share'] * 100:.2f}",
        f"{healthy_share(report) * 100:.2f}",
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
    """Runs all and prints the table as it grows."""
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
        examples: Names of examples, with commas.
        situations: Names of situations, with commas.
        policies: Names of pickers, with commas.
        seed: Seed of the arrivals.
        rate: Calls a second in the steady situation.
        seconds: Length of each load.
        slots: Generations that each engine runs at a time.
        output: File for all figures as JSON; empty for none.
    """
    names = [_names(text) for text in (examples, situations, policies)]

    async def main(_reactor) -> None:
        reports = await run_all(*names, seed, rate, seconds, slots)
        if output:
            Path(output).write_text(json.dumps(reports, indent=1))

    task.react(lambda _: defer.ensureDeferred(main(_)))


def _names(text: str | tuple[str, ...]) -> list[str]:
    return text.split(",") if isinstance(text, str) else list(text)


if __name__ == "__main__":
    sys.exit(fire.Fire(compare))
