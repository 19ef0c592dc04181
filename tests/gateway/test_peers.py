"""Tests that routers that start together soon know of each other."""

import pytest
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.gateway.peers import PeerRouter, RouterDirectory
from chicorystack.web.exchange import Address
from tests.support.fake_log import FakeLog

TOPIC = "keyed.routers"


class Routers:
    """Directories of several routers on one log."""

    def __init__(self):
        self.clock = Clock()
        self.log = FakeLog(self.clock)
        self.directories = []

    def start(self):
        number = len(self.directories)
        own = PeerRouter("z", Address("10.0.0.1", 7000 + number))
        directory = RouterDirectory(
            self.clock, self.log, TOPIC, f"router-{number}", own
        )
        directory.start()
        self.directories.append(directory)

    def run(self, seconds):
        self.clock.pump([0.01] * round(seconds * 100))

    def counts(self):
        return [directory.count() for directory in self.directories]


@pytest.fixture
def routers():
    return Routers()


@pytest.mark.parametrize("gap_s", [0.02, 0.15, 0.8])
def test_routers_that_start_together_count_each_other_soon(routers, gap_s):
    for _ in range(3):
        routers.start()
        routers.run(gap_s)
    routers.run(1.1)
    assert routers.counts() == [3, 3, 3]


def test_directory_is_read_seldom_later(routers):
    routers.start()
    routers.run(5.0)
    calls = routers.log.calls
    routers.run(4 * defaults.ROUTERS_READ_PAUSE_S)
    assert routers.log.calls - calls <= 5
