"""A request that crashes engines is quarantined after few crashes.

Other calls are not affected.
"""

import json

import pytest

from bench.fleet import running_fleet, send, wait_until
from bench.steady_calls import SteadyCalls
from chicorystack.standin.engine import CRASH_MARK
from tests.conftest import EXAMPLES

SITE = "dk-east"
CRASHING_REQUESTS = 12
MAX_ENGINES_LOST = 3


@pytest.fixture
def crash_fleet(tmp_path):
    """Two routers and six engines."""
    example = EXAMPLES / "brandvagt.yaml"
    with running_fleet(example, tmp_path) as fleet:
        fleet.start_platform()
        service = fleet.config.service(SITE, "fault-model")
        for number in (1, 2):
            fleet.start_router(f"router-{number}", SITE, f"{SITE}-{number}")
        for number in range(1, 7):
            fleet.start_target(service, f"fault-model-{number}")
        fleet.ctl("publish", str(example))
        fleet.wait_until_ready()
        yield fleet


def send_crashing_request(fleet, key, number):
    """Sends the same prompt with a new key; alternates between routers."""
    port = fleet.router_by_name[f"router-{1 + number % 2}"].port
    message = {"prompt": f"{CRASH_MARK} zone 3", "max_tokens": 40}
    headers = {
        "Authorization": f"Bearer {key}",
        "Idempotency-Key": f"again-{number}",
    }
    path = "/v1/services/fault-model/summary"
    return send(port, "POST", path, message, headers)


def count_crashed_engines(fleet):
    return sum(
        process.poll() is not None
        for name, process in fleet.process_by_name.items()
        if name.endswith("-target")
    )


def test_request_that_crashes_engines_is_quarantined(crash_fleet):
    key = crash_fleet.ctl("create_customer", "alpha")["key"]
    crash_fleet.ctl("top_up", "alpha", "10000000")
    path = "fault-model/summary"
    message = {"prompt": "zone 3", "max_tokens": 40}
    with SteadyCalls(crash_fleet, key, path, message) as load:
        wait_until("calls are answered", lambda: len(load.results) > 20)
        replies = [
            send_crashing_request(crash_fleet, key, n)
            for n in range(CRASHING_REQUESTS)
        ]
        answered_before = len(load.results)
        wait_until(
            "more calls are answered",
            lambda: len(load.results) > answered_before + 20,
        )
    assert count_crashed_engines(crash_fleet) <= MAX_ENGINES_LOST
    errors = [json.loads(reply.body)["error"] for reply in replies]
    assert {error["code"] for error in errors} == {"quarantined"}
    assert all(error["retry_after_ms"] > 0 for error in errors)
    refused = [answer for answer in load.failed() if answer.status == 422]
    assert refused == []
