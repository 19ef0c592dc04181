"""HTTP server for callers: buffers requests and streams responses."""

import io
from collections.abc import Callable
from typing import NamedTuple, Protocol

import msgspec
from twisted.internet import error
from twisted.web import http
from twisted.web.http_headers import Headers as HeaderTable

from chicorystack import defaults
from chicorystack.buffers.blocks import BlockQueue
from chicorystack.buffers.budget import (
    NO_BUFFERING,
    BufferBudget,
    limits_for_memory,
)
from chicorystack.errors import ChicoryError
from chicorystack.gateway.caller_channel import CallerChannel
from chicorystack.gateway.link import LinkMeter
from chicorystack.gateway.messages import (
    CallerRequest,
    Refusal,
    ResponseWriter,
)
from chicorystack.gateway.model import CallerLimits
from chicorystack.gateway.own_errors import error_refusal, record_error
from chicorystack.gateway.unanswered import CloseReason, record_unanswered
from chicorystack.observe.exposition import held_bytes
from chicorystack.web.channel import max_connections
from chicorystack.web.exchange import Address, Headers
from chicorystack.web.graceful import GracefulSite
from chicorystack.web.server import ListenError

_encoder = msgspec.json.Encoder()


class InvalidRequestError(ChicoryError):
    """A request is not valid HTTP, so that it cannot be forwarded as it is."""


class RawRequest(NamedTuple):
    """A request as received.

    Attributes:
        method: HTTP method.
        target: HTTP request target: path and query.
        headers: Names and values.
        body: The complete body.
        received_at: Clock time when it began to arrive, in seconds.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float


class CallerCodec(Protocol):
    """Decodes callers' requests."""

    def decode_request(self, raw: RawRequest) -> CallerRequest:
        """Decodes a request.

        Raises:
            InvalidRequestError: If it cannot be forwarded as it is.
        """


class RefusalBody(msgspec.Struct):
    """The body of a refusal.

    Attributes:
        error: Stable error code.
        message: Description for people.
    """

    error: str
    message: str


def _do_nothing() -> None:
    """Does nothing."""


