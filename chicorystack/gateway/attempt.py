"""One attempt: sends a call to a target and forwards the response."""

import enum
import functools
from collections.abc import Callable
from typing import NamedTuple, Protocol

from twisted.internet import defer

from chicorystack import defaults
from chicorystack.decoding import parse_whole_number
from chicorystack.gateway.event_stream import (
    EventSplitter,
    StreamEventError,
    StreamProgress,
)
from chicorystack.gateway.messages import Call, ResponseHead, ResponseWriter
from chicorystack.gateway.own_errors import record_error
from chicorystack.gateway.targets import TargetEntry
from chicorystack.web.exchange import (
    ExchangeError,
    Headers,
    HttpConnection,
    HttpRequest,
    InternalExchangeError,
)

# Statuses that tell the caller that the request was not and will not be run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Statuses of responses that have no body.
NO_BODY_STATUSES = frozenset({204, 304})
HEAD = b"HEAD"


class AttemptOutcome(enum.Enum):
    """How an attempt ended.

    UNREACHABLE means that no connection was made; NOT_RUN that one was made,
    but nothing was sent or the target states that it has not run the call;
    TARGET_FAILED that the target returned another response with a status other
    than 2xx; BROKEN that the response was incomplete, invalid or stalled;
    DIVERTED that nothing was sent, as the target has ceased to be a candidate
    since it was chosen; UNCONFIRMED that nothing was sent, as the target of a
    stream that goes on may run another version; STOPPED that the router stops;
    ERROR that an exception of the router's own ended it after the call may
    have been sent.
    """

    DELIVERED = "delivered"
    UNREACHABLE = "unreachable"
    NOT_RUN = "not_run"
    TARGET_FAILED = "target_failed"
    BROKEN = "broken"
    EXPIRED = "expired"
    CALLER_LEFT = "caller_left"
    DIVERTED = "diverted"
    UNCONFIRMED = "unconfirmed"
    STOPPED = "stopped"
    ERROR = "error"


class AttemptResult(NamedTuple):
    """The result of an attempt.

    Attributes:
        outcome: How it ended.
        reason: Short explanation for logs and error messages.
        head: Head of an error response to forward; None otherwise.
        body: Body of that response.
        first_byte_at: Clock time of the response's first byte, in seconds; 0
            if there was none.
        connection_lost: Whether the connection failed, so that the target may
            have crashed.
    """

    outcome: AttemptOutcome
    reason: str = ""
    head: ResponseHead | None = None
    body: bytes = b""
    first_byte_at: float = 0.0
    connection_lost: bool = False


class TargetCodec(Protocol):
    """Encodes requests to targets and decodes their responses."""

    def encode_request(
        self, call: Call, target: TargetEntry, left_s: float, last_event_id: str
    ) -> HttpRequest:
        """Returns the HTTP request that sends a call to a target.

        Args:
            call: The call.
            target: The target.
            left_s: Seconds until the call's deadline.
            last_event_id: ID of the last event that the caller has received;
                empty for none.
        """

    def decode_head(self, status: int, headers: Headers) -> ResponseHead:
        """Decodes the head of a response."""


class ResponseProgress:
    """How much of a call's response the caller has been sent.

    It is kept across attempts, so that another target can resume a stream.

    Attributes:
        writer: Writes the response to the caller.
        started: Whether status and headers have been sent.
        stream: Progress of the stream, if the response is one.
        delivered_whole: Whether a response that is no stream has been sent,
            with a body.
    """

    def __init__(self, writer: ResponseWriter, last_event_id: str):
        self.writer = writer
        self.started = False
        self.delivered_whole = False
        self.stream = StreamProgress(parse_whole_number(last_event_id))

    @property
    def last_event_id(self) -> str:
        """ID of the last event that the caller has; empty for none."""
        last_id = self.stream.last_id
        return "" if last_id is None else str(last_id)

    @property
    def can_continue(self) -> bool:
        """Whether another target can go on after what the caller has."""
        return not self.started or self.stream.last_id is not None

    @property
    def begun(self) -> bool:
        """Whether the caller was sent a part, or was about to be."""
        return self.started or self.stream.events > 0

    def start(self, head: ResponseHead) -> None:
        """Sends status and headers unless an earlier attempt already has."""
        if not self.started:
            self.started = True
            self.writer.start(head.status, head.headers)


