"""Tests the load of a few routers that get most callers of a data centre.

The balancer's hash gives one router many times the mean of the others, on a
slow link or on a fast one.
"""

import itertools

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.gateway.link import LinkMeter
from chicorystack.gateway.loop_delay import LoopDelayMeter
from chicorystack.gateway.overload import (
    Load,
    OverloadControl,
    OverloadReport,
    may_leave_rotation,
)

SLOW_LINK = 625_000.0
FAST_LINK = 12_500_000.0
BODY_BYTES = 12_000
HIGH_LOAD = Load(link=2 * defaults.OVERLOAD_START_LOAD, loop_delay_s=0.0)
IDLE = Load(link=0.0, loop_delay_s=0.0)
STEP_S = 0.05


def reports(*loads, out_of_rotation=0):
    in_rotation = [OverloadReport(load, False) for load in loads]
    return in_rotation + [OverloadReport(0.1, True)] * out_of_rotation


class FakePeers:
    """The other routers of a data centre, with the reports of the test."""

    def __init__(self, found):
        self.reports = found
        self.asked = 0

    def count(self):
        return len(self.reports)

    async def fetch_reports(self):
        self.asked += 1
        return self.reports


class Router:
    """A router whose load the test sets."""

    def __init__(self, found):
        self.clock = Clock()
        self.load = IDLE
        self.peers = FakePeers(found)
        self.changes = []
        self.changed_at = []
        self.control = OverloadControl(
            self.clock, lambda: self.load, self.peers, self._record_change
        )
        self.control.start()

    def _record_change(self):
        self.changes.append(self.control.out_of_rotation)
        self.changed_at.append(self.clock.seconds())

    def run(self, seconds):
        self.clock.pump([STEP_S] * round(seconds / STEP_S))

    def absence_length(self):
        """Returns how long the router is absent once its callers have moved."""
        self.load = HIGH_LOAD
        self.run(defaults.OVERLOAD_ASK_INTERVAL_S + 1.0)
        assert self.control.out_of_rotation
        self.load = IDLE
        while self.control.out_of_rotation:
            self.run(STEP_S)
        began_at, ended_at = self.changed_at[-2:]
        return ended_at - began_at


@pytest.fixture
def router():
    return Router(reports(*[0.1] * 7))


def test_busy_router_leaves_the_rotation_and_returns(router):
    router.run(2.0)
    assert router.changes == []
    router.load = HIGH_LOAD
    router.run(0.5)
    assert router.changes == [True]
    router.run(defaults.ROTATION_ABSENCE_MIN_S + 1.0)
    assert router.control.out_of_rotation, "its callers have not moved yet"
    router.load = IDLE
    router.run(0.5)
    assert router.changes == [True, False]


def test_load_between_the_thresholds_changes_nothing(router):
    between = (defaults.OVERLOAD_START_LOAD + defaults.OVERLOAD_END_LOAD) / 2
    router.load = Load(between, 0.0)
    router.run(5.0)
    assert not router.control.out_of_rotation
    router.load = HIGH_LOAD
    router.run(1.0)
    router.load = Load(between, 0.0)
    router.run(defaults.ROTATION_ABSENCE_MIN_S + 5.0)
    assert router.control.out_of_rotation


def test_absences_grow_while_the_callers_come_back_each_time(router):
    lengths = [router.absence_length() for _ in range(5)]
    for shorter, longer in itertools.pairwise(lengths):
        assert longer > shorter - 2 * STEP_S
    assert lengths[1] > 1.5 * lengths[0]
    assert max(lengths) <= defaults.ROTATION_ABSENCE_MAX_S + 1.0
    router.run(defaults.ROTATION_ABSENCE_MEMORY_S + 1.0)
    assert router.absence_length() < lengths[1]


def test_late_event_loop_is_a_load_as_well(router):
    router.load = Load(0.0, 2 * defaults.LOOP_DELAY_FULL_LOAD_S)
    router.run(0.5)
    assert router.control.out_of_rotation


def test_router_asks_the_others_only_now_and_then():
    router = Router(reports(*[2.0] * 7))
    router.load = HIGH_LOAD
    router.run(5.0)
    assert not router.control.out_of_rotation
    assert router.peers.asked <= 5.0 / defaults.OVERLOAD_ASK_INTERVAL_S + 1


