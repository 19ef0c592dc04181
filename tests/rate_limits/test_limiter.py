"""Tests that simulated routers together keep to a target's rate limit."""

import pytest
from twisted.internet import defer

from chicorystack import defaults
from tests.rate_limits.simulation import GRACE_S, TARGET, Fleet

# Fraction of the limit that is used, if there are calls enough.
NEARLY = 0.8


def used_fraction(fleet, start, limit):
    return fleet.count(start, fleet.now) / (limit * (fleet.now - start))


def limited_fleet(routers, limit, demand, seed=1, callers=None):
    """Returns a fleet that has run for some time before the limit is named."""
    fleet = Fleet(routers, seed)
    fleet.set_demand(demand, callers)
    fleet.run(4.0)
    fleet.set_limit(limit)
    return fleet


@pytest.mark.parametrize("routers", [1, 2, 4, 23, 70])
@pytest.mark.parametrize("limit", [0.25, 1.0, 6.0, 40.0])
def test_limit_is_kept_and_nearly_used_up(routers, limit):
    fleet = limited_fleet(routers, limit, demand=10 * limit + 10)
    named_at = fleet.now
    fleet.run(6.0 + 20 / limit)
    assert fleet.excess(named_at + GRACE_S) <= 0
    assert used_fraction(fleet, named_at + 6.0, limit) >= NEARLY


@pytest.mark.parametrize("routers", [2, 4, 23, 70])
def test_router_with_all_callers_may_use_the_whole_limit(routers):
    fleet = limited_fleet(routers, 2.0, 20.0, callers=["router-1"])
    named_at = fleet.now
    fleet.run(20.0)
    assert fleet.excess(named_at + GRACE_S) <= 0
    assert used_fraction(fleet, named_at + 6.0, 2.0) >= NEARLY


@pytest.mark.parametrize(("first", "second"), [(10.0, 1.0), (1.0, 10.0)])
def test_changed_limit_replaces_the_first(first, second):
    fleet = limited_fleet(8, first, 60.0)
    fleet.run(10.0)
    fleet.set_limit(second)
    changed_at = fleet.now
    fleet.run(20.0)
    assert fleet.excess(changed_at + 1.0) <= 0
    assert used_fraction(fleet, changed_at + 3.0, second) >= NEARLY


@pytest.mark.parametrize("limit", [0.5, 5.0])
def test_limit_that_the_target_names_no_more_ends_everywhere(limit):
    fleet = limited_fleet(8, limit, 60.0)
    fleet.run(10.0)
    fleet.set_limit(None)
    fleet.run(2.0 + 2 / limit)
    ended_at = fleet.now
    fleet.run(5.0)
    assert fleet.count(ended_at, fleet.now) > 0.8 * 60.0 * 5.0
    messages = fleet.network.messages
    fleet.run(5.0)
    assert fleet.network.messages == messages


def test_routers_send_each_other_nothing_without_a_limit():
    fleet = Fleet(8, 1)
    fleet.set_demand(60.0)
    fleet.run(10.0)
    assert fleet.network.messages == 0


def test_calls_wait_only_for_one_answer_of_another_router():
    fleet = limited_fleet(8, 1.0, 60.0)
    fleet.run(20.0)
    assert fleet.refused_s
    assert max(fleet.refused_s) <= 0.05


