"""Property-based test of a leaving agent with late and lost reports."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.agent.leaving import LeavingState
from chicorystack.membership.availability import TargetAvailability

NAME = "target-1"
LIVE = {NAME: {"name": NAME, "role": "agent", "state": "live"}}
LEAVING = {NAME: {"name": NAME, "role": "agent", "state": "leaving"}}
LAG_S = 10.0


class AvailabilityMachine(RuleBasedStateMachine):
    """One router and one agent; reports may be arbitrarily delayed."""

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.availability = TargetAvailability(self.clock)
        self.availability.update_vm_list(LIVE)
        self.agent = LeavingState(self.clock)
        self.agent_knew_at = None
        self.marked_at = None
        self.pending_answers = []

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 2.6)))
    def advance(self, seconds):
        self.clock.advance(seconds)
        marked_at = self.marked_at
        if marked_at is not None and self.clock.seconds() > marked_at + LAG_S:
            self.availability.update_vm_list(LEAVING)

    @rule()
    def poll_agent(self):
        self.pending_answers.append((self.clock.seconds(), not self.agent))

    @rule(data=st.data())
    def receive_answer(self, data):
        if self.pending_answers:
            index = data.draw(st.integers(0, len(self.pending_answers) - 1))
            requested_at, ready = self.pending_answers.pop(index)
            self.availability.record_status(NAME, ready, requested_at)

    @rule()
    def lose_pending_answers(self):
        self.pending_answers = []

    @rule()
    def stop_agent(self):
        self.agent.begin("stop")
        if self.agent_knew_at is None:
            self.agent_knew_at = self.clock.seconds()

    @rule()
    def mark_as_leaving_on_vm_list(self):
        self.marked_at = self.marked_at or self.clock.seconds()

    @rule()
    def send_a_call(self):
        if self.availability.accepts_calls(NAME) and self.agent:
            requested_at = self.clock.seconds()
            self.agent.refuse_call()
            self.pending_answers.append((requested_at, False))

    @rule()
    def restart_agent(self):
        self.agent = LeavingState(self.clock)
        self.agent_knew_at = None

    @invariant()
    def no_new_calls_after_the_bound(self):
        now = self.clock.seconds()
        assert self.agent.late_arrivals == 0
        if self.agent_knew_at is not None and now > self.agent_knew_at + 3.0:
            assert not self.availability.accepts_calls(NAME)
        if self.marked_at is not None and now > self.marked_at + LAG_S + 3.0:
            assert not self.availability.accepts_calls(NAME)


AvailabilityMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30
)
TestAvailabilityMachine = AvailabilityMachine.TestCase


def test_status_validity_is_shorter_than_the_time_to_know_of_leaving():
    assert defaults.AGENT_STATUS_VALID_S < defaults.LEAVE_PROPAGATION_S <= 3.0


def test_late_report_does_not_override_a_refusal():
    clock = Clock()
    availability = TargetAvailability(clock)
    availability.update_vm_list(LIVE)
    clock.advance(1.0)
    availability.record_status(NAME, False, 0.8)
    availability.record_status(NAME, True, 0.9)
    assert not availability.accepts_calls(NAME)
    clock.advance(0.1)
    availability.record_status(NAME, True, 1.05)
    assert availability.accepts_calls(NAME)


def test_vm_that_is_not_listed_gets_no_new_calls():
    availability = TargetAvailability(Clock())
    availability.update_vm_list(LIVE)
    availability.record_status(NAME, True, 0.0)
    assert availability.accepts_calls(NAME)
    availability.update_vm_list({})
    assert not availability.accepts_calls(NAME)


def test_agent_accepts_calls_again_when_listed_as_live():
    agent = LeavingState(Clock())
    agent.update_from_vm_list(True)
    assert agent
    agent.update_from_vm_list(False)
    assert not agent
    agent.begin("stop")
    agent.update_from_vm_list(False)
    assert agent


def test_age_of_a_late_report_counts_from_its_request():
    clock = Clock()
    availability = TargetAvailability(clock)
    availability.update_vm_list(LIVE)
    clock.advance(defaults.AGENT_STATUS_VALID_S + 0.1)
    availability.record_status(NAME, True, 0.0)
    assert not availability.accepts_calls(NAME)
