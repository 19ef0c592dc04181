"""Random runs of an agent that leaves, with late, lost and crossed words."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.agent.leaving import LeavingState
from chicorystack.membership.presence import Presence

NAME = "target-1"
LIVE = {NAME: {"name": NAME, "role": "agent", "state": "live"}}
LEAVING = {NAME: {"name": NAME, "role": "agent", "state": "leaving"}}
LAG_S = 10.0


class PresenceMachine(RuleBasedStateMachine):
    """One router and one agent; words travel as slowly as they like."""

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.presence = Presence(self.clock)
        self.presence.take_vm_list(LIVE)
        self.agent = LeavingState(self.clock)
        self.knew_at = None
        self.marked_at = None
        self.answers = []

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 2.6)))
    def advance(self, seconds):
        self.clock.advance(seconds)
        marked = self.marked_at
        if marked is not None and self.clock.seconds() > marked + LAG_S:
            self.presence.take_vm_list(LEAVING)

    @rule()
    def ask(self):
        self.answers.append((self.clock.seconds(), not self.agent))

    @rule(data=st.data())
    def hear(self, data):
        if self.answers:
            index = data.draw(st.integers(0, len(self.answers) - 1))
            asked_at, ready = self.answers.pop(index)
            self.presence.take_word(NAME, ready, asked_at)

    @rule()
    def lose_answers(self):
        self.answers = []

    @rule()
    def tell_agent_to_stop(self):
        self.agent.begin("stop")
        if self.knew_at is None:
            self.knew_at = self.clock.seconds()

    @rule()
    def mark_on_vm_list(self):
        self.marked_at = self.marked_at or self.clock.seconds()

    @rule()
    def send_a_call(self):
        if self.presence.takes_work(NAME) and self.agent:
            asked_at = self.clock.seconds()
            self.agent.refusal()
            self.answers.append((asked_at, False))

    @rule()
    def restart_agent(self):
        self.agent = LeavingState(self.clock)
        self.knew_at = None

    @invariant()
    def no_new_work_late(self):
        now = self.clock.seconds()
        assert self.agent.late_arrivals == 0
        if self.knew_at is not None and now > self.knew_at + 3.0:
            assert not self.presence.takes_work(NAME)
        if self.marked_at is not None and now > self.marked_at + LAG_S + 3.0:
            assert not self.presence.takes_work(NAME)


PresenceMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30
)
TestPresenceMachine = PresenceMachine.TestCase


def test_bound_of_the_router_is_within_the_bound_of_the_agent():
    assert defaults.AGENT_WORD_VALID_S < defaults.LEAVE_KNOWN_S <= 3.0


def test_late_word_does_not_undo_a_refusal():
    clock = Clock()
    presence = Presence(clock)
    presence.take_vm_list(LIVE)
    clock.advance(1.0)
    presence.take_word(NAME, False, 0.8)
    presence.take_word(NAME, True, 0.9)
    assert not presence.takes_work(NAME)
    clock.advance(0.1)
    presence.take_word(NAME, True, 1.05)
    assert presence.takes_work(NAME)


def test_vm_that_is_off_the_list_gets_no_work():
    presence = Presence(Clock())
    presence.take_vm_list(LIVE)
    presence.take_word(NAME, True, 0.0)
    assert presence.takes_work(NAME)
    presence.take_vm_list({})
    assert not presence.takes_work(NAME)


def test_agent_takes_work_again_when_the_list_takes_its_mark_back():
    agent = LeavingState(Clock())
    agent.note_vm_list(True)
    assert agent
    agent.note_vm_list(False)
    assert not agent
    agent.begin("stop")
    agent.note_vm_list(False)
    assert agent


def test_word_counts_from_the_question_however_late_it_comes():
    clock = Clock()
    presence = Presence(clock)
    presence.take_vm_list(LIVE)
    clock.advance(defaults.AGENT_WORD_VALID_S + 0.1)
    presence.take_word(NAME, True, 0.0)
    assert not presence.takes_work(NAME)