@pytest.mark.parametrize("routers", [2, 4, 23])
def test_limit_is_kept_without_a_router_that_has_lost_power(routers):
    fleet = limited_fleet(routers, 6.0, 80.0)
    named_at = fleet.now
    fleet.run(8.0)
    for router in fleet.routers[: max(1, routers // 8)]:
        fleet.network.dark.add(router)
        fleet.calls_per_s_by_router[router] = 0.0
    fleet.run(4.0)
    lost_at = fleet.now
    fleet.run(20.0)
    assert fleet.excess(named_at + GRACE_S) <= 0
    left = 1 - max(1, routers // 8) / routers
    assert used_fraction(fleet, lost_at, 6.0) >= NEARLY * left


@pytest.mark.parametrize("routers", [2, 4, 23])
def test_share_of_a_router_that_does_not_run_is_used(routers):
    fleet = limited_fleet(routers, 6.0, 80.0)
    named_at = fleet.now
    fleet.run(8.0)
    fleet.kill("router-0")
    fleet.run(8.0)
    killed_at = fleet.now
    fleet.run(20.0)
    assert fleet.excess(named_at + GRACE_S) <= 0
    assert used_fraction(fleet, killed_at, 6.0) >= NEARLY


@pytest.mark.parametrize("routers", [2, 4, 23, 70])
@pytest.mark.parametrize("limit", [0.5, 6.0])
def test_halves_that_are_cut_off_from_each_other_share_the_limit(
    routers, limit
):
    fleet = limited_fleet(routers, limit, 80.0)
    named_at = fleet.now
    fleet.run(8.0)
    middle = routers // 2
    fleet.network.cut(fleet.routers[:middle], fleet.routers[middle:])
    fleet.run(8.0)
    cut_at = fleet.now
    fleet.run(20.0 + 10 / limit)
    assert fleet.excess(named_at + GRACE_S) <= 0
    assert used_fraction(fleet, cut_at, limit) >= NEARLY
    fleet.network.heal()
    fleet.run(20.0)
    assert fleet.excess(named_at + GRACE_S) <= 0


@pytest.mark.parametrize("routers", [2, 5, 70])
def test_routers_that_are_all_cut_off_from_each_other_keep_the_limit(routers):
    fleet = limited_fleet(routers, 1.0, 100.0)
    named_at = fleet.now
    fleet.run(8.0)
    for router in fleet.routers:
        fleet.network.cut([router], set(fleet.routers) - {router})
    fleet.run(60.0)
    assert fleet.excess(named_at + GRACE_S) <= 0


def test_cut_off_routers_without_calls_save_up_no_permits():
    fleet = limited_fleet(40, 2.0, 100.0)
    fleet.run(8.0)
    fleet.network.dark.update(fleet.routers)
    fleet.set_demand(0.0)
    fleet.run(60.0)
    fleet.set_demand(400.0)
    burst_at = fleet.now
    fleet.run(10.0)
    assert fleet.excess(burst_at) <= 0


def test_router_that_has_started_again_does_not_use_its_share_twice():
    fleet = limited_fleet(3, 4.0, 60.0)
    fleet.run(8.0)
    restarted_at = fleet.now
    for router in fleet.routers:
        fleet.kill(router)
        fleet.start(router)
        fleet.network.router_by_name[router].record_answer(("i-1", 5), 4.0, 0)
    fleet.run(10.0)
    assert (
        fleet.count(restarted_at, restarted_at + defaults.RATE_RENEW_MIN_S)
        <= 4.0
    )
    assert fleet.excess(restarted_at) <= 0


@pytest.mark.parametrize("seed", range(30))
def test_random_faults_do_not_break_the_limit(seed):
    """Cuts, kills, restarts and changed limits in random order and overlap."""
    fleet = Fleet(0, seed)
    dice = fleet.dice
    routers = dice.choice([2, 3, 4, 8, 23, 70])
    fleet = limited_fleet(
        routers, dice.choice([0.3, 1.0, 2.5, 8.0]), dice.uniform(5, 80), seed
    )
    named_at = fleet.now
    restarts = []
    for _ in range(8):
        fleet.run(dice.uniform(0.3, 4.0))
        action = dice.choice(
            ["cut", "dark", "heal", "restart", "limit", "load"]
        )
        some = dice.sample(fleet.routers, dice.randint(1, max(1, routers // 3)))
        if action == "cut":
            others = [r for r in fleet.routers if r not in some]
            fleet.network.cut(some, others, one_way=dice.random() < 0.3)
        elif action == "dark":
            fleet.network.dark.update(some)
        elif action == "heal":
            fleet.network.heal()
        elif action == "restart":
            for router in some:
                fleet.kill(router)
                fleet.start(router)
                restarts.append((router, fleet.now))
        elif action == "limit":
            fleet.set_limit(dice.choice([0.3, 1.0, 2.5, 8.0]))
        else:
            fleet.set_demand(dice.uniform(5, 80))

    def excused(arrival):
        return any(
            arrival.router == router and 0 <= arrival.at - at < GRACE_S
            for router, at in restarts
        )

    fleet.run(8.0)
    assert fleet.excess(named_at + GRACE_S, excused) <= 0


def test_no_call_is_left_waiting_after_an_unexpected_exception(monkeypatch):
    fleet = limited_fleet(2, 1.0, 20.0)
    fleet.run(3.0)
    asker = next(
        limiter
        for limiter in fleet.network.router_by_name.values()
        if limiter._coordination.coordinator() is not None
    )

    async def break_down(_router, _request):
        raise ValueError("unexpected")

    fleet.set_demand(0.0)
    fleet.run(3.0)
    monkeypatch.setattr(asker._peers, "request_permits", break_down)
    calls = [defer.ensureDeferred(asker.acquire(TARGET)) for _ in range(3)]
    assert [call.result for call in calls] == [False] * 3
