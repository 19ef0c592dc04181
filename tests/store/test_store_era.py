"""Tests a store that comes back from a copy some seconds old.

Acknowledged records are gone, and their offsets are given out again. What
followers believe returns to the store, and nothing that was withdrawn returns.
"""

from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.gateway.crashes import StrikeReplicator
from chicorystack.gateway.peers import PeerRouter, RouterDirectory
from chicorystack.quarantine.strikes import StrikeTable
from chicorystack.store.keyed_log import Partition
from chicorystack.web.exchange import Address
from tests.gateway.test_targets import RegistryHarness, entry
from tests.store.test_follower import FollowerFixture
from tests.support.fake_log import FakeLog

COPY_AGE_S = 3.0


def test_follower_reads_all_records_of_a_new_era():
    fixture = FollowerFixture([("a", b"1")])
    fixture.run(5.0)
    fixture.put(("a", b"2"), ("b", b"2"))
    fixture.run(1.0)
    fixture.log.restore(COPY_AGE_S)
    # As many records as were lost: the next offset looks unchanged.
    fixture.put(("c", b"3"), ("d", b"3"))
    fixture.run(1.0)
    assert fixture.value_by_key == {"a": b"1", "c": b"3", "d": b"3"}
    assert fixture.follower.recovered_at > 0


def test_follower_whose_offset_does_not_exist_any_more_goes_on():
    fixture = FollowerFixture([("a", b"1")])
    fixture.run(5.0)
    fixture.put(("b", b"2"))
    fixture.run(1.0)
    fixture.log.restore(COPY_AGE_S)
    fixture.run(1.0)
    assert fixture.value_by_key == {"a": b"1"}


def test_first_era_that_a_follower_sees_is_not_a_change():
    fixture = FollowerFixture([("a", b"1")])
    fixture.log.era = 7
    fixture.run(1.0)
    assert fixture.update_count == 1
    assert fixture.follower.recovered_at == 0


def newest(log, topic):
    return {r.key: r.value for r in log.records[Partition(topic)]}


def test_routers_register_again_and_stay_counted():
    clock = Clock()
    log = FakeLog(clock)
    routers = [
        RouterDirectory(
            clock, log, "routers", name, PeerRouter("a", Address("10.0.0.1", 1))
        )
        for name in ("front-1", "front-2", "front-3")
    ]
    for router in routers:
        router.start()
    clock.pump([0.1] * 20)
    log.restore(COPY_AGE_S)
    assert not newest(log, "routers")
    counts = set()
    for _ in range(round(2 * defaults.ROUTERS_READ_PAUSE_S / 0.1)):
        clock.advance(0.1)
        counts |= {router.count() for router in routers}
    assert set(newest(log, "routers")) == {"front-1", "front-2", "front-3"}
    assert counts <= {3, defaults.DEFAULT_ROUTER_COUNT}


def test_strikes_are_published_again():
    clock = Clock()
    log = FakeLog(clock)
    strikes = StrikeTable(clock)
    replicator = StrikeReplicator(clock, log, "strikes", "front-1", strikes)
    replicator.start()
    clock.pump([0.1] * 50)
    strikes.record_crash("i-1", ["poison"])
    replicator.publish("poison")
    clock.pump([0.1] * 5)
    assert newest(log, "strikes")
    log.restore(COPY_AGE_S)
    assert not newest(log, "strikes")
    clock.pump([0.1] * 30)
    assert newest(log, "strikes")


def test_target_that_has_left_does_not_return_with_its_old_entry():
    harness = RegistryHarness()
    harness.apply(entry("i-1", sequence=7), entry("i-2", sequence=7))
    harness.remove("i-1")
    assert harness.ready_ids() == ["i-2"]
    harness.apply(
        entry("i-1", sequence=5), entry("i-2", sequence=5), snapshot=True
    )
    assert harness.ready_ids() == ["i-2"]


def test_target_that_drains_does_not_become_ready_by_its_old_entry():
    harness = RegistryHarness()
    harness.apply(entry("i-1", sequence=7, ready=False))
    harness.apply(entry("i-1", sequence=5), snapshot=True)
    assert harness.ready_ids() == []


def test_target_that_lives_returns_with_its_next_entry():
    harness = RegistryHarness()
    harness.apply(entry("i-1", sequence=7))
    harness.remove("i-1")
    harness.apply(entry("i-1", sequence=8))
    assert harness.ready_ids() == ["i-1"]
