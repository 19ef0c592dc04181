"""Each caller gets its own whole answer, or can tell that it did not."""

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

SLOW_ENGINE = ("--gap_s=0.05",)
PROMPT = "zone 3 alarm"
STILL_S = 0.9
NO_FAULTS = {"slowdown": 1.0, "break_after": 0}


@pytest.fixture(scope="module")
def fleet(booking_fleet):
    services = booking_fleet.config.site_by_name["dk-east"].service_by_name
    booking_fleet.start_target(
        services["fault-model"], "fault-model-1", *SLOW_ENGINE
    )
    wait_until(
        "router-1 streams", lambda: streamed(booking_fleet).status == 200
    )
    return booking_fleet


def headers(fleet, **more):
    return {"Authorization": f"Bearer {fleet.secret}"} | more


def streamed(fleet, **more):
    return send(
        fleet.router_by_name["router-1"].port,
        "POST",
        "/v1/services/fault-model/summary",
        {"prompt": PROMPT, "max_tokens": 8},
        headers(fleet, **more),
    )


def budget(fleet):
    """Returns the customer's budget once nothing is reported any more."""
    port = fleet.router_by_name["router-2"].port
    seen = []

    def is_still():
        time.sleep(STILL_S / 3)
        reply = send(port, "GET", "/v1/budgets", headers=headers(fleet))
        seen.append(reply.json()["budgets"][0]["billed"])
        return len(seen) > 3 and len(set(seen[-4:])) == 1

    wait_until("the bills are still", is_still)
    return seen[-1]


def engine_counts(fleet):
    port = fleet.target_by_name["fault-model-1"].port
    return send(port, "GET", "/counts").json()


def test_caller_that_leaves_pays_for_what_was_generated(fleet):
    billed = budget(fleet)
    cancelled = engine_counts(fleet)["cancelled"]
    connection = http.client.HTTPConnection(
        LOOPBACK, fleet.router_by_name["router-1"].port
    )
    body = json.dumps({"prompt": "x" * 40, "max_tokens": 250})
    connection.request("POST", "/v1/services/fault-model/summary", body,
                       headers(fleet))  # fmt: skip
    # Five tokens are on their way when the caller leaves.
    response = connection.getresponse()
    for _ in range(5):
        response.readline()
        response.readline()
    response.close()
    connection.close()
    wait_until(
        "the engine's work is cancelled",
        lambda: engine_counts(fleet)["cancelled"] == cancelled + 1,
    )
    # 20 tokens bound the prompt of 40 bytes; the answer has at most 63.
    assert 20 < budget(fleet) - billed < 20 + 40


def test_stream_that_breaks_is_not_complete(fleet):
    port = fleet.target_by_name["fault-model-1"].port
    send(port, "POST", "/faults", NO_FAULTS | {"break_after": 3})
    billed = budget(fleet)
    with pytest.raises(http.client.IncompleteRead) as cut:
        streamed(fleet)
    send(port, "POST", "/faults", NO_FAULTS)
    assert b"event: end" not in cut.value.partial
    assert b"event: error" in cut.value.partial
    # Six tokens bound the prompt.
    generated = cut.value.partial.count(b'data: {"text"')
    assert budget(fleet) - billed == len(PROMPT) // 2 + generated


def test_retry_of_a_stream_gets_the_kept_answer(fleet):
    billed = budget(fleet)
    runs = engine_counts(fleet)["runs"]
    key = {"Idempotency-Key": "stream-1"}
    replies = [streamed(fleet, **key) for _ in range(3)]
    assert len({reply.body for reply in replies}) == 1
    assert b"event: end" in replies[0].body
    assert engine_counts(fleet)["runs"] == runs + 1
    assert budget(fleet) - billed == len(PROMPT) // 4 + 8


def test_answer_cut_at_every_byte(fleet):
    keys = list(itertools.islice(keys_owned_by(fleet, "booking-2", "cut"), 380))
    shown = {}
    for length, key in enumerate(keys):
        fleet.order_faults("dk-east-1>booking-2", truncate_after=length)
        shown[key] = whole_answer(fleet, key)
    fleet.order_faults("dk-east-1>booking-2")
    whole = [key for key, answer in shown.items() if answer is not None]
    assert 0 < len(whole) < len(keys)
    for key in whole:
        assert shown[key]["echo"] == {"job": key}
    answers = {key: book(fleet, fleet.secret, "router-1", key) for key in keys}
    for key, reply in answers.items():
        assert reply.json()["echo"] == {"job": key}
        assert shown[key] in (None, reply.json())
    runs = runs_by_key(fleet)
    assert {runs[key_hash(CUSTOMER, key)] for key in keys} == {1}


def test_crossed_answers_reach_no_foreign_caller(fleet):
    keys = list(
        itertools.islice(keys_owned_by(fleet, "booking-2", "cross"), 20)
    )
    fleet.order_faults("dk-east-1>booking-2", cross_answers=True)
    with ThreadPoolExecutor(4) as pool:
        answers = list(pool.map(lambda key: whole_answer(fleet, key), keys))
    fleet.order_faults("dk-east-1>booking-2")
    assert None in answers
    for key, answer in zip(keys, answers, strict=True):
        assert answer is None or answer["echo"] == {"job": key}
    assert max(runs_by_key(fleet).values()) == 1


def whole_answer(fleet, key):
    """Books; returns the answer where it came whole, or None."""
    try:
        reply = book(fleet, fleet.secret, "router-1", key, timeout_ms=300)
    except (http.client.HTTPException, OSError):
        return None
    if reply.status == 200:
        return reply.json()
    assert reply.json()["error"]["outcome"] == "unknown"
    return None
