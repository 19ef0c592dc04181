"""State machine that injects random faults into a small simulated fleet.

Budgets must not be overspent, and after recovery all tokens that nobody holds
must be free again.
"""

from hypothesis import assume
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from loguru import logger

from bench.budget_sim import SHARD, Simulation
from chicorystack.observe import invariants

ROUTERS = ("r1", "r2", "r3")
AGENTS = ("a1", "a2")
BUDGETS = ("c/a", "c/b")
# Longer than a keeper takes to find a replaced holder and settle its tokens.
RECOVERY_S = 260.0

routers = st.sampled_from(ROUTERS)
agents = st.sampled_from(AGENTS)
budgets = st.sampled_from(BUDGETS)


class BudgetMachine(RuleBasedStateMachine):
    """Runs calls during faults of routers, agents, the log and the network.

    The audit replays the shard's stream and checks it after each step.
    """

    def __init__(self):
        super().__init__()
        logger.disable("chicorystack")
        invariants.violations_by_name.clear()
        self.sim = Simulation()
        self.key_count = 0
        self.agents_lost = False
        for name in ROUTERS:
            self.sim.add_router(name, f"dc-{name}")
        for name in AGENTS:
            self.sim.add_agent(name, "dc-a")
        for budget in BUDGETS:
            self.sim.top_up(budget, 400)
        self.sim.run(2.0)

    def process(self, name):
        return self.sim.network.process_by_name[name]

    @rule(budget=budgets, tokens=st.integers(1, 500))
    def top_up(self, budget, tokens):
        self.sim.top_up(budget, tokens)

    @rule(router=routers, budget=budgets, bound=st.integers(1, 120),
          count=st.integers(1, 4))  # fmt: skip
    def call(self, router, budget, bound, count):
        for _ in range(count):
            self.key_count += 1
            self.sim.call(router, budget, f"k{self.key_count}-{bound}", bound)
        self.sim.run(0.01)

    @rule(router=routers, budget=budgets, number=st.integers(1, 9))
    def call_with_reused_key(self, router, budget, number):
        """Calls with one of a few keys, which other routers may have run."""
        self.sim.call(router, budget, f"again-{budget}-{number}", 50)
        self.sim.run(0.01)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0, 20.0]))
    def wait(self, seconds):
        self.sim.run(seconds)

    @rule()
    def wait_for_new_epoch(self):
        self.sim.run(130.0)

    @rule(name=routers, listed=st.booleans())
    def kill_router(self, name, listed):
        self.sim.network.kill(self.process(name))
        if not listed:
            self.sim.remove_vm(name)

    @rule(name=routers)
    def restart_router(self, name):
        assume(self.process(name).dead)
        self.sim.add_router(name, f"dc-{name}")

    @rule(name=routers, listed=st.booleans())
    def pause_router(self, name, listed):
        self.process(name).paused = True
        if not listed:
            self.sim.remove_vm(name)

    @rule(name=routers)
    def resume_router(self, name):
        process = self.process(name)
        assume(process.paused and not process.dead)
        process.resume()

    @rule(name=agents)
    def pause_or_resume_agent(self, name):
        process = self.process(name)
        if process.paused:
            process.resume()
        else:
            process.paused = True

    @rule(name=agents)
    def restart_agent(self, name):
        self.agents_lost = True
        self.sim.network.kill(self.process(name))
        self.sim.add_agent(name, "dc-a")

    @rule(down=st.booleans(), delay_s=st.sampled_from([0.0, 0.5, 3.0]),
          lose_answers=st.integers(0, 2))  # fmt: skip
    def trigger_log_faults(self, **faults):
        self.sim.set_log_faults(**faults)

    @rule(name=routers | agents, count=st.integers(1, 3))
    def lose_replies(self, name, count):
        self.sim.network.replies_to_lose[name] = count

    @rule(one=st.sampled_from(["dc-r1", "dc-r2", "dc-r3", "dc-a", "log"]),
          other=st.sampled_from(["dc-r1", "dc-r2", "dc-r3"]))  # fmt: skip
    def cut_or_restore_link(self, one, other):
        self.sim.network.cut_groups ^= {frozenset((one, other))}

    @invariant()
    def no_invariant_violated(self):
        assert not invariants.violations_by_name

    @invariant()
    def within_budget(self):
        self.sim.read_audit()
        assert not self.sim.duplicate_bills
        for budget, state in self.sim.audit.budget_by_id.items():
            assert state.billed <= state.committed <= state.topped_up
            used = self.sim.engine_use_by_budget[budget]
            assert sum(used.values()) <= state.topped_up, budget

    def teardown(self):
        self.recover()
        self.no_invariant_violated()
        self.within_budget()
        self.check_bills()
        self.check_settled()
        logger.enable("chicorystack")

    def recover(self):
        self.sim.set_log_faults()
        self.sim.network.cut_groups = set()
        self.sim.network.replies_to_lose.clear()
        for name, process in list(self.sim.network.process_by_name.items()):
            if process.paused:
                process.resume()
            if process.dead:
                self.sim.remove_vm(name)
        # Processes that resumed while unlisted are removed in the end.
        self.sim.run(10.0)
        for name, process in list(self.sim.network.process_by_name.items()):
            if name != "log" and name not in self.sim.vm_by_name:
                self.sim.network.kill(process)
        self.sim.run(RECOVERY_S)
        if not any(self.sim.keepers()):
            self.sim.add_router("r4")
            self.sim.run(RECOVERY_S)

    def check_bills(self):
        """Every answered key is billed, unless its agent's memory was lost."""
        for outcome in self.sim.outcomes:
            if outcome.code == "done" and not outcome.agent.dead:
                assert outcome.key in self.sim.bill_by_key, outcome

    def check_settled(self):
        """All tokens are settled; keeper and wallets agree on held tokens.

        Tokens may be stranded only if an agent lost its memory.
        """
        keepers = list(self.sim.keepers())
        assert len(keepers) == 1
        keeper = keepers[0].keeper.controller_by_shard[SHARD].keeper
        assert keeper.unsettled == 0
        for budget in BUDGETS:
            state = self.sim.audit.budget(budget)
            assert self.agents_lost or state.stranded == 0
            live = [
                node.budgets.wallet(SHARD).held(budget).held
                for node in self.sim.router_by_name.values()
                if not node.process.dead
            ]
            held = sum(keeper.held_by_budget[budget].values())
            assert held == sum(live)
