"""Tests which targets get new calls as registry entries change."""

import pytest
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.gateway.targets import (
    StoreStatus,
    TargetEntry,
    TargetRegistry,
)
from chicorystack.web.exchange import Address


def entry(name="i-1", started_ms=5, ready=True, sequence=1, service="s"):
    return TargetEntry(
        name, started_ms, service, Address("10.0.0.1", 80), "z", 8, ready,
        sequence,
    )  # fmt: skip


class RegistryHarness:
    """A registry whose store status is set by the test."""

    def __init__(self):
        self.clock = Clock()
        self.recovered_at = 0.0
        self.removed = []
        self.registry = TargetRegistry(
            self.clock,
            lambda: StoreStatus(self.clock.seconds(), self.recovered_at),
        )
        self.registry.on_removed(self.removed.append)

    def apply(self, *entries, snapshot=False):
        self.registry.apply([(e.id, e) for e in entries], snapshot)

    def remove(self, name):
        self.registry.apply([(name, None)], False)

    def ready_ids(self, service="s"):
        return [e.id for e in self.registry.ready_targets(service)]


def test_draining_and_removed_targets_get_no_new_calls():
    harness = RegistryHarness()
    harness.apply(entry("i-1"), entry("i-2"))
    harness.apply(entry("i-1", ready=False, sequence=2))
    assert harness.ready_ids() == ["i-2"]
    harness.remove("i-2")
    assert harness.ready_ids() == []


def test_targets_missing_from_a_snapshot_are_removed():
    harness = RegistryHarness()
    harness.apply(entry("i-1"), entry("i-2"))
    harness.apply(entry("i-2"), snapshot=True)
    assert harness.ready_ids() == ["i-2"]


def test_targets_expired_during_an_outage_can_register_again():
    harness = RegistryHarness()
    harness.apply(entry("i-1"), entry("i-2"))
    harness.clock.advance(10.0)
    harness.recovered_at = harness.clock.seconds()
    harness.apply(snapshot=True)
    assert harness.ready_ids() == ["i-1", "i-2"]
    harness.clock.advance(defaults.REREGISTRATION_GRACE_S / 2)
    harness.apply(entry("i-1", sequence=9))
    harness.clock.advance(defaults.REREGISTRATION_GRACE_S)
    assert harness.ready_ids() == ["i-1"]


def test_late_entry_of_an_earlier_incarnation_is_ignored():
    harness = RegistryHarness()
    harness.apply(entry(started_ms=9, sequence=1))
    harness.apply(entry(started_ms=5, sequence=40, ready=False))
    assert harness.ready_ids() == ["i-1"]


def test_reused_id_with_a_new_start_time_is_a_new_incarnation():
    harness = RegistryHarness()
    old = entry(started_ms=5)
    harness.apply(old)
    harness.apply(entry(started_ms=9))
    assert harness.removed == [old]
    assert not harness.registry.is_current(old)


@pytest.mark.parametrize("order", [(1, 2), (2, 1)])
def test_entry_with_the_highest_sequence_is_used(order):
    harness = RegistryHarness()
    for sequence in order:
        harness.apply(entry(sequence=sequence, ready=sequence == 1))
    assert harness.ready_ids() == []
