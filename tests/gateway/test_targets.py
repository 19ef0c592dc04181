"""Which targets get new work while entries come, go and lie."""

import pytest
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.gateway.targets import (
    StoreContact,
    TargetEntry,
    TargetRegistry,
)
from chicorystack.web.exchange import Address


def entry(name="i-1", started_ms=5, ready=True, sequence=1, service="s"):
    return TargetEntry(
        name, started_ms, service, Address("10.0.0.1", 80), "z", 8, ready,
        sequence,
    )  # fmt: skip


class Registry:
    """A registry whose contact with the store the test sets."""

    def __init__(self):
        self.clock = Clock()
        self.regained_at = 0.0
        self.gone = []
        self.registry = TargetRegistry(
            self.clock,
            lambda: StoreContact(self.clock.seconds(), self.regained_at),
        )
        self.registry.on_gone(self.gone.append)

    def apply(self, *entries, whole=False):
        self.registry.apply([(e.id, e) for e in entries], whole)

    def drop(self, name):
        self.registry.apply([(name, None)], False)

    def ready(self, service="s"):
        return [e.id for e in self.registry.of_service(service)]


def test_draining_and_gone_targets_get_nothing_new():
    world = Registry()
    world.apply(entry("i-1"), entry("i-2"))
    world.apply(entry("i-1", ready=False, sequence=2))
    assert world.ready() == ["i-2"]
    world.drop("i-2")
    assert world.ready() == []


def test_entries_that_are_not_among_all_are_gone():
    world = Registry()
    world.apply(entry("i-1"), entry("i-2"))
    world.apply(entry("i-2"), whole=True)
    assert world.ready() == ["i-2"]


def test_entries_that_lapsed_in_an_outage_have_time_to_come_back():
    world = Registry()
    world.apply(entry("i-1"), entry("i-2"))
    world.clock.advance(10.0)
    world.regained_at = world.clock.seconds()
    world.apply(whole=True)
    assert world.ready() == ["i-1", "i-2"]
    world.clock.advance(defaults.REENTRY_GRACE_S / 2)
    world.apply(entry("i-1", sequence=9))
    world.clock.advance(defaults.REENTRY_GRACE_S)
    assert world.ready() == ["i-1"]


def test_entry_of_an_earlier_incarnation_that_comes_late_is_ignored():
    world = Registry()
    world.apply(entry(started_ms=9, sequence=1))
    world.apply(entry(started_ms=5, sequence=40, ready=False))
    assert world.ready() == ["i-1"]


def test_id_that_comes_again_is_another_incarnation():
    world = Registry()
    old = entry(started_ms=5)
    world.apply(old)
    world.apply(entry(started_ms=9))
    assert world.gone == [old]
    assert not world.registry.is_current(old)


@pytest.mark.parametrize("order", [(1, 2), (2, 1)])
def test_newest_entry_of_an_incarnation_counts(order):
    world = Registry()
    for sequence in order:
        world.apply(entry(sequence=sequence, ready=sequence == 1))
    assert world.ready() == []