def _ends_attempt_on_error(receive):
    """Decorates a method so that an exception in it ends the attempt.

    Else it would close the connection as if the target had crashed, or leave
    the call waiting for a response that nobody reads.
    """

    @functools.wraps(receive)
    def receive_safely(attempt, *arguments):
        try:
            receive(attempt, *arguments)
        except Exception as error:
            attempt.fail(error)

    return receive_safely


class Attempt:
    """Receives the response of one target and forwards it to the caller.

    Streams are forwarded event by event, other responses once complete.

    Attributes:
        done: Whether the attempt has ended.
        paused: Whether the target is not read from, as its caller is slow.
        stalled: Whether it was ended for its target's silence alone.
        last_progress_at: Clock time in seconds at which the response last made
            progress: its head, an event of a stream, or any byte of another
            body. That of the attempt's creation before.
        result: How it ended; None before.
        ended: Fires with the result.
    """

    def __init__(
        self,
        clock,
        call: Call,
        codec: TargetCodec,
        progress: ResponseProgress,
        on_head: Callable[[ResponseHead], None],
        on_first_event: Callable[[], None],
    ):
        """Prepares an attempt.

        Args:
            clock: The reactor.
            call: The call.
            codec: Decodes the response.
            progress: What the caller has been sent.
            on_head: Called with the response's head.
            on_first_event: Called before the first event of this response is
                sent to the caller.
        """
        self._clock = clock
        self._call = call
        self._codec = codec
        self._progress = progress
        self._on_head = on_head
        self._on_first_event = on_first_event
        self._connection: HttpConnection | None = None
        self._head: ResponseHead | None = None
        self._splitter: EventSplitter | None = None
        self._body = bytearray()
        self._first_byte_at = 0.0
        self._events_before = progress.stream.events
        progress.stream.begin_attempt()
        self.done = False
        self.paused = False
        self.stalled = False
        self.last_progress_at = clock.seconds()
        self.result: AttemptResult | None = None
        self.ended: defer.Deferred[AttemptResult] = defer.Deferred()

    @property
    def has_sent_events(self) -> bool:
        """Whether the caller has been sent an event of this attempt."""
        return self._progress.stream.events > self._events_before

    @property
    def sent(self) -> bool:
        """Whether the request has been sent to the target."""
        return self._connection is not None

    def run(self, connection: HttpConnection, request: HttpRequest) -> None:
        """Sends the request over the connection."""
        self._connection = connection
        self._progress.writer.apply_backpressure(self._pause, self._resume)
        try:
            connection.send_request(request, self)
        except ExchangeError as error:
            self.exchange_ended(error)

    def stop(self, outcome: AttemptOutcome, reason: str) -> None:
        """Aborts the attempt with the given outcome, unless it has ended."""
        if self.done:
            return
        try:
            if self._connection is not None:
                self._connection.abort()
        finally:
            self._finish(outcome, reason)

    def fail(self, error: BaseException, sent: bool = True) -> None:
        """Ends the attempt after an exception of the router's own.

        Args:
            error: The exception.
            sent: Whether the call may have been sent.
        """
        record_error(self._call.request.id, error)
        outcome = AttemptOutcome.ERROR if sent else AttemptOutcome.NOT_RUN
        self.stop(outcome, f"error of the router: {error!r}")

    def _pause(self) -> None:
        self.paused = True
        self._connection.pause_reading()

    def _resume(self) -> None:
        if not self.paused:
            return
        self.paused = False
        self.last_progress_at = self._clock.seconds()
        self._connection.resume_reading()

    @_ends_attempt_on_error
    def head_received(self, status: int, headers: Headers) -> None:
        """See ResponseReceiver."""
        self._first_byte_at = self.last_progress_at = self._clock.seconds()
        self._head = head = self._codec.decode_head(status, headers)
        if self._is_of_another_call(head):
            reason = "the response belongs to another request"
            self.stop(AttemptOutcome.BROKEN, reason)
            return
        self._on_head(head)
        rejection = _rejection_reason(head)
        if rejection is not None:
            self.stop(AttemptOutcome.BROKEN, rejection)
        elif self._is_stream(head):
            self._splitter = EventSplitter()
        elif _is_success(head) and self._progress.started:
            reason = "the response does not continue the stream"
            self.stop(AttemptOutcome.BROKEN, reason)

    def _is_of_another_call(self, head: ResponseHead) -> bool:
        """Returns whether a response may be that of another call.

        A target may write an earlier response once more. One without an ID
        that denies a run is believed only if it is the connection's first.
        """
        if head.request_id:
            return head.request_id != self._call.request.id
        return head.not_run and self._connection.used

    @_ends_attempt_on_error
    def data_received(self, data: bytes) -> None:
        """See ResponseReceiver."""
        if self.done:
            return
        if self._splitter is None:
            self._buffer(data)
        else:
            self._forward_events(data)

    @_ends_attempt_on_error
    def exchange_ended(self, failure: ExchangeError | None) -> None:
        """See ResponseReceiver."""
        if isinstance(failure, InternalExchangeError):
            self.fail(failure.__cause__ or failure, failure.sent)
        if not self.done:
            self._complete(self._exchange_result(failure))

    def _exchange_result(self, failure: ExchangeError | None) -> AttemptResult:
        if failure is not None:
            outcome = (
                AttemptOutcome.BROKEN
                if failure.sent
                else AttemptOutcome.NOT_RUN
            )
            return self._result(
                outcome, str(failure), connection_lost=failure.sent
            )
        if self._splitter is not None:
            return self._end_stream()
        return self._end_buffered()

    def _buffer(self, data: bytes) -> None:
        self._body += data
        self._progress.writer.hold(len(data))
        self.last_progress_at = self._clock.seconds()
        if len(self._body) > defaults.MAX_BUFFERED_RESPONSE_BYTES:
            self.stop(AttemptOutcome.BROKEN, "the response is too large")

    def _forward_events(self, data: bytes) -> None:
        stream = self._progress.stream
        is_first = not self.has_sent_events
        new_events: list[bytes] = []
        problem = None
        try:
            for event in self._splitter.feed(data):
                if stream.accept(event):
                    new_events.append(event.data)
        except StreamEventError as error:
            problem = str(error)
        if len(self._splitter.incomplete) > defaults.MAX_EVENT_BYTES:
            problem = "an event is too large"
        if new_events:
            self.last_progress_at = self._clock.seconds()
            if is_first:
                self._on_first_event()
            self._progress.start(self._head)
            self._progress.writer.send(b"".join(new_events))
        if problem is not None:
            self.stop(AttemptOutcome.BROKEN, problem)

    def _end_stream(self) -> AttemptResult:
        problem = None
        if self._splitter.incomplete:
            problem = "the stream ended in the middle of an event"
        elif not self.has_sent_events and not self._may_be_at_its_end():
            problem = "the stream ended before its first event"
        if problem is not None:
            # Without a length, this is how a crash looks.
            return self._result(
                AttemptOutcome.BROKEN, problem, connection_lost=True
            )
        self._progress.start(self._head)
        self._progress.writer.end()
        return self._result(AttemptOutcome.DELIVERED)

    def _may_be_at_its_end(self) -> bool:
        """Returns whether the caller may have all events of the stream."""
        return bool(self._progress.last_event_id) and self._head.delimited

    def _end_buffered(self) -> AttemptResult:
        body = bytes(self._body)
        head = self._with_length(self._head, body)
        self._drop_body()
        if head.not_run:
            return self._result(
                AttemptOutcome.NOT_RUN,
                f"the target refused the call with status {head.status}",
            )
        if not _is_success(head):
            return self._result(
                AttemptOutcome.TARGET_FAILED,
                f"the target failed with status {head.status}",
                head,
                body,
            )
        if self._may_be_cut_after_head(head, body):
            return self._result(
                AttemptOutcome.BROKEN,
                "the response ended before its body",
                connection_lost=True,
            )
        self._progress.start(head)
        self._progress.delivered_whole = bool(body)
        self._progress.writer.send(body)
        self._progress.writer.end()
        return self._result(AttemptOutcome.DELIVERED)

    def _may_be_cut_after_head(self, head: ResponseHead, body: bytes) -> bool:
        """Returns whether a target may have stopped after the head.

        A close ends a body without a length. A target that has stopped closes,
        too, so a success without any body is not taken for a whole one unless
        its head says that it has none.
        """
        return not (body or head.delimited or self._has_no_body(head))

    def _is_stream(self, head: ResponseHead) -> bool:
        return (
            _is_success(head) and head.is_stream and not self._has_no_body(head)
        )

    def _has_no_body(self, head: ResponseHead) -> bool:
        return head.status in NO_BODY_STATUSES or (
            self._call.request.method == HEAD
        )

    def _with_length(self, head: ResponseHead, body: bytes) -> ResponseHead:
        """Returns the head with the length of the body, if it may have one."""
        if self._has_no_body(head):
            return head
        length = (b"content-length", str(len(body)).encode())
        return head._replace(headers=[*head.headers, length])

    def _drop_body(self) -> None:
        """Drops the collected body."""
        if self._body:
            self._progress.writer.release(len(self._body))
            self._body.clear()

    def _result(
        self,
        outcome: AttemptOutcome,
        reason: str = "",
        head: ResponseHead | None = None,
        body: bytes = b"",
        connection_lost: bool = False,
    ) -> AttemptResult:
        return AttemptResult(
            outcome, reason, head, body, self._first_byte_at, connection_lost
        )

    def _finish(self, outcome: AttemptOutcome, reason: str) -> None:
        self._complete(self._result(outcome, reason))

    def _complete(self, result: AttemptResult) -> None:
        self.done = True
        self.result = result
        try:
            # A connection must not return to its pool paused.
            self._resume()
            self._drop_body()
        finally:
            self.ended.callback(result)


