"""Fixtures and settings that all tests share."""

from pathlib import Path

import pytest
from hypothesis import settings

from bench.fleet import running_fleet
from tests.support.bookings import start_booking_fleet

EXAMPLES = Path(__file__).parent.parent / "examples"

# The same examples in every run, so that CI gives the same verdict.
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")


@pytest.fixture(scope="module")
def brandvagt_fleet(tmp_path_factory):
    """A platform with two routers, an engine and three booking targets."""
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
    """Booking targets seen through the fault proxy; tests mend it again."""
    directory = tmp_path_factory.mktemp("bookings")
    with running_fleet(EXAMPLES / "brandvagt.yaml", directory) as fleet:
        fleet.secret = start_booking_fleet(fleet)
        yield fleet
