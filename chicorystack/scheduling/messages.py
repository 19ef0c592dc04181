"""Calls that need a target, and the decisions on them."""

from typing import NamedTuple, Protocol


class QueuedCall(NamedTuple):
    """A call that needs a target.

    Attributes:
        id: Identifies the call in its queue.
        customer: Customer that it belongs to; empty for none.
        weight: Weight of the customer in fair shares.
        priority: Priority, 0 the most urgent.
        objective_at: Clock time by which its answer should begin, in seconds.
        deadline: Clock time after which an answer is useless, in seconds.
        late_value: Worth of an answer after the objective, between 0 and 1,
            relative to one before it.
        offered_at: Clock time at which it was offered, in seconds.
        excess: How far its customer exceeds its usual load; 0 for a call
            within it.
        is_repeat: Whether an attempt of it has failed or its stream has begun.
            It is never refused.
        subject: What a Capacity predicts from: the gateway's call.
    """

    id: str
    customer: str
    weight: float
    priority: int
    objective_at: float
    deadline: float
    late_value: float
    offered_at: float
    excess: int = 0
    is_repeat: bool = False
    subject: object = None


class Start(NamedTuple):
    """The call is to be sent to a target now."""


class Wait(NamedTuple):
    """The call waits until it is returned by `Scheduler.next`."""


class Refuse(NamedTuple):
    """The call is refused.

    Attributes:
        reason: Why: `deadline`, `late`, `overload` or `queue_full`.
        retry_after_s: Seconds until the caller should return.
    """

    reason: str
    retry_after_s: float


Decision = Start | Wait | Refuse


class CallEnd(NamedTuple):
    """How an attempt of a started call ended.

    Attributes:
        target_id: The target.
        duration_s: Time that the attempt took, in seconds.
        rejected: Whether the target rejected it for lack of room.
        completed: Whether the target answered, so that the duration counts.
    """

    target_id: str
    duration_s: float
    rejected: bool
    completed: bool


class TargetReport(NamedTuple):
    """Load of one target as it reported it.

    Attributes:
        running: Calls that it is running.
        waiting: Calls in its queue.
        slots: Calls that it can run concurrently.
        pace: Time that work takes there, in percent of the usual time.
        reported_at: Clock time when the report arrived, in seconds.
    """

    running: int
    waiting: int
    slots: int
    pace: int
    reported_at: float


class Prediction(Protocol):
    """Predicted course of a call at the best target.

    Attributes:
        first_event_s: Seconds until its first event if it is sent now.
        fits_memory: Whether the target has memory for it.
    """

    first_event_s: float
    fits_memory: bool


class Capacity(Protocol):
    """Predicts when the targets of a service can take calls."""

    def room(self, call: QueuedCall) -> float:
        """Returns seconds until the call could start if it were the next.

        It is 0 for now.
        """

    def duration_s(self, call: QueuedCall) -> float:
        """Returns predicted seconds from the call's start to its answer."""

    def interval_s(self) -> float:
        """Returns predicted seconds between two starts while calls wait."""

    def load(self, call: QueuedCall) -> float:
        """Returns the targets' load, 1 for as much as they should have."""

    def has_slot(self, call: QueuedCall) -> bool:
        """Returns whether a target has a free slot and no queue."""

    def is_idle(self, call: QueuedCall) -> bool:
        """Returns whether a target could answer the call in good time.

        Such a call is not refused.
        """

    def started(self, call: QueuedCall) -> None:
        """Counts the start of a call."""

    def ended(self, call: QueuedCall, end: CallEnd | None) -> None:
        """Counts the end of a call.

        Args:
            call: The call.
            end: How its attempt ended; None if it was not sent to a target.
        """
