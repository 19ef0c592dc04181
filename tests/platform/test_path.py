"""End-to-end calls through router processes with stand-ins of the platform."""

import http.client
import json
import signal
import socket
import time

import pytest

from bench.fleet import LOOPBACK, free_port, wait_until
from bench.platform_fleet import (
    KEY,
    STREAM_HOST,
    default_config,
    route,
    running_platform_fleet,
)
from chicorystack import defaults

SERVICE_BY_ENGINE = {
    "i-llm-1": "llm",
    "i-llm-2": "llm",
    "i-app-1": "app",
    "i-app-2": "app",
}
CONFIG_APPLIED_WITHIN_S = 2.0


@pytest.fixture(scope="module")
def shared_fleet(tmp_path_factory):
    with running_platform_fleet(tmp_path_factory.mktemp("platform")) as fleet:
        for name, service in SERVICE_BY_ENGINE.items():
            fleet.start_engine(name, service)
        for router in ("router-1", "router-2"):
            fleet.start_router(router)
        fleet.publish(default_config())
        fleet.wait_until_ready()
        yield fleet


@pytest.fixture
def fleet(shared_fleet):
    """The fleet; resets the faults of engines and store after each test."""
    yield shared_fleet
    shared_fleet.set_store_faults()
    for name in SERVICE_BY_ENGINE:
        shared_fleet.set_engine_faults(name)


def set_app_faults(fleet, **faults):
    for name in ("i-app-1", "i-app-2"):
        fleet.set_engine_faults(name, **faults)


def count_runs(fleet, request_id):
    return sum(
        fleet.get_counts(name)["runs_by_id"].get(request_id, 0)
        for name in SERVICE_BY_ENGINE
    )


def event_ids(body):
    lines = body.decode().split("\n")
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def test_complete_stream_arrives_with_the_engines_signature(fleet):
    reply = fleet.request_stream("router-1", "whole-1")
    assert reply.status == 200
    assert event_ids(reply.body) == list(range(1, 11))
    assert reply.headers["x-chicorystack-response-seal"]
    assert reply.headers["x-chicorystack-request-attempt-id"] == "whole-1"


def test_interrupted_stream_is_resumed_at_another_engine(fleet):
    for name in ("i-llm-1", "i-llm-2"):
        fleet.set_engine_faults(name, break_after=6)
    reply = fleet.request_stream("router-1", "resumed-1")
    assert event_ids(reply.body) == list(range(1, 11))
    assert count_runs(fleet, "resumed-1") == 2


def test_stream_that_is_not_resumable_ends_truncated(fleet):
    for name in ("i-llm-1", "i-llm-2"):
        fleet.set_engine_faults(name, break_after=4)
    with pytest.raises(http.client.IncompleteRead):
        fleet.call(
            "router-1",
            "/guide/1",
            "cut-1",
            {"X-Chicorystack-Token-Usage": "20,40"},
        )
    assert count_runs(fleet, "cut-1") == 1


def test_booking_is_not_retried_after_a_lost_response(fleet):
    set_app_faults(fleet, lose=True)
    reply = fleet.call("router-1", "/book/1", "lost-1")
    assert reply.status == 502
    assert count_runs(fleet, "lost-1") == 1


def test_booking_rejected_by_all_engines_is_refused_without_a_run(fleet):
    set_app_faults(fleet, shed=True)
    reply = fleet.call("router-1", "/book/1", "shed-1")
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    assert count_runs(fleet, "shed-1") == 0


def test_lookup_is_retried_after_an_engine_error(fleet):
    fleet.set_engine_faults("i-app-1", fail=True)
    replies = [
        fleet.call("router-1", "/status/1", f"again-{n}", method="GET")
        for n in range(6)
    ]
    assert [reply.status for reply in replies] == [200] * 6


@pytest.mark.parametrize(("path", "method"), [("/status/1", "GET"),
                                              ("/book/1", "POST")])  # fmt: skip
def test_call_skips_unreachable_engines(fleet, path, method):
    names = [f"i-away-{number}" for number in range(5)]
    for name in names:
        fleet.port_by_engine[name] = free_port()
        fleet.register_engine(name, "app")
    time.sleep(2 * defaults.TARGETS_READ_PAUSE_S)
    try:
        reply = fleet.call("router-2", path, f"past-{method}", method=method)
    finally:
        for name in names:
            fleet.put_record("keyed.servers", name, "")
    time.sleep(2 * defaults.TARGETS_READ_PAUSE_S)
    assert reply.status == 200


@pytest.mark.parametrize("fault", ["foreign", "unsigned"])
def test_response_with_a_wrong_id_or_no_signature_is_rejected(fleet, fault):
    set_app_faults(fleet, **{fault: True})
    reply = fleet.call("router-1", "/book/1", f"mixed-{fault}")
    assert reply.status == 502
    assert b"engine" not in reply.body


