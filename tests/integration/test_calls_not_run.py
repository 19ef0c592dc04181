"""What a refusal says of a booking is true, whatever the wire does."""

import itertools
import time

import pytest

from bench.fleet import running_fleet, wait_until
from tests.conftest import EXAMPLES
from tests.support.bookings import (
    book,
    keys_owned_by,
    runs_of,
    start_booking_fleet,
)

DELAY_S = 2.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    directory = tmp_path_factory.mktemp("fleet")
    with running_fleet(EXAMPLES / "brandvagt.yaml", directory) as fleet:
        fleet.secret = start_booking_fleet(fleet)
        yield fleet


def test_late_copy_does_not_run_after_not_run(fleet):
    # The call comes after the order for a tombstone that is sent after it.
    fleet.order_faults("dk-east-1>booking-2", delay_s=DELAY_S,
                       undelayed='"refuse":true')  # fmt: skip
    keys = list(itertools.islice(keys_owned_by(fleet, "booking-2", "late"), 4))
    replies = {
        key: book(fleet, fleet.secret, "router-1", key, timeout_ms=300)
        for key in keys
    }
    fleet.order_faults("dk-east-1>booking-2")
    time.sleep(DELAY_S)
    outcomes = {key: _outcome(reply) for key, reply in replies.items()}
    assert set(outcomes.values()) == {"not_run"}
    for key in outcomes:
        assert runs_of(fleet, key) == 0, key


def test_refused_key_is_refused_through_the_other_router(fleet):
    poor = fleet.ctl("create_customer", "poor")["key"]
    key = "poor-1"
    reply = book(fleet, poor, "router-1", key)
    assert reply.status == 402
    assert _outcome(reply) == "not_run"
    fleet.ctl("top_up", "poor", "1000")
    wait_until(
        "the top-up is seen",
        lambda: book(fleet, poor, "router-2", "poor-2").status == 200,
    )
    again = book(fleet, poor, "router-2", key)
    assert again.status == 409
    assert _outcome(again) == "not_run"


def test_refusal_is_unknown_while_the_owner_is_cut_off(fleet):
    key = next(keys_owned_by(fleet, "booking-2", "cut"))
    fleet.order_faults("dk-east-1>booking-2", cut="from_target")
    reply = book(fleet, fleet.secret, "router-1", key, timeout_ms=300)
    fleet.order_faults("dk-east-1>booking-2", cut="none")
    assert _outcome(reply) == "unknown"
    assert reply.json()["error"]["retry_after_ms"] > 0
    again = book(fleet, fleet.secret, "router-1", key)
    assert (again.status, runs_of(fleet, key)) == (200, 1)


def test_key_with_another_body_is_refused(fleet):
    assert book(fleet, fleet.secret, "router-1", "body", job="1").status == 200
    reply = book(fleet, fleet.secret, "router-2", "body", job="2")
    assert reply.status == 422
    assert reply.json()["error"]["code"] == "key_reused"


def _outcome(reply):
    if reply.status == 200:
        return "done"
    return reply.json()["error"]["outcome"]
