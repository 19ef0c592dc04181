"""A caller gets its own complete response or can detect that it did not."""

import http.client
import itertools
import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from bench.fleet import send, wait_until
from chicorystack.defaults import LOOPBACK
from chicorystack.util import key_hash
from tests.support.bookings import (
    CUSTOMER,
    book,
    keys_owned_by,
    runs_by_key,
)

SLOW_ENGINE_FLAGS = ("--gap_s=0.05",)
PROMPT = "zone 3 alarm"
BILL_STABLE_S = 0.9
NO_FAULTS = {"slowdown": 1.0, "break_after": 0}


@pytest.fixture(scope="module")
def fleet(booking_fleet):
    services = booking_fleet.config.site_by_name["dk-east"].service_by_name
    booking_fleet.start_target(
        services["fault-model"], "fault-model-1", *SLOW_ENGINE_FLAGS
    )
    wait_until(
        "router-1 streams responses",
        lambda: send_stream_call(booking_fleet).status == 200,
    )
    return booking_fleet


def auth_headers(fleet, **more):
    return {"Authorization": f"Bearer {fleet.secret}"} | more


def send_stream_call(fleet, **more):
    return send(
        fleet.router_by_name["router-1"].port,
        "POST",
        "/v1/services/fault-model/summary",
        {"prompt": PROMPT, "max_tokens": 8},
        auth_headers(fleet, **more),
    )


def wait_for_stable_bill(fleet):
    """Returns the billed tokens once they are unchanged for BILL_STABLE_S."""
    port = fleet.router_by_name["router-2"].port
    samples = []

    def is_stable():
        time.sleep(BILL_STABLE_S / 3)
        reply = send(port, "GET", "/v1/budgets", headers=auth_headers(fleet))
        samples.append(reply.json()["budgets"][0]["billed"])
        return len(samples) > 3 and len(set(samples[-4:])) == 1

    wait_until("the billed tokens stay unchanged", is_stable)
    return samples[-1]


def get_engine_counts(fleet):
    port = fleet.target_by_name["fault-model-1"].port
    return send(port, "GET", "/counts").json()


def test_disconnected_caller_is_billed_for_generated_tokens(fleet):
    billed = wait_for_stable_bill(fleet)
    cancelled = get_engine_counts(fleet)["cancelled"]
    connection = http.client.HTTPConnection(
        LOOPBACK, fleet.router_by_name["router-1"].port
    )
    body = json.dumps({"prompt": "x" * 40, "max_tokens": 250})
    connection.request("POST", "/v1/services/fault-model/summary", body,
                       auth_headers(fleet))  # fmt: skip
    # The caller disconnects after it has read five tokens.
    response = connection.getresponse()
    for _ in range(5):
        response.readline()
        response.readline()
    response.close()
    connection.close()
    wait_until(
        "the generation is cancelled",
        lambda: get_engine_counts(fleet)["cancelled"] == cancelled + 1,
    )
    # The prompt of 40 bytes is billed as 20 tokens, the upper bound; the
    # complete response would have at most 63.
    assert 20 < wait_for_stable_bill(fleet) - billed < 20 + 40


def test_broken_stream_has_error_event_and_is_billed(fleet):
    port = fleet.target_by_name["fault-model-1"].port
    send(port, "POST", "/faults", NO_FAULTS | {"break_after": 3})
    billed = wait_for_stable_bill(fleet)
    with pytest.raises(http.client.IncompleteRead) as exc_info:
        send_stream_call(fleet)
    send(port, "POST", "/faults", NO_FAULTS)
    assert b"event: end" not in exc_info.value.partial
    assert b"event: error" in exc_info.value.partial
    # The prompt is billed as six tokens, the upper bound.
    generated = exc_info.value.partial.count(b'data: {"text"')
    assert wait_for_stable_bill(fleet) - billed == len(PROMPT) // 2 + generated


def test_retry_of_a_stream_gets_the_cached_response(fleet):
    billed = wait_for_stable_bill(fleet)
    runs = get_engine_counts(fleet)["runs"]
    key = {"Idempotency-Key": "stream-1"}
    replies = [send_stream_call(fleet, **key) for _ in range(3)]
    assert len({reply.body for reply in replies}) == 1
    assert b"event: end" in replies[0].body
    assert get_engine_counts(fleet)["runs"] == runs + 1
    assert wait_for_stable_bill(fleet) - billed == len(PROMPT) // 4 + 8


def test_response_truncated_at_every_byte(fleet):
    keys = list(itertools.islice(keys_owned_by(fleet, "booking-2", "cut"), 380))
    first_body_by_key = {}
    for length, key in enumerate(keys):
        fleet.set_faults("dk-east-1>booking-2", truncate_after=length)
        first_body_by_key[key] = book_once(fleet, key)
    fleet.set_faults("dk-east-1>booking-2")
    complete_keys = [
        key for key, body in first_body_by_key.items() if body is not None
    ]
    assert 0 < len(complete_keys) < len(keys)
    for key in complete_keys:
        assert first_body_by_key[key]["echo"] == {"job": key}
    replies = {key: book(fleet, fleet.secret, "router-1", key) for key in keys}
    for key, reply in replies.items():
        assert reply.json()["echo"] == {"job": key}
        assert first_body_by_key[key] in (None, reply.json())
    runs = runs_by_key(fleet)
    assert {runs[key_hash(CUSTOMER, key)] for key in keys} == {1}


def test_swapped_responses_reach_no_other_caller(fleet):
    keys = list(
        itertools.islice(keys_owned_by(fleet, "booking-2", "cross"), 20)
    )
    fleet.set_faults("dk-east-1>booking-2", cross_answers=True)
    with ThreadPoolExecutor(4) as pool:
        bodies = list(pool.map(lambda key: book_once(fleet, key), keys))
    fleet.set_faults("dk-east-1>booking-2")
    assert None in bodies
    for key, body in zip(keys, bodies, strict=True):
        assert body is None or body["echo"] == {"job": key}
    assert max(runs_by_key(fleet).values()) == 1


def book_once(fleet, key):
    """Sends a booking; returns the body of a complete response, or None."""
    try:
        reply = book(fleet, fleet.secret, "router-1", key, timeout_ms=300)
    except (http.client.HTTPException, OSError):
        return None
    if reply.status == 200:
        return reply.json()
    assert reply.json()["error"]["outcome"] == "unknown"
    return None
