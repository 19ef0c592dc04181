"""A booking runs at most once, whichever process is lost or paused."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from bench.fleet import running_fleet, send, wait_until
from tests.conftest import EXAMPLES
from tests.support.bookings import (
    book,
    booking_service,
    keys_owned_by,
    runs_of,
    start_booking_fleet,
)

WORK_S = 0.4


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    directory = tmp_path_factory.mktemp("fleet")
    with running_fleet(EXAMPLES / "brandvagt.yaml", directory) as fleet:
        fleet.secret = start_booking_fleet(fleet, f"--work_s={WORK_S}")
        yield fleet


def kill(fleet, name):
    fleet.signal(name, signal.SIGKILL)
    fleet.process_by_name[name].wait()


def restart_agent(fleet, name):
    target = fleet.target_by_name[name]
    fleet.start_agent(booking_service(fleet), target)
    wait_until(
        f"{name} is back",
        lambda: fleet.control(target.agent_port, "/load")["ready"],
    )


def during_a_booking(fleet, key, after_s, fault):
    """Books, and brings a fault about after a while; returns the outcome."""
    with ThreadPoolExecutor(1) as pool:
        booking = pool.submit(outcome, fleet, "router-1", key)
        time.sleep(after_s)
        fault()
        return booking.result()


def outcome(fleet, router, key, timeout_ms=1500):
    try:
        reply = book(fleet, fleet.secret, router, key, timeout_ms)
    except OSError:
        return "cut"
    if reply.status == 200:
        return "done"
    return reply.json()["error"]["outcome"]


@pytest.mark.parametrize("after_s", [0.0, 0.02, 0.05, 0.2, 0.42, 0.6])
def test_agent_killed(fleet, after_s):
    key = next(keys_owned_by(fleet, "booking-1", f"agent-{after_s}"))
    told = during_a_booking(
        fleet, key, after_s, lambda: kill(fleet, "booking-1")
    )
    ran = runs_of(fleet, key)
    restart_agent(fleet, "booking-1")
    again = outcome(fleet, "router-2", key)
    assert runs_of(fleet, key) <= 1
    if ran or told == "done":
        assert again in ("done", "unknown")
    new_key = next(keys_owned_by(fleet, "booking-1", f"new-{after_s}"))
    assert outcome(fleet, "router-2", new_key) == "done"


def test_target_killed(fleet):
    key = next(keys_owned_by(fleet, "booking-3", "target"))
    told = during_a_booking(
        fleet, key, 0.2, lambda: kill(fleet, "booking-3-target")
    )
    assert told == "unknown"
    target = fleet.target_by_name["booking-3"]
    fleet.spawn("booking-3-target", "chicory-standin", "service",
                f"--port={target.port}")  # fmt: skip
    fleet.wait_for_answer(target.port, "/counts")
    assert outcome(fleet, "router-1", key) == "unknown"
    assert runs_of(fleet, key) == 0


def test_agent_paused(fleet):
    key = next(keys_owned_by(fleet, "booking-1", "paused"))
    told = during_a_booking(
        fleet, key, 0.1, lambda: fleet.signal("booking-1", signal.SIGSTOP)
    )
    fleet.signal("booking-1", signal.SIGCONT)
    assert told == "unknown"
    assert outcome(fleet, "router-2", key) == "done"
    assert runs_of(fleet, key) == 1


def test_log_down(fleet):
    key = next(keys_owned_by(fleet, "booking-1", "log"))
    down = {"down": True, "delay_s": 0.0, "lose_answers": 0}
    send(fleet.ports["log"], "POST", "/faults", down)
    told = outcome(fleet, "router-1", key)
    send(fleet.ports["log"], "POST", "/faults", down | {"down": False})
    assert (told, runs_of(fleet, key)) == ("unknown", 0)
    wait_until(
        "the call is known again",
        lambda: outcome(fleet, "router-2", key) != "unknown",
    )
    # It was given up before it ran, so the key stays refused.
    assert outcome(fleet, "router-1", key) == "not_run"
    assert runs_of(fleet, key) == 0


def test_append_whose_answer_is_lost(fleet):
    lost = {"down": False, "delay_s": 0.0, "lose_answers": 3}
    send(fleet.ports["log"], "POST", "/faults", lost)
    key = next(keys_owned_by(fleet, "booking-1", "lost"))
    assert outcome(fleet, "router-1", key, timeout_ms=5000) == "done"
    assert runs_of(fleet, key) == 1


def test_router_killed(fleet):
    key = next(keys_owned_by(fleet, "booking-1", "router"))
    told = during_a_booking(fleet, key, 0.2, lambda: kill(fleet, "router-1"))
    assert told == "cut"
    assert outcome(fleet, "router-2", key, timeout_ms=8000) == "done"
    assert runs_of(fleet, key) == 1
