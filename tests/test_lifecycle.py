"""Tests that a step of the time of day does not move a process's timers."""

import time

import pytest
from twisted.internet.selectreactor import SelectReactor

from chicorystack.lifecycle import use_monotonic_time

STEP_S = 2.4


@pytest.fixture
def reactor():
    reactor = SelectReactor()
    use_monotonic_time(reactor)
    yield reactor
    reactor.disconnectAll()


@pytest.mark.parametrize("step_s", [STEP_S, -STEP_S])
def test_timer_ignores_a_step_of_the_time_of_day(reactor, monkeypatch, step_s):
    fired = []
    reactor.callLater(0.05, fired.append, "soon")
    reactor.callLater(1.0, fired.append, "later")
    wall_clock = time.time
    monkeypatch.setattr(time, "time", lambda: wall_clock() + step_s)
    reactor.runUntilCurrent()
    assert fired == []
    time.sleep(0.1)
    reactor.runUntilCurrent()
    assert fired == ["soon"]


def test_deadlines_ignore_a_step_of_the_time_of_day(reactor, monkeypatch):
    deadline = reactor.seconds() + 1.0
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert 0.5 < deadline - reactor.seconds() < 1.5
