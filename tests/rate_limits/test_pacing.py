"""Tests that permits keep to a pace that changes."""

import pytest
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.rate_limits.pacing import Pace, Pacer


def taken(clock, pacer, seconds, step_s=0.01):
    total = 0
    for _ in range(round(seconds / step_s)):
        clock.advance(step_s)
        total += pacer.take(1)
    return total


@pytest.mark.parametrize("expiring", [False, True])
@pytest.mark.parametrize("per_s", [0.2, 1.0, 7.5])
def test_permits_come_at_the_pace(per_s, expiring):
    clock = Clock()
    pacer = Pacer(clock, Pace(per_s, expiring))
    assert taken(clock, pacer, 100.0) == pytest.approx(100 * per_s, abs=1)


def test_saved_permits_are_limited():
    clock = Clock()
    pacer = Pacer(clock, Pace(4.0, expiring=False))
    clock.advance(1_000.0)
    assert pacer.take(1_000) == int(1 + 4.0 * defaults.RATE_BURST_S)


def test_unused_permit_expires():
    clock = Clock()
    pacer = Pacer(clock, Pace(0.1, expiring=True))
    clock.advance(pacer.wait_s() + 0.01)
    assert pacer.wait_s() == 0.0
    clock.advance(2 * defaults.RATE_BURST_S)
    assert pacer.wait_s() > 8.0


def test_change_of_pace_gives_no_permit():
    clock = Clock()
    pacer = Pacer(clock, Pace(0.1, expiring=False))
    clock.advance(pacer.wait_s() / 2)
    wait_s = pacer.wait_s()
    pacer.set_pace(Pace(1.0, expiring=False))
    assert pacer.wait_s() == pytest.approx(wait_s / 10)


def test_no_permit_comes_without_shares():
    clock = Clock()
    pacer = Pacer(clock, Pace(0.0, expiring=True))
    clock.advance(1_000.0)
    assert pacer.take(1) == 0
