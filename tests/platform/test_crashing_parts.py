"""End-to-end calls whose prompts share a part that crashes engines."""

import time

import pytest

from bench.platform_fleet import default_config, running_platform_fleet
from chicorystack import defaults

ENGINES = tuple(f"i-llm-{number}" for number in range(1, 9))
ROUTERS = ("router-1", "router-2")
# Engines that may crash: those until the strikes are known, with one call on
# its way at the other router, and the second attempt of each.
MAX_CRASHED = 2 * (defaults.QUARANTINE_STRIKES + 1) - 2


@pytest.fixture
def fleet(tmp_path):
    with running_platform_fleet(tmp_path) as fleet:
        for name in ENGINES:
            fleet.start_engine(name, "llm")
            fleet.set_engine_faults(name, crash_on_part="bad")
        for router in ROUTERS:
            fleet.start_router(router)
        fleet.publish(default_config())
        fleet.wait_until_ready()
        yield fleet


def count_running(fleet):
    return sum(fleet.is_running(name) for name in ENGINES)


# Guards against one part of prompts crashing engine after engine, in requests
# of which no two are alike, and against refusing what merely resembles them.
@pytest.mark.parametrize(
    ("crashing", "sound"),
    [
        ("shared:9,bad:5", "shared:9,other:5"),
        ("bad:9,topic:5", "big:9,topic:5"),
    ],
)
def test_part_that_crashes_engines_is_refused_and_others_served(
    fleet, crashing, sound
):
    for number in range(6):
        router = ROUTERS[number % 2]
        parts = f"{crashing},own{number}:6"
        fleet.request_stream(router, f"crash-{number}", parts=parts)
        time.sleep(defaults.STRIKES_READ_PAUSE_S + 0.3)
    running = count_running(fleet)
    assert running >= len(ENGINES) - MAX_CRASHED
    for router in ROUTERS:
        parts = f"{crashing},last-{router}:6"
        reply = fleet.request_stream(router, f"after-{router}", parts=parts)
        assert reply.status == 503
        assert b"quarantined" in reply.body
        for number in range(3):
            name = f"sound-{router}-{number}"
            parts = f"{sound},{name}:6"
            assert fleet.request_stream(router, name, parts=parts).status == 200
    assert count_running(fleet) == running
