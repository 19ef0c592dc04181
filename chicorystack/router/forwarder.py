"""Forwards a call to an agent and streams the response to the caller."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec
from twisted.internet import defer, protocol
from twisted.web import client, http, http_headers, server
from twisted.web.client import ResponseDone

from chicorystack import defaults
from chicorystack.calls.messages import (
    ANSWER_HEADER,
    CALL_HEADER,
    ERROR_EVENT_PREFIX,
    EVENT_END,
    EVENT_STREAM,
    KEY_HEADER,
    AnswerHeader,
    CallHeader,
    EndRecord,
)
from chicorystack.decoding import JsonDecoder
from chicorystack.errors import ApiError, ChicoryError, ErrorReply
from chicorystack.observe.invariants import InvariantError, require
from chicorystack.router.progress import AttemptTimeouts, DeliveryProgress
from chicorystack.web.client import (
    BytesProducer,
    make_http_agent,
    read_body,
)
from chicorystack.web.server import FLEET_TOKEN_HEADER

answer_decoder = JsonDecoder(AnswerHeader)
end_decoder = JsonDecoder(EndRecord)
error_decoder = JsonDecoder(ErrorReply)


class NotDeliveredError(ChicoryError):
    """An agent did not deliver a complete response.

    Attributes:
        started: Whether the caller has received part of the response.
        refusal: The agent's typed refusal, if it sent one.
    """

    def __init__(
        self, message: str, started: bool, refusal: ApiError | None = None
    ):
        super().__init__(message)
        self.started = started
        self.refusal = refusal

    @property
    def target_draining(self) -> bool:
        """Whether the agent refused because its target is draining."""
        return self.refusal is not None and self.refusal.code == "draining"

    @property
    def target_full(self) -> bool:
        """Whether the agent refused because its target is full."""
        return self.refusal is not None and self.refusal.code == "overloaded"

    @property
    def may_have_crashed_target(self) -> bool:
        """Whether the call may have crashed the target.

        False for an unreachable agent: asking it about a crash would only
        cost time.
        """
        if self.refusal is None:
            return self.started
        return self.refusal.code == "target_failed"


class DeliveredResponse(NamedTuple):
    """A complete response that the caller has received.

    Attributes:
        tokens: Tokens used.
        use: Id of the run that produced the response.
    """

    tokens: int
    use: str


class ResponseRelay(protocol.Protocol):
    """Writes a response's bytes to the caller.

    It passes on only complete events of a stream, so that another target can
    resume the stream after the last of them.
    """

    def __init__(
        self,
        clock,
        request: server.Request,
        progress: DeliveryProgress,
        is_stream: bool,
        idle_s: float,
    ):
        self._clock = clock
        self._request = request
        self._progress = progress
        self._is_stream = is_stream
        self._idle_s = idle_s
        self._idle_timer = None
        self._last_data_at = clock.seconds()
        self._paused = False
        self.completed: defer.Deferred[bool] = defer.Deferred(self._cancel)

    def _cancel(self, _deferred) -> None:
        self.transport.loseConnection()

    def connectionMade(self) -> None:
        """Applies the caller's backpressure to the agent's connection."""
        self._request.registerProducer(self, True)
        if self._idle_s:
            self._idle_timer = self._clock.callLater(
                self._idle_s, self._check_idle
            )

    def pauseProducing(self) -> None:
        """Stops reading while the caller's buffer is full."""
        self._paused = True
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Resumes reading."""
        self._paused = False
        self._last_data_at = self._clock.seconds()
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """Closes the agent's connection, as the caller has disconnected."""
        self.transport.loseConnection()

    def _check_idle(self) -> None:
        """Closes the connection if no bytes arrived within the idle limit."""
        now = self._clock.seconds()
        expires_at = (
            now if self._paused else self._last_data_at
        ) + self._idle_s
        if expires_at > now:
            self._idle_timer = self._clock.callLater(
                expires_at - now, self._check_idle
            )
            return
        self._idle_timer = None
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Passes bytes on to the caller."""
        self._last_data_at = self._clock.seconds()
        if self._is_stream:
            data = self._progress.take_complete_events(data)
        if data:
            self._progress.started = True
            self._request.write(data)

    def connectionLost(self, reason) -> None:
        """Fires `completed` with whether the agent ended the response."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if not self._request._disconnected:
            self._request.unregisterProducer()
        if not self.completed.called:
            self.completed.callback(bool(reason.check(ResponseDone)))


def abort_response(request: server.Request) -> None:
    """Ends a response so that no client takes it for a complete one.

    A stream gets an error event. The connection then closes without the final
    chunk, or before the announced content length. HTTP/1.0 has neither, so
    the connection is reset.
    """
    if request._disconnected:
        return
    if request.clientproto != b"HTTP/1.1":
        request.transport.abortConnection()
        return
    content_type = request.responseHeaders.getRawHeaders(
        b"content-type", [b""]
    )[0]
    if content_type.decode() == EVENT_STREAM:
        error = ApiError(
            "target_failed", "the response was interrupted", "not_completed"
        )
        event = msgspec.json.encode(error.to_reply())
        request.write(ERROR_EVENT_PREFIX + event + EVENT_END)
    request.transport.loseConnection()


class AbortingReader(protocol.Protocol):
    """Closes the connection of a response that is discarded."""

    def connectionMade(self) -> None:
        """Closes the connection, so that it is not reused."""
        self.transport.loseConnection()


