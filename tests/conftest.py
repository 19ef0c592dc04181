"""Fixtures and settings shared by all tests."""

from pathlib import Path

import pytest
from hypothesis import settings

from bench.fleet import running_fleet
from tests.support.bookings import start_booking_fleet

EXAMPLES = Path(__file__).parent.parent / "examples"

# Derandomized, so that every CI run tests the same examples.
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")


@pytest.fixture(scope="module")
def brandvagt_fleet(tmp_path_factory):
    """Two routers, an engine and three booking targets."""
    directory = tmp_path_factory.mktemp("fleet")
    example = EXAMPLES / "brandvagt.yaml"
    with running_fleet(example, directory) as fleet:
        fleet.start_platform()
        services = fleet.config.site_by_name["dk-east"].service_by_name
        fleet.start_router("router-1", "dk-east", "dk-east-1")
        fleet.start_router("router-2", "dk-east", "dk-east-2")
        fleet.start_target(services["fault-model"], "fault-model-1")
        for number in (1, 2, 3):
            fleet.start_target(services["booking"], f"booking-{number}")
        fleet.ctl("publish", str(example))
        fleet.wait_until_ready()
        yield fleet


@pytest.fixture(scope="session")
def booking_fleet(tmp_path_factory):
    """Two routers and three booking targets behind the fault proxy.

    The tests share it, so each test clears the faults that it sets.
    """
    directory = tmp_path_factory.mktemp("bookings")
    with running_fleet(EXAMPLES / "brandvagt.yaml", directory) as fleet:
        fleet.secret = start_booking_fleet(fleet)
        yield fleet
