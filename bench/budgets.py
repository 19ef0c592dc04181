"""Compares ways of sharing a budget: overspend and false refusals.

On a driven clock, with the real budget code; the same load and seeds for each
way. `python -m bench.budgets` prints a table, `--as_json` its rows, `--slopes`
the appends and bytes that the log takes, `--kills` what router kills strand.
"""

import json
import random
from collections.abc import Iterator
from typing import NamedTuple

import fire
from loguru import logger

from bench.budget_sim import SHARD, Simulation
from chicorystack.budget.messages import shard_stream
from chicorystack.budget.sharing import (
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
# What is left when the fault begins, as a part of the budget.
LEFT_PART = 0.2


class User(NamedTuple):
    """One of the two users' loads.

    Attributes:
        calls_per_s: Calls a second over both sides.
        least_bound: Least upper bound of a call, in tokens.
        most_bound: Most.
    """

    calls_per_s: float
    least_bound: int
    most_bound: int


USER_BY_NAME = {
    "brandvagt": User(8.0, 20, 60),
    "cedarline": User(3.0, 60, 250),
}


class Scenario(NamedTuple):
    """What happens.

    Attributes:
        fault: What fails for FAULT_S.
        before: Part of the calls at side 1 before the fault.
        during: The same during and after it.
        runs_dry: Whether the load goes on until the budget is spent.
    """

    fault: str
    before: float = 0.5
    during: float = 0.5
    runs_dry: bool = False


SCENARIO_BY_NAME = {
    "no fault, spent to the end": Scenario("none", runs_dry=True),
    "80/20, spent to the end": Scenario("none", 0.8, 0.8, runs_dry=True),
    "cut 60 s, top-up in it": Scenario("cut"),
    "cut 60 s, 80/20": Scenario("cut", 0.8, 0.8),
    "cut 60 s, swings to 20/80": Scenario("cut", 0.8, 0.2),
    "keeper killed": Scenario("keeper"),
    "log down 10 min": Scenario("log"),
}


class Row(NamedTuple):
    """The figures of one run.

    Attributes:
        user: The load.
        scenario: What happened.
        policy: The way of sharing.
        calls: Calls that the budget could have paid: those during the fault,
            or all while at least 1 % is left.
        refused: Those of them that were refused.
        refused_percent: The same, in percent.
        overspend: Tokens used beyond the budget.
        stranded: Tokens that could not be settled in the end.
    """

    user: str
    scenario: str
    policy: str
    calls: int
    refused: int
    refused_percent: float
    overspend: int
    stranded: int


class Trial:
    """One run of a scenario."""

    def __init__(
        self,
        user: User,
        scenario: Scenario,
        policy,
        seed: int,
        demand_part: float,
    ):
        self._demand_part = demand_part
        self._random = random.Random(seed)
        self._user = user
        self._scenario = scenario
        self._count = 0
        self._payable: set[str] = set()
        self._topped_up = 0
        self._counting = scenario.runs_dry
        self._fault_s = 600.0 if scenario.fault == "log" else FAULT_S
        self.sim = Simulation(policy)
        for side in (1, 2):
            self.sim.add_router(f"r{side}", f"dc-{side}")
            self.sim.add_agent(f"a{side}", f"dc-{side}")
        self.sim.add_router("r3", "dc-1")
        self.sim.run(3.0)

    def run(self) -> None:
        """Runs the scenario from a budget's first tokens on."""
        rate = self._tokens_per_s()
        left = rate * self._fault_s / self._demand_part
        if self._scenario.runs_dry:
            self._top_up(int(rate * (BEFORE_S + AFTER_S)))
            self._load(BEFORE_S + FAULT_S, self._scenario.before)
            return
        self._top_up(int(left / LEFT_PART))
        self._burn(int(left / LEFT_PART - left - rate * BEFORE_S))
        self._load(BEFORE_S, self._scenario.before)
        self._begin_fault()
        self._counting = True
        self._load(self._fault_s / 2, self._scenario.during)
        if self._scenario.fault == "cut":
            self._top_up(1000)
        self._load(self._fault_s / 2, self._scenario.during)
        self._counting = False
        self._end_fault()
        self._load(AFTER_S, self._scenario.during)

    def row(self, user: str, scenario: str, policy: str) -> Row:
        """Returns the figures, some time after the load has ended."""
        self.sim.run(10.0)
        refused = [
            outcome
            for outcome in self.sim.outcomes
            if outcome.key in self._payable and outcome.code != "done"
        ]
        used = sum(self.sim.engine_use_by_budget[BUDGET].values())
        self.sim.read_audit()
        calls = len(self._payable)
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
        """Returns the mean tokens that calls use in a second."""
        bound = (self._user.least_bound + self._user.most_bound) / 2
        return self._user.calls_per_s * (bound + 1) / 2

    def _top_up(self, tokens: int) -> None:
        self._topped_up += tokens
        self.sim.top_up(BUDGET, tokens)

    def _left(self) -> int:
        """Returns tokens not used, those that running calls may use apart."""
        used = sum(self.sim.engine_use_by_budget[BUDGET].values())
        return self._topped_up - used

    def _burn(self, tokens: int) -> None:
        """Spends a part of the budget quickly, on both sides."""
        end = self._left() - tokens
        while self._left() > end:
            for side in (1, 2):
                self._call(side, 250)
            self.sim.run(STEP_S / 5)

    def _load(self, seconds: float, part: float) -> None:
        for _ in range(int(seconds / STEP_S)):
            for _ in range(self._calls_now()):
                side = 1 if self._random.random() < part else 2
                least, most = self._user.least_bound, self._user.most_bound
                self._call(side, self._random.randint(least, most))
            self.sim.run(STEP_S)

    def _calls_now(self) -> int:
        """Returns how many calls come in a step."""
        mean = self._user.calls_per_s * STEP_S
        return int(mean) + (self._random.random() < mean % 1)

    def _call(self, side: int, bound: int) -> None:
        self._count += 1
        key = f"{self._count}-{bound}"
        running = len(self._running)
        least_left = max(self._topped_up // 100, bound)
        surely_left = self._left() - running * self._user.most_bound
        if self._counting and surely_left >= least_left:
            self._payable.add(key)
        router = self._router(side)
        self.sim.call(router, BUDGET, key, bound, [f"a{side}"])

    @property
    def _running(self) -> range:
        return range(self._count - len(self.sim.outcomes))

    def _router(self, side: int) -> str:
        """Returns a router of a side; the third stands in on side 1."""
        name = f"r{side}"
        if self.sim.network.process_by_name[name].dead:
            return "r3" if side == 1 else "r1"
        return name

    def _begin_fault(self) -> None:
        fault = self._scenario.fault
        if fault == "cut":
            self.sim.network.cut_groups.add(frozenset(("dc-1", "dc-2")))
        elif fault == "log":
            self.sim.order_log(down=True)
        elif fault == "keeper":
            keeper = next(self.sim.keepers()).process
            self.sim.network.kill(keeper)
            self.sim.unlist(keeper.name)

    def _end_fault(self) -> None:
        self.sim.network.cut_groups.clear()
        self.sim.order_log()


def compare(seed: int, demand_part: float, only: str = "") -> Iterator[Row]:
    """Yields the figures of every way of sharing in every scenario."""
    for user_name, user in USER_BY_NAME.items():
        for name, scenario in SCENARIO_BY_NAME.items():
            if only not in name:
                continue
            for policy_name, policy in POLICY_BY_NAME.items():
                trial = Trial(user, scenario, policy(), seed, demand_part)
                trial.run()
                yield trial.row(user_name, name, policy_name)


def measure_kills(seed: int, count: int = 100) -> dict[str, float]:
    """Kills routers that hold tokens and says what is stranded."""
    sim = Simulation()
    sim.add_agent("a1", "dc-1")
    sim.add_router("keeper-1", "dc-1")
    sim.add_router("keeper-2", "dc-1")
    sim.top_up(BUDGET, 1_000_000)
    sim.run(3.0)
    chance = random.Random(seed)
    for number in range(count):
        name = f"r{number}"
        sim.add_router(name, "dc-1")
        sim.run(1.0)
        for call in range(4):
            bound = chance.randint(20, 250)
            sim.call(name, BUDGET, f"{number}-{call}-{bound}", bound)
        sim.run(chance.uniform(0.05, 2.0))
        sim.network.kill(sim.network.process_by_name[name])
        sim.unlist(name)
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
    of_dead = sum(tokens for holder, tokens in held if holder not in live)
    return keeper.unsettled + of_dead


def measure_slopes(seed: int) -> list[dict[str, float]]:
    """Measures appends and bytes a second at several sizes."""
    rows = []
    for customers, routers, calls_per_s in (
        (1, 2, 10), (10, 2, 10), (40, 2, 10), (10, 4, 10), (10, 8, 10),
        (10, 2, 20), (10, 2, 40),
    ):  # fmt: skip
        rows.append(_slope(customers, routers, calls_per_s, seed))
    return rows


def _slope(
    customers: int, routers: int, calls_per_s: int, seed: int
) -> dict[str, float]:
    sim = Simulation()
    sim.add_agent("a1")
    for number in range(routers):
        sim.add_router(f"r{number}")
    sim.run(3.0)
    for customer in range(customers):
        sim.top_up(f"c{customer}/main", 100_000)
    chance = random.Random(seed)
    stream = shard_stream(SHARD)
    seconds, warm = 20, 5
    before = 0
    for step in range((seconds + warm) * calls_per_s):
        if step == warm * calls_per_s:
            before = len(sim.log.entries(stream))
        budget = f"c{chance.randrange(customers)}/main"
        router = f"r{chance.randrange(routers)}"
        sim.call(router, budget, f"{step}", chance.randint(20, 60))
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
        demand_part: What the callers ask for during the fault, as a part of
            what is left when it begins.
        only: Part of the names of the scenarios to run.
        as_json: Prints JSON.
        slopes: Prints the log's load at several sizes instead, as JSON.
        kills: Prints what 100 router kills strand instead, as JSON.
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
