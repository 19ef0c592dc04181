"""Order in which waiting calls are offered to targets."""

from collections.abc import Set
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.scheduling.messages import QueuedCall

SortKey = tuple[bool, int, bool, bool, float, int]


class Waiting:
    """A waiting call.

    Attributes:
        call: The call.
        sequence: Number of the call in order of arrival.
        duration_s: Predicted seconds from its start to its answer.
        review_at: Clock time at which waiting longer is decided on again, in
            seconds.
        is_raised: Whether it goes before more urgent calls, so that its
            priority does not starve.
    """

    def __init__(
        self,
        call: QueuedCall,
        sequence: int,
        duration_s: float,
        is_raised: bool,
    ):
        self.call = call
        self.sequence = sequence
        self.duration_s = duration_s
        self.review_at = call.offered_at
        self.is_raised = is_raised


class Order(NamedTuple):
    """The order at one point in time.

    Repeats go first. Then follow, in this sequence: priority, fair shares of
    the customers, calls that can still meet their objective, and the time at
    which a call must start: for its objective, or for its deadline if it is
    late already.

    Attributes:
        now: Clock time, in seconds.
        ahead: Customers that have had more than their fair share.
    """

    now: float
    ahead: Set[str]

    def key(self, waiting: Waiting) -> SortKey:
        """Returns the sort key of a call."""
        call = waiting.call
        late = is_late(call, self.now + waiting.duration_s)
        must_end_at = call.deadline if late else call.objective_at
        return (
            not call.is_repeat,
            0 if waiting.is_raised else call.priority,
            call.customer in self.ahead,
            late and not _is_aged(call, self.now),
            must_end_at - waiting.duration_s,
            waiting.sequence,
        )


def is_late(call: QueuedCall, answer_at: float) -> bool:
    """Returns whether an answer at that time would miss the objective."""
    return answer_at > call.objective_at


def late_limit(call: QueuedCall) -> float:
    """Returns the clock time up to which a late answer is worth waiting for.

    It is the objective if late answers are worth nothing. Waiting longer would
    often end in a refusal after a long wait, or delay calls that are on time.
    """
    objective_s = max(0.0, call.objective_at - call.offered_at)
    late_s = call.late_value * objective_s * defaults.LATE_WAIT_FRACTION
    return min(call.objective_at + late_s, call.deadline)


def _is_aged(call: QueuedCall, now: float) -> bool:
    """Returns whether a late call no longer goes after calls on time.

    The less a late answer is worth, the longer it goes after them.
    """
    late_s = (1 - call.late_value) * (call.deadline - call.objective_at)
    return now >= call.objective_at + late_s
