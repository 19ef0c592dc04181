"""HTTP server connections with limits on the resources a client can use.

The size and number of headers, the time a request may take to arrive and the
number of open connections are limited. Every error response is typed JSON.
"""

import resource

import msgspec
from twisted.internet.protocol import Protocol
from twisted.web import http, server

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.observe.metrics import metrics

encoder = msgspec.json.Encoder()


def encode_error_response(api_error: ApiError) -> bytes:
    """Returns an error as a complete HTTP response that ends the connection."""
    body = encoder.encode(api_error.to_reply())
    reason = http.RESPONSES.get(api_error.status, b"Refused").decode()
    head = (
        f"HTTP/1.1 {api_error.status} {reason}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n"
        "connection: close\r\n\r\n"
    )
    return head.encode() + body


class BoundedChannel(http.HTTPChannel):
    """A client's connection.

    A request must arrive completely within a time limit from its first byte,
    even if the client keeps sending. A client that does not read its response
    is disconnected, so that it does not hold a target or tokens.
    """

    maxHeaders = defaults.MAX_HEADERS
    totalHeadersSize = defaults.MAX_HEADER_BYTES
    _arrival_timer = None
    _stall_timer = None

    def dataReceived(self, data: bytes) -> None:
        """Receives bytes; the first byte of a request starts its timer."""
        if self._arrival_timer is None and not self._handlingRequest:
            self._arrival_timer = self.callLater(
                defaults.REQUEST_ARRIVAL_TIMEOUT_S, self._refuse_slow_request
            )
        http.HTTPChannel.dataReceived(self, data)

    def allContentReceived(self) -> None:
        """Handles a request that has arrived completely."""
        self._cancel_arrival_timer()
        http.HTTPChannel.allContentReceived(self)

    def pauseProducing(self) -> None:
        """Called by the transport when the client reads too slowly."""
        if self._stall_timer is None:
            self._stall_timer = self.callLater(
                defaults.CLIENT_STALL_TIMEOUT_S, self._disconnect_stalled_client
            )
        http.HTTPChannel.pauseProducing(self)

    def resumeProducing(self) -> None:
        """Called by the transport once its send buffer is empty."""
        self._cancel_stall_timer()
        http.HTTPChannel.resumeProducing(self)

    def _disconnect_stalled_client(self) -> None:
        self._stall_timer = None
        metrics.count("http.stalled_clients")
        self.transport.abortConnection()

    def _cancel_stall_timer(self) -> None:
        if self._stall_timer is not None and self._stall_timer.active():
            self._stall_timer.cancel()
        self._stall_timer = None

    def connectionLost(self, reason) -> None:
        """Cancels the timers."""
        self._cancel_arrival_timer()
        self._cancel_stall_timer()
        http.HTTPChannel.connectionLost(self, reason)

    def _cancel_arrival_timer(self) -> None:
        if self._arrival_timer is not None and self._arrival_timer.active():
            self._arrival_timer.cancel()
        self._arrival_timer = None

    def _refuse_slow_request(self) -> None:
        self._arrival_timer = None
        self.refuse(
            ApiError(
                "request_timeout",
                f"the request did not arrive completely within "
                f"{defaults.REQUEST_ARRIVAL_TIMEOUT_S:g} s",
                "rejected",
            )
        )

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuses a request line or header line that is too long."""
        self._respondToBadRequestAndDisconnect()

    def _respondToBadRequestAndDisconnect(self) -> None:
        """Refuses a request that is invalid or exceeds the header limits."""
        self.refuse(
            ApiError(
                "bad_request",
                "not a valid HTTP request, or its headers exceed "
                f"{self.totalHeadersSize} bytes or {self.maxHeaders} fields",
                "rejected",
            )
        )

    def refuse(self, api_error: ApiError) -> None:
        """Sends an error response to an incomplete request and closes."""
        metrics.count(f"http.refused.{api_error.code}")
        self.transport.write(encode_error_response(api_error))
        self.loseConnection()


class RefusingProtocol(Protocol):
    """Refuses a connection because too many are open."""

    def connectionMade(self) -> None:
        """Sends an error response immediately and closes."""
        metrics.count("http.refused_connections")
        api_error = ApiError(
            "overloaded",
            "too many connections are open",
            "rejected",
            defaults.RETRY_AFTER_MS,
        )
        self.transport.write(encode_error_response(api_error))
        self.transport.loseConnection()


class BoundedSite(server.Site):
    """Serves a tree of resources over a limited number of connections.

    Attributes:
        open_channels: Connections that are open.
    """

    noisy = False

    def __init__(self, root, max_connections: int, **options):
        super().__init__(
            root,
            # Bodies are JSON, whatever their content type is.
            parsePOSTFormSubmission=False,
            timeout=defaults.HTTP_IDLE_TIMEOUT_S,
            **options,
        )
        self._max_connections = max_connections
        self.open_channels: set[BoundedChannel] = set()

    def protocol(self) -> BoundedChannel:
        """Returns a channel for HTTP/1.1; HTTP/2 is not supported."""
        return TrackedChannel(self)

    def buildProtocol(self, addr) -> Protocol:
        """Returns a channel, or a refusing protocol above the limit."""
        if len(self.open_channels) >= self._max_connections:
            return RefusingProtocol()
        return super().buildProtocol(addr)

    def log(self, request: http.Request) -> None:
        """Writes no access log: it would cost more than a routing decision."""


class TrackedChannel(BoundedChannel):
    """A client's connection that its site knows while it is open."""

    def __init__(self, site: BoundedSite):
        super().__init__()
        self._tracking_site = site

    def connectionMade(self) -> None:
        """Registers the connection with its site."""
        self._tracking_site.open_channels.add(self)
        super().connectionMade()

    def connectionLost(self, reason) -> None:
        """Removes the connection from its site."""
        self._tracking_site.open_channels.discard(self)
        super().connectionLost(reason)


def max_connections() -> int:
    """Returns the maximum number of client connections per port.

    A request may need a second connection, to an agent or a keeper, so the
    limit is less than half of the process's file descriptor limit.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    spare = (descriptors - defaults.RESERVED_DESCRIPTORS) // 2
    return max(1, min(defaults.MAX_CONNECTIONS, spare))
