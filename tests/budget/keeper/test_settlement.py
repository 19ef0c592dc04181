"""Tokens of lost routers are settled, and no token is spent twice."""

import pytest
from loguru import logger

from bench.budget_sim import SHARD, Simulation
from chicorystack.observe import invariants

BUDGET = "c/a"
# Longer than the minimum time between two epochs claimed by one keeper.
SETTLED_S = 135.0


@pytest.fixture
def sim():
    logger.disable("chicorystack")
    invariants.violations_by_name.clear()
    fleet = Simulation()
    for name in ("r1", "r2", "r3"):
        fleet.add_router(name, f"dc-{name}")
    for name in ("a1", "a2"):
        fleet.add_agent(name, "dc-a")
    fleet.top_up(BUDGET, 1000)
    fleet.run(2.0)
    yield fleet
    fleet.read_audit()
    assert not invariants.violations_by_name
    assert not fleet.duplicate_bills
    assert used(fleet) <= fleet.audit.budget(BUDGET).topped_up
    logger.enable("chicorystack")


def used(sim):
    return sum(sim.engine_use_by_budget[BUDGET].values())


def keeper_name(sim):
    return next(sim.keepers()).process.name


def holders(sim):
    """Names of the routers that do not keep the shard."""
    return [name for name in sim.router_by_name if name != keeper_name(sim)]


def view(sim):
    controller = next(sim.keepers()).keeper.controller_by_shard[SHARD]
    return controller.budgets("c")["budgets"][0]


def spend_all(sim, router, label):
    """Makes 200 calls of up to 10 tokens, enough to exhaust the budget."""
    for number in range(200):
        sim.call(router, BUDGET, f"{label}-{number}", 10)
        sim.run(0.05)
    sim.run(10.0)


def kill(sim, name):
    sim.network.kill(sim.network.process_by_name[name])
    sim.remove_vm(name)


def test_usage_of_a_dead_router_is_billed_from_agents(sim):
    victim = holders(sim)[0]
    keeper = sim.network.process_by_name[keeper_name(sim)]
    sim.call(victim, BUDGET, "warm", 50)
    sim.run(3.0)
    cut = frozenset((keeper.group, f"dc-{victim}"))
    sim.network.cut_groups.add(cut)
    sim.call(victim, BUDGET, "unreported", 50)
    sim.run(1.0)
    assert sim.outcomes[-1].code == "done"
    kill(sim, victim)
    sim.run(SETTLED_S)
    sim.read_audit()
    assert "unreported" in sim.bill_by_key
    assert sim.audit.budget(BUDGET).billed == used(sim)
    assert view(sim)["unsettled"] == 0
    assert view(sim)["free"] == 1000 - used(sim)


def test_tokens_of_a_restarted_router_are_freed(sim):
    restarted = holders(sim)[0]
    sim.call(restarted, BUDGET, "warm", 50)
    sim.run(3.0)
    sim.network.kill(sim.network.process_by_name[restarted])
    sim.add_router(restarted, f"dc-{restarted}")
    assert view(sim)["held"] > 0
    sim.run(2 * SETTLED_S)
    assert view(sim)["held"] == 0
    assert view(sim)["free"] == 1000 - used(sim)


def test_router_paused_during_its_settlement_spends_nothing(sim):
    paused, other = holders(sim)
    sim.call(paused, BUDGET, "warm", 50)
    sim.run(3.0)
    assert sim.router_by_name[paused].budgets.wallet(SHARD).held(BUDGET).free
    process = sim.network.process_by_name[paused]
    process.paused = True
    sim.remove_vm(paused)
    sim.run(SETTLED_S)
    spend_all(sim, other, "other")
    process.resume()
    for number in range(20):
        sim.call(paused, BUDGET, f"late-{number}", 10)
    sim.run(10.0)
    assert used(sim) <= 1000
    wallet = sim.router_by_name[paused].budgets.wallet(SHARD)
    assert wallet.held(BUDGET).held <= 1000 - used(sim)


def test_live_router_partitioned_from_the_keeper_keeps_its_grant(sim):
    cut_off, victim = holders(sim)
    for name in (cut_off, victim):
        sim.call(name, BUDGET, f"warm-{name}", 50)
    sim.run(3.0)
    wallet = sim.router_by_name[cut_off].budgets.wallet(SHARD)
    free = wallet.held(BUDGET).free
    cut = frozenset((f"dc-{keeper_name(sim)}", f"dc-{cut_off}"))
    sim.network.cut_groups.add(cut)
    kill(sim, victim)
    sim.run(SETTLED_S)
    assert view(sim)["reason"] == f"waits for router {cut_off}"
    assert wallet.held(BUDGET).free == free
    sim.call(cut_off, BUDGET, "during", 10)
    sim.run(2.0)
    assert sim.outcomes[-1].code == "done"
    sim.network.cut_groups.clear()
    sim.run(10.0)
    assert view(sim)["unsettled"] == 0


def test_tokens_are_stranded_with_a_reason_when_an_agent_lost_its_memory(sim):
    victim = holders(sim)[0]
    sim.call(victim, BUDGET, "warm", 50)
    sim.run(3.0)
    kill(sim, victim)
    sim.network.kill(sim.network.process_by_name["a1"])
    sim.add_agent("a1", "dc-a")
    sim.run(SETTLED_S)
    assert view(sim)["unsettled"] > 0
    assert view(sim)["reason"].endswith("agents lost their memory: a1")


def test_resumed_keeper_that_was_replaced_grants_no_tokens(sim):
    old = keeper_name(sim)
    other = holders(sim)[0]
    process = sim.network.process_by_name[old]
    # The old keeper can append, but its reads of the log get no reply, so it
    # does not learn that it was replaced.
    sim.network.lost_replies.add((old, "read"))
    process.paused = True
    sim.remove_vm(old)
    sim.run(5.0)
    spend_all(sim, other, "other")
    process.resume()
    sim.relist_router(old)
    for number in range(20):
        sim.call(old, BUDGET, f"late-{number}", 50)
    sim.run(5.0)
    assert not [o for o in sim.outcomes if o.key.startswith("late-")
                and o.code == "done"]  # fmt: skip
    sim.network.lost_replies.clear()
    sim.run(20.0)
    assert used(sim) <= 1000


def test_tokens_held_by_another_router_are_recalled(sim):
    first, second = holders(sim)
    sim.call(first, BUDGET, "warm", 50)
    sim.run(3.0)
    assert sim.router_by_name[first].budgets.wallet(SHARD).held(BUDGET).free
    for number in range(200):
        left = 1000 - used(sim)
        if left < 20:
            break
        sim.call(second, BUDGET, f"next-{number}", 20)
        sim.run(3.0)
        assert sim.outcomes[-1].code == "done", left
    assert used(sim) > 980


def test_call_right_after_a_top_up_is_not_refused(sim):
    router = holders(sim)[0]
    spend_all(sim, router, "all")
    sim.top_up(BUDGET, 500)
    sim.call(router, BUDGET, "next", 100)
    sim.run(5.0)
    assert sim.outcomes[-1].code == "done"
