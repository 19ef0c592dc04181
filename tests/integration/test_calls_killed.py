"""A booking runs at most once if a process is killed or paused."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from bench.fleet import running_fleet, send, wait_until
from tests.conftest import EXAMPLES
from tests.support.bookings import (
    book,
    booking_service,
    count_runs,
    keys_owned_by,
    start_booking_fleet,
)

BOOKING_DURATION_S = 0.4


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    directory = tmp_path_factory.mktemp("fleet")
    with running_fleet(EXAMPLES / "brandvagt.yaml", directory) as fleet:
        fleet.secret = start_booking_fleet(
            fleet, f"--work_s={BOOKING_DURATION_S}"
        )
        yield fleet


def kill(fleet, name):
    fleet.signal(name, signal.SIGKILL)
    fleet.process_by_name[name].wait()


def restart_agent(fleet, name):
    target = fleet.target_by_name[name]
    fleet.start_agent(booking_service(fleet), target)
    wait_until(
        f"{name} is ready again",
        lambda: fleet.get_json(target.agent_port, "/load")["ready"],
    )


def book_with_fault(fleet, key, after_s, fault):
    """Sends a booking, injects a fault during it and returns its outcome."""
    with ThreadPoolExecutor(1) as pool:
        booking = pool.submit(book_outcome, fleet, "router-1", key)
        time.sleep(after_s)
        fault()
        return booking.result()


def book_outcome(fleet, router, key, timeout_ms=1500):
    """Sends a booking; returns its outcome, "cut" if the connection broke."""
    try:
        reply = book(fleet, fleet.secret, router, key, timeout_ms)
    except OSError:
        return "cut"
    if reply.status == 200:
        return "done"
    return reply.json()["error"]["outcome"]


@pytest.mark.parametrize("after_s", [0.0, 0.02, 0.05, 0.2, 0.42, 0.6])
def test_agent_killed_during_a_booking(fleet, after_s):
    key = next(keys_owned_by(fleet, "booking-1", f"agent-{after_s}"))
    first_outcome = book_with_fault(
        fleet, key, after_s, lambda: kill(fleet, "booking-1")
    )
    runs = count_runs(fleet, key)
    restart_agent(fleet, "booking-1")
    retry_outcome = book_outcome(fleet, "router-2", key)
    assert count_runs(fleet, key) <= 1
    if runs or first_outcome == "done":
        assert retry_outcome in ("done", "unknown")
    new_key = next(keys_owned_by(fleet, "booking-1", f"new-{after_s}"))
    assert book_outcome(fleet, "router-2", new_key) == "done"


def test_target_killed_during_a_booking(fleet):
    key = next(keys_owned_by(fleet, "booking-3", "target"))
    first_outcome = book_with_fault(
        fleet, key, 0.2, lambda: kill(fleet, "booking-3-target")
    )
    assert first_outcome == "unknown"
    target = fleet.target_by_name["booking-3"]
    fleet.spawn("booking-3-target", "chicory-standin", "service",
                f"--port={target.port}")  # fmt: skip
    fleet.wait_for_response(target.port, "/counts")
    assert book_outcome(fleet, "router-1", key) == "unknown"
    assert count_runs(fleet, key) == 0


def test_agent_paused_during_a_booking(fleet):
    key = next(keys_owned_by(fleet, "booking-1", "paused"))
    first_outcome = book_with_fault(
        fleet, key, 0.1, lambda: fleet.signal("booking-1", signal.SIGSTOP)
    )
    fleet.signal("booking-1", signal.SIGCONT)
    assert first_outcome == "unknown"
    assert book_outcome(fleet, "router-2", key) == "done"
    assert count_runs(fleet, key) == 1


def test_booking_while_the_log_is_down(fleet):
    key = next(keys_owned_by(fleet, "booking-1", "log"))
    down = {"down": True, "delay_s": 0.0, "lose_answers": 0}
    send(fleet.ports["log"], "POST", "/faults", down)
    first_outcome = book_outcome(fleet, "router-1", key)
    send(fleet.ports["log"], "POST", "/faults", down | {"down": False})
    assert (first_outcome, count_runs(fleet, key)) == ("unknown", 0)
    wait_until(
        "the outcome is known again",
        lambda: book_outcome(fleet, "router-2", key) != "unknown",
    )
    # The call was abandoned before it ran, so the key stays refused.
    assert book_outcome(fleet, "router-1", key) == "not_run"
    assert count_runs(fleet, key) == 0


def test_append_with_a_lost_response(fleet):
    lost = {"down": False, "delay_s": 0.0, "lose_answers": 3}
    send(fleet.ports["log"], "POST", "/faults", lost)
    key = next(keys_owned_by(fleet, "booking-1", "lost"))
    assert book_outcome(fleet, "router-1", key, timeout_ms=5000) == "done"
    assert count_runs(fleet, key) == 1


def test_router_killed_during_a_booking(fleet):
    key = next(keys_owned_by(fleet, "booking-1", "router"))
    first_outcome = book_with_fault(
        fleet, key, 0.2, lambda: kill(fleet, "router-1")
    )
    assert first_outcome == "cut"
    assert book_outcome(fleet, "router-2", key, timeout_ms=8000) == "done"
    assert count_runs(fleet, key) == 1
