"""Interrupted streams are resumed or cancelled, by real processes."""

import http.client
import json
import signal
import time

import pytest

from bench.fleet import running_fleet, send, wait_until
from chicorystack.calls.messages import EngineRequest
from chicorystack.defaults import LOOPBACK
from chicorystack.standin.engine import answer_length, generate_words
from tests.conftest import EXAMPLES

PROMPT = "zone 3 of panel 9"
TOKENS = 40
ENGINES = ("fault-model-1", "fault-model-2")


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    directory = tmp_path_factory.mktemp("streams")
    example = EXAMPLES / "brandvagt.yaml"
    with running_fleet(example, directory) as fleet:
        fleet.start_platform()
        service = fleet.config.service("dk-east", "fault-model")
        fleet.start_router("router-1", "dk-east", "dk-east-1")
        for name in ENGINES:
            fleet.start_target(service, name, "--gap_s=0.03")
        fleet.ctl("publish", str(example))
        fleet.wait_until_ready()
        yield fleet


@pytest.fixture(scope="module")
def key(fleet):
    secret = fleet.ctl("create_customer", "alpha")["key"]
    fleet.ctl("top_up", "alpha", "50000")
    return secret


@pytest.fixture(autouse=True)
def clear_faults(fleet):
    yield
    for name in ENGINES:
        set_break_after(fleet, name, break_after=0)


def set_break_after(fleet, name, break_after):
    port = fleet.target_by_name[name].port
    faults = {"slowdown": 1.0, "break_after": break_after}
    send(port, "POST", "/faults", faults)


def get_engine_counts(fleet, name):
    return send(fleet.target_by_name[name].port, "GET", "/counts").json()


def start_stream(fleet, key):
    port = fleet.router_by_name["router-1"].port
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=30)
    headers = {"Authorization": f"Bearer {key}"}
    body = json.dumps({"prompt": PROMPT, "max_tokens": TOKENS})
    path = "/v1/services/fault-model/summary"
    connection.request("POST", path, body, headers)
    return connection, connection.getresponse()


def assert_complete(body):
    request = EngineRequest(prompt=PROMPT, max_tokens=TOKENS, priority="normal")
    events = body.split(b"\n\n")
    texts = [
        json.loads(event.removeprefix(b"data: "))["text"]
        for event in events
        if event.startswith(b'data: {"text"')
    ]
    assert texts == list(generate_words(request))
    end = json.loads(events[-2].removeprefix(b"event: end\ndata: "))
    prompt_tokens = -(-len(PROMPT) // 4)
    assert end["tokens"] == prompt_tokens + answer_length(request)


def test_broken_stream_is_resumed_without_duplicates(fleet, key):
    for broken_engine in ENGINES:
        set_break_after(fleet, broken_engine, break_after=5)
        for _ in ENGINES:
            _, response = start_stream(fleet, key)
            assert_complete(response.read())
        set_break_after(fleet, broken_engine, break_after=0)


def test_stream_that_no_engine_can_resume_is_incomplete(fleet, key):
    set_break_after(fleet, ENGINES[0], break_after=3)
    set_break_after(fleet, ENGINES[1], break_after=3)
    _, response = start_stream(fleet, key)
    with pytest.raises((http.client.HTTPException, OSError)):
        response.read()


def test_stream_of_an_unresponsive_agent_is_resumed(fleet, key):
    for _ in range(3):
        _, response = start_stream(fleet, key)
        assert_complete(response.read())
    _, response = start_stream(fleet, key)
    first_bytes = response.read(40)
    busy_engine = next(
        name
        for name in ENGINES
        if fleet.get_json(fleet.target_by_name[name].agent_port, "/load")[
            "in_flight"
        ]
    )
    fleet.signal(busy_engine, signal.SIGSTOP)
    try:
        assert_complete(first_bytes + response.read())
    finally:
        fleet.signal(busy_engine, signal.SIGCONT)


def test_generation_is_cancelled_when_the_caller_disconnects(fleet, key):
    before = sum(
        get_engine_counts(fleet, name)["cancelled"] for name in ENGINES
    )
    connection, response = start_stream(fleet, key)
    response.read(40)
    response.close()
    connection.close()
    wait_until(
        "the generation is cancelled",
        lambda: (
            sum(get_engine_counts(fleet, name)["cancelled"] for name in ENGINES)
            == before + 1
        ),
    )


def test_slow_caller_gets_the_complete_stream(fleet, key):
    _, response = start_stream(fleet, key)
    body = b""
    while chunk := response.read(20):
        body += chunk
        time.sleep(0.01)
    assert_complete(body)
