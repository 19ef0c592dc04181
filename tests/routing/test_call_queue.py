"""The queue's decisions on a driven clock: limits, shares, refusals."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from twisted.internet import defer
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.config.model import FleetConfig, Service, Site, Target
from chicorystack.errors import ApiError
from chicorystack.infrastructure.messages import Vm
from chicorystack.routing.call_queue import CallQueue, Ticket
from chicorystack.routing.health import HealthTable
from chicorystack.routing.pickers import SampledLeastLoaded
from chicorystack.routing.shares import fair_level
from chicorystack.routing.targets import TargetTable
from chicorystack.routing.timings import OperationId, Timings

LIMIT = 2
NAMES = ("t-1", "t-2", "t-3")
SERVICE = Service(
    "model",
    "here",
    "engine",
    {},
    {
        "t-1": Target("t-1", "dc-0"),
        "t-2": Target("t-2", "dc-1"),
        "t-3": Target("t-3", "dc-1"),
    },
    max_in_flight=LIMIT,
)
OPERATION = OperationId("model", "ask")
ANSWER_S = 1.0


class AllPresent:
    """Every agent says for ever that it takes work."""

    def take_vm_list(self, vm_by_name):
        pass

    def takes_work(self, _name):
        return True


class Bench:
    """A queue with three targets, and the calls that it has granted."""

    def __init__(self):
        self.clock = Clock()
        self.targets = TargetTable("dc-0", "router-1", AllPresent())
        vm_by_name = {
            name: Vm(
                name=name, role="agent", site="here", address="127.0.0.1",
                port=1, data_centre="dc-0", state="live",
            )
            for name in NAMES
        }  # fmt: skip
        site = Site("here", (), {"model": SERVICE})
        self.targets.update(FleetConfig(1, 1, {"here": site}), "here",
                            vm_by_name)  # fmt: skip
        timings = Timings()
        timings.note_answer(OPERATION, ANSWER_S, 1)
        self.health = HealthTable(self.clock)
        picker = SampledLeastLoaded("dc-0", random.Random(1))
        self.queue = CallQueue(
            self.clock, self.targets, picker, self.health, timings
        )
        self.targets.on_room(lambda _: self.queue.pump())
        self.granted: list[tuple[str, str]] = []
        self.refused: list[tuple[str, float]] = []

    def call(self, customer, priority="normal", timeout_s=30.0, tried=()):
        deadline = self.clock.seconds() + timeout_s
        ticket = Ticket(
            SERVICE, "ask", customer, priority, frozenset(tried), deadline
        )
        running = defer.ensureDeferred(self._call(ticket, self.clock.seconds()))
        running.addErrback(lambda failure: failure.trap(defer.CancelledError))
        return running

    async def _call(self, ticket, began_at):
        try:
            target = await self.queue.take(ticket)
        except ApiError as error:
            assert error.code in ("overloaded", "no_target")
            assert error.retry_after_ms > 0
            waited = self.clock.seconds() - began_at
            self.refused.append((ticket.customer, waited))
            return
        self.queue.note_begun(ticket.customer)
        self.targets.note_sent(target.name, +1)
        self.granted.append((ticket.customer, target.name))

    def end(self, customer, target):
        self.granted.remove((customer, target))
        self.queue.note_ended(customer)
        self.targets.note_sent(target, -1)

    def end_first(self):
        self.end(*self.granted[0])

    def fill(self, customer="filler"):
        for _ in range(LIMIT * len(NAMES)):
            self.call(customer)


@pytest.fixture
def bench():
    return Bench()


def test_a_call_over_the_limits_waits_for_an_end(bench):
    bench.fill()
    bench.call("late")
    assert len(bench.granted) == LIMIT * len(NAMES)
    bench.end_first()
    assert bench.granted[-1][0] == "late"


def test_a_call_that_would_wait_too_long_is_refused_when_it_comes(bench):
    bench.fill()
    for _ in range(20):
        bench.call("eager")
    assert bench.refused
    assert {waited for _, waited in bench.refused} == {0.0}


def test_a_call_whose_deadline_is_too_near_is_refused_at_once(bench):
    bench.fill()
    bench.call("hasty", timeout_s=ANSWER_S)
    assert bench.refused == [("hasty", 0.0)]


def test_priority_goes_first_within_a_customer(bench):
    bench.fill()
    order = []
    for name, priority in [("a", "normal"), ("a", "high")]:
        bench.call(name, priority).addCallback(
            lambda _, priority=priority: order.append(priority)
        )
    bench.end_first()
    assert order == ["high"]


def test_low_priority_does_not_wait_for_ever(bench):
    bench.fill()
    order = []
    bench.call("a", "normal").addCallback(lambda _: order.append("normal"))
    bench.clock.advance(defaults.PRIORITY_HEAD_START_S + 0.1)
    bench.call("a", "high").addCallback(lambda _: order.append("high"))
    bench.end_first()
    assert order == ["normal"]


def test_a_flooding_customer_leaves_the_other_its_share(bench):
    bench.fill("flood")
    served = {"flood": 0, "quiet": 0}
    for _ in range(40):
        for _ in range(5):
            bench.call("flood", "high")
        bench.call("quiet")
        bench.end_first()
        bench.clock.advance(ANSWER_S / 6)
        served[bench.granted[-1][0]] += 1
    assert served["quiet"] >= 18
    assert len([name for name, _ in bench.refused if name == "flood"]) > 100


def test_an_old_report_does_not_keep_a_target_full(bench):
    for name in NAMES:
        bench.targets.note_full(name, bench.clock.seconds())
    bench.call("a")
    assert not bench.granted
    bench.clock.pump([defaults.PROBE_INTERVAL_S] * 10)
    assert len(bench.granted) == 1


def test_a_retry_goes_to_another_data_centre(bench):
    for _ in range(LIMIT):
        bench.call("a", tried=["t-2"])
    assert {target for _, target in bench.granted} == {"t-1"}


def test_an_ejected_target_gets_no_calls_while_others_live(bench):
    for _ in range(defaults.EJECT_FAILURES):
        bench.health.note_failure("t-1")
    bench.fill()
    assert "t-1" not in {target for _, target in bench.granted}


class QueueMachine(RuleBasedStateMachine):
    """Any order of calls, ends, cancellations and time."""

    def __init__(self):
        super().__init__()
        self.bench = Bench()
        self.open = []

    @rule(
        customer=st.sampled_from("abc"),
        priority=st.sampled_from(["high", "normal", "low"]),
        timeout_s=st.floats(0.1, 5.0),
    )
    def call(self, customer, priority, timeout_s):
        self.open.append(self.bench.call(customer, priority, timeout_s))

    @precondition(lambda self: self.bench.granted)
    @rule(data=st.data())
    def end(self, data):
        self.bench.end(*data.draw(st.sampled_from(self.bench.granted)))

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def cancel(self, data):
        data.draw(st.sampled_from(self.open)).cancel()

    @rule(seconds=st.floats(0.01, 1.0))
    def advance(self, seconds):
        self.bench.clock.advance(seconds)

    @invariant()
    def limits_hold(self):
        for target in self.bench.targets.target_by_name.values():
            assert target.sent <= LIMIT

    @invariant()
    def nobody_waits_while_there_is_room(self):
        full = len(self.bench.granted) == LIMIT * len(NAMES)
        assert full or not self.bench.queue.waiting


QueueMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40
)
TestQueueMachine = QueueMachine.TestCase


@given(st.floats(0, 100), st.lists(st.floats(0, 50), min_size=1, max_size=8))
def test_fair_level_uses_the_capacity_and_no_more(capacity, demands):
    level = fair_level(capacity, demands)
    given_out = sum(min(demand, level) for demand in demands)
    assert given_out == pytest.approx(min(capacity, sum(demands)), abs=1e-6)
