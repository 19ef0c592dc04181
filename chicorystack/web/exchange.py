"""HTTP/1.1 client connections on h11 that detect truncated responses.

For a body that is delimited by the end of the connection, the client of
twisted.web does not distinguish a close from a reset, and it discards bytes
that follow a complete response. Here a reset is a failure, and a connection
with surplus bytes is aborted and never reused.
"""

import fcntl
import re
import socket
import struct
import termios
from collections import deque
from collections.abc import Callable
from ipaddress import IPv4Address
from typing import NamedTuple, Protocol

import h11
from twisted.internet import defer, error, interfaces, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.python.failure import Failure
from zope.interface import implementer

from chicorystack import defaults
from chicorystack.decoding import MAX_PORT, parse_whole_number
from chicorystack.errors import ChicoryError
from chicorystack.observe.events import emit

Headers = list[tuple[bytes, bytes]]

# Statuses of responses; see RFC 9110, section 15.
MIN_STATUS = 100
MAX_STATUS = 599
STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}")


class ExchangeError(ChicoryError):
    """An exchange ended without a complete response.

    Attributes:
        sent: Whether any byte of the request may have reached the peer.
    """

    def __init__(self, message: str, sent: bool):
        super().__init__(message)
        self.sent = sent


class InternalExchangeError(ExchangeError):
    """An exception of this program ended an exchange, not the peer.

    It is the `__cause__`.
    """


class HttpRequest(NamedTuple):
    """A request to send.

    Attributes:
        method: Such as b"POST".
        target: Path and query, encoded as in the request line.
        headers: Names and values, without framing headers such as
            `content-length`.
        body: The complete body.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class Address(NamedTuple):
    """Address at which a peer listens.

    Attributes:
        ip: IP address.
        port: TCP port.
    """

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Returns the address of `IP:PORT`.

        Raises:
            ValueError: If it is no IPv4 address, or no port from 1 on that a
                socket can have. A host name would have to be looked up.
        """
        ip, _, port = text.rpartition(":")
        IPv4Address(ip)
        number = parse_whole_number(port)
        if number is None or not 1 <= number <= MAX_PORT:
            raise ValueError(f"no port: {port[:40]!r}")
        return cls(ip, number)

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


class ResponseReceiver(Protocol):
    """Receives the response of one exchange as it arrives."""

    def head_received(self, status: int, headers: Headers) -> None:
        """Receives the status and headers; header names are lowercase."""

    def data_received(self, data: bytes) -> None:
        """Receives a part of the body."""

    def exchange_ended(self, failure: ExchangeError | None) -> None:
        """Called once at the end; failure is None for a complete response."""


