"""Keepers and holders that die or pause, as real processes."""

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
    with running_fleet(example, tmp_path) as running:
        running.start_platform()
        services = running.config.site_by_name[SITE].service_by_name
        for number, name in enumerate(ROUTERS, 1):
            running.start_router(name, SITE, f"{SITE}-{number}")
        running.start_target(services["fault-model"], "fault-model-1")
        running.ctl("publish", str(example))
        running.wait_until_ready()
        yield running


def call(fleet, router, key, max_tokens=9):
    return send(
        fleet.router_by_name[router].port,
        "POST",
        "/v1/services/fault-model/summary",
        {"prompt": "zone 3", "max_tokens": max_tokens},
        {"Authorization": f"Bearer {key}"},
    )


def keeper_of(fleet, customer):
    shard = str(shard_of(customer, SHARD_COUNT))
    keepers = [
        name
        for name in ROUTERS
        if fleet.process_by_name[name].poll() is None
        and shard
        in fleet.control(
            fleet.router_by_name[name].control_port, "/status"
        )["epoch_by_shard"]
    ]  # fmt: skip
    return keepers[0] if keepers else None


def view(fleet):
    return fleet.ctl("budget", "alpha")["budgets"][0]


def settled(fleet, spent_at_most, tokens=5000):
    """Tells whether all is free again but what the calls used."""
    budget = view(fleet)
    free = budget["free"] + budget["held"]
    return not budget["unsettled"] and free >= tokens - spent_at_most


def test_tokens_of_a_killed_keeper_come_back(fleet):
    key = fleet.ctl("create_customer", "alpha")["key"]
    fleet.ctl("top_up", "alpha", "5000")
    for router in ROUTERS:
        assert call(fleet, router, key).status == 200
    keeper = keeper_of(fleet, "alpha")
    other = next(name for name in ROUTERS if name != keeper)
    fleet.signal(keeper, signal.SIGKILL)
    fleet.unlist_vm(keeper)
    wait_until("a successor", lambda: keeper_of(fleet, "alpha") == other)
    wait_until("all is settled", lambda: settled(fleet, 60))
    assert call(fleet, other, key).status == 200


def test_paused_keeper_spends_nothing_of_its_successor(fleet):
    key = fleet.ctl("create_customer", "alpha")["key"]
    fleet.ctl("top_up", "alpha", "400")
    for router in ROUTERS:
        assert call(fleet, router, key).status == 200
    keeper = keeper_of(fleet, "alpha")
    other = next(name for name in ROUTERS if name != keeper)
    fleet.signal(keeper, signal.SIGSTOP)
    fleet.unlist_vm(keeper)
    wait_until("all is settled", lambda: settled(fleet, 60, 400))
    wait_until(
        "the budget is spent",
        lambda: call(fleet, other, key, 90).status == 402,
    )
    fleet.signal(keeper, signal.SIGCONT)
    answers = [call(fleet, keeper, key, 90).status for _ in range(5)]
    assert 200 not in answers
    assert view(fleet)["billed"] <= 400