def test_bytes_after_a_response_are_discarded(fleet):
    set_app_faults(fleet, surplus=True)
    replies = [
        fleet.call("router-1", "/status/1", f"surplus-{n}", method="GET")
        for n in range(5)
    ]
    assert [reply.status for reply in replies] == [200] * 5


def test_forged_headers_do_not_reach_an_engine(fleet):
    forged = {
        "X-CHICORYSTACK-tenant": "somebody",
        "x-chicorystack-expect-instance": "i-none",
        "X_Chicorystack_Kv_Hold": "h",
        "Kv-From": "10.0.0.1:1/x",
        "Connection": "keep-alive, X-Chicorystack-Request-Attempt-Id, X-Own",
        "X-Own": "1",
        "X-Passed-On": "yes",
    }
    assert fleet.call("router-1", "/book/1", "forged-1", forged).status == 200
    name = next(
        n for n in ("i-app-1", "i-app-2")
        if "forged-1" in fleet.get_counts(n)["runs_by_id"]
    )  # fmt: skip
    seen = fleet.get_counts(name)["seen"]
    assert seen["x-chicorystack-tenant"] == "alpha"
    assert seen["x-chicorystack-expect-instance"] == name
    assert seen["x-passed-on"] == "yes"
    for absent in (
        "authorization",
        "kv-from",
        "x_chicorystack_kv_hold",
        "x-own",
    ):
        assert absent not in seen


def test_engine_receives_the_remaining_deadline(fleet):
    reply = fleet.call("router-1", "/book/1", "left-1")
    assert reply.status == 200
    seen = [fleet.get_counts(name)["seen"] for name in ("i-app-1", "i-app-2")]
    remaining_ms = [
        int(headers["x-chicorystack-deadline-ms"])
        for headers in seen
        if headers.get("x-chicorystack-request-attempt-id") == "left-1"
    ]
    assert 3000 < remaining_ms[0] < 4000


def test_caller_gets_an_error_at_its_deadline(fleet):
    set_app_faults(fleet, silent=True)
    started_at = time.monotonic()
    reply = fleet.call(
        "router-1", "/book/1", "late-1", {"X-Chicorystack-Deadline-Ms": "400"}
    )
    assert reply.status == 504
    assert 0.3 < time.monotonic() - started_at < 0.8


def test_router_notices_that_the_caller_has_disconnected(fleet):
    set_app_faults(fleet, silent=True)
    port = fleet.ports_by_router["router-1"].callers
    with socket.create_connection((LOOPBACK, port)) as caller:
        caller.sendall(
            f"GET /status/1 HTTP/1.1\r\nHost: {STREAM_HOST}\r\n"
            f"Authorization: Bearer {KEY}\r\n"
            "X-Chicorystack-Request-Attempt-Id: left\r\n\r\n".encode()
        )
        time.sleep(0.2)
    wait_until(
        "the router has noticed the disconnect",
        lambda: any(
            event.get("id") == "left" and event["event"] == "caller_left"
            for event in fleet.read_events("router-1")
        ),
        2.0,
    )


def test_unknown_key_unknown_route_and_exceeded_budget_are_refused(fleet):
    assert fleet.request_stream("router-1", "r-1", key="no-key").status == 401
    assert fleet.call("router-1", "/nowhere/1", "r-2").status == 404
    assert (
        fleet.request_stream("router-1", "r-3", tokens="20000,40").status == 402
    )


def test_entry_with_another_engines_address_causes_no_failures(fleet):
    fleet.port_by_engine["i-old"] = fleet.port_by_engine["i-app-1"]
    fleet.register_engine("i-old", "app")
    try:
        wait_until(
            "the router knows the entry",
            lambda: any(
                event.get("target") == "i-old"
                for event in fleet.read_events("router-1")
            ),
        )
        replies = [
            fleet.call("router-1", "/book/1", f"reused-{n}") for n in range(6)
        ]
        assert [reply.status for reply in replies] == [200] * 6
    finally:
        fleet.put_record("keyed.servers", "i-old", "")
        del fleet.port_by_engine["i-old"]


def test_draining_engine_gets_no_new_calls(fleet):
    fleet.register_engine("i-app-2", "app", "draining")
    try:
        time.sleep(1.0)
        before = fleet.get_counts("i-app-2")["runs"]
        for n in range(4):
            assert fleet.call("router-1", "/book/1", f"drain-{n}").status == 200
        assert fleet.get_counts("i-app-2")["runs"] == before
    finally:
        fleet.register_engine("i-app-2", "app")
        time.sleep(0.6)


