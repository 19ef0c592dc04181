"""Exceptions of the router's own that end a request or a part of it."""

import random

from twisted.python.failure import Failure

from chicorystack import defaults
from chicorystack.gateway.messages import Refusal
from chicorystack.observe.events import emit


def record_error(request_id: str, error: BaseException) -> None:
    """Logs an exception, with its traceback.

    Args:
        request_id: ID of the request; empty if it is not known.
        error: The exception.
    """
    failure = Failure(error, type(error), error.__traceback__)
    emit("request", "bug", id=request_id, reason=failure.getTraceback())


def error_refusal(may_have_run: bool) -> Refusal:
    """Returns the response to a call that an error of the router ended."""
    message = "an error of the router ended the call"
    if may_have_run:
        return Refusal(502, "internal", message)
    retry_s = random.uniform(*defaults.NOT_RUN_RETRY_RANGE_S)
    return Refusal(503, "internal", message, retry_s)
