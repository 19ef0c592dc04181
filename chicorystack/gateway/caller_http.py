"""The callers' side over HTTP: whole requests in, answers out in parts."""

import io
from collections.abc import Callable
from typing import NamedTuple, Protocol

import msgspec
from twisted.internet import error
from twisted.internet.interfaces import IPushProducer
from twisted.web import http
from zope.interface import implementer

from chicorystack.gateway.messages import (
    CallerReply,
    CallerRequest,
    Refusal,
)
from chicorystack.gateway.model import CallerLimits
from chicorystack.web.channel import max_connections
from chicorystack.web.exchange import Address, Headers
from chicorystack.web.graceful import GracefulSite
from chicorystack.web.server import ListenError

_encoder = msgspec.json.Encoder()


class RawRequest(NamedTuple):
    """A request as it arrived.

    Attributes:
        method: Method.
        target: Path and query.
        headers: Names and values.
        body: The whole body.
        received_at: Time on the clock when it began to arrive.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float


class CallerDialect(Protocol):
    """How callers speak."""

    def decode(self, raw: RawRequest) -> CallerRequest:
        """Returns what a request says."""


class RefusalBody(msgspec.Struct):
    """The body of a refusal.

    Attributes:
        error: Why, as a short stable word.
        message: The same for people.
    """

    error: str
    message: str


@implementer(IPushProducer)
class _Throttle:
    """Passes a slow caller's pauses on to the target."""

    def __init__(self):
        self.pause: Callable[[], None] = _do_nothing
        self.resume: Callable[[], None] = _do_nothing

    def pauseProducing(self) -> None:
        self.pause()

    def resumeProducing(self) -> None:
        self.resume()

    def stopProducing(self) -> None:
        """Does nothing: the request hears of its caller's end itself."""


def _do_nothing() -> None:
    """Does nothing."""


class CallerExchange(http.Request):
    """One request of a caller, and the reply to it.

    Attributes:
        gone: Whether nothing can be sent to the caller any more.
    """

    def __init__(self, channel, queued=http._QUEUED_SENTINEL):
        super().__init__(channel, queued)
        self.gone = False
        self._site: GatewaySite = channel.site
        self._received_at = self._site.seconds()
        self._gone_listener: Callable[[], None] | None = None
        self._throttle: _Throttle | None = None
        self._too_large = False

    def gotLength(self, length: int | None) -> None:
        """Prepares for a body; in memory always, as VMs have no disks."""
        self.content = io.BytesIO()
        self._too_large = length is not None and length > self._most_bytes()

    def parseCookies(self) -> None:
        """Does nothing: cookies are passed on as they are."""

    def handleContentChunk(self, data: bytes) -> None:
        """Keeps a part of the body, while the body is within the limit."""
        if self.content.tell() + len(data) > self._most_bytes():
            self._too_large = True
        if not self._too_large:
            self.content.write(data)

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Serves a request that has arrived whole."""
        self.method, self.uri, self.clientproto = command, path, version
        if self._too_large:
            limit = self._most_bytes()
            message = f"the body exceeds {limit} bytes"
            self.refuse(Refusal(413, "body_too_large", message))
            return
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
        self._site.serve(self._site.dialect.decode(raw), self)

    def _most_bytes(self) -> int:
        return self._site.body_bytes

    def connectionLost(self, reason) -> None:
        """Tells that the caller has left."""
        self.gone = True
        listener, self._gone_listener = self._gone_listener, None
        if listener is not None:
            listener()
        super().connectionLost(reason)

    def on_gone(self, listener: Callable[[], None]) -> None:
        """See CallerReply."""
        self._gone_listener = listener

    def start(self, status: int, headers: Headers) -> None:
        """See CallerReply."""
        if self.gone:
            return
        self.setResponseCode(status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        if self._site.closing:
            self.channel.persistent = False
            self.setHeader(b"connection", b"close")

    def send(self, data: bytes) -> None:
        """See CallerReply."""
        if not self.gone:
            self.write(data)

    def end(self) -> None:
        """See CallerReply."""
        self._gone_listener = None
        if not self.gone:
            self._drop_throttle()
            self.finish()

    def break_off(self) -> None:
        """See CallerReply."""
        self._gone_listener = None
        if self.gone:
            return
        self._drop_throttle()
        self.gone = True
        # Without the last chunk, or short of its length, an answer is cut.
        self.channel.loseConnection()

    def refuse(self, refusal: Refusal) -> None:
        """See CallerReply."""
        body = _encoder.encode(RefusalBody(refusal.reason, refusal.message))
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

    def throttle(
        self, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        """See CallerReply."""
        if self.gone:
            return
        if self._throttle is None:
            self._throttle = _Throttle()
            self.registerProducer(self._throttle, True)
        self._throttle.pause, self._throttle.resume = pause, resume

    def _drop_throttle(self) -> None:
        if self._throttle is not None:
            self.unregisterProducer()
            self._throttle = None


class GatewaySite(GracefulSite):
    """Serves callers.

    Attributes:
        dialect: How they speak.
        serve: Takes each request with its reply.
        body_bytes: Most bytes of a body.
        closing: Whether connections close after the answer under way.
    """

    def __init__(
        self,
        reactor,
        dialect: CallerDialect,
        serve: Callable[[CallerRequest, CallerReply], None],
    ):
        super().__init__(
            None,
            max_connections(),
            requestFactory=CallerExchange,
            reactor=reactor,
        )
        self._reactor = reactor
        self.dialect = dialect
        self.serve = serve
        self.body_bytes = CallerLimits().body_bytes

    def seconds(self) -> float:
        """Returns the time on the clock."""
        return self._reactor.seconds()

    def set_limits(self, body_bytes: int, idle_s: float) -> None:
        """Takes over bounds on callers from a configuration."""
        self.body_bytes = body_bytes
        self.timeOut = idle_s


def listen_for_callers(reactor, site: GatewaySite, address: Address):
    """Returns the listening port; raises ListenError."""
    try:
        return reactor.listenTCP(
            address.port, site, interface=address.ip, backlog=512
        )
    except error.CannotListenError as failure:
        raise ListenError(f"can't listen on {address}: {failure}") from failure
