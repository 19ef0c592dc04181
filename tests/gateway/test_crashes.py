"""A request that crashes targets becomes known to all routers."""

import pytest
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.gateway.crashes import CrashWatch, StrikeShare
from chicorystack.quarantine.strikes import StrikeTable
from tests.gateway.test_targets import entry
from tests.support.fake_log import FakeLog

LIMIT = defaults.QUARANTINE_STRIKES


class Router:
    """What one router knows of crashes."""

    def __init__(self, clock, log, name):
        self.strikes = StrikeTable(clock)
        self.share = StrikeShare(clock, log, "strikes", name, self.strikes)
        self.watch = CrashWatch(clock, self.strikes, self.share.write)
        self.share.start()

    def crash(self, name, *contents):
        target = entry(name)
        for content in contents:
            self.watch.note_broken(target, content)
        self.watch.note_dead(target)


class Fleet:
    """Two routers on one log."""

    def __init__(self):
        self.clock = Clock()
        self.log = FakeLog(self.clock)
        self.first = Router(self.clock, self.log, "front-1")
        self.second = Router(self.clock, self.log, "front-2")

    def pump(self, seconds):
        self.clock.pump([0.05] * round(seconds / 0.05))


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.pump(0.2)
    return fleet


def test_strikes_of_all_routers_count_at_each(fleet):
    fleet.first.crash("i-1", "poison", "innocent")
    fleet.second.crash("i-2", "poison")
    fleet.first.crash("i-3", "poison")
    fleet.pump(defaults.STRIKES_READ_PAUSE_S + 0.5)
    for router in (fleet.first, fleet.second):
        with pytest.raises(ApiError, match="crashed"):
            router.strikes.check("poison")
        router.strikes.check("innocent")


def test_target_that_loses_answers_and_lives_is_no_death(fleet):
    for _ in range(2 * LIMIT):
        fleet.first.watch.note_broken(entry("i-1"), "lookup")
        fleet.pump(defaults.CRASH_CONFIRM_S + 0.2)
        # It dies much later, of something else.
        fleet.first.watch.note_dead(entry("i-1"))
    assert fleet.first.strikes.count("lookup") == 0


def test_content_that_ends_a_run_is_cleared_at_all_routers(fleet):
    for number in range(LIMIT):
        fleet.first.crash(f"i-{number}", "lookup")
    fleet.pump(2.0)
    assert fleet.second.strikes.count("lookup") == LIMIT
    fleet.first.watch.note_answered("lookup")
    fleet.pump(defaults.STRIKES_READ_PAUSE_S + 0.5)
    assert fleet.second.strikes.count("lookup") == 0


def test_strikes_outlast_an_outage_of_the_store(fleet):
    fleet.log.down = True
    for number in range(LIMIT):
        fleet.first.crash(f"i-{number}", "poison")
    fleet.pump(5.0)
    assert fleet.second.strikes.count("poison") == 0
    fleet.log.down = False
    fleet.pump(3.0)
    assert fleet.second.strikes.count("poison") == LIMIT


def test_router_that_starts_later_learns_of_them(fleet):
    for number in range(LIMIT):
        fleet.first.crash(f"i-{number}", "poison")
    fleet.pump(1.0)
    fleet.first.share._follower.stop()
    late = Router(fleet.clock, fleet.log, "front-3")
    fleet.pump(1.0)
    assert late.strikes.count("poison") == LIMIT


def test_record_goes_with_its_strikes(fleet):
    fleet.first.crash("i-1", "poison")
    fleet.pump(0.5)
    partition = fleet.first.share._partition
    assert fleet.log.records[partition][-1].value
    fleet.clock.advance(defaults.QUARANTINE_S + 2.0)
    fleet.pump(0.5)
    assert not fleet.log.records[partition][-1].value