class CallerExchange(http.Request):
    """One request of a caller, and the writer of its response.

    Attributes:
        channel: The caller's connection.
        disconnected: Whether nothing more can be sent to the caller.
    """

    channel: CallerChannel

    def __init__(self, channel, queued=http._QUEUED_SENTINEL):
        super().__init__(channel, queued)
        self.disconnected = False
        self._site: GatewaySite = channel.site
        self._received_at = self._site.seconds()
        # ID of the request once it has arrived completely; None before.
        self._request_id: str | None = None
        self._disconnect_listener: Callable[[], None] | None = None
        self._too_large = False
        # Part of the response that the caller has not read yet, and what ends
        # the response once it is sent.
        self._unsent = BlockQueue()
        self._finish_response: Callable[[], None] | None = None
        # Bytes of the bodies of request and response that are held otherwise.
        self._held_bytes = 0
        self._pause_target: Callable[[], None] = _do_nothing
        self._resume_target: Callable[[], None] = _do_nothing
        self._target_paused = False

    def gotLength(self, length: int | None) -> None:
        """Prepares to buffer the body.

        Bodies always stay in memory, as VMs have no disks for temporary files.
        """
        self.content = io.BytesIO()
        self._too_large = length is not None and length > self._max_body_bytes()

    def parseCookies(self) -> None:
        """Does nothing: cookies are forwarded unparsed."""

    def handleContentChunk(self, data: bytes) -> None:
        """Buffers a part of the body unless the body exceeds the limit."""
        if self.content.tell() + len(data) > self._max_body_bytes():
            self._too_large = True
        if not self._too_large:
            self.content.write(data)
            self.hold(len(data))

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Serves a complete request; refuses one whose body is too large."""
        self.method, self.uri, self.clientproto = command, path, version
        if self.disconnected:
            return
        if self._too_large:
            limit = self._max_body_bytes()
            message = f"the body exceeds {limit} bytes"
            self.refuse(Refusal(413, "body_too_large", message))
            return
        try:
            self._serve()
        except InvalidRequestError as error:
            self.refuse(Refusal(400, "bad_request", str(error)))
        except Exception as error:
            record_error(self._request_id or "", error)
            self.fail(error_refusal(may_have_run=False))

    def _serve(self) -> None:
        self._site.link.record(self.content.tell())
        raw = RawRequest(
            self.method,
            self.uri,
            [
                (name, value)
                for name, values in self.requestHeaders.getAllRawHeaders()
                for value in values
            ],
            self.content.getvalue(),
            self._received_at,
        )
        # The body is freed once the call has ended, even if the response is
        # still held then.
        self.content.close()
        decoded = self._site.codec.decode_request(raw)
        self._request_id = decoded.id
        self._site.serve(decoded, self)

    def _max_body_bytes(self) -> int:
        return self._site.max_body_bytes

    def connectionLost(self, reason) -> None:
        """Notifies the listener that the caller has disconnected."""
        self.record_close(self.channel.close_reason)
        self.discard()
        listener, self._disconnect_listener = self._disconnect_listener, None
        if listener is not None:
            listener()
        super().connectionLost(reason)

    def on_disconnect(self, listener: Callable[[], None]) -> None:
        """See ResponseWriter."""
        self._disconnect_listener = listener

    def start(self, status: int, headers: Headers) -> None:
        """See ResponseWriter."""
        if self.disconnected:
            return
        self.setResponseCode(status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        if self._site.closing and not self.channel.has_read_further:
            self.channel.persistent = False
            self.setHeader(b"connection", b"close")

    def send(self, data: bytes) -> None:
        """See ResponseWriter."""
        if self.disconnected:
            return
        self._site.link.record(len(data))
        if (
            self.channel.write_paused
            or self._unsent.size
            or len(data) > defaults.HELD_BLOCK_BYTES
        ):
            self._send_later(data)
        else:
            self.write(data)

    def end(self) -> None:
        """See ResponseWriter."""
        self._disconnect_listener = None
        if not self.disconnected:
            self._end_with(self.finish)

    def abort(self, reason: CloseReason) -> None:
        """See ResponseWriter."""
        self._disconnect_listener = None
        if self.disconnected:
            return
        self.channel.close_reason = reason
        self.disconnected = True
        self._end_with(self._close_truncated)

    def fail(self, refusal: Refusal) -> None:
        """See ResponseWriter."""
        if self.disconnected or self.finished or self._finish_response:
            return
        if self.startedWriting or self._unsent.size:
            self.abort(CloseReason.ERROR)
            return
        # Of a response that was being started.
        self.responseHeaders = HeaderTable()
        try:
            self.refuse(refusal)
        except Exception as error:
            record_error(self._request_id or "", error)
            self.abort(CloseReason.ERROR)

    def _close_truncated(self) -> None:
        """Closes so that the caller sees that the response is truncated.

        The last chunk is missing, or the body is shorter than its length;
        HTTP/1.0 has neither, so the connection is reset.
        """
        if self.clientproto == b"HTTP/1.1":
            self.channel.loseConnection()
        else:
            self.channel.transport.abortConnection()

    def refuse(self, refusal: Refusal) -> None:
        """See ResponseWriter."""
        body = _encoder.encode(RefusalBody(refusal.code, refusal.message))
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        if refusal.retry_after_s is not None:
            seconds = f"{refusal.retry_after_s:.2f}".encode()
            headers.append((b"retry-after", seconds))
        self.start(refusal.status, headers)
        self.send(body)
        self.end()

    def apply_backpressure(
        self, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        """See ResponseWriter."""
        self._let_target_send()
        self._pause_target, self._resume_target = pause, resume
        self._review_target()

    def hold(self, size: int) -> None:
        """See ResponseWriter."""
        if not self.disconnected:
            self._held_bytes += size
            self.channel.hold(size)

    def release(self, size: int) -> None:
        """See ResponseWriter."""
        released = min(size, self._held_bytes)
        if released:
            self._held_bytes -= released
            self.channel.release(released)

    def continue_sending(self) -> None:
        """See HoldingRequest."""
        while self._unsent.size and not self.channel.write_paused:
            block = self._unsent.take()
            self.channel.release(len(block))
            self.write(block)
        self._review_target()
        if not self._unsent.size and self._finish_response is not None:
            finish, self._finish_response = self._finish_response, None
            finish()

    def discard(self) -> None:
        """See HoldingRequest."""
        self.disconnected = True
        self._finish_response = None
        self._held_bytes = 0
        self._unsent.clear()

    def refuse_unread(self) -> None:
        """See HoldingRequest."""
        if self._request_id is None:
            self.clientproto = b"HTTP/1.1"
            self.fail(error_refusal(may_have_run=False))

    def record_close(self, reason: CloseReason) -> None:
        """See HoldingRequest."""
        if self._request_id is None:
            return
        record_unanswered(
            self._request_id,
            self._site.close_reason or reason,
            self.code if self.startedWriting else 0,
            self._site.seconds() - self._received_at,
            self._site.stopping_s(),
        )

    def _send_later(self, data: bytes) -> None:
        self._unsent.add(data)
        self.channel.hold(len(data))
        if not self.disconnected:
            self.continue_sending()

    def _end_with(self, finish: Callable[[], None]) -> None:
        """Ends the response once the caller has read what is held for it."""
        self.release(self._held_bytes)
        self._let_target_send()
        self._pause_target = self._resume_target = _do_nothing
        if self._unsent.size:
            self._finish_response = finish
        else:
            finish()

    def _review_target(self) -> None:
        """Pauses or resumes the target by what is held for the caller."""
        if not self._unsent.size:
            self._let_target_send()
        elif self._target_paused:
            if self.channel.has_room:
                self._let_target_send()
        elif self.channel.exceeds_budget:
            self._target_paused = True
            self._pause_target()

    def _let_target_send(self) -> None:
        if self._target_paused:
            self._target_paused = False
            self._resume_target()


class GatewaySite(GracefulSite):
    """HTTP site that serves callers.

    Attributes:
        codec: Decodes requests.
        serve: Serves a request and writes its response.
        link: Meters the requests and responses.
        budget: Bytes held for callers.
        max_body_bytes: Most bytes of a request body.
        closing: Whether responses tell callers that connections close.
        keeps_connections: Whether connections are kept for further requests.
            Otherwise a connection closes when its response has ended.
        stopping_since: Clock time when the router's stop began, in seconds;
            None if it doesn't stop.
        close_reason: Why the site closes all connections; None before.
    """

    def __init__(
        self,
        reactor,
        codec: CallerCodec,
        serve: Callable[[CallerRequest, ResponseWriter], None],
        link: LinkMeter,
    ):
        super().__init__(
            None,
            max_connections(),
            requestFactory=CallerExchange,
            reactor=reactor,
        )
        self._reactor = reactor
        self.codec = codec
        self.serve = serve
        self.link = link
        self.budget = BufferBudget(*NO_BUFFERING)
        held_bytes.set_function(lambda: self.budget.held_bytes)
        self.max_body_bytes = CallerLimits().max_body_bytes
        self.keeps_connections = True
        self.stopping_since: float | None = None
        self.close_reason: CloseReason | None = None

    def protocol(self) -> CallerChannel:
        """Returns the channel of a new connection."""
        return CallerChannel(self, self.budget)

    def seconds(self) -> float:
        """Returns the clock time, in seconds."""
        return self._reactor.seconds()

    def stopping_s(self) -> float | None:
        """Returns the time since the router's stop began, in seconds."""
        if self.stopping_since is None:
            return None
        return self.seconds() - self.stopping_since

    def set_limits(self, max_body_bytes: int, idle_timeout_s: float) -> None:
        """Sets the limits for callers."""
        self.max_body_bytes = max_body_bytes
        self.timeOut = idle_timeout_s

    def set_memory(self, memory_bytes: float) -> None:
        """Sets the memory limit of the process; infinity if unknown."""
        self.budget.set_limits(*limits_for_memory(memory_bytes))


def listen_for_callers(reactor, site: GatewaySite, address: Address):
    """Listens for callers.

    Returns:
        The listening port.

    Raises:
        ListenError: If the address cannot be listened on.
    """
    try:
        return reactor.listenTCP(
            address.port, site, interface=address.ip, backlog=512
        )
    except error.CannotListenError as failure:
        raise ListenError(f"can't listen on {address}: {failure}") from failure
