"""JSON messages between routers, over HTTP."""

import inspect
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from twisted.internet import defer
from twisted.internet.error import ConnectionRefusedError
from twisted.python.failure import Failure
from twisted.web import http, resource, server

from chicorystack import defaults
from chicorystack.decoding import JsonDecoder, decode_json
from chicorystack.errors import ChicoryError
from chicorystack.gateway.peers import PeerRouter
from chicorystack.observe.events import emit
from chicorystack.web.exchange import (
    Address,
    ConnectionPool,
    ExchangeError,
    FetchLimits,
    HttpRequest,
    fetch,
)

ResponseT = TypeVar("ResponseT")


class PeerError(ChicoryError):
    """A message to another router failed.

    Attributes:
        maybe_done: Whether the router may have handled it.
        not_running: Whether its VM refused the connection.
    """

    def __init__(
        self, message: str, maybe_done: bool = True, not_running: bool = False
    ):
        super().__init__(message)
        self.maybe_done = maybe_done
        self.not_running = not_running


class MessageResource(resource.Resource):
    """Decodes and handles one type of message, sent by POST."""

    isLeaf = True

    def __init__(self, message_type: type, handler: Callable[[Any], object]):
        """Serves a message type.

        Args:
            message_type: Type of the message.
            handler: Returns the answer, or an awaitable of it.
        """
        super().__init__()
        self._decoder = JsonDecoder(message_type)
        self._handler = handler

    def render_POST(self, request: server.Request) -> bytes | int:
        """Returns the handler's result as JSON.

        The status is 400 if decoding fails, and 500 after an unexpected
        exception, so that the other router does not wait for an answer.
        """
        try:
            message = self._decoder.decode(request.content.read())
        except msgspec.DecodeError as error:
            emit("routers", "bad_message", reason=str(error))
            request.setResponseCode(http.BAD_REQUEST)
            return b""
        request.setHeader(b"content-type", b"application/json")
        try:
            answer = self._handler(message)
            if not inspect.isawaitable(answer):
                return msgspec.json.encode(answer)
        except Exception:
            _log_failure(Failure())
            request.setResponseCode(http.INTERNAL_SERVER_ERROR)
            return b""
        closed = request.notifyFinish()
        closed.addErrback(lambda _: None)
        answering = defer.ensureDeferred(_answer_later(request, answer, closed))
        answering.addErrback(_refuse_later, request, closed)
        return server.NOT_DONE_YET


async def _answer_later(
    request: server.Request,
    answer: Awaitable[object],
    closed: defer.Deferred[None],
) -> None:
    """Answers a request unless its connection is closed before."""
    body = msgspec.json.encode(await answer)
    if not closed.called:
        request.write(body)
        request.finish()


def _refuse_later(
    failure, request: server.Request, closed: defer.Deferred[None]
) -> None:
    _log_failure(failure)
    if not closed.called:
        request.setResponseCode(http.INTERNAL_SERVER_ERROR)
        request.finish()


def _log_failure(failure) -> None:
    emit("routers", "bug", reason=failure.getTraceback())


class PeerClient:
    """Sends messages to other routers."""

    def __init__(
        self, reactor, peer_by_name: Callable[[], dict[str, PeerRouter]]
    ):
        self._reactor = reactor
        self._peer_by_name = peer_by_name
        self._pool_by_address: dict[Address, ConnectionPool] = {}

    def names(self, data_centre: str | None = None) -> list[str]:
        """Returns the other routers, of one data centre or all."""
        return [
            name
            for name, peer in self._peer_by_name().items()
            if data_centre in (None, peer.data_centre)
        ]

    async def send(
        self,
        router: str,
        path: bytes,
        message: object,
        response_type: type[ResponseT],
        timeout_s: float = defaults.PEER_TIMEOUT_S,
    ) -> ResponseT:
        """Sends a message and returns the decoded response.

        Raises:
            PeerError: If the router has left or sent no valid response.
        """
        peer = self._peer_by_name().get(router)
        if peer is None:
            raise PeerError(f"router {router} has left", maybe_done=False)
        request = HttpRequest(
            b"POST",
            path,
            [(b"host", str(peer.address).encode())],
            msgspec.json.encode(message),
        )
        limits = FetchLimits(timeout_s, timeout_s)
        pool = self._connection_pool(peer.address)
        try:
            response = await fetch(self._reactor, pool, request, limits)
            return decode_json(response.body, response_type)
        except ExchangeError as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            raise PeerError(
                f"{router}: {error}", error.sent, refused
            ) from error
        except msgspec.DecodeError as error:
            raise PeerError(f"{router}: {error}") from error

    def _connection_pool(self, address: Address) -> ConnectionPool:
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = ConnectionPool(
                self._reactor, address, defaults.PEER_TIMEOUT_S
            )
            self._pool_by_address[address] = pool
        return pool


class PeerChannel:
    """Sends the messages of one part of the program, with errors of its own."""

    def __init__(
        self,
        client: PeerClient,
        timeout_s: float,
        translate: Callable[[PeerError], ChicoryError],
    ):
        """Uses a client.

        Args:
            client: Sends the messages.
            timeout_s: Time limit of each message, in seconds.
            translate: Returns the part's error for a failed message.
        """
        self._client = client
        self._timeout_s = timeout_s
        self._translate = translate

    def names(self, data_centre: str | None = None) -> list[str]:
        """See PeerClient."""
        return self._client.names(data_centre)

    async def send(
        self,
        router: str,
        path: bytes,
        message: object,
        response_type: type[ResponseT],
    ) -> ResponseT:
        """Sends a message and returns the decoded response.

        Raises:
            ChicoryError: The part's error, if the router has left or sent no
                valid response.
        """
        try:
            return await self._client.send(
                router, path, message, response_type, self._timeout_s
            )
        except PeerError as error:
            raise self._translate(error) from error
