"""Connections that close while a request on them has no complete answer.

Each has one line in the log and is counted by its reason, so that a lost
request can be traced from the logs of its router alone.
"""

import enum

from chicorystack.observe.events import emit
from chicorystack.observe.exposition import unanswered_requests_total


class CloseReason(enum.Enum):
    """Why a connection closes on an unanswered request.

    CALLER_LEFT means that the caller or the network closed it; DEADLINE that
    a response had begun and the call's deadline passed; TARGET_FAILED that a
    response had begun and no target could go on with it; STOP that the router
    stops; ERROR that an exception of the router's own ended the call;
    HELD_BYTES that too many bytes were held for callers; STALLED_CALLER that
    the caller read nothing for too long.
    """

    CALLER_LEFT = "caller_left"
    DEADLINE = "deadline"
    TARGET_FAILED = "target_failed"
    STOP = "stop"
    ERROR = "error"
    HELD_BYTES = "held_bytes"
    STALLED_CALLER = "stalled_caller"


def record_unanswered(
    request_id: str,
    reason: CloseReason,
    status: int,
    age_s: float,
    stopping_s: float | None,
) -> None:
    """Records that a connection has closed on a whole request.

    Args:
        request_id: ID of the request.
        reason: Why the connection closed.
        status: Status of the response that had begun; 0 for none.
        age_s: Time since the request began to arrive, in seconds.
        stopping_s: Time since the router's stop began, in seconds; None if it
            doesn't stop.
    """
    unanswered_requests_total.labels(reason.value).inc()
    emit(
        "request",
        "unanswered",
        id=request_id,
        reason=reason.value,
        status=status,
        ms=round(age_s * 1000, 1),
        stopping_ms=None if stopping_s is None else round(stopping_s * 1000),
    )