def test_only_router_of_a_data_centre_stays_in_rotation():
    router = Router([])
    router.load = HIGH_LOAD
    router.run(5.0)
    assert not router.control.out_of_rotation
    assert router.peers.asked == 0


def test_no_router_leaves_while_the_others_are_as_busy():
    assert not may_leave_rotation(1.0, reports(*[0.9] * 7), 8)
    assert may_leave_rotation(1.0, reports(*[0.2] * 7), 8)


def test_number_of_routers_out_of_rotation_is_limited():
    limit = int(8 * defaults.OUT_OF_ROTATION_MAX_FRACTION)
    assert may_leave_rotation(
        1.0, reports(*[0.1] * 5, out_of_rotation=limit - 1), 8
    )
    assert not may_leave_rotation(
        1.0, reports(*[0.1] * 5, out_of_rotation=limit), 8
    )


def test_routers_that_do_not_respond_have_no_room():
    assert not may_leave_rotation(1.0, [], 8)


def test_router_that_fails_to_ask_stays_in_rotation(router):
    async def fail():
        raise ZeroDivisionError

    router.peers.fetch_reports = fail
    router.load = HIGH_LOAD
    router.run(3.0)
    assert not router.control.out_of_rotation


def test_answers_of_the_others_may_take_time(router):
    answers = []

    async def answer_late():
        answers.append(defer.Deferred())
        return await answers[-1]

    router.peers.fetch_reports = answer_late
    router.load = HIGH_LOAD
    router.run(3.0)
    assert len(answers) == 1
    answers[0].callback(router.peers.reports)
    router.run(4 * STEP_S)
    assert router.control.out_of_rotation


def test_router_that_gets_busy_soon_has_asked_the_others_before(router):
    busier = (defaults.OVERLOAD_WATCH_LOAD + defaults.OVERLOAD_START_LOAD) / 2
    router.load = Load(busier, 0.0)
    router.run(1.0)
    router.peers.fetch_reports = defer.Deferred
    router.load = HIGH_LOAD
    router.run(4 * STEP_S)
    assert router.control.out_of_rotation


def test_old_reports_of_the_others_are_not_used(router):
    router.load = Load(defaults.OVERLOAD_WATCH_LOAD + 0.01, 0.0)
    router.run(1.0)
    router.load = IDLE
    router.run(defaults.OVERLOAD_REPORT_TTL_S)
    router.peers.fetch_reports = defer.Deferred
    router.load = HIGH_LOAD
    router.run(1.0)
    assert not router.control.out_of_rotation


@pytest.mark.parametrize(
    ("capacity", "overloaded"), [(SLOW_LINK, True), (FAST_LINK, False)]
)
def test_same_callers_fill_a_slow_link_but_not_a_fast_one(capacity, overloaded):
    clock = Clock()
    link = LinkMeter(clock, capacity)
    for _ in range(100):
        clock.advance(0.025)
        link.record(BODY_BYTES)
    assert (link.utilization() > defaults.OVERLOAD_START_LOAD) is overloaded
    clock.advance(5 * defaults.LINK_RATE_TIME_CONSTANT_S)
    assert link.utilization() < defaults.OVERLOAD_END_LOAD


def test_utilization_of_a_steady_flow_is_its_part_of_the_capacity():
    clock = Clock()
    link = LinkMeter(clock, SLOW_LINK)
    message = BODY_BYTES + defaults.PACKET_OVERHEAD_BYTES
    for _ in range(1_000):
        clock.advance(0.01)
        link.record(BODY_BYTES)
    assert link.utilization() == pytest.approx(
        100 * message / SLOW_LINK, rel=0.02
    )


def test_late_timers_are_measured_and_forgotten():
    clock = Clock()
    meter = LoopDelayMeter(clock)
    meter.start()
    clock.pump([defaults.LOOP_DELAY_CHECK_INTERVAL_S] * 10)
    assert meter.delay_s < 0.01
    # Each step of the clock stands for work that blocks the loop.
    clock.pump([0.4] * 20)
    assert meter.delay_s > 0.2
    clock.pump([defaults.LOOP_DELAY_CHECK_INTERVAL_S] * 50)
    assert meter.delay_s < 0.01
