"""Compares policies of sharing a budget by overspend and false refusals.

Runs the real budget code on a simulated fleet, with the same load and seed for
each policy. `python -m bench.budgets` prints a table, `--as_json` its rows,
`--slopes` the rate of appends and bytes to the log, and `--kills` the tokens
stranded by killed routers.
"""

import json
import random
from collections.abc import Iterator
from typing import NamedTuple

import fire
from loguru import logger

from bench.budget_sim import SHARD, Simulation
from chicorystack.budget.keeper.messages import shard_stream
from chicorystack.budget.keeper.sharing import (
    DelegationSharing,
    DemandSharing,
    EqualSharing,
    FractionSharing,
    MixedSharing,
)
from chicorystack.observe.invariants import violations_by_name

BUDGET = "c/main"
POLICY_BY_NAME = {
    "fraction": FractionSharing,
    "equal": EqualSharing,
    "demand": DemandSharing,
    "mixed": MixedSharing,
    "delegation": DelegationSharing,
}
STEP_S = 0.1
BEFORE_S = 30.0
FAULT_S = 60.0
AFTER_S = 10.0
# Share of the budget that is unspent when the fault begins.
REMAINING_SHARE = 0.2


class LoadProfile(NamedTuple):
    """The load of one of the two users.

    Attributes:
        calls_per_s: Calls per second, both data centres together.
        min_bound: Smallest token bound of a call.
        max_bound: Largest token bound of a call.
    """

    calls_per_s: float
    min_bound: int
    max_bound: int


LOAD_PROFILE_BY_USER = {
    "brandvagt": LoadProfile(8.0, 20, 60),
    "cedarline": LoadProfile(3.0, 60, 250),
}


class Scenario(NamedTuple):
    """A fault and the distribution of the load.

    Attributes:
        fault: `cut` between the data centres, `log` down, `keeper` killed, or
            `none`. A cut lasts `FAULT_S`, and the log is down for 600 s.
        share_before: Share of the calls in data centre 1 before the fault.
        share_during: The same during and after the fault.
        until_spent: Whether the load continues until the budget is spent.
    """

    fault: str
    share_before: float = 0.5
    share_during: float = 0.5
    until_spent: bool = False


SCENARIO_BY_NAME = {
    "no fault, spent to the end": Scenario("none", until_spent=True),
    "80/20, spent to the end": Scenario("none", 0.8, 0.8, until_spent=True),
    "cut 60 s, top-up in it": Scenario("cut"),
    "cut 60 s, 80/20": Scenario("cut", 0.8, 0.8),
    "cut 60 s, swings to 20/80": Scenario("cut", 0.8, 0.2),
    "keeper killed": Scenario("keeper"),
    "log down 10 min": Scenario("log"),
}


class Row(NamedTuple):
    """The results of one run.

    Attributes:
        user: Name of the load profile.
        scenario: Name of the scenario.
        policy: Name of the sharing policy.
        calls: Calls that the budget could have paid for, made while at least
            1 % of it was left. In scenarios with `until_spent`, these are
            counted throughout, otherwise only during the fault.
        refused: Number of these calls that did not complete.
        refused_percent: The same, in percent.
        overspend: Tokens used beyond the budget.
        stranded: Tokens that could not be settled and stay counted as spent.
    """

    user: str
    scenario: str
    policy: str
    calls: int
    refused: int
    refused_percent: float
    overspend: int
    stranded: int


