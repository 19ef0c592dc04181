"""One attempt: a call is sent to a target, and its answer is passed on."""

import enum
from collections.abc import Callable
from typing import NamedTuple, Protocol

from twisted.internet import defer

from chicorystack import defaults
from chicorystack.gateway.event_stream import (
    EventSplitter,
    StreamGapError,
    StreamProgress,
)
from chicorystack.gateway.messages import AnswerHead, Call, CallerReply
from chicorystack.gateway.targets import TargetEntry
from chicorystack.web.exchange import (
    ExchangeError,
    Headers,
    HttpConnection,
    HttpRequest,
)

# Statuses that promise that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})


class End(enum.Enum):
    """How an attempt ended.

    Nothing was sent to a target that is unreachable; one that says that it
    has not run the call was sent it.
    """

    DELIVERED = "delivered"
    UNREACHABLE = "unreachable"
    NOT_RUN = "not_run"
    TARGET_FAILED = "target_failed"
    BROKEN = "broken"
    EXPIRED = "expired"
    CALLER_LEFT = "caller_left"


class AttemptResult(NamedTuple):
    """The end of an attempt.

    Attributes:
        end: How it ended.
        reason: Why, in a few words.
        head: The target's answer, where it is a failure to pass on.
        body: The body of that.
        first_byte_at: Time on the clock of the answer's first byte; 0 for
            none.
        lost: Whether the target may have died over it.
    """

    end: End
    reason: str = ""
    head: AnswerHead | None = None
    body: bytes = b""
    first_byte_at: float = 0.0
    lost: bool = False


class TargetDialect(Protocol):
    """How targets are spoken to."""

    def request(
        self, call: Call, target: TargetEntry, left_s: float, last_event: str
    ) -> HttpRequest:
        """Returns the request to send."""

    def head(self, status: int, headers: Headers) -> AnswerHead:
        """Decodes the head of an answer."""


class Transcript:
    """What the caller has been sent of one call's answer.

    Attributes:
        reply: The caller's side.
        started: Whether it has been sent status and headers.
        progress: Events that it has, for streams.
    """

    def __init__(self, reply: CallerReply, last_event: str):
        self.reply = reply
        self.started = False
        last_id = int(last_event) if last_event.isdigit() else None
        self.progress = StreamProgress(last_id)

    @property
    def last_event(self) -> str:
        """Id of the last event that the caller has; empty for none."""
        last_id = self.progress.last_id
        return "" if last_id is None else str(last_id)

    def start(self, head: AnswerHead) -> None:
        """Sends status and headers of the first target that answers."""
        if not self.started:
            self.started = True
            self.reply.start(head.status, head.headers)


