"""Calls succeed while data centres cannot reach each other."""

import pytest

from bench.fleet import running_fleet, send
from tests.conftest import EXAMPLES


@pytest.fixture
def fleet(tmp_path):
    """Two data centres behind a proxy, each with a router and an engine."""
    example = EXAMPLES / "brandvagt.yaml"
    with running_fleet(example, tmp_path) as fleet:
        fleet.start_platform()
        fleet.start_proxy()
        services = fleet.config.site_by_name["dk-east"].service_by_name
        for number in (1, 2):
            fleet.start_router(
                f"router-{number}", "dk-east", f"dk-east-{number}"
            )
            name = f"fault-model-{number}"
            fleet.start_target(services["fault-model"], name)
        fleet.ctl("publish", str(example))
        fleet.wait_until_ready()
        yield fleet


def send_summary_call(fleet, router, key):
    return send(
        fleet.router_by_name[router].port,
        "POST",
        "/v1/services/fault-model/summary",
        {"prompt": "zone 3", "max_tokens": 9},
        {"Authorization": f"Bearer {key}"},
    )


def test_both_data_centres_spend_their_grants_during_a_partition(fleet):
    key = fleet.ctl("create_customer", "alpha")["key"]
    fleet.ctl("top_up", "alpha", "50000")
    for router in ("router-1", "router-2"):
        assert send_summary_call(fleet, router, key).status == 200
    fleet.cut_data_centres("dk-east-1", "dk-east-2", "both")
    for router in ("router-1", "router-2"):
        reply = send_summary_call(fleet, router, key)
        assert reply.status == 200
        assert b"event: end" in reply.body