class ScenarioRun:
    """One run of a scenario with one load and policy."""

    def __init__(
        self,
        load_profile: LoadProfile,
        scenario: Scenario,
        policy,
        seed: int,
        demand_part: float,
    ):
        self._demand_part = demand_part
        self._random = random.Random(seed)
        self._load_profile = load_profile
        self._scenario = scenario
        self._count = 0
        self._payable_keys: set[str] = set()
        self._topped_up = 0
        self._counting = scenario.until_spent
        self._fault_s = 600.0 if scenario.fault == "log" else FAULT_S
        self.sim = Simulation(policy)
        for data_centre in (1, 2):
            self.sim.add_router(f"r{data_centre}", f"dc-{data_centre}")
            self.sim.add_agent(f"a{data_centre}", f"dc-{data_centre}")
        self.sim.add_router("r3", "dc-1")
        self.sim.run(3.0)

    def run(self) -> None:
        """Tops up the budget and runs the scenario."""
        rate = self._tokens_per_s()
        remaining = rate * self._fault_s / self._demand_part
        if self._scenario.until_spent:
            self._top_up(int(rate * (BEFORE_S + AFTER_S)))
            self._load(BEFORE_S + FAULT_S, self._scenario.share_before)
            return
        self._top_up(int(remaining / REMAINING_SHARE))
        self._spend(
            int(remaining / REMAINING_SHARE - remaining - rate * BEFORE_S)
        )
        self._load(BEFORE_S, self._scenario.share_before)
        self._begin_fault()
        self._counting = True
        self._load(self._fault_s / 2, self._scenario.share_during)
        if self._scenario.fault == "cut":
            self._top_up(1000)
        self._load(self._fault_s / 2, self._scenario.share_during)
        self._counting = False
        self._end_fault()
        self._load(AFTER_S, self._scenario.share_during)

    def row(self, user: str, scenario: str, policy: str) -> Row:
        """Runs 10 s without load, then returns the results."""
        self.sim.run(10.0)
        refused = [
            outcome
            for outcome in self.sim.outcomes
            if outcome.key in self._payable_keys and outcome.code != "done"
        ]
        used = sum(self.sim.engine_use_by_budget[BUDGET].values())
        self.sim.read_audit()
        calls = len(self._payable_keys)
        return Row(
            user,
            scenario,
            policy,
            calls,
            len(refused),
            round(100 * len(refused) / max(1, calls), 2),
            max(0, used - self._topped_up),
            self.sim.audit.budget(BUDGET).stranded,
        )

    def _tokens_per_s(self) -> float:
        """Returns the mean number of tokens that calls use per second."""
        bound = (
            self._load_profile.min_bound + self._load_profile.max_bound
        ) / 2
        return self._load_profile.calls_per_s * (bound + 1) / 2

    def _top_up(self, tokens: int) -> None:
        self._topped_up += tokens
        self.sim.top_up(BUDGET, tokens)

    def _unused_tokens(self) -> int:
        """Returns the tokens that engines have not used yet."""
        used = sum(self.sim.engine_use_by_budget[BUDGET].values())
        return self._topped_up - used

    def _spend(self, tokens: int) -> None:
        """Spends a part of the budget quickly, in both data centres."""
        end = self._unused_tokens() - tokens
        while self._unused_tokens() > end:
            for data_centre in (1, 2):
                self._call(data_centre, 250)
            self.sim.run(STEP_S / 5)

    def _load(self, seconds: float, share: float) -> None:
        for _ in range(int(seconds / STEP_S)):
            for _ in range(self._calls_in_step()):
                data_centre = 1 if self._random.random() < share else 2
                low, high = (
                    self._load_profile.min_bound,
                    self._load_profile.max_bound,
                )
                self._call(data_centre, self._random.randint(low, high))
            self.sim.run(STEP_S)

    def _calls_in_step(self) -> int:
        """Returns the number of calls to start in a step."""
        mean = self._load_profile.calls_per_s * STEP_S
        return int(mean) + (self._random.random() < mean % 1)

    def _call(self, data_centre: int, bound: int) -> None:
        self._count += 1
        key = f"{self._count}-{bound}"
        running = len(self._running_calls)
        required = max(self._topped_up // 100, bound)
        available = (
            self._unused_tokens() - running * self._load_profile.max_bound
        )
        if self._counting and available >= required:
            self._payable_keys.add(key)
        router = self._router(data_centre)
        self.sim.call(router, BUDGET, key, bound, [f"a{data_centre}"])

    @property
    def _running_calls(self) -> range:
        return range(self._count - len(self.sim.outcomes))

    def _router(self, data_centre: int) -> str:
        """Returns the router to call in a data centre.

        If it was killed, r3 replaces r1 and r1 replaces r2.
        """
        name = f"r{data_centre}"
        if self.sim.network.process_by_name[name].dead:
            return "r3" if data_centre == 1 else "r1"
        return name

    def _begin_fault(self) -> None:
        fault = self._scenario.fault
        if fault == "cut":
            self.sim.network.cut_groups.add(frozenset(("dc-1", "dc-2")))
        elif fault == "log":
            self.sim.set_log_faults(down=True)
        elif fault == "keeper":
            keeper = next(self.sim.keepers()).process
            self.sim.network.kill(keeper)
            self.sim.remove_vm(keeper.name)

    def _end_fault(self) -> None:
        self.sim.network.cut_groups.clear()
        self.sim.set_log_faults()


def compare(seed: int, demand_part: float, only: str = "") -> Iterator[Row]:
    """Yields the results of each policy in each scenario under each load."""
    for user_name, load_profile in LOAD_PROFILE_BY_USER.items():
        for name, scenario in SCENARIO_BY_NAME.items():
            if only not in name:
                continue
            for policy_name, policy in POLICY_BY_NAME.items():
                scenario_run = ScenarioRun(
                    load_profile, scenario, policy(), seed, demand_part
                )
                scenario_run.run()
                yield scenario_run.row(user_name, name, policy_name)


def measure_kills(seed: int, count: int = 100) -> dict[str, float]:
    """Kills routers that hold tokens and returns what remains stranded."""
    sim = Simulation()
    sim.add_agent("a1", "dc-1")
    sim.add_router("keeper-1", "dc-1")
    sim.add_router("keeper-2", "dc-1")
    sim.top_up(BUDGET, 1_000_000)
    sim.run(3.0)
    rng = random.Random(seed)
    for number in range(count):
        name = f"r{number}"
        sim.add_router(name, "dc-1")
        sim.run(1.0)
        for call in range(4):
            bound = rng.randint(20, 250)
            sim.call(name, BUDGET, f"{number}-{call}-{bound}", bound)
        sim.run(rng.uniform(0.05, 2.0))
        sim.network.kill(sim.network.process_by_name[name])
        sim.remove_vm(name)
    sim.run(5.0)
    before = _unsettled(sim)
    sim.run(300.0)
    sim.read_audit()
    state = sim.audit.budget(BUDGET)
    return {
        "kills": count,
        "billed": state.billed,
        "used": sum(sim.engine_use_by_budget[BUDGET].values()),
        "held by dead before settlement": before,
        "stranded": state.stranded + _unsettled(sim),
        "violations": sum(violations_by_name.values()),
    }


def _unsettled(sim: Simulation) -> int:
    keeper = next(sim.keepers()).keeper.controller_by_shard[SHARD].keeper
    live = {
        node.budgets.wallet(SHARD).holder
        for node in sim.router_by_name.values()
        if not node.process.dead
    }
    held = keeper.held_by_budget[BUDGET].items()
    held_by_dead = sum(tokens for holder, tokens in held if holder not in live)
    return keeper.unsettled + held_by_dead


def measure_slopes(seed: int) -> list[dict[str, float]]:
    """Measures appends and bytes per second at several sizes."""
    rows = []
    for customers, routers, calls_per_s in (
        (1, 2, 10), (10, 2, 10), (40, 2, 10), (10, 4, 10), (10, 8, 10),
        (10, 2, 20), (10, 2, 40),
    ):  # fmt: skip
        rows.append(_measure_log_load(customers, routers, calls_per_s, seed))
    return rows


def _measure_log_load(
    customers: int, routers: int, calls_per_s: int, seed: int
) -> dict[str, float]:
    sim = Simulation()
    sim.add_agent("a1")
    for number in range(routers):
        sim.add_router(f"r{number}")
    sim.run(3.0)
    for customer in range(customers):
        sim.top_up(f"c{customer}/main", 100_000)
    rng = random.Random(seed)
    stream = shard_stream(SHARD)
    seconds, warm_up_s = 20, 5
    before = 0
    for step in range((seconds + warm_up_s) * calls_per_s):
        if step == warm_up_s * calls_per_s:
            before = len(sim.log.entries(stream))
        budget = f"c{rng.randrange(customers)}/main"
        router = f"r{rng.randrange(routers)}"
        sim.call(router, budget, f"{step}", rng.randint(20, 60))
        sim.run(1 / calls_per_s)
    entries = sim.log.entries(stream)[before:]
    size = sum(len(entry["record"]) for entry in entries)
    return {
        "customers": customers,
        "routers": routers,
        "calls_per_s": calls_per_s,
        "appends_per_s": round(len(entries) / seconds, 2),
        "bytes_per_s": round(size / seconds),
        "bytes_per_call": round(size / seconds / calls_per_s, 1),
    }


def main(
    seed: int = 1,
    only: str = "",
    demand_part: float = 0.5,
    as_json: bool = False,
    slopes: bool = False,
    kills: bool = False,
) -> None:
    """Prints the comparison.

    Args:
        seed: Seed of the load.
        demand_part: Tokens demanded during the fault, as a share of those
            unspent when it begins.
        only: Runs only the scenarios whose names contain this text.
        as_json: Prints JSON.
        slopes: Prints the log's load at several sizes instead, as JSON.
        kills: Prints the tokens stranded by 100 router kills instead, as JSON.
    """
    logger.disable("chicorystack")
    if slopes:
        print(json.dumps(measure_slopes(seed), indent=1))
        return
    if kills:
        print(json.dumps(measure_kills(seed), indent=1))
        return
    for row in compare(seed, demand_part, only):
        if as_json:
            print(json.dumps(row._asdict()), flush=True)
        else:
            _print_row(row)
    print(f"invariants violated: {sum(violations_by_name.values())}")


def _print_row(row: Row) -> None:
    print(
        f"{row.user:10} {row.scenario:28} {row.policy:11} "
        f"{row.refused:4}/{row.calls:4} = {row.refused_percent:6.2f} %  "
        f"overspend {row.overspend}  stranded {row.stranded}",
        flush=True,
    )


if __name__ == "__main__":
    fire.Fire(main)
