"""End-to-end calls while engines leave, want no calls or never end a response.

Each test uses engines of its own, as some never get calls again.
"""

import time

import pytest

from bench.platform_fleet import default_config, running_platform_fleet
from chicorystack import defaults

ENGINES = ("i-app-1", "i-app-2")
CALLS = 12
MEMORY_MAX_BYTES = 150 * 1024 * 1024


@pytest.fixture
def fleet(tmp_path):
    with running_platform_fleet(tmp_path) as fleet:
        for name in ENGINES:
            fleet.start_engine(name, "app")
        fleet.start_router("router-1")
        fleet.publish(default_config())
        fleet.wait_until_ready()
        yield fleet


def look_up(fleet, name, path="/status/1"):
    return fleet.call("router-1", path, name, method="GET")


def look_up_all(fleet, prefix):
    return [look_up(fleet, f"{prefix}-{n}").status for n in range(CALLS)]


def requests_at(fleet, name):
    return fleet.get_counts(name)["requests"]


def test_engine_that_says_that_it_leaves_gets_no_calls(fleet):
    fleet.set_engine_faults("i-app-1", leaving=True)
    look_up_all(fleet, "notice")
    noticed = requests_at(fleet, "i-app-1")
    assert noticed > 0
    # It writes its entry again, as engines do until they have left.
    fleet.register_engine("i-app-1", "app")
    time.sleep(2 * defaults.TARGETS_READ_PAUSE_S)
    assert look_up_all(fleet, "after") == [200] * CALLS
    assert requests_at(fleet, "i-app-1") == noticed


def test_engine_that_has_started_again_gets_calls(fleet):
    fleet.set_engine_faults("i-app-1", leaving=True)
    look_up_all(fleet, "notice")
    noticed = requests_at(fleet, "i-app-1")
    fleet.set_engine_faults("i-app-1")
    fleet.register_engine("i-app-1", "app", born=2)
    time.sleep(2 * defaults.TARGETS_READ_PAUSE_S)
    look_up_all(fleet, "after")
    assert requests_at(fleet, "i-app-1") > noticed


def test_engine_that_wants_a_pause_gets_no_calls_until_its_end(fleet):
    pause_s = 2.5
    fleet.set_engine_faults("i-app-1", shed=True, retry_after=str(pause_s))
    paused_at = time.monotonic()
    assert look_up_all(fleet, "during") == [200] * CALLS
    rejected = requests_at(fleet, "i-app-1")
    assert rejected == 1
    fleet.set_engine_faults("i-app-1")
    time.sleep(max(0.0, paused_at + pause_s + 0.5 - time.monotonic()))
    look_up_all(fleet, "after")
    assert requests_at(fleet, "i-app-1") > rejected


def test_callers_are_told_when_all_engines_want_calls_again(fleet):
    pause_s = 3.0
    for name in ENGINES:
        fleet.set_engine_faults(name, shed=True, retry_after=str(pause_s))
    look_up(fleet, "first")
    started_at = time.monotonic()
    reply = look_up(fleet, "second")
    assert time.monotonic() - started_at < 1.0
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > pause_s - 1.0
    assert sum(requests_at(fleet, name) for name in ENGINES) == 2


@pytest.mark.parametrize("where", ["head", "body"])
@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/status/1", 200), ("POST", "/book/1", 502)],
)
def test_bytes_without_end_use_little_memory_and_end_at_once(
    fleet, where, method, path, status
):
    fleet.set_engine_faults("i-app-1", endless=where)
    seen = {
        fleet.call("router-1", path, f"endless-{n}", method=method).status
        for n in range(CALLS)
    }
    assert requests_at(fleet, "i-app-1") > 0
    assert 200 in seen <= {200, status}
    assert fleet.resident_bytes("router-1") < MEMORY_MAX_BYTES
