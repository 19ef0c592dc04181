"""Bounds on what a client's connection may ask of a process.

Header bytes and their number, the time that a request may take to arrive, and
the number of open connections are limited, and every refusal is typed JSON.
"""

import resource

import msgspec
from twisted.internet.protocol import Protocol
from twisted.web import http, server

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.observe.metrics import metrics

encoder = msgspec.json.Encoder()


def raw_refusal(refusal: ApiError) -> bytes:
    """Returns a whole HTTP answer for a client that made no whole request."""
    body = encoder.encode(refusal.reply())
    reason = http.RESPONSES.get(refusal.status, b"Refused").decode()
    head = (
        f"HTTP/1.1 {refusal.status} {reason}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n"
        "connection: close\r\n\r\n"
    )
    return head.encode() + body


class BoundedChannel(http.HTTPChannel):
    """One client's connection.

    A request must have arrived whole within a deadline from its first byte,
    however slowly its client goes on sending. A client that does not read its
    answer is dropped, so that it holds neither a target nor tokens.
    """

    maxHeaders = defaults.MAX_HEADERS
    totalHeadersSize = defaults.MAX_HEADER_BYTES
    _overdue = None
    _stalled = None

    def dataReceived(self, data: bytes) -> None:
        """Takes bytes; the first of a request start its deadline."""
        if self._overdue is None and not self._handlingRequest:
            self._overdue = self.callLater(
                defaults.REQUEST_ARRIVAL_S, self._refuse_slow_request
            )
        http.HTTPChannel.dataReceived(self, data)

    def allContentReceived(self) -> None:
        """Handles a request that has arrived whole."""
        self._cancel_deadline()
        http.HTTPChannel.allContentReceived(self)

    def pauseProducing(self) -> None:
        """Is called by the transport when the client does not read."""
        if self._stalled is None:
            self._stalled = self.callLater(
                defaults.CLIENT_STALL_S, self._drop_stalled_client
            )
        http.HTTPChannel.pauseProducing(self)

    def resumeProducing(self) -> None:
        """Is called by the transport once all has been read."""
        self._cancel_stall()
        http.HTTPChannel.resumeProducing(self)

    def _drop_stalled_client(self) -> None:
        self._stalled = None
        metrics.count("http.stalled_clients")
        self.transport.abortConnection()

    def _cancel_stall(self) -> None:
        if self._stalled is not None and self._stalled.active():
            self._stalled.cancel()
        self._stalled = None

    def connectionLost(self, reason) -> None:
        """Forgets the deadlines."""
        self._cancel_deadline()
        self._cancel_stall()
        http.HTTPChannel.connectionLost(self, reason)

    def _cancel_deadline(self) -> None:
        if self._overdue is not None and self._overdue.active():
            self._overdue.cancel()
        self._overdue = None

    def _refuse_slow_request(self) -> None:
        self._overdue = None
        self.refuse(
            ApiError(
                "request_timeout",
                f"the request did not arrive whole within "
                f"{defaults.REQUEST_ARRIVAL_S:g} s",
                "rejected",
            )
        )

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuses a request or header line that is too long."""
        self._respondToBadRequestAndDisconnect()

    def _respondToBadRequestAndDisconnect(self) -> None:
        """Refuses what is no HTTP request, or has too many header bytes."""
        self.refuse(
            ApiError(
                "bad_request",
                "not a valid HTTP request, or its headers exceed "
                f"{self.totalHeadersSize} bytes or {self.maxHeaders} fields",
                "rejected",
            )
        )

    def refuse(self, refusal: ApiError) -> None:
        """Answers a request that has not arrived whole, and closes."""
        metrics.count(f"http.refused.{refusal.code}")
        self.transport.write(raw_refusal(refusal))
        self.loseConnection()


class FullChannel(Protocol):
    """Refuses a connection, as too many are open."""

    def connectionMade(self) -> None:
        """Answers at once and closes."""
        metrics.count("http.refused_connections")
        refusal = ApiError(
            "overloaded",
            "too many connections are open",
            "rejected",
            defaults.RETRY_AFTER_MS,
        )
        self.transport.write(raw_refusal(refusal))
        self.transport.loseConnection()


class BoundedSite(server.Site):
    """Serves a tree of resources to a bounded number of connections.

    Attributes:
        open_channels: Connections open now.
    """

    noisy = False

    def __init__(self, root, max_connections: int, **options):
        super().__init__(
            root,
            # Bodies are JSON whatever their content type claims.
            parsePOSTFormSubmission=False,
            timeout=defaults.HTTP_IDLE_TIMEOUT_S,
            **options,
        )
        self._max_connections = max_connections
        self.open_channels: set[BoundedChannel] = set()

    def protocol(self) -> BoundedChannel:
        """Returns a channel; HTTP/1.1 only."""
        return _CountedChannel(self)

    def buildProtocol(self, addr) -> Protocol:
        """Returns a channel, or one that refuses where too many are open."""
        if len(self.open_channels) >= self._max_connections:
            return FullChannel()
        return super().buildProtocol(addr)

    def log(self, request: http.Request) -> None:
        """Writes no access log: it would cost more than a decision does."""


class _CountedChannel(BoundedChannel):
    def __init__(self, site: BoundedSite):
        super().__init__()
        self._counting_site = site

    def connectionMade(self) -> None:
        self._counting_site.open_channels.add(self)
        super().connectionMade()

    def connectionLost(self, reason) -> None:
        self._counting_site.open_channels.discard(self)
        super().connectionLost(reason)


def max_connections() -> int:
    """Returns how many clients may be connected to one port.

    Each may need a second connection, to an agent or a keeper, so that it is
    less than half of the file descriptors that the process may open.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    spare = (descriptors - defaults.SPARE_DESCRIPTORS) // 2
    return max(1, min(defaults.MAX_CONNECTIONS, spare))
