"""Calls through routers whose store returns to a copy some seconds old."""

import time

import pytest

from bench.fleet import wait_until
from bench.platform_fleet import (
    BUDGET_TOKENS,
    default_config,
    running_platform_fleet,
)

COPY_AGE_S = 2.0
ROUTERS = ("router-1", "router-2")
# A second change comes while the routers still recover from the first.
CHANGES_AFTER_S = (1.0, 2.5, 3.0)
MAX_SECONDS = 40.0


@pytest.fixture
def fleet(tmp_path):
    with running_platform_fleet(tmp_path) as fleet:
        for name in ("i-llm-1", "i-llm-2"):
            fleet.start_engine(name, "llm")
        fleet.start_engine("i-app-1", "app")
        for router in ROUTERS:
            fleet.start_router(router)
        fleet.publish(default_config())
        fleet.wait_until_ready()
        yield fleet


def events(fleet, router, part, name):
    return [
        event
        for event in fleet.read_events(router)
        if (event["part"], event["event"]) == (part, name)
    ]


def test_routers_notice_the_era_and_register_again(fleet):
    time.sleep(COPY_AGE_S)
    fleet.restore_store(60.0)
    for router in ROUTERS:
        wait_until(
            f"{router} has noticed the era",
            lambda router=router: events(fleet, router, "store", "new_era"),
        )
    replies = [
        fleet.call(router, "/status/1", f"after-{router}", method="GET")
        for router in ROUTERS
    ]
    assert [reply.status for reply in replies] == [200, 200]
    counted = events(fleet, "router-1", "routers", "counted")
    assert all(set(event["others"]) <= {"router-2"} for event in counted)
    wait_until(
        "the routers count each other",
        lambda: events(fleet, "router-1", "routers", "counted")[-1]["others"],
    )


def test_budget_holds_through_a_series_of_changes(fleet):
    deadline = time.monotonic() + MAX_SECONDS
    spent, number = 0, 0
    statuses = []
    changes_at = [time.monotonic() + s for s in CHANGES_AFTER_S]
    while time.monotonic() < deadline and statuses[-6:] != [402] * 6:
        number += 1
        router = ROUTERS[number % 2]
        reply = fleet.request_stream(router, f"call-{number}", "400,40")
        statuses.append(reply.status)
        spent += 440 if reply.status == 200 else 0
        if changes_at and time.monotonic() > changes_at[0]:
            changes_at.pop(0)
            fleet.restore_store(COPY_AGE_S)
    assert not changes_at
    assert spent <= BUDGET_TOKENS
    assert spent >= 0.9 * BUDGET_TOKENS
    assert not any(
        events(fleet, router, "budget", "failed") for router in ROUTERS
    )