class Forwarder:
    """Sends calls to agents and relays their responses."""

    def __init__(
        self,
        reactor,
        fleet_token: str,
        on_response: Callable[[str, AnswerHeader], None] = lambda *_: None,
    ):
        self._reactor = reactor
        self._on_response = on_response
        self._http = make_http_agent(reactor)
        self._fleet_token = fleet_token

    async def forward(
        self,
        url: str,
        call: CallHeader,
        body: bytes,
        request: server.Request,
        progress: DeliveryProgress,
        timeouts: AttemptTimeouts,
    ) -> DeliveredResponse:
        """Sends a call and delivers the response.

        Raises:
            NotDeliveredError: If the agent refuses the call or fails, or the
                response is interrupted.
        """
        progress.begin_attempt()
        response = await self._send(url, call, body, timeouts)
        if not response.headers.hasHeader(ANSWER_HEADER):
            raise await _read_refusal(call, response)
        try:
            answer = _read_answer_header(call, response)
        except (msgspec.DecodeError, InvariantError) as error:
            response.deliverBody(AbortingReader())
            raise NotDeliveredError(f"{url}: {error}", False) from error
        progress.first_byte_at = self._reactor.seconds()
        self._on_response(url, answer)
        return await self._relay(
            response, answer, request, progress, timeouts.idle_s
        )

    async def _send(
        self, url: str, call: CallHeader, body: bytes, timeouts: AttemptTimeouts
    ):
        headers = http_headers.Headers(
            {
                "content-type": ["application/json"],
                CALL_HEADER: [msgspec.json.encode(call)],
                FLEET_TOKEN_HEADER: [self._fleet_token],
            }
        )
        try:
            pending = self._http.request(
                b"POST", f"{url}/run".encode(), headers, BytesProducer(body)
            )
            timeout_s = _first_byte_timeout_s(call, timeouts)
            pending.addTimeout(timeout_s, self._reactor)
            return await pending
        except defer.CancelledError:
            raise
        except Exception as error:
            raise NotDeliveredError(f"{url}: {error!r}", False) from error

    async def _relay(
        self,
        response,
        answer: AnswerHeader,
        request: server.Request,
        progress: DeliveryProgress,
        idle_s: float,
    ) -> DeliveredResponse:
        content_type = response.headers.getRawHeaders("content-type", [""])[0]
        is_stream = content_type == EVENT_STREAM
        if not progress.started:
            _copy_response_head(response, content_type, request)
        relay = ResponseRelay(
            self._reactor, request, progress, is_stream, idle_s
        )
        response.deliverBody(relay)
        complete = await relay.completed
        if is_stream:
            return DeliveredResponse(_stream_tokens(progress), answer["use"])
        if not complete:
            raise NotDeliveredError(
                "the connection closed before the end of the response",
                progress.started,
            )
        return DeliveredResponse(answer.get("tokens", 0), answer["use"])


def _copy_response_head(
    response, content_type: str, request: server.Request
) -> None:
    request.setResponseCode(response.code)
    request.setHeader(b"content-type", content_type.encode())
    if response.length is not client.UNKNOWN_LENGTH:
        request.setHeader(b"content-length", str(response.length).encode())


def _stream_tokens(progress: DeliveryProgress) -> int:
    """Returns a stream's tokens, from its end record.

    Raises:
        NotDeliveredError: If it has no end record, as it is incomplete then.
    """
    data = progress.end_record_data
    if data is None:
        raise NotDeliveredError(
            "the stream ended without an end record", progress.started
        )
    return end_decoder.decode(data)["tokens"]


def _read_answer_header(call: CallHeader, response) -> AnswerHeader:
    """Returns a response's header, which must be for this call."""
    raw = response.headers.getRawHeaders(ANSWER_HEADER)[0]
    answer = answer_decoder.decode(raw)
    require(
        "answer_is_for_this_call",
        answer["key"] == call["key"],
        f"expected key {call['key']}, got {answer['key']}",
    )
    return answer


def _first_byte_timeout_s(call: CallHeader, timeouts: AttemptTimeouts) -> float:
    """Returns how long to wait for a response's first byte, in seconds.

    Only the owner of a non-repeatable call can respond to it, so there is no
    other target to try before the deadline. The margin of CONNECT_TIMEOUT_S
    lets the owner itself report that the deadline has passed.
    """
    remaining_s = call["timeout_ms"] / 1000
    if call["repeatable"]:
        return min(timeouts.first_byte_s, remaining_s)
    return remaining_s + defaults.CONNECT_TIMEOUT_S


async def _read_refusal(call: CallHeader, response) -> NotDeliveredError:
    """Converts an agent's refusal into an error."""
    key = response.headers.getRawHeaders(KEY_HEADER, [""])[0]
    try:
        payload = await read_body(response)
        body = error_decoder.decode(payload)["error"]
        require(
            "refusal_is_for_this_call",
            key == call["key"],
            f"expected key {call['key']}, got {key or 'none'}",
        )
    except Exception as error:
        return NotDeliveredError(f"invalid refusal: {error!r}", False)
    refusal = ApiError(
        body["code"],
        body["message"],
        body.get("outcome"),
        body.get("retry_after_ms"),
    )
    status = http.RESPONSES.get(response.code, b"").decode()
    return NotDeliveredError(f"{status}: {refusal}", False, refusal)
