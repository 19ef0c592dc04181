"""Errors shown to operators on a terminal or sent to callers as JSON."""

from typing import Literal, NotRequired, TypedDict

Outcome = Literal["rejected", "not_run", "not_completed", "unknown", "done"]

# HTTP status by stable error code; docs/API.md describes how to handle each.
STATUS_BY_CODE: dict[str, int] = {
    "bad_request": 400,
    "key_required": 400,
    "key_reused": 422,
    "unauthorized": 401,
    "forbidden": 403,
    "unknown_path": 404,
    "unknown_service": 404,
    "unknown_request": 404,
    "method_not_allowed": 405,
    "request_timeout": 408,
    "conflict": 409,
    "body_too_large": 413,
    "budget_exhausted": 402,
    "budget_unreachable": 503,
    "not_keeper": 421,
    "not_ready": 503,
    "no_target": 503,
    "evacuated": 503,
    "overloaded": 429,
    "quarantined": 422,
    "draining": 503,
    "epoch_closed": 409,
    "refused_for_good": 409,
    "answer_forgotten": 410,
    "outcome_unknown": 504,
    "deadline_exceeded": 504,
    "target_failed": 502,
    "internal": 500,
}


class ErrorBody(TypedDict):
    """The JSON object in the field `error` of every error response.

    Attributes:
        code: A key of STATUS_BY_CODE.
        message: Human-readable description, one sentence.
        outcome: What is known about the call: `rejected` (this message was
            refused before its idempotency key was checked), `not_run` (it has
            not run and never will under this key), `not_completed` (it is
            repeatable and can be sent again), `unknown` (it may have run),
            `done` (it has run, but its response is no longer stored).
        retry_after_ms: Time to wait before a retry, in milliseconds.
    """

    code: str
    message: str
    outcome: NotRequired[Outcome]
    retry_after_ms: NotRequired[int]


class ErrorReply(TypedDict):
    """The body of every error response."""

    error: ErrorBody


class ChicoryError(Exception):
    """Base class of all errors of this package."""


class UserError(ChicoryError):
    """An error caused by the user; printed as one line, exit code 2."""


class ApiError(ChicoryError):
    """An error that a caller or a peer receives as typed JSON."""

    def __init__(
        self,
        code: str,
        message: str,
        outcome: Outcome | None = None,
        retry_after_ms: int | None = None,
    ):
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms

    @property
    def status(self) -> int:
        """The HTTP status of the error code.

        Codes unknown to this version, sent by a later one, get status 500.
        """
        return STATUS_BY_CODE.get(self.code, STATUS_BY_CODE["internal"])

    def to_reply(self) -> ErrorReply:
        """Returns the JSON body of the error response."""
        body = ErrorBody(code=self.code, message=self.message)
        if self.outcome is not None:
            body["outcome"] = self.outcome
        if self.retry_after_ms is not None:
            body["retry_after_ms"] = self.retry_after_ms
        return ErrorReply(error=body)
