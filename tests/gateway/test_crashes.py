"""Tests that strikes for crashing requests are shared by all routers."""

import pytest
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.gateway.crashes import CrashDetector, StrikeReplicator
from chicorystack.quarantine.strikes import StrikeTable
from tests.gateway.test_targets import entry
from tests.support.fake_log import FakeLog

LIMIT = defaults.QUARANTINE_STRIKES


class Router:
    """The crash detection of one router."""

    def __init__(self, clock, log, name):
        self.strikes = StrikeTable(clock)
        self.replicator = StrikeReplicator(
            clock, log, "strikes", name, self.strikes
        )
        self.detector = CrashDetector(
            clock, self.strikes, self.replicator.publish
        )
        self.replicator.start()

    def crash(self, name, *contents):
        target = entry(name)
        for content in contents:
            self.detector.record_broken_connection(target, (content,))
        self.detector.record_target_down(target)


class Fleet:
    """Two routers that share one log."""

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


def test_each_router_counts_the_strikes_of_all_routers(fleet):
    fleet.first.crash("i-1", "poison", "innocent")
    fleet.second.crash("i-2", "poison")
    fleet.first.crash("i-3", "poison")
    fleet.pump(defaults.STRIKES_READ_PAUSE_S + 0.5)
    for router in (fleet.first, fleet.second):
        with pytest.raises(ApiError, match="crashed"):
            router.strikes.check("poison")
        router.strikes.check("innocent")


def test_broken_connections_to_a_live_target_give_no_strikes(fleet):
    for _ in range(2 * LIMIT):
        fleet.first.detector.record_broken_connection(entry("i-1"), ("lookup",))
        fleet.pump(defaults.CRASH_CONFIRM_S + 0.2)
        # It dies after CRASH_CONFIRM_S, so not because of the call.
        fleet.first.detector.record_target_down(entry("i-1"))
    assert fleet.first.strikes.count("lookup") == 0


def test_completed_call_clears_its_content_at_all_routers(fleet):
    for number in range(LIMIT):
        fleet.first.crash(f"i-{number}", "lookup")
    fleet.pump(2.0)
    assert fleet.second.strikes.count("lookup") == LIMIT
    fleet.first.detector.record_response(["lookup"])
    fleet.pump(defaults.STRIKES_READ_PAUSE_S + 0.5)
    assert fleet.second.strikes.count("lookup") == 0


def test_strikes_are_published_after_a_store_outage(fleet):
    fleet.log.down = True
    for number in range(LIMIT):
        fleet.first.crash(f"i-{number}", "poison")
    fleet.pump(5.0)
    assert fleet.second.strikes.count("poison") == 0
    fleet.log.down = False
    fleet.pump(3.0)
    assert fleet.second.strikes.count("poison") == LIMIT


def test_router_started_later_reads_existing_strikes(fleet):
    for number in range(LIMIT):
        fleet.first.crash(f"i-{number}", "poison")
    fleet.pump(1.0)
    fleet.first.replicator._follower.stop()
    late_router = Router(fleet.clock, fleet.log, "front-3")
    fleet.pump(1.0)
    assert late_router.strikes.count("poison") == LIMIT


def test_restarted_router_reads_back_its_own_strikes(fleet):
    for number in range(LIMIT):
        fleet.first.crash(f"i-{number}", "poison")
    fleet.pump(1.0)
    fleet.first.replicator._follower.stop()
    fleet.second.replicator._follower.stop()
    successor = Router(fleet.clock, fleet.log, "front-1")
    fleet.pump(1.0)
    with pytest.raises(ApiError, match="crashed"):
        successor.strikes.check("poison")


def test_restarted_router_deletes_its_predecessors_records(fleet):
    fleet.first.crash("i-1", "poison")
    fleet.pump(0.5)
    partition = fleet.first.replicator._partition
    log = FakeLog(fleet.clock)
    log.records[partition] += fleet.log.records[partition]
    Router(fleet.clock, log, "front-1")
    fleet.pump(0.5)
    fleet.clock.advance(defaults.QUARANTINE_S + 2.0)
    fleet.pump(0.5)
    assert not log.records[partition][-1].value


def test_record_is_deleted_once_its_strikes_expire(fleet):
    fleet.first.crash("i-1", "poison")
    fleet.pump(0.5)
    partition = fleet.first.replicator._partition
    assert fleet.log.records[partition][-1].value
    fleet.clock.advance(defaults.QUARANTINE_S + 2.0)
    fleet.pump(0.5)
    assert not fleet.log.records[partition][-1].value
