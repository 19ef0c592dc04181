"""Sends a call to an agent and its answer to the caller as it comes."""

from typing import NamedTuple

import msgspec
from twisted.internet import defer, protocol
from twisted.web import client, http, http_headers, server
from twisted.web.client import ResponseDone

from chicorystack import defaults
from chicorystack.calls.messages import (
    ANSWER_HEADER,
    CALL_HEADER,
    END_EVENT_PREFIX,
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
from chicorystack.web.client import BytesProducer, make_http_agent
from chicorystack.web.server import FLEET_TOKEN_HEADER

# Longer than any end record.
TAIL_BYTES = 256
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


class Delivered(NamedTuple):
    """A whole answer has been given to the caller.

    Attributes:
        tokens: Tokens used.
        use: Id of the run that made the answer.
    """

    tokens: int
    use: str


class AnswerRelay(protocol.Protocol):
    """Writes an answer's bytes to the caller and keeps their tail."""

    def __init__(self, request: server.Request):
        self._request = request
        self.tail = b""
        self.finished: defer.Deferred[bool] = defer.Deferred(self._cancel)

    def _cancel(self, _deferred) -> None:
        self.transport.loseConnection()

    def connectionMade(self) -> None:
        """Lets a slow caller slow the agent down."""
        self._request.registerProducer(self.transport, True)

    def dataReceived(self, data: bytes) -> None:
        """Passes bytes on."""
        self._request.write(data)
        self.tail = (self.tail + data)[-TAIL_BYTES:]

    def connectionLost(self, reason) -> None:
        """Tells whether the agent ended the answer itself."""
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

    def __init__(self, reactor, fleet_token: str):
        self._reactor = reactor
        self._http = make_http_agent(reactor)
        self._fleet_token = fleet_token

    async def forward(
        self, url: str, call: CallHeader, body: bytes, request: server.Request
    ) -> Delivered:
        """Sends a call and delivers its answer.

        Raises:
            NotDeliveredError: If the agent refuses, fails or breaks off.
        """
        response = await self._send(url, call, body)
        if not response.headers.hasHeader(ANSWER_HEADER):
            raise await _refusal(call, response)
        try:
            answer = _answer_to(call, response)
        except (msgspec.DecodeError, InvariantError) as error:
            response.deliverBody(AbortingReader())
            raise NotDeliveredError(f"{url}: {error}", False) from error
        return await self._relay(response, answer, request)

    async def _send(self, url: str, call: CallHeader, body: bytes):
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
            answering.addTimeout(_start_timeout_s(call), self._reactor)
            return await answering
        except defer.CancelledError:
            raise
        except Exception as error:
            raise NotDeliveredError(f"{url}: {error!r}", False) from error

    async def _relay(
        self, response, answer: AnswerHeader, request: server.Request
    ) -> Delivered:
        request.setResponseCode(response.code)
        content = response.headers.getRawHeaders("content-type", [""])[0]
        request.setHeader(b"content-type", content.encode())
        if response.length is not client.UNKNOWN_LENGTH:
            request.setHeader(b"content-length", str(response.length).encode())
        relay = AnswerRelay(request)
        response.deliverBody(relay)
        complete = await relay.finished
        if not complete:
            raise NotDeliveredError("the agent broke off", True)
        if content != EVENT_STREAM:
            return Delivered(answer.get("tokens", 0), answer["use"])
        return Delivered(_end_record(relay.tail)["tokens"], answer["use"])


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


def _start_timeout_s(call: CallHeader) -> float:
    """Returns how long to wait for an answer's first byte, in seconds.

    Only the owner of an unrepeatable call can answer it, so there is nobody
    else to ask before the deadline. The owner itself says when it is reached.
    """
    left_s = call["timeout_ms"] / 1000
    if call["repeatable"]:
        return min(defaults.ANSWER_START_TIMEOUT_S, left_s)
    return left_s + defaults.CONNECT_TIMEOUT_S


def _end_record(tail: bytes) -> EndRecord:
    _, found, data = tail.rpartition(END_EVENT_PREFIX)
    if not found:
        raise NotDeliveredError("the stream has no end record", True)
    return end_decoder.decode(data)


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
