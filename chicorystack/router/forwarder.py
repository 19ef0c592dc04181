"""Sends a call to an agent and its answer to the caller as it comes."""

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
from chicorystack.errors import ApiError, ChicoryError, ErrorReply
from chicorystack.observe.invariants import InvariantError, require
from chicorystack.router.progress import Patience, Progress
from chicorystack.web.client import BytesProducer, make_http_agent
from chicorystack.web.server import FLEET_TOKEN_HEADER

answer_decoder = msgspec.json.Decoder(AnswerHeader)
end_decoder = msgspec.json.Decoder(EndRecord)
error_decoder = msgspec.json.Decoder(ErrorReply)


class NotDeliveredError(ChicoryError):
    """An agent did not give a whole answer.

    Attributes:
        started: Whether the caller has received part of the answer.
        refusal: The agent's typed refusal, where it gave one.
    """

    def __init__(
        self, message: str, started: bool, refusal: ApiError | None = None
    ):
        super().__init__(message)
        self.started = started
        self.refusal = refusal

    @property
    def target_leaves(self) -> bool:
        """Whether the agent refused because its target is leaving."""
        return self.refusal is not None and self.refusal.code == "draining"

    @property
    def target_full(self) -> bool:
        """Whether the agent refused because its target has no room."""
        return self.refusal is not None and self.refusal.code == "overloaded"

    @property
    def may_be_death(self) -> bool:
        """Whether the target may have died over the call.

        An agent that can't be reached knows nothing that is worth a wait.
        """
        if self.refusal is None:
            return self.started
        return self.refusal.code == "target_failed"


class Delivered(NamedTuple):
    """A whole answer has been given to the caller.

    Attributes:
        tokens: Tokens used.
        use: Id of the run that made the answer.
    """

    tokens: int
    use: str


class AnswerRelay(protocol.Protocol):
    """Writes an answer's bytes to the caller.

    Of a stream it passes on whole events only, so that another target can
    take it up after the last of them.
    """

    def __init__(
        self,
        clock,
        request: server.Request,
        progress: Progress,
        is_stream: bool,
        stall_s: float,
    ):
        self._clock = clock
        self._request = request
        self._progress = progress
        self._is_stream = is_stream
        self._stall_s = stall_s
        self._watch = None
        self._last_at = clock.seconds()
        self._paused = False
        self.finished: defer.Deferred[bool] = defer.Deferred(self._cancel)

    def _cancel(self, _deferred) -> None:
        self.transport.loseConnection()

    def connectionMade(self) -> None:
        """Lets a slow caller slow the agent down."""
        self._request.registerProducer(self, True)
        if self._stall_s:
            self._watch = self._clock.callLater(self._stall_s, self._look)

    def pauseProducing(self) -> None:
        """Stops reading while the caller can't take more."""
        self._paused = True
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Reads on."""
        self._paused = False
        self._last_at = self._clock.seconds()
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """Ends the answer, as the caller has gone."""
        self.transport.loseConnection()

    def _look(self) -> None:
        """Ends the attempt if no bytes came for too long."""
        now = self._clock.seconds()
        due = (now if self._paused else self._last_at) + self._stall_s
        if due > now:
            self._watch = self._clock.callLater(due - now, self._look)
            return
        self._watch = None
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Passes bytes on."""
        self._last_at = self._clock.seconds()
        if self._is_stream:
            data = self._progress.whole_events(data)
        if data:
            self._progress.started = True
            self._request.write(data)

    def connectionLost(self, reason) -> None:
        """Tells whether the agent ended the answer itself."""
        if self._watch is not None:
            self._watch.cancel()
        if not self._request._disconnected:
            self._request.unregisterProducer()
        if not self.finished.called:
            self.finished.callback(bool(reason.check(ResponseDone)))


def break_off_answer(request: server.Request) -> None:
    """Ends an answer so that no client takes it for a whole one.

    A stream gets an error event. The connection then closes without the last
    chunk, or before the length that was announced. HTTP/1.0 knows neither,
    so that only a reset tells.
    """
    if request._disconnected:
        return
    if request.clientproto != b"HTTP/1.1":
        request.transport.abortConnection()
        return
    content = request.responseHeaders.getRawHeaders(b"content-type", [b""])[0]
    if content.decode() == EVENT_STREAM:
        error = ApiError(
            "target_failed", "the answer broke off", "not_completed"
        )
        event = msgspec.json.encode(error.reply())
        request.write(ERROR_EVENT_PREFIX + event + EVENT_END)
    request.transport.loseConnection()


class AbortingReader(protocol.Protocol):
    """Closes a connection whose answer is of no use."""

    def connectionMade(self) -> None:
        """Closes the connection, so that it is never used again."""
        self.transport.loseConnection()