class Attempt:
    """Receives the answer of one target and passes it on.

    Streams are passed on event by event; other answers once they are whole.

    Attributes:
        ended: Fires with the AttemptResult.
    """

    def __init__(
        self,
        clock,
        call: Call,
        dialect: TargetDialect,
        transcript: Transcript,
        on_head: Callable[[AnswerHead], None],
    ):
        self._clock = clock
        self._call = call
        self._dialect = dialect
        self._transcript = transcript
        self._on_head = on_head
        self._connection: HttpConnection | None = None
        self._head: AnswerHead | None = None
        self._splitter: EventSplitter | None = None
        self._body: list[bytes] = []
        self._first_byte_at = 0.0
        self._events_before = transcript.progress.events
        self.done = False
        self.last_byte_at = clock.seconds()
        self.ended: defer.Deferred[AttemptResult] = defer.Deferred()

    @property
    def has_events(self) -> bool:
        """Whether this target has given the caller an event."""
        return self._transcript.progress.events > self._events_before

    def run(self, connection: HttpConnection, request: HttpRequest) -> None:
        """Sends the request."""
        self._connection = connection
        self._transcript.reply.throttle(connection.pause, connection.resume)
        connection.run(request, self)

    def stop(self, end: End, reason: str) -> None:
        """Ends the attempt from this side."""
        if self.done:
            return
        if self._connection is not None:
            self._connection.abort()
        self._finish(end, reason)

    def head_received(self, status: int, headers: Headers) -> None:
        """See AnswerReceiver."""
        self._first_byte_at = self.last_byte_at = self._clock.seconds()
        self._head = head = self._dialect.head(status, headers)
        self._on_head(head)
        fault = _fault(head, self._call)
        if fault is not None:
            self.stop(End.BROKEN, fault)
        elif head.is_stream and _is_success(head):
            self._splitter = EventSplitter()

    def data_received(self, data: bytes) -> None:
        """See AnswerReceiver."""
        self.last_byte_at = self._clock.seconds()
        if self.done:
            return
        if self._splitter is None:
            self._body.append(data)
            return
        try:
            self._pass_events(data)
        except StreamGapError as error:
            self.stop(End.BROKEN, str(error))

    def exchange_ended(self, failure: ExchangeError | None) -> None:
        """See AnswerReceiver."""
        if not self.done:
            self._settle(self._exchange_result(failure))

    def _exchange_result(self, failure: ExchangeError | None) -> AttemptResult:
        if failure is not None:
            end = End.BROKEN if failure.sent else End.NOT_RUN
            return self._result(end, str(failure), lost=failure.sent)
        if self._splitter is not None:
            return self._end_stream()
        return self._end_whole()

    def _pass_events(self, data: bytes) -> None:
        progress = self._transcript.progress
        fresh = [
            event.data
            for event in self._splitter.feed(data)
            if progress.is_new(event)
        ]
        if fresh:
            self._transcript.start(self._head)
            self._transcript.reply.send(b"".join(fresh))

    def _end_stream(self) -> AttemptResult:
        if self._splitter.held:
            return self._result(End.BROKEN, "the stream ends in an event")
        self._transcript.start(self._head)
        self._transcript.reply.end()
        return self._result(End.DELIVERED)

    def _end_whole(self) -> AttemptResult:
        head, body = self._head, b"".join(self._body)
        if head.not_run:
            return self._result(End.NOT_RUN, f"refused with {head.status}")
        if not _is_success(head):
            return self._result(
                End.TARGET_FAILED, f"failed with {head.status}", head, body
            )
        self._transcript.start(head)
        self._transcript.reply.send(body)
        self._transcript.reply.end()
        return self._result(End.DELIVERED)

    def _result(
        self,
        end: End,
        reason: str = "",
        head: AnswerHead | None = None,
        body: bytes = b"",
        lost: bool = False,
    ) -> AttemptResult:
        return AttemptResult(end, reason, head, body, self._first_byte_at, lost)

    def _finish(self, end: End, reason: str) -> None:
        self._settle(self._result(end, reason))

    def _settle(self, result: AttemptResult) -> None:
        self.done = True
        self.ended.callback(result)


def _is_success(head: AnswerHead) -> bool:
    return 200 <= head.status < 300


def _fault(head: AnswerHead, call: Call) -> str | None:
    """Tells why an answer must not be passed on, if so."""
    if head.request_id and head.request_id != call.request.id:
        return "the answer belongs to another request"
    if head.not_run:
        return None
    if not head.request_id:
        return "the answer does not say which request it is for"
    if head.encoded:
        return "the answer was encoded on the way"
    if _is_success(head) and not head.sealed:
        return "the answer is not signed"
    return None


class StallWatch:
    """Ends an attempt whose target falls silent, where others may go on."""

    def __init__(self, clock, attempt: Attempt, call: Call):
        self._clock = clock
        self._attempt = attempt
        self._first_s = call.route.objective_s * defaults.SILENCE_OBJECTIVES
        gap_s = call.route.gap_objective_s * defaults.SILENCE_GAPS
        self._gap_s = gap_s or self._first_s
        self._timer = None

    def start(self) -> None:
        """Begins to watch."""
        self._look()

    def stop(self) -> None:
        """Ends the watch."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _look(self) -> None:
        if self._attempt.done:
            return
        allowed_s = self._gap_s if self._attempt.has_events else self._first_s
        left_s = self._attempt.last_byte_at + allowed_s - self._clock.seconds()
        if left_s <= 0:
            self._attempt.stop(End.BROKEN, "the target has fallen silent")
            return
        self._timer = self._clock.callLater(left_s, self._look)
