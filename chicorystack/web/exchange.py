"""HTTP/1.1 client connections with exact ends of answers, on h11 and twisted.

twisted.web's own client gives a body that ends with its connection the same
end whether the peer closed or reset it, and drops bytes that follow a whole
answer. Here a reset is a failure, and a connection with surplus bytes is
closed and never used again.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

import h11
from twisted.internet import defer, error, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint

from chicorystack import defaults
from chicorystack.errors import ChicoryError

Headers = list[tuple[bytes, bytes]]


class ExchangeError(ChicoryError):
    """An exchange ended without a whole answer.

    Attributes:
        sent: Whether any byte of the request may have reached the peer.
    """

    def __init__(self, message: str, sent: bool):
        super().__init__(message)
        self.sent = sent


class HttpRequest(NamedTuple):
    """A request to send.

    Attributes:
        method: Such as b"POST".
        target: Path and query as on the wire.
        headers: Names and values, without framing.
        body: The whole body.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class Address(NamedTuple):
    """Where a peer listens.

    Attributes:
        ip: Address.
        port: Port.
    """

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Returns the address of `IP:PORT`; raises ValueError."""
        ip, _, port = text.rpartition(":")
        return cls(ip, int(port))

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


class AnswerReceiver(Protocol):
    """Takes the answer of one exchange, as it comes."""

    def head_received(self, status: int, headers: Headers) -> None:
        """Takes status and headers; names are lowercase."""

    def data_received(self, data: bytes) -> None:
        """Takes a part of the body."""

    def exchange_ended(self, failure: ExchangeError | None) -> None:
        """Is called once: None for a whole answer, else why it is not."""


class HttpConnection(protocol.Protocol):
    """One connection; runs one exchange after the other.

    Attributes:
        idle_since: Time on the clock since which it has been idle.
        used: Whether it has carried an exchange before.
    """

    def __init__(self, clock, on_idle: Callable[["HttpConnection"], None]):
        self._clock = clock
        self._on_idle = on_idle
        self._parser = h11.Connection(h11.CLIENT)
        self._receiver: AnswerReceiver | None = None
        self._closed = False
        self.idle_since = 0.0
        self.keep_alive_s = defaults.PEER_KEEP_ALIVE_S
        self.used = False

    @property
    def usable(self) -> bool:
        """Whether another exchange may begin on it."""
        idle_s = self._clock.seconds() - self.idle_since
        return not self._closed and idle_s < self.keep_alive_s

    def connectionMade(self) -> None:
        """Sends small messages at once and notices dead peers."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)

    def run(self, request: HttpRequest, receiver: AnswerReceiver) -> None:
        """Sends a request, whose answer goes to the receiver."""
        self._receiver = receiver
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
        self.transport.write(b"".join(parts))

    def give_back(self) -> None:
        """Returns it to its pool unused."""
        self._on_idle(self)

    def pause(self) -> None:
        """Stops reading, as the answer's reader is slow."""
        if not self._closed:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Reads on."""
        if not self._closed:
            self.transport.resumeProducing()

    def abort(self) -> None:
        """Resets the connection; the receiver hears nothing more."""
        self._receiver = None
        self._close()

    def dataReceived(self, data: bytes) -> None:
        """Parses bytes; those that belong to no exchange close it."""
        if self._receiver is None:
            self._close()
            return
        try:
            self._parser.receive_data(data)
            self._handle_events()
        except h11.RemoteProtocolError as cause:
            self._end(ExchangeError(f"not HTTP: {cause}", sent=True))

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        """Ends the exchange under way; a clean end may complete its body."""
        self._closed = True
        if self._receiver is None:
            return
        if not reason.check(error.ConnectionDone):
            message = f"connection lost: {reason.value}"
            self._end(ExchangeError(message, sent=True))
            return
        try:
            self._parser.receive_data(b"")
            self._handle_events()
        except h11.RemoteProtocolError as cause:
            self._end(ExchangeError(f"closed early: {cause}", sent=True))
            return
        if self._receiver is not None:
            self._end(ExchangeError("closed without an answer", sent=True))

    def _handle_events(self) -> None:
        while self._receiver is not None:
            event = self._parser.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Response):
                self._note_keep_alive(event.headers)
                self._receiver.head_received(
                    event.status_code, list(event.headers)
                )
            elif isinstance(event, h11.Data):
                self._receiver.data_received(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._end(None)
            elif isinstance(event, h11.ConnectionClosed):
                self._end(ExchangeError("closed without an answer", True))

    def _note_keep_alive(self, headers) -> None:
        for name, value in headers:
            if name == b"keep-alive":
                self.keep_alive_s = _keep_alive_s(value)

    def _end(self, failure: ExchangeError | None) -> None:
        receiver, self._receiver = self._receiver, None
        surplus = self._parser.trailing_data[0]
        reusable = (
            failure is None
            and not self._closed
            and not surplus
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )
        if reusable:
            self._parser.start_next_cycle()
            self.used = True
            self.idle_since = self._clock.seconds()
            self._on_idle(self)
        else:
            self._close()
        receiver.exchange_ended(failure)

    def _close(self) -> None:
        if not self._closed:
            self._closed = True
            self.transport.abortConnection()


def _keep_alive_s(value: bytes) -> float:
    """Returns how long to keep a connection whose peer says so.

    The peer's time starts when its answer leaves, so a margin is kept.
    """
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and seconds.strip().isdigit():
            told_s = float(seconds) * defaults.KEEP_ALIVE_PART
            return min(told_s, defaults.PEER_KEEP_ALIVE_S)
    return defaults.PEER_KEEP_ALIVE_S


class _ConnectionFactory(protocol.Factory):
    """Makes connections that return to their pool."""

    noisy = False

    def __init__(self, clock, on_idle: Callable[[HttpConnection], None]):
        self._clock = clock
        self._on_idle = on_idle

    def buildProtocol(self, _addr) -> HttpConnection:
        return HttpConnection(self._clock, self._on_idle)


class ConnectionPool:
    """Connections to one peer, kept between exchanges.

    Attributes:
        opened: Connections opened so far.
    """

    def __init__(self, reactor, address: Address, connect_timeout_s: float):
        self._reactor = reactor
        self.address = address
        self._endpoint = TCP4ClientEndpoint(
            reactor, address.ip, address.port, timeout=connect_timeout_s
        )
        self._factory = _ConnectionFactory(reactor, self._keep)
        self._idle: deque[HttpConnection] = deque(
            maxlen=defaults.IDLE_CONNECTIONS_PER_PEER
        )
        self.opened = 0

    async def connection(self, fresh: bool = False) -> HttpConnection:
        """Returns a connection on which no exchange runs.

        Args:
            fresh: Whether it must be a new one.

        Raises:
            ExchangeError: If none can be made; nothing was sent.
        """
        while self._idle and not fresh:
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

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().abort()

    def _keep(self, connection: HttpConnection) -> None:
        if len(self._idle) == self._idle.maxlen:
            self._idle.popleft().abort()
        self._idle.append(connection)


class WholeAnswer(NamedTuple):
    """An answer that has been read to its end.

    Attributes:
        status: Status.
        headers: Headers; names are lowercase.
        body: The whole body.
    """

    status: int
    headers: Headers
    body: bytes


class _Collector:
    """Collects the answer of one exchange.

    Attributes:
        done: Fires with the WholeAnswer; fails with ExchangeError.
        answering: Whether the answer has begun.
        heard_at: Time on the clock when bytes came last, or of the start.
    """

    def __init__(self, clock):
        self._clock = clock
        self.answering = False
        self.heard_at = clock.seconds()
        self.done: defer.Deferred[WholeAnswer] = defer.Deferred()
        self._status = 0
        self._headers: Headers = []
        self._body: list[bytes] = []

    def head_received(self, status: int, headers: Headers) -> None:
        self.answering = True
        self.heard_at = self._clock.seconds()
        self._status, self._headers = status, headers

    def data_received(self, data: bytes) -> None:
        self.heard_at = self._clock.seconds()
        self._body.append(data)

    def exchange_ended(self, failure: ExchangeError | None) -> None:
        if self.done.called:
            return
        if failure is not None:
            self.done.errback(failure)
            return
        body = b"".join(self._body)
        self.done.callback(WholeAnswer(self._status, self._headers, body))


async def fetch(
    reactor,
    pool: ConnectionPool,
    request: HttpRequest,
    first_byte_s: float,
    silence_s: float,
) -> WholeAnswer:
    """Sends a request and returns the whole answer.

    Args:
        reactor: The reactor.
        pool: Connections to the peer.
        request: The request.
        first_byte_s: Longest time to the first byte of the answer.
        silence_s: Longest time without a byte from then on. A large answer
            over a slow link takes as long as it takes.

    Raises:
        ExchangeError: If the peer was silent for too long, or broke off.
    """
    connection = await pool.connection()
    collector = _Collector(reactor)
    connection.run(request, collector)

    def look() -> None:
        allowed_s = silence_s if collector.answering else first_byte_s
        left_s = collector.heard_at + allowed_s - reactor.seconds()
        if left_s > 0:
            watch.append(reactor.callLater(left_s, look))
            return
        connection.abort()
        collector.exchange_ended(ExchangeError("no answer in time", sent=True))

    watch = [reactor.callLater(first_byte_s, look)]
    try:
        return await collector.done
    finally:
        if watch[-1].active():
            watch[-1].cancel()