@implementer(interfaces.IHalfCloseableProtocol)
class HttpConnection(protocol.Protocol):
    """A connection to a peer that runs one exchange at a time.

    Attributes:
        idle_since: Clock time at which it became idle, in seconds.
        keep_alive_s: Idle time after which it is not reused, in seconds.
        opened_at: Clock time at which it was opened, in seconds.
        closed: Whether it has been closed.
        used: Whether an exchange has completed on it.
    """

    def __init__(self, clock, on_idle: Callable[["HttpConnection"], None]):
        self._clock = clock
        self._on_idle = on_idle
        self._parser = h11.Connection(h11.CLIENT)
        self._receiver: ResponseReceiver | None = None
        self._interim_responses = 0
        self.closed = False
        self._resumption = None
        self.idle_since = 0.0
        self.opened_at = 0.0
        self.keep_alive_s = defaults.KEEP_ALIVE_MAX_S
        self.used = False

    @property
    def usable(self) -> bool:
        """Whether another exchange may start on it."""
        idle_s = self._clock.seconds() - self.idle_since
        return not self.closed and idle_s < self.keep_alive_s

    def connectionMade(self) -> None:
        """Disables Nagle's algorithm and enables TCP keep-alive.

        Small messages are then sent immediately, and dead peers are detected.
        """
        self.opened_at = self._clock.seconds()
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)

    def send_request(
        self, request: HttpRequest, receiver: ResponseReceiver
    ) -> None:
        """Sends a request; the receiver gets the response.

        Raises:
            InternalExchangeError: If the request is not valid HTTP. Nothing
                was sent, and the connection is closed.
        """
        try:
            encoded = self._encode_request(request)
        except Exception as cause:
            # The parser accepts nothing more after an error.
            self.abort()
            raise InternalExchangeError(
                f"the request cannot be sent: {cause!r}", sent=False
            ) from cause
        self._receiver = receiver
        self._interim_responses = 0
        self.transport.write(encoded)

    def _encode_request(self, request: HttpRequest) -> bytes:
        headers = [*request.headers]
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            length = str(len(request.body)).encode()
            headers.append((b"content-length", length))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        parts = [self._parser.send(head)]
        if request.body:
            parts.append(self._parser.send(h11.Data(data=request.body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        return b"".join(parts)

    def release(self) -> None:
        """Returns the unused connection to its pool."""
        self._on_idle(self)

    def pause_reading(self) -> None:
        """Stops reading while the consumer of the response is slow."""
        self._cancel_resumption()
        if not self.closed:
            self.transport.pauseProducing()

    def resume_reading(self) -> None:
        """Continues reading in the next round of the event loop.

        In this round, the loop may already have been told of a reset, and it
        takes that for a clean close if the connection is read from when its
        turn comes.
        """
        self._cancel_resumption()
        self._resumption = self._clock.callLater(0, self._resume_now)

    def _cancel_resumption(self) -> None:
        if self._resumption is not None and self._resumption.active():
            self._resumption.cancel()

    def _resume_now(self) -> None:
        if not self.closed:
            self.transport.resumeProducing()

    def abort(self) -> None:
        """Resets the connection without notifying the receiver."""
        self._receiver = None
        self._abort_transport()

    def dataReceived(self, data: bytes) -> None:
        """Parses bytes; bytes outside an exchange abort the connection."""
        if self._receiver is None:
            self._abort_transport()
            return
        try:
            self._parser.receive_data(data)
            self._handle_events()
        except h11.RemoteProtocolError as cause:
            self._end_exchange(ExchangeError(f"not HTTP: {cause}", sent=True))
        except Exception as cause:
            self._handle_unexpected_error(cause)

    def _handle_unexpected_error(self, cause: Exception) -> None:
        """Ends the exchange, if it has not ended."""
        if self._receiver is None:
            self._abort_transport()
            emit("connections", "bug", reason=Failure(cause).getTraceback())
            return
        message = f"the response was not handled: {cause!r}"
        failure = InternalExchangeError(message, sent=True)
        failure.__cause__ = cause
        self._end_exchange(failure)

    def readConnectionLost(self) -> None:
        """Ends the current exchange after the peer's last byte.

        A peer that closes while it is being sent a request may have stopped in
        the middle of its answer. Its reset can't be told from a clean close
        once that has been read.
        """
        if self._receiver is not None and _is_being_sent(self.transport):
            message = "closed while the request was being sent"
            self._end_exchange(ExchangeError(message, sent=True))
            return
        self._end_after_close()
        self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Does nothing: this side closes both ways at once."""

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        """Ends the current exchange, which a reset leaves incomplete."""
        if self._receiver is None or reason.check(error.ConnectionDone):
            self._end_after_close()
            return
        self.closed = True
        message = f"connection lost: {reason.value}"
        self._end_exchange(ExchangeError(message, sent=True))

    def _end_after_close(self) -> None:
        """Ends the current exchange after a clean close.

        It completes a body without a length.
        """
        self.closed = True
        if self._receiver is None:
            return
        try:
            self._parser.receive_data(b"")
            self._handle_events()
        except h11.RemoteProtocolError as cause:
            self._end_exchange(
                ExchangeError(f"closed early: {cause}", sent=True)
            )
            return
        if self._receiver is not None:
            self._end_exchange(
                ExchangeError("closed without an answer", sent=True)
            )

    def _handle_events(self) -> None:
        """Handles what has arrived; chunks of a body are delivered together.

        Else chunks of a few bytes would take far more memory than they have,
        and hold up the event loop.
        """
        body = bytearray()
        try:
            while self._receiver is not None:
                event = self._parser.next_event()
                if isinstance(event, h11.Data):
                    body += event.data
                    continue
                self._deliver(body)
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                self._handle_event(event)
        finally:
            self._deliver(body)

    def _deliver(self, body: bytearray) -> None:
        """Delivers a part of the body, if there is any, and clears it."""
        data = bytes(body)
        body.clear()
        if data and self._receiver is not None:
            self._receiver.data_received(data)

    def _handle_event(self, event: h11.Event) -> None:
        """Handles all that is no part of a body."""
        if self._receiver is None:
            # It has given up the exchange with the last part of the body.
            return
        if isinstance(event, (h11.Response, h11.InformationalResponse)):
            problem = _head_problem(event)
            if problem is not None:
                self._end_exchange(ExchangeError(problem, sent=True))
                return
        if isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > defaults.MAX_INTERIM_RESPONSES:
                message = "more interim responses than a peer needs"
                self._end_exchange(ExchangeError(message, sent=True))
        elif isinstance(event, h11.Response):
            self._update_keep_alive(event.headers)
            self._receiver.head_received(event.status_code, list(event.headers))
        elif isinstance(event, h11.EndOfMessage):
            self._end_exchange(None)
        elif isinstance(event, h11.ConnectionClosed):
            self._end_exchange(ExchangeError("closed without an answer", True))

    def _update_keep_alive(self, headers) -> None:
        for name, value in headers:
            if name == b"keep-alive":
                self.keep_alive_s = _parse_keep_alive(value)

    def _end_exchange(self, failure: ExchangeError | None) -> None:
        receiver, self._receiver = self._receiver, None
        surplus = self._parser.trailing_data[0]
        reusable = (
            failure is None
            and not self.closed
            and not surplus
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )
        try:
            if reusable:
                self._parser.start_next_cycle()
                self.used = True
                self.idle_since = self._clock.seconds()
                self._on_idle(self)
            else:
                self._abort_transport()
        finally:
            receiver.exchange_ended(failure)

    def _abort_transport(self) -> None:
        if not self.closed:
            self.closed = True
            self.transport.abortConnection()


def _is_being_sent(transport) -> bool:
    """Returns whether the peer has not received all that was sent to it.

    A reset discards the rest.
    """
    handle = transport.getHandle()
    if handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return True
    unsent = fcntl.ioctl(handle, termios.TIOCOUTQ, struct.pack("i", 0))
    return struct.unpack("i", unsent)[0] > 0


def _head_problem(head: h11.Response | h11.InformationalResponse) -> str | None:
    """Returns why a head is not that of one response; None if it is."""
    if _has_two_ends(head.headers):
        return "the response has both a length and chunks"
    if not MIN_STATUS <= head.status_code <= MAX_STATUS:
        return f"the response has the status {head.status_code}"
    if _contains_status_line(head):
        return "the response's head runs into another one"
    return None


def _contains_status_line(
    head: h11.Response | h11.InformationalResponse,
) -> bool:
    """Returns whether a head that was cut off is followed by a further one.

    The status would be that of the first, the rest that of the second.
    """
    texts = [head.reason, *(value for _, value in head.headers)]
    return any(STATUS_LINE.search(text) for text in texts)


def _has_two_ends(headers) -> bool:
    """Returns whether both a length and chunks state where a body ends.

    Different readers may take such a body to end at different places.
    """
    names = {name for name, _ in headers}
    return {b"content-length", b"transfer-encoding"} <= names


def _parse_keep_alive(value: bytes) -> float:
    """Returns how long to keep a connection with this keep-alive header.

    The result, in seconds, is shorter than the peer's timeout, because that
    starts when the peer sends its response. KEEP_ALIVE_MAX_S is the maximum,
    and the default for a header without a timeout.
    """
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        timeout_s = parse_whole_number(seconds.strip())
        if name.strip().lower() == b"timeout" and timeout_s is not None:
            timeout_s *= defaults.KEEP_ALIVE_FRACTION
            return min(timeout_s, defaults.KEEP_ALIVE_MAX_S)
    return defaults.KEEP_ALIVE_MAX_S


class _ConnectionFactory(protocol.Factory):
    """Creates connections that return to their pool."""

    noisy = False

    def __init__(self, clock, on_idle: Callable[[HttpConnection], None]):
        self._clock = clock
        self._on_idle = on_idle

    def buildProtocol(self, _addr) -> HttpConnection:
        return HttpConnection(self._clock, self._on_idle)


class ConnectionPool:
    """Persistent connections to one peer.

    Attributes:
        address: Address of the peer.
        opened: Number of connections opened so far.
    """

    def __init__(self, reactor, address: Address, connect_timeout_s: float):
        self._reactor = reactor
        self.address = address
        self._endpoint = TCP4ClientEndpoint(
            reactor, address.ip, address.port, timeout=connect_timeout_s
        )
        self._factory = _ConnectionFactory(reactor, self._add_idle)
        self._idle: deque[HttpConnection] = deque(
            maxlen=defaults.IDLE_CONNECTIONS_PER_PEER
        )
        self.opened = 0

    async def acquire(self, force_new: bool = False) -> HttpConnection:
        """Returns a connection without an exchange in progress.

        Args:
            force_new: Whether it must be a new connection.

        Raises:
            ExchangeError: If connecting fails for any reason; nothing was
                sent.
        """
        while self._idle and not force_new:
            connection = self._idle.pop()
            if connection.usable:
                return connection
            connection.abort()
        self.opened += 1
        try:
            return await self._endpoint.connect(self._factory)
        except (error.ConnectError, OSError) as cause:
            raise ExchangeError(
                f"{self.address}: {cause!r}", sent=False
            ) from cause
        except Exception as cause:
            # Such as an OverflowError for a port that no socket can have.
            raise InternalExchangeError(
                f"{self.address}: {cause!r}", sent=False
            ) from cause

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().abort()

    def _add_idle(self, connection: HttpConnection) -> None:
        if len(self._idle) == self._idle.maxlen:
            self._idle.popleft().abort()
        self._idle.append(connection)


class HttpResponse(NamedTuple):
    """A complete response.

    Attributes:
        status: HTTP status code.
        headers: Headers; names are lowercase.
        body: The complete body.
    """

    status: int
    headers: Headers
    body: bytes


class FetchLimits(NamedTuple):
    """How long a response may take.

    FETCH_MAX_S and FETCH_MAX_BYTES limit the whole response.

    Attributes:
        first_byte_timeout_s: Longest time until the head, in seconds.
        idle_timeout_s: Longest time without a byte after that, in seconds; a
            large response may take longer over a slow link.
    """

    first_byte_timeout_s: float
    idle_timeout_s: float


class _ResponseCollector:
    """Buffers the response of one exchange, within limits of size and time.

    Attributes:
        done: Fires with the HttpResponse; fails with ExchangeError.
    """

    def __init__(self, clock, connection: HttpConnection, limits: FetchLimits):
        self._clock = clock
        self._connection = connection
        self._limits = limits
        self.done: defer.Deferred[HttpResponse] = defer.Deferred()
        self._status = 0
        self._headers: Headers = []
        self._body = bytearray()
        self._end_by = clock.seconds() + defaults.FETCH_MAX_S
        self._next_byte_by = clock.seconds() + limits.first_byte_timeout_s
        self._timer = clock.callLater(
            limits.first_byte_timeout_s, self._check_timeout
        )

    def head_received(self, status: int, headers: Headers) -> None:
        self._extend_deadline()
        self._status, self._headers = status, headers

    def data_received(self, data: bytes) -> None:
        self._extend_deadline()
        self._body += data
        if len(self._body) > defaults.FETCH_MAX_BYTES:
            self._abort("the response is too large")

    def exchange_ended(self, failure: ExchangeError | None) -> None:
        if self.done.called:
            return
        self.stop_timer()
        if failure is not None:
            self.done.errback(failure)
            return
        response = HttpResponse(self._status, self._headers, bytes(self._body))
        self.done.callback(response)

    def stop_timer(self) -> None:
        """Cancels the timer."""
        if self._timer.active():
            self._timer.cancel()

    def _extend_deadline(self) -> None:
        idle_until = self._clock.seconds() + self._limits.idle_timeout_s
        self._next_byte_by = min(idle_until, self._end_by)

    def _check_timeout(self) -> None:
        left_s = self._next_byte_by - self._clock.seconds()
        if left_s > 0:
            self._timer = self._clock.callLater(left_s, self._check_timeout)
            return
        self._abort("no answer in time")

    def _abort(self, reason: str) -> None:
        self._connection.abort()
        self.exchange_ended(ExchangeError(reason, sent=True))


async def fetch(
    reactor, pool: ConnectionPool, request: HttpRequest, limits: FetchLimits
) -> HttpResponse:
    """Sends a request and returns the complete response.

    Raises:
        ExchangeError: If a limit was exceeded or the connection was lost.
    """
    connection = await pool.acquire()
    collector = _ResponseCollector(reactor, connection, limits)
    try:
        connection.send_request(request, collector)
        return await collector.done
    finally:
        collector.stop_timer()
