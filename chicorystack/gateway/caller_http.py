"""HTTP server for callers: buffers requests and streams responses."""

import io
from collections.abc import Callable
from typing import NamedTuple, Protocol

import msgspec
from twisted.internet import error
from twisted.internet.interfaces import IPushProducer
from twisted.web import http
from zope.interface import implementer

from chicorystack.gateway.link import LinkMeter
from chicorystack.gateway.messages import (
    CallerRequest,
    Refusal,
    ResponseWriter,
)
from chicorystack.gateway.model import CallerLimits
from chicorystack.web.channel import max_connections
from chicorystack.web.exchange import Address, Headers
from chicorystack.web.graceful import GracefulSite
from chicorystack.web.server import ListenError

_encoder = msgspec.json.Encoder()


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
        """Decodes a request."""


class RefusalBody(msgspec.Struct):
    """The body of a refusal.

    Attributes:
        error: Stable error code.
        message: Description for people.
    """

    error: str
    message: str


@implementer(IPushProducer)
class _Backpressure:
    """Pauses reading from the target while the caller reads slowly."""

    def __init__(self):
        self.pause: Callable[[], None] = _do_nothing
        self.resume: Callable[[], None] = _do_nothing

    def pauseProducing(self) -> None:
        self.pause()

    def resumeProducing(self) -> None:
        self.resume()

    def stopProducing(self) -> None:
        """Does nothing: connectionLost handles the caller's disconnect."""


def _do_nothing() -> None:
    """Does nothing."""


class CallerExchange(http.Request):
    """One request of a caller, and the writer of its response.

    Attributes:
        disconnected: Whether nothing more can be sent to the caller.
    """

    def __init__(self, channel, queued=http._QUEUED_SENTINEL):
        super().__init__(channel, queued)
        self.disconnected = False
        self._site: GatewaySite = channel.site
        self._received_at = self._site.seconds()
        self._disconnect_listener: Callable[[], None] | None = None
        self._backpressure: _Backpressure | None = None
        self._too_large = False

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

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Serves a complete request; refuses one whose body is too large."""
        self.method, self.uri, self.clientproto = command, path, version
        if self._too_large:
            limit = self._max_body_bytes()
            message = f"the body exceeds {limit} bytes"
            self.refuse(Refusal(413, "body_too_large", message))
            return
        self._site.link.record(self.content.tell())
        raw = RawRequest(
            command,
            path,
            [
                (name, value)
                for name, values in self.requestHeaders.getAllRawHeaders()
                for value in values
            ],
            self.content.getvalue(),
            self._received_at,
        )
        self._site.serve(self._site.codec.decode_request(raw), self)

    def _max_body_bytes(self) -> int:
        return self._site.max_body_bytes

    def connectionLost(self, reason) -> None:
        """Notifies the listener that the caller has disconnected."""
        self.disconnected = True
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
        if self._site.closing:
            self.channel.persistent = False
            self.setHeader(b"connection", b"close")

    def send(self, data: bytes) -> None:
        """See ResponseWriter."""
        if not self.disconnected:
            self._site.link.record(len(data))
            self.write(data)

    def end(self) -> None:
        """See ResponseWriter."""
        self._disconnect_listener = None
        if not self.disconnected:
            self._remove_backpressure()
            self.finish()

    def abort(self) -> None:
        """See ResponseWriter."""
        self._disconnect_listener = None
        if self.disconnected:
            return
        self._remove_backpressure()
        self.disconnected = True
        # The missing last chunk, or a body shorter than its content-length,
        # shows the caller that the response is truncated.
        self.channel.loseConnection()

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
        if self.disconnected:
            return
        if self._backpressure is None:
            self._backpressure = _Backpressure()
            self.registerProducer(self._backpressure, True)
        self._backpressure.pause, self._backpressure.resume = pause, resume

    def _remove_backpressure(self) -> None:
        if self._backpressure is not None:
            self.unregisterProducer()
            self._backpressure = None


class GatewaySite(GracefulSite):
    """HTTP site that serves callers.

    Attributes:
        codec: Decodes requests.
        serve: Serves a request and writes its response.
        link: Meters the requests and responses.
        max_body_bytes: Most bytes of a request body.
        closing: Whether connections close after the current response.
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
        self.max_body_bytes = CallerLimits().max_body_bytes

    def seconds(self) -> float:
        """Returns the clock time, in seconds."""
        return self._reactor.seconds()

    def set_limits(self, max_body_bytes: int, idle_timeout_s: float) -> None:
        """Sets the limits for callers."""
        self.max_body_bytes = max_body_bytes
        self.timeOut = idle_timeout_s


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
