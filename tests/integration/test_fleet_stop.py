"""A planned stop interrupts no call; a leaving target gets no new calls."""

import contextlib
import http.client
import json
import signal
import threading
import time

import pytest

from bench.fleet import (
    FLEET_TOKEN,
    STOP_TIMEOUT_S,
    running_fleet,
    send,
    wait_until,
)
from bench.steady_calls import SteadyCalls
from tests.conftest import EXAMPLES

SITE = "dk-east"
ENGINES = ("fault-model-1", "fault-model-2", "fault-model-3")
# Longer than the time after which all routers know that an agent is leaving.
MIN_DRAIN_S = 3.5


@pytest.fixture(scope="module")
def stop_fleet(tmp_path_factory):
    """Two routers, three engines and a service that the engines depend on."""
    directory = tmp_path_factory.mktemp("stop")
    text = (EXAMPLES / "brandvagt.yaml").read_text()
    example = directory / "needs.yaml"
    dependency = "kind: engine\n        depends_on: [booking]\n"
    example.write_text(text.replace("kind: engine\n", dependency))
    with running_fleet(example, directory) as fleet:
        fleet.start_platform()
        services = fleet.config.site_by_name[SITE].service_by_name
        for number in (1, 2):
            fleet.start_router(f"router-{number}", SITE, f"{SITE}-{number}")
        for name in ENGINES:
            fleet.start_target(services["fault-model"], name)
        fleet.start_target(services["booking"], "booking-1")
        fleet.ctl("publish", str(example))
        fleet.wait_until_ready()
        yield fleet


@pytest.fixture(scope="module")
def key(stop_fleet):
    secret = stop_fleet.ctl("create_customer", "alpha")["key"]
    stop_fleet.ctl("top_up", "alpha", "10000000")
    return secret


def steady_calls(fleet, key):
    message = {"prompt": "zone 3", "max_tokens": 40}
    return SteadyCalls(fleet, key, "fault-model/summary", message)


def stop_gracefully(fleet, *names):
    """Stops processes with SIGTERM and returns their exit codes."""
    for name in names:
        fleet.signal(name, signal.SIGTERM)
    return [fleet.process_by_name[name].wait(STOP_TIMEOUT_S) for name in names]


def restart_router_and_agent(fleet, router, target_name):
    data_centre = fleet.data_centre_by_name[router]
    fleet.start_router(router, SITE, data_centre)
    target = fleet.target_by_name[target_name]
    fleet.start_agent(fleet.config.service(SITE, target.service), target)


def set_slowdown(target, slowdown):
    faults = {"slowdown": slowdown, "break_after": 0}
    send(target.port, "POST", "/faults", faults)


def send_slow_call(fleet, target):
    """Sends an agent a call whose first token takes six seconds."""
    set_slowdown(target, 120.0)
    call = {
        "site": SITE,
        "service": target.service,
        "operation": "summary",
        "customer": "alpha",
        "budget": "alpha/main",
        "key": "slow",
        "repeatable": True,
        "shard": 0,
        # Higher than any epoch closed by earlier restarts.
        "epoch": 1000,
        "use": "slow:1",
        "settled_below": 0,
        "reserved": 9,
        "cost_tokens": 0,
        "max_tokens": 1,
        "priority": "normal",
        "timeout_ms": 30_000,
    }
    headers = {
        "chicory-fleet-token": FLEET_TOKEN,
        "chicory-call": json.dumps(call),
    }
    message = {"prompt": "slow", "max_tokens": 1}
    send(target.agent_port, "POST", "/run", message, headers)


def completes_runs(fleet, name):
    """Returns whether an engine completes a run within half a second."""
    port = fleet.target_by_name[name].port
    before = send(port, "GET", "/counts").json()["runs"]
    time.sleep(0.5)
    return send(port, "GET", "/counts").json()["runs"] > before


def test_rolling_restart_cuts_no_call(stop_fleet, key):
    pairs = [("router-1", ENGINES[0]), ("router-2", ENGINES[1])]
    with steady_calls(stop_fleet, key) as load:
        for router, engine in pairs:
            assert stop_gracefully(stop_fleet, router, engine) == [0, 0]
            restart_router_and_agent(stop_fleet, router, engine)
            stop_fleet.wait_until_ready()
            wait_until(
                "the restarted router and engine serve calls",
                lambda router=router, engine=engine: (
                    load.results[-1].router == router
                    and completes_runs(stop_fleet, engine)
                ),
            )
    assert len(load.results) > 100
    assert load.failed() == []


def test_agent_with_a_long_drain_gets_no_new_calls(stop_fleet, key):
    name = "fault-model-2"
    target = stop_fleet.target_by_name[name]
    late_arrivals, drained_s = 0, 0.0
    slow_call_thread = threading.Thread(
        target=send_slow_call, args=(stop_fleet, target)
    )
    slow_call_thread.start()
    wait_until(
        "the slow call has started",
        lambda: stop_fleet.get_json(target.agent_port, "/load")["in_flight"],
    )
    set_slowdown(target, 1.0)
    with steady_calls(stop_fleet, key) as load:
        wait_until(
            "the engine completes runs",
            lambda: completes_runs(stop_fleet, name),
        )
        stop_signalled_at = time.monotonic()
        stop_fleet.signal(name, signal.SIGTERM)
        while stop_fleet.process_by_name[name].poll() is None:
            with contextlib.suppress(OSError, http.client.HTTPException):
                report = stop_fleet.get_json(target.agent_port, "/load")
                assert report["leaving"]
                late_arrivals = report["late_arrivals"]
                drained_s = time.monotonic() - stop_signalled_at
            time.sleep(0.05)
    slow_call_thread.join()
    assert drained_s > MIN_DRAIN_S
    assert late_arrivals == 0
    assert load.failed() == []
    stop_fleet.start_agent(
        stop_fleet.config.service(SITE, "fault-model"), target
    )
    stop_fleet.wait_until_ready()


def test_target_marked_as_leaving_in_the_vm_list_gets_no_new_calls(
    stop_fleet, key
):
    name = "fault-model-2"
    with steady_calls(stop_fleet, key) as load:
        wait_until(
            "the engine completes runs",
            lambda: completes_runs(stop_fleet, name),
        )
        stop_fleet.set_vm_state(name, "leaving")
        wait_until(
            "the engine completes no more runs",
            lambda: not completes_runs(stop_fleet, name),
        )
        stop_fleet.set_vm_state(name, "live")
        wait_until(
            "the engine completes runs",
            lambda: completes_runs(stop_fleet, name),
        )
    assert load.failed() == []


def test_calls_are_refused_while_a_dependency_has_no_target(stop_fleet, key):
    stop_gracefully(stop_fleet, "booking-1")

    def is_refused():
        reply = send(
            stop_fleet.router_by_name["router-1"].port,
            "POST",
            "/v1/services/fault-model/summary",
            {"prompt": "zone 3", "max_tokens": 9},
            {"Authorization": f"Bearer {key}"},
        )
        if reply.status == 200:
            return False
        error = reply.json()["error"]
        assert (error["code"], error["outcome"]) == ("not_ready", "rejected")
        assert "needs 'booking'" in error["message"]
        return error["retry_after_ms"] > 0

    wait_until("the router knows that booking has no target", is_refused)
