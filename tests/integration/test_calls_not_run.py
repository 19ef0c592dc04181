"""The outcome stated in a refusal is true despite network faults."""

import itertools
import time

import pytest

from bench.fleet import wait_until
from tests.support.bookings import (
    book,
    count_runs,
    keys_owned_by,
)

CALL_DELAY_S = 2.0


@pytest.fixture(scope="module")
def fleet(booking_fleet):
    return booking_fleet


def test_delayed_call_does_not_run_after_outcome_not_run(fleet):
    # Delays calls but not the requests for a tombstone (refuse), so that a
    # call arrives after the tombstone that was requested later.
    fleet.set_faults("dk-east-1>booking-2", delay_s=CALL_DELAY_S,
                       undelayed='"refuse":true')  # fmt: skip
    keys = list(itertools.islice(keys_owned_by(fleet, "booking-2", "late"), 4))
    replies = {
        key: book(fleet, fleet.secret, "router-1", key, timeout_ms=300)
        for key in keys
    }
    fleet.set_faults("dk-east-1>booking-2")
    time.sleep(CALL_DELAY_S)
    outcomes = {key: _get_outcome(reply) for key, reply in replies.items()}
    assert set(outcomes.values()) == {"not_run"}
    for key in outcomes:
        assert count_runs(fleet, key) == 0, key


def test_refused_key_stays_refused_at_another_router(fleet):
    poor_secret = fleet.ctl("create_customer", "poor")["key"]
    key = "poor-1"
    reply = book(fleet, poor_secret, "router-1", key)
    assert reply.status == 402
    assert _get_outcome(reply) == "not_run"
    fleet.ctl("top_up", "poor", "1000")
    wait_until(
        "router-2 knows the top-up",
        lambda: book(fleet, poor_secret, "router-2", "poor-2").status == 200,
    )
    retry = book(fleet, poor_secret, "router-2", key)
    assert retry.status == 409
    assert _get_outcome(retry) == "not_run"


def test_outcome_is_unknown_while_the_owner_is_unreachable(fleet):
    key = next(keys_owned_by(fleet, "booking-2", "cut"))
    fleet.set_faults("dk-east-1>booking-2", cut="from_target")
    reply = book(fleet, fleet.secret, "router-1", key, timeout_ms=300)
    fleet.set_faults("dk-east-1>booking-2", cut="none")
    assert _get_outcome(reply) == "unknown"
    assert reply.json()["error"]["retry_after_ms"] > 0
    retry = book(fleet, fleet.secret, "router-1", key)
    assert (retry.status, count_runs(fleet, key)) == (200, 1)


def test_key_with_another_body_is_refused(fleet):
    assert book(fleet, fleet.secret, "router-1", "body", job="1").status == 200
    reply = book(fleet, fleet.secret, "router-2", "body", job="2")
    assert reply.status == 422
    assert reply.json()["error"]["code"] == "key_reused"


def _get_outcome(reply):
    if reply.status == 200:
        return "done"
    return reply.json()["error"]["outcome"]