def _is_success(head: ResponseHead) -> bool:
    return 200 <= head.status < 300


def _rejection_reason(head: ResponseHead) -> str | None:
    """Returns why a response must not be forwarded; None if it may be."""
    if head.not_run:
        return None
    if not head.request_id:
        return "the response has no request ID"
    if head.encoded:
        return "the response has a content encoding"
    if _is_success(head) and not head.signed:
        return "the response is not signed"
    return None


class StallDetector:
    """Aborts an attempt whose response makes no progress for too long.

    It goes on as long as no other target could take over: the target may be
    silent for a while, as when it preempts calls. The limit is a multiple of
    the route's response time objective; once events have been sent, of its
    objective for gaps between events, if it has one.
    """

    def __init__(
        self,
        clock,
        attempt: Attempt,
        call: Call,
        could_go_on_elsewhere: Callable[[], bool],
        on_silence: Callable[[], None],
    ):
        """Prepares to watch an attempt.

        Args:
            clock: The reactor.
            attempt: The attempt.
            call: Its call.
            could_go_on_elsewhere: Returns whether another target could take
                over now.
            on_silence: Called once if the attempt has stalled, but goes on.
        """
        self._clock = clock
        self._attempt = attempt
        self._could_go_on_elsewhere = could_go_on_elsewhere
        self._on_silence = on_silence
        self._silence_reported = False
        self._first_limit_s = (
            call.route.objective_s * defaults.STALL_OBJECTIVE_FACTOR
        )
        gap_s = call.route.gap_objective_s * defaults.STALL_GAP_FACTOR
        self._gap_limit_s = gap_s or self._first_limit_s
        self._timer = None

    def start(self) -> None:
        """Starts the timer."""
        self._check()

    def stop(self) -> None:
        """Cancels the timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _check(self) -> None:
        if self._attempt.done:
            return
        allowed_s = (
            self._gap_limit_s
            if self._attempt.has_sent_events
            else self._first_limit_s
        )
        left_s = (
            self._attempt.last_progress_at + allowed_s - self._clock.seconds()
        )
        if self._attempt.paused:
            left_s = allowed_s
        if left_s <= 0 and self._could_go_on_elsewhere():
            self._attempt.stalled = True
            self._attempt.stop(AttemptOutcome.BROKEN, "the target stalled")
            return
        if left_s <= 0:
            self._report_silence()
            left_s = defaults.STALL_REVIEW_INTERVAL_S
        self._timer = self._clock.callLater(left_s, self._check)

    def _report_silence(self) -> None:
        if not self._silence_reported:
            self._silence_reported = True
            self._on_silence()
