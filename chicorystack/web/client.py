"""An HTTP client for typed JSON messages, on twisted.web's connection pool."""

from typing import TypeVar

import msgspec
from twisted.internet import defer, error, protocol
from twisted.web import client, http_headers
from twisted.web.client import ResponseDone
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from chicorystack import defaults
from chicorystack.decoding import decode_json
from chicorystack.errors import ApiError, ChicoryError, ErrorReply
from chicorystack.web.server import FLEET_TOKEN_HEADER

ReplyT = TypeVar("ReplyT")

client._HTTP11ClientFactory.noisy = False


class BodyTooLargeError(ChicoryError):
    """A response has more bytes than are read of it."""


class UnreachableError(ChicoryError):
    """The peer is unreachable, or sent no valid response in time.

    Attributes:
        sent: Whether the request may have reached the peer.
    """

    def __init__(self, message: str, sent: bool = True):
        super().__init__(message)
        self.sent = sent


@implementer(IBodyProducer)
class BytesProducer:
    """Sends a request body that is in memory."""

    def __init__(self, body: bytes):
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer):
        """Writes the complete body at once."""
        consumer.write(self.body)
        return defer.succeed(None)

    def pauseProducing(self):
        """Does nothing: the body has been written completely."""

    def stopProducing(self):
        """Does nothing: the body has been written completely."""

    def resumeProducing(self):
        """Does nothing: the body has been written completely."""


class _BodyCollector(protocol.Protocol):
    """Collects a body up to a limit.

    Attributes:
        done: Fires with the complete body; fails if it has no end that its
            head states, or is too large.
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._body = bytearray()
        self.done: defer.Deferred[bytes] = defer.Deferred()

    def dataReceived(self, data: bytes) -> None:
        """Keeps a part of the body."""
        if self.done.called:
            return
        self._body += data
        if len(self._body) > self._max_bytes:
            self.done.errback(BodyTooLargeError("the body is too large"))
            self.transport.loseConnection()

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        """Ends the body."""
        if self.done.called:
            return
        if reason.check(ResponseDone):
            self.done.callback(bytes(self._body))
        else:
            self.done.errback(reason)


def read_body(
    response, max_bytes: int = defaults.MAX_BUFFERED_RESPONSE_BYTES
) -> "defer.Deferred[bytes]":
    """Returns a response's body; fails if it is incomplete or too large."""
    collector = _BodyCollector(max_bytes)
    response.deliverBody(collector)
    return collector.done


def make_http_agent(reactor, persistent: bool = True) -> client.Agent:
    """Returns an HTTP client.

    Args:
        reactor: The reactor.
        persistent: Whether connections are kept open between requests. On
            those of peers whose responses bear no ID of their request, a late
            response would be taken for that of the next one.
    """
    pool = client.HTTPConnectionPool(reactor, persistent=persistent)
    pool.maxPersistentPerHost = defaults.CONNECTIONS_PER_HOST
    pool.retryAutomatically = False
    return client.Agent(
        reactor, connectTimeout=defaults.CONNECT_TIMEOUT_S, pool=pool
    )


class JsonClient:
    """Exchanges typed JSON messages with the platform and with peers."""

    def __init__(self, reactor, fleet_token: str = ""):
        self._reactor = reactor
        self._http = make_http_agent(reactor)
        self._headers = http_headers.Headers(
            {"content-type": ["application/json"]}
        )
        if fleet_token:
            self._headers.addRawHeader(FLEET_TOKEN_HEADER, fleet_token)

    async def post(
        self,
        url: str,
        message: object,
        reply_type: type[ReplyT],
        timeout_s: float = defaults.CONTROL_TIMEOUT_S,
    ) -> ReplyT:
        """Posts a message and returns the decoded reply.

        Raises:
            UnreachableError: If no valid response came in time.
            ApiError: If the peer responded with an error.
        """
        body = BytesProducer(msgspec.json.encode(message))
        return await self._exchange(b"POST", url, body, reply_type, timeout_s)

    async def get(
        self,
        url: str,
        reply_type: type[ReplyT],
        timeout_s: float = defaults.CONTROL_TIMEOUT_S,
    ) -> ReplyT:
        """Gets a URL and returns the decoded reply; raises as `post` does."""
        return await self._exchange(b"GET", url, None, reply_type, timeout_s)

    async def _exchange(self, method, url, body, reply_type, timeout_s):
        pending = defer.ensureDeferred(self._send(method, url, body))
        pending.addTimeout(timeout_s, self._reactor)
        try:
            status, payload = await pending
        except error.ConnectError as cause:
            raise UnreachableError(f"{url}: {cause}", sent=False) from cause
        except Exception as cause:
            raise UnreachableError(f"{url}: {cause!r}") from cause
        return decode_reply(url, status, payload, reply_type)

    async def _send(self, method, url, body) -> tuple[int, bytes]:
        response = await self._http.request(
            method, url.encode(), self._headers, body
        )
        payload = await read_body(response, defaults.FETCH_MAX_BYTES)
        return response.code, payload


def decode_reply(
    url: str, status: int, payload: bytes, reply_type: type[ReplyT]
) -> ReplyT:
    """Decodes a reply; a typed error response is raised as ApiError.

    Raises:
        UnreachableError: If the reply is not a message of the expected type.
        ApiError: If the peer responded with an error.
    """
    try:
        if status == 200:
            return decode_json(payload, reply_type)
        error_body = decode_json(payload, ErrorReply)["error"]
    except msgspec.DecodeError as cause:
        raise UnreachableError(f"{url}: status {status}: {cause}") from cause
    raise ApiError(
        error_body["code"],
        error_body["message"],
        error_body.get("outcome"),
        error_body.get("retry_after_ms"),
    )