def test_new_configuration_is_applied_soon_and_can_revoke_a_key(fleet):
    config = default_config(2)
    config["Routes"].append(route("new", "app", "idempotent"))
    config["Tenants"][1]["ApiKeys"] = []
    fleet.publish(config)
    time.sleep(CONFIG_APPLIED_WITHIN_S / 2)
    for router in fleet.ports_by_router:
        reply = fleet.call(router, "/new/1", f"new-{router}", method="GET")
        assert reply.status == 200
        reply = fleet.call(router, "/new/1", "x", key="key-of-beta")
        assert reply.status == 401


def test_calls_succeed_during_an_outage_of_the_store(fleet):
    fleet.request_stream("router-1", "before-outage")
    time.sleep(1.2)
    fleet.set_store_faults(reads="silent", appends="silent")
    time.sleep(1.0)
    assert fleet.call("router-1", "/book/1", "outage-1").status == 200
    assert fleet.request_stream("router-1", "outage-2").status == 200
    assert fleet.is_ready("router-1")


def test_each_request_emits_an_event(fleet):
    fleet.request_stream("router-1", "told-1")
    wait_until(
        "the event is written",
        lambda: any(
            e.get("id") == "told-1" for e in fleet.read_events("router-1")
        ),
    )
    (event,) = [
        e for e in fleet.read_events("router-1") if e.get("id") == "told-1"
    ]
    assert event["event"] == "delivered"
    assert event["customer"] == "alpha"
    assert event["tokens"] == 60
    assert event["attempts"][0][0] in SERVICE_BY_ENGINE


def test_router_without_a_configuration_is_not_ready(tmp_path):
    with running_platform_fleet(tmp_path) as fleet:
        fleet.start_router("router-1")
        wait_until(
            "the router responds",
            lambda: fleet.call("router-1", "/book/1", "early").status == 503,
        )
        assert not fleet.is_ready("router-1")


def test_graceful_stop_completes_open_streams(tmp_path):
    with running_platform_fleet(tmp_path) as fleet:
        fleet.start_engine("i-llm-1", "llm")
        fleet.start_router("router-1")
        fleet.publish(default_config())
        fleet.wait_until_ready()
        port = fleet.ports_by_router["router-1"].callers
        caller = http.client.HTTPConnection(LOOPBACK, port, timeout=10)
        headers = {
            "Host": STREAM_HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Chicorystack-Request-Attempt-Id": "stop-1",
            "X-Chicorystack-Token-Usage": "20,800",
        }
        caller.request("POST", "/ask/1", json.dumps({}), headers)
        response = caller.getresponse()
        response.read(10)
        fleet.signal("router-1", signal.SIGTERM)
        time.sleep(0.2)
        assert not fleet.is_ready("router-1")
        assert len(event_ids(b"id: 1\n" + response.read())) >= 200
        assert fleet.process_by_name["router-1"].wait(10) == 0
        (stopped,) = [
            e for e in fleet.read_events("router-1") if e["event"] == "stopped"
        ]
        assert stopped["open"] == 0


def test_request_that_crashes_engines_is_quarantined_at_all_routers(tmp_path):
    names = [f"i-app-{number}" for number in range(1, 6)]
    with running_platform_fleet(tmp_path) as fleet:
        for name in names:
            fleet.start_engine(name, "app")
            fleet.set_engine_faults(name, crash_on="poison")
        for router in ("router-1", "router-2"):
            fleet.start_router(router)
        fleet.publish(default_config())
        fleet.wait_until_ready()

        def get(router, path, name):
            return fleet.call(router, path, name, method="GET")

        def count_running():
            return sum(fleet.is_running(name) for name in names)

        get("router-1", "/status/poison", "first")
        # An engine that is exiting may still accept a connection, which would
        # count as an attempt of the second request.
        wait_until(
            "two engines have exited",
            lambda: count_running() == len(names) - 2,
        )
        get("router-2", "/status/poison", "second")
        time.sleep(2 * defaults.STRIKES_READ_PAUSE_S)
        running = count_running()
        assert running == len(names) - 4
        for router in ("router-1", "router-2"):
            reply = get(router, "/status/poison", f"third-{router}")
            assert reply.status == 503
            assert b"quarantined" in reply.body
            assert get(router, "/status/1", f"good-{router}").status == 200
        assert count_running() == running
        fleet.signal("router-2", signal.SIGTERM)
        wait_until(
            "router-2 has stopped", lambda: not fleet.is_running("router-2")
        )
        fleet.start_router("router-2")
        fleet.wait_until_ready()
        reply = get("router-2", "/status/poison", "after-restart")
        assert reply.status == 503
        assert b"quarantined" in reply.body
