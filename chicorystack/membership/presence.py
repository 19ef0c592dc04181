"""Decides which targets may be sent new work, on the safe side.

Three sources may disagree: the VM list, which lags; the target's agent, whose
word may be lost or late; and what this router has seen itself. New work needs
all of them: a VM that is listed and not leaving, and a recent word of its
agent that it takes work. A target whose agent has fallen silent gets nothing
new, for it may have been told to leave.
"""

from typing import NamedTuple

from chicorystack import defaults
from chicorystack.infrastructure.messages import Vm


class AgentWord(NamedTuple):
    """The last thing that an agent said of itself.

    Attributes:
        ready: Whether it takes new work.
        valid_until: Time on the reactor's clock until which it counts.
        heard_at: Time on the reactor's clock when it came.
    """

    ready: bool
    valid_until: float
    heard_at: float


class Presence:
    """Targets' words by name, and the newest VM list."""

    def __init__(self, clock):
        self._clock = clock
        self._vm_by_name: dict[str, Vm] = {}
        self._word_by_name: dict[str, AgentWord] = {}

    def take_vm_list(self, vm_by_name: dict[str, Vm]) -> None:
        """Takes over a new list; words of VMs that are gone are dropped."""
        self._vm_by_name = vm_by_name
        self._word_by_name = {
            name: word
            for name, word in self._word_by_name.items()
            if name in vm_by_name
        }

    def take_word(self, name: str, ready: bool, asked_at: float) -> None:
        """Takes an agent's word.

        A word's age counts from the question, as the agent may have learned
        more after it answered. A word that was asked for before a refusal was
        heard does not undo the refusal, however late it comes.

        Args:
            name: Name of the target.
            ready: Whether it takes new work.
            asked_at: Time on the reactor's clock when it was asked.
        """
        earlier = self._word_by_name.get(name)
        valid_until = asked_at + defaults.AGENT_WORD_VALID_S
        if earlier is not None and ready:
            if not earlier.ready and asked_at < earlier.heard_at:
                return
            valid_until = max(valid_until, earlier.valid_until)
        self._word_by_name[name] = AgentWord(
            ready, valid_until, self._clock.seconds()
        )

    def takes_work(self, name: str) -> bool:
        """Tells whether a target may be sent new work now."""
        vm = self._vm_by_name.get(name)
        word = self._word_by_name.get(name)
        if vm is None or vm["state"] == "leaving" or word is None:
            return False
        return word.ready and self._clock.seconds() <= word.valid_until
