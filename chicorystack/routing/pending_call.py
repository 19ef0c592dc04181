"""A call that needs a target."""

from typing import NamedTuple

from chicorystack.config.model import Priority, Service
from chicorystack.routing.timings import OperationId

RANK_BY_PRIORITY: dict[Priority, int] = {"high": 0, "normal": 1, "low": 2}
# A call that was assigned a target before goes first.
RETRY_RANK = -1


class PendingCall(NamedTuple):
    """A call that needs a target.

    Attributes:
        service: Service to call.
        operation: Operation to call.
        customer: Customer who pays.
        priority: The operation's priority.
        tried: Targets on which the call has failed.
        deadline: Time on the clock when its caller gives up.
        requeued: Whether a target refused it because it was full or draining.
    """

    service: Service
    operation: str
    customer: str
    priority: Priority
    tried: frozenset[str]
    deadline: float
    requeued: bool = False

    @property
    def is_retry(self) -> bool:
        """Whether the call was assigned a target before."""
        return self.requeued or bool(self.tried)

    @property
    def rank(self) -> int:
        """Number of its priority, or RETRY_RANK; lower ranks go first."""
        return RETRY_RANK if self.is_retry else RANK_BY_PRIORITY[self.priority]

    @property
    def operation_id(self) -> OperationId:
        """The names of the service and the operation."""
        return OperationId(self.service.name, self.operation)