class Forwarder:
    """Exchanges calls and answers with agents."""

    def __init__(
        self,
        reactor,
        fleet_token: str,
        on_answer: Callable[[str, AnswerHeader], None] = lambda *_: None,
    ):
        self._reactor = reactor
        self._on_answer = on_answer
        self._http = make_http_agent(reactor)
        self._fleet_token = fleet_token

    async def forward(
        self,
        url: str,
        call: CallHeader,
        body: bytes,
        request: server.Request,
        progress: Progress,
        patience: Patience,
    ) -> Delivered:
        """Sends a call and delivers its answer.

        Raises:
            NotDeliveredError: If the agent refuses, fails or breaks off.
        """
        progress.begin_attempt()
        response = await self._send(url, call, body, patience)
        if not response.headers.hasHeader(ANSWER_HEADER):
            raise await _refusal(call, response)
        try:
            answer = _answer_to(call, response)
        except (msgspec.DecodeError, InvariantError) as error:
            response.deliverBody(AbortingReader())
            raise NotDeliveredError(f"{url}: {error}", False) from error
        progress.first_byte_at = self._reactor.seconds()
        self._on_answer(url, answer)
        return await self._relay(
            response, answer, request, progress, patience.stall_s
        )

    async def _send(
        self, url: str, call: CallHeader, body: bytes, patience: Patience
    ):
        headers = http_headers.Headers(
            {
                "content-type": ["application/json"],
                CALL_HEADER: [msgspec.json.encode(call)],
                FLEET_TOKEN_HEADER: [self._fleet_token],
            }
        )
        try:
            answering = self._http.request(
                b"POST", f"{url}/run".encode(), headers, BytesProducer(body)
            )
            start_s = _start_timeout_s(call, patience)
            answering.addTimeout(start_s, self._reactor)
            return await answering
        except defer.CancelledError:
            raise
        except Exception as error:
            raise NotDeliveredError(f"{url}: {error!r}", False) from error

    async def _relay(
        self,
        response,
        answer: AnswerHeader,
        request: server.Request,
        progress: Progress,
        stall_s: float,
    ) -> Delivered:
        content = response.headers.getRawHeaders("content-type", [""])[0]
        is_stream = content == EVENT_STREAM
        if not progress.started:
            _copy_head(response, content, request)
        relay = AnswerRelay(
            self._reactor, request, progress, is_stream, stall_s
        )
        response.deliverBody(relay)
        complete = await relay.finished
        if is_stream:
            return Delivered(_tokens(progress), answer["use"])
        if not complete:
            raise NotDeliveredError("the agent broke off", progress.started)
        return Delivered(answer.get("tokens", 0), answer["use"])


def _copy_head(response, content: str, request: server.Request) -> None:
    request.setResponseCode(response.code)
    request.setHeader(b"content-type", content.encode())
    if response.length is not client.UNKNOWN_LENGTH:
        request.setHeader(b"content-length", str(response.length).encode())


def _tokens(progress: Progress) -> int:
    """Returns the tokens of a stream, which is whole with its end record."""
    data = progress.end_data
    if data is None:
        raise NotDeliveredError("the stream broke off", progress.started)
    return end_decoder.decode(data)["tokens"]


def _answer_to(call: CallHeader, response) -> AnswerHeader:
    """Returns the header of an answer, which must be for this call."""
    raw = response.headers.getRawHeaders(ANSWER_HEADER)[0]
    answer = answer_decoder.decode(raw)
    require(
        "answer_is_for_this_call",
        answer["key"] == call["key"],
        f"asked for {call['key']}, got {answer['key']}",
    )
    return answer


def _start_timeout_s(call: CallHeader, patience: Patience) -> float:
    """Returns how long to wait for an answer's first byte, in seconds.

    Only the owner of an unrepeatable call can answer it, so there is nobody
    else to ask before the deadline. The owner itself says when it is reached.
    """
    left_s = call["timeout_ms"] / 1000
    if call["repeatable"]:
        return min(patience.start_s, left_s)
    return left_s + defaults.CONNECT_TIMEOUT_S


async def _refusal(call: CallHeader, response) -> NotDeliveredError:
    """Turns an agent's refusal into an error."""
    key = response.headers.getRawHeaders(KEY_HEADER, [""])[0]
    try:
        payload = await client.readBody(response)
        body = error_decoder.decode(payload)["error"]
        require(
            "refusal_is_for_this_call",
            key == call["key"],
            f"asked for {call['key']}, got {key or 'none'}",
        )
    except Exception as error:
        return NotDeliveredError(f"unreadable refusal: {error!r}", False)
    refusal = ApiError(
        body["code"],
        body["message"],
        body.get("outcome"),
        body.get("retry_after_ms"),
    )
    status = http.RESPONSES.get(response.code, b"").decode()
    return NotDeliveredError(f"{status}: {refusal}", False, refusal)
