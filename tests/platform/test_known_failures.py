"""Failures that operators of similar systems have reported, on real processes.

Those with tests elsewhere are listed in docs/PROOFS.md.
"""

import http.client
import json
import signal
import socket
import threading
import time

import pytest

from bench.fleet import LOOPBACK, wait_until
from bench.platform_fleet import (
    KEY,
    STREAM_HOST,
    default_config,
    running_platform_fleet,
)
from chicorystack import defaults

OTHER_KEY = "key-that-replaces-the-first"
LONG_STREAM = "20,800"
LONG_STREAM_EVENTS = 200


@pytest.fixture
def fleet(tmp_path):
    with running_platform_fleet(tmp_path) as fleet:
        for name in ("i-llm-1", "i-llm-2"):
            fleet.start_engine(name, "llm")
        for name in ("i-app-1", "i-app-2"):
            fleet.start_engine(name, "app")
        fleet.start_router("router-1")
        fleet.publish(default_config())
        fleet.wait_until_ready()
        yield fleet


def restart(fleet, router, number):
    fleet.signal(router, number)
    wait_until(f"{router} has stopped", lambda: not fleet.is_running(router))
    fleet.start_router(router)
    fleet.wait_until_ready()


def runs_of(fleet, request_id):
    engines = ("i-llm-1", "i-llm-2", "i-app-1", "i-app-2")
    return sum(
        fleet.get_counts(name)["runs_by_id"].get(request_id, 0)
        for name in engines
    )


class BackgroundStream(threading.Thread):
    """A stream of some seconds that is read in a thread."""

    def __init__(self, fleet, request_id):
        super().__init__()
        self._fleet = fleet
        self._request_id = request_id
        self.reply = None

    def run(self):
        self.reply = self._fleet.request_stream(
            "router-1", self._request_id, LONG_STREAM
        )


def test_late_second_copy_of_an_answer_reaches_no_other_caller(fleet):
    for name in ("i-app-1", "i-app-2"):
        fleet.set_engine_faults(name, repeat_after_s=0.02)
    for number in range(20):
        request_id = f"copy-{number}"
        reply = fleet.call("router-1", "/status/1", request_id, method="GET")
        assert reply.status == 200
        found = reply.headers["x-chicorystack-request-attempt-id"]
        assert found == request_id
        # The copy arrives while the connection is idle, or in use again.
        time.sleep(0.01 * (number % 4))


def test_requests_accepted_as_a_stop_begins_are_answered(fleet):
    port = fleet.ports_by_router["router-1"].callers
    body = json.dumps({"job": "x"}).encode()
    connections = [
        http.client.HTTPConnection(LOOPBACK, port, timeout=10.0)
        for _ in range(20)
    ]
    for connection in connections:
        connection.connect()
    fleet.signal("router-1", signal.SIGTERM)
    statuses = []
    for number, connection in enumerate(connections):
        headers = {
            "Host": STREAM_HOST,
            "X-Chicorystack-Request-Attempt-Id": f"stopping-{number}",
            "X-Chicorystack-Deadline-Ms": "4000",
            "Authorization": f"Bearer {KEY}",
        }
        connection.request("POST", f"/book/{number}", body, headers)
        time.sleep(0.02)
        response = connection.getresponse()
        statuses.append(response.status)
        assert response.read()
        assert response.headers["Connection"] == "close"
    assert statuses == [200] * len(connections)


def test_work_of_an_engine_that_stops_reporting_goes_on(fleet):
    stream = BackgroundStream(fleet, "silent-engine")
    stream.start()
    time.sleep(0.3)
    # Its registration lapses, as if it had been silent for some heartbeats.
    for name in ("i-llm-1", "i-llm-2"):
        fleet.put_record("keyed.servers", name, "")
    stream.join(15.0)
    assert stream.reply.status == 200
    assert stream.reply.body.count(b"id: ") == LONG_STREAM_EVENTS
    assert runs_of(fleet, "silent-engine") == 1


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_restarted_router_uses_no_engine_that_left_and_no_old_key(
    fleet, number
):
    config = default_config(version=2)
    config["Tenants"][0]["ApiKeys"] = [OTHER_KEY]
    fleet.publish(config)
    fleet.put_record("keyed.servers", "i-app-1", "")
    fleet.register_engine("i-app-2", "app", state="draining")
    time.sleep(4 * defaults.TARGETS_READ_PAUSE_S)
    before = [fleet.get_counts(n)["requests"] for n in ("i-app-1", "i-app-2")]
    restart(fleet, "router-1", number)
    old = fleet.call("router-1", "/status/1", "old-key", method="GET")
    assert old.status == 401
    new = fleet.call(
        "router-1", "/status/1", "new-key", method="GET", key=OTHER_KEY
    )
    assert new.status == 503
    after = [fleet.get_counts(n)["requests"] for n in ("i-app-1", "i-app-2")]
    assert after == before


@pytest.mark.parametrize(
    ("topic", "key"),
    [
        ("keyed.op", "config"),
        ("keyed.servers", "i-app-9"),
        ("keyed.grants", "alpha/router-9"),
        ("keyed.grants", "no-separator"),
        ("keyed.routers", "router-9"),
        ("keyed.strikes", "content/router-9"),
    ],
)
@pytest.mark.parametrize(
    "value", ["not json", "[]", "7", '{"Version": "x"}', "\u0000"]
)
def test_malformed_record_stops_nothing(shared_fleet, topic, key, value):
    fleet = shared_fleet
    fleet.put_record(topic, key, value)
    time.sleep(2 * defaults.TARGETS_READ_PAUSE_S)
    name = f"{topic}-{key}-{abs(hash(value))}"
    assert fleet.call("router-1", "/book/1", f"book-{name}").status == 200
    assert fleet.request_stream("router-1", f"ask-{name}").status == 200


@pytest.fixture(scope="module")
def shared_fleet(tmp_path_factory):
    with running_platform_fleet(tmp_path_factory.mktemp("malformed")) as fleet:
        fleet.start_engine("i-llm-1", "llm")
        fleet.start_engine("i-app-1", "app")
        fleet.start_router("router-1")
        fleet.publish(default_config())
        fleet.wait_until_ready()
        yield fleet


def test_malformed_bytes_on_the_ports_of_a_router_stop_nothing(shared_fleet):
    ports = shared_fleet.ports_by_router["router-1"]
    addresses = [ports.callers, ports.readiness, ports.internal]
    for port in (*addresses, ports.internal + 1):
        for data in (b"\x00\xff" * 500, b"GET / HTTP/1.1\r\nx" + b"y" * 40_000):
            with socket.create_connection((LOOPBACK, port)) as client:
                client.sendall(data)
                client.settimeout(0.5)
                try:
                    client.recv(1_000)
                except OSError:
                    continue
    assert shared_fleet.call("router-1", "/book/1", "after").status == 200
