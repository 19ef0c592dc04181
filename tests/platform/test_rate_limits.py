"""End-to-end calls while engines limit the rate of calls from all routers."""

import threading
import time

import pytest

from bench.platform_fleet import default_config, running_platform_fleet

ENGINES = ("i-app-1", "i-app-2")
ROUTERS = ("router-1", "router-2", "router-3")
# From the users' pages: the limit holds from this time on after it was named,
# and over any window of that length a target may get so many calls.
GRACE_S = 3.0
WINDOW_S = 4.0
FACTOR = 1.5
SLACK_CALLS = 5
CALLS_PER_S_AND_ROUTER = 10
PAUSE_S = 1 / CALLS_PER_S_AND_ROUTER


@pytest.fixture
def fleet(tmp_path):
    with running_platform_fleet(tmp_path) as fleet:
        for name in ENGINES:
            fleet.start_engine(name, "app")
        for name in ROUTERS:
            fleet.start_router(name)
        fleet.publish(default_config())
        fleet.wait_until_ready()
        yield fleet


def send_calls(fleet, seconds, path="/status/1", method="GET"):
    """Sends calls to all routers at once; returns the replies."""
    replies = []
    end = time.monotonic() + seconds

    def run(router):
        number = 0
        while time.monotonic() < end:
            number += 1
            request_id = f"{router}-{time.monotonic_ns()}-{number}"
            sent_at = time.monotonic()
            reply = fleet.call(router, path, request_id, method=method)
            replies.append((reply, time.monotonic() - sent_at))
            time.sleep(PAUSE_S)

    callers = [threading.Thread(target=run, args=(r,)) for r in ROUTERS]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    return replies


def most_in_a_window(arrivals, since):
    counted = [at for at in arrivals if at >= since]
    return max(
        (sum(1 for at in counted if start <= at < start + WINDOW_S))
        for start in [*counted, since]
    )


def allowed(limit):
    return FACTOR * limit * WINDOW_S + SLACK_CALLS


def test_all_routers_together_keep_to_the_limit_that_a_target_names(fleet):
    limit = 2.0
    fleet.set_engine_faults("i-app-1", limit=str(limit))
    named_at = time.time()
    replies = send_calls(fleet, seconds=GRACE_S + 2 * WINDOW_S)
    arrivals = fleet.get_counts("i-app-1")["arrivals"]
    counted = [at for at in arrivals if at >= named_at + GRACE_S]
    assert most_in_a_window(arrivals, named_at + GRACE_S) <= allowed(limit)
    # The limit is nearly used up, and the other target takes the rest.
    assert len(counted) >= 0.7 * limit * 2 * WINDOW_S
    assert {reply.status for reply, _ in replies} == {200}


def test_calls_are_refused_at_once_if_all_targets_have_reached_their_limits(
    fleet,
):
    limit = 1.0
    for name in ENGINES:
        fleet.set_engine_faults(name, limit=str(limit))
    replies = send_calls(fleet, seconds=GRACE_S + WINDOW_S)
    refused = [(r, took_s) for r, took_s in replies if r.status == 503]
    assert refused
    assert max(took_s for _, took_s in refused) < 0.5
    assert all(float(r.headers["retry-after"]) > 0 for r, _ in refused)
    assert {r.status for r, _ in replies} == {200, 503}
