"""Settlement after a keeper is killed or paused, by real processes.

The keeper is a router that also holds tokens.
"""

import signal

import pytest

from bench.fleet import running_fleet, send, wait_until
from chicorystack.defaults import SHARD_COUNT
from chicorystack.util import shard_of
from tests.conftest import EXAMPLES

SITE = "dk-east"
ROUTERS = ("router-1", "router-2")


@pytest.fixture
def fleet(tmp_path):
    example = EXAMPLES / "brandvagt.yaml"
    with running_fleet(example, tmp_path) as fleet:
        fleet.start_platform()
        services = fleet.config.site_by_name[SITE].service_by_name
        for number, name in enumerate(ROUTERS, 1):
            fleet.start_router(name, SITE, f"{SITE}-{number}")
        fleet.start_target(services["fault-model"], "fault-model-1")
        fleet.ctl("publish", str(example))
        fleet.wait_until_ready()
        yield fleet


def send_call(fleet, router, key, max_tokens=9):
    return send(
        fleet.router_by_name[router].port,
        "POST",
        "/v1/services/fault-model/summary",
        {"prompt": "zone 3", "max_tokens": max_tokens},
        {"Authorization": f"Bearer {key}"},
    )


def find_keeper(fleet, customer):
    """Returns the live router that keeps a customer's shard, or None."""
    shard = str(shard_of(customer, SHARD_COUNT))
    keepers = [
        name
        for name in ROUTERS
        if fleet.process_by_name[name].poll() is None
        and shard
        in fleet.get_json(
            fleet.router_by_name[name].control_port, "/status"
        )["epoch_by_shard"]
    ]  # fmt: skip
    return keepers[0] if keepers else None


def get_budget(fleet):
    return fleet.ctl("budget", "alpha")["budgets"][0]


def is_settled(fleet, max_used_tokens, tokens=5000):
    """Returns whether the budget is settled.

    No token is unsettled then, and all but `max_used_tokens` are free or held.
    """
    budget = get_budget(fleet)
    free = budget["free"] + budget["held"]
    return not budget["unsettled"] and free >= tokens - max_used_tokens


def test_tokens_of_a_killed_keeper_are_recovered(fleet):
    key = fleet.ctl("create_customer", "alpha")["key"]
    fleet.ctl("top_up", "alpha", "5000")
    for router in ROUTERS:
        assert send_call(fleet, router, key).status == 200
    keeper = find_keeper(fleet, "alpha")
    other = next(name for name in ROUTERS if name != keeper)
    fleet.signal(keeper, signal.SIGKILL)
    fleet.remove_vm(keeper)
    wait_until(
        "the other router is the keeper",
        lambda: find_keeper(fleet, "alpha") == other,
    )
    wait_until("the budget is settled", lambda: is_settled(fleet, 60))
    assert send_call(fleet, other, key).status == 200


def test_paused_keeper_spends_no_tokens_of_its_successor(fleet):
    key = fleet.ctl("create_customer", "alpha")["key"]
    fleet.ctl("top_up", "alpha", "400")
    for router in ROUTERS:
        assert send_call(fleet, router, key).status == 200
    keeper = find_keeper(fleet, "alpha")
    other = next(name for name in ROUTERS if name != keeper)
    fleet.signal(keeper, signal.SIGSTOP)
    fleet.remove_vm(keeper)
    wait_until("the budget is settled", lambda: is_settled(fleet, 60, 400))
    wait_until(
        "the budget is spent",
        lambda: send_call(fleet, other, key, 90).status == 402,
    )
    fleet.signal(keeper, signal.SIGCONT)
    statuses = [send_call(fleet, keeper, key, 90).status for _ in range(5)]
    assert 200 not in statuses
    assert get_budget(fleet)["billed"] <= 400
