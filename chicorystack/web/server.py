"""JSON endpoints and size limits on twisted.web."""

import hmac
import io
from collections.abc import Awaitable, Callable
from typing import Generic, Protocol, TypeVar

import msgspec
from twisted.internet import defer, error
from twisted.internet.interfaces import IReactorTCP
from twisted.web import http, resource, server

from chicorystack import defaults
from chicorystack.errors import ApiError, UserError
from chicorystack.observe.logs import part_logger
from chicorystack.web.channel import max_connections
from chicorystack.web.graceful import GracefulSite

log = part_logger("web")
encoder = msgspec.json.Encoder()

BodyT = TypeVar("BodyT")
FLEET_TOKEN_HEADER = "chicory-fleet-token"


class ListenError(UserError):
    """The address or port is not to be had."""


class LimitedRequest(server.Request):
    """A request whose body may not exceed the fixed limit.

    A body that is too large is read to its end and dropped, so that the
    client gets the refusal instead of a reset connection.
    """

    _too_large = False

    def gotLength(self, length: int | None) -> None:
        """Prepares for a body; in memory always, as VMs have no disks."""
        self.content = io.BytesIO()
        if length is None:
            return
        self._too_large = length > defaults.MAX_BODY_BYTES
        if length > defaults.MAX_DROPPED_BODY_BYTES:
            self.channel.refuse(_body_too_large())

    def handleContentChunk(self, data: bytes) -> None:
        """Keeps a part of the body, while the body is within the limit."""
        if self.content.tell() + len(data) > defaults.MAX_BODY_BYTES:
            self._too_large = True
        if not self._too_large:
            super().handleContentChunk(data)

    def process(self) -> None:
        """Refuses a body that was too large; else serves the request."""
        if self.channel.site.closing:
            self.setHeader(b"connection", b"close")
            self.channel.persistent = False
        if not self._too_large:
            super().process()
            return
        send_error(self, _body_too_large())

    def processingFailed(self, reason) -> None:
        """Answers a failure of the program itself with a typed refusal."""
        _answer_failure(reason, self)


def _body_too_large() -> ApiError:
    message = f"the body exceeds {defaults.MAX_BODY_BYTES} bytes"
    return ApiError("body_too_large", message, "rejected")


def listen(
    reactor: IReactorTCP, root: resource.Resource, address: str, port: int
):
    """Serves root over HTTP and returns the listening port."""
    site = GracefulSite(
        root, max_connections(), requestFactory=LimitedRequest, reactor=reactor
    )
    try:
        return reactor.listenTCP(port, site, interface=address, backlog=512)
    except error.CannotListenError as failure:
        raise ListenError(
            f"can't listen on {address}:{port}: {failure.socketError}"
        ) from failure


def header(request: server.Request, name: str) -> str | None:
    """Returns a request header as text, or None where it is absent.

    Raises:
        ApiError: `bad_request` where the header is not UTF-8.
    """
    value = request.getHeader(name.encode())
    if value is None:
        return None
    try:
        return value.decode()
    except UnicodeDecodeError as cause:
        message = f"the header {name} is not UTF-8"
        raise ApiError("bad_request", message, "rejected") from cause


def send_json(request: server.Request, status: int, message: object) -> None:
    """Answers with a JSON message."""
    body = encoder.encode(message)
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()


def send_error(request: server.Request, refusal: ApiError) -> None:
    """Answers with a typed refusal and, where it helps, Retry-After."""
    if refusal.retry_after_ms is not None:
        seconds = max(1, -(-refusal.retry_after_ms // 1000))
        request.setHeader(b"retry-after", str(seconds).encode())
    send_json(request, refusal.status, refusal.reply())


def read_body(request: server.Request, body_type: type[BodyT]) -> BodyT:
    """Decodes the request's JSON body.

    Raises:
        ApiError: `bad_request` with the place of the first fault.
    """
    request.content.seek(0)
    try:
        return msgspec.json.decode(request.content.read(), type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as cause:
        raise ApiError("bad_request", f"body: {cause}", "rejected") from cause


def run_handler(request: server.Request, coroutine: Awaitable[object]) -> int:
    """Runs a coroutine that answers the request; errors become JSON.

    The coroutine is cancelled when the client goes away.
    """
    running = defer.ensureDeferred(coroutine)
    client_gone = request.notifyFinish()
    client_gone.addErrback(lambda _: running.cancel())
    running.addErrback(_answer_failure, request)
    return server.NOT_DONE_YET


def _answer_failure(failure, request: server.Request) -> None:
    if request.finished or request._disconnected:
        return
    if failure.check(ApiError):
        send_error(request, failure.value)
        return
    log.opt(exception=failure.value).error("request handler failed")
    if request.startedWriting:
        request.transport.abortConnection()
        return
    send_error(request, ApiError("internal", "internal error"))


class Authorizer(Protocol):
    """Decides whether a request may reach an endpoint."""

    def __call__(self, request: server.Request) -> None:
        """Raises ApiError where the request may not pass."""


def fleet_authorizer(fleet_token: str) -> Authorizer:
    """Returns an authorizer for the fleet's own processes and operators."""

    def authorize(request: server.Request) -> None:
        shown = header(request, FLEET_TOKEN_HEADER) or ""
        if not hmac.compare_digest(shown.encode(), fleet_token.encode()):
            raise ApiError("forbidden", "the fleet token is missing or wrong")

    return authorize


def open_to_all(request: server.Request) -> None:
    """Lets every request pass."""


def refuse_method(request: server.Request, allowed: str) -> int:
    """Refuses a method that the path does not offer."""
    request.setHeader(b"allow", allowed.encode())
    send_error(
        request,
        ApiError("method_not_allowed", f"use {allowed} here", "rejected"),
    )
    return server.NOT_DONE_YET


class JsonEndpoint(resource.Resource, Generic[BodyT]):
    """One URL that takes a typed JSON message and answers with another.

    GET requests pass their query arguments as the message's fields.
    """

    isLeaf = True

    def __init__(
        self,
        body_type: type[BodyT],
        handler: Callable[[BodyT], Awaitable[object]],
        authorize: Authorizer,
    ):
        super().__init__()
        self._body_type = body_type
        self._handler = handler
        self._authorize = authorize

    def render(self, request: server.Request) -> int:
        """Handles a message sent as the body or as query arguments."""
        read = READER_BY_METHOD.get(request.method)
        if read is None:
            return refuse_method(request, "GET or POST")
        return run_handler(request, self._handle(request, read))

    async def _handle(self, request: server.Request, read) -> None:
        self._authorize(request)
        message = read(request, self._body_type)
        reply = await self._handler(message)
        send_json(request, http.OK, reply)


def read_query(request: server.Request, body_type: type[BodyT]) -> BodyT:
    """Decodes the request's query arguments.

    Raises:
        ApiError: `bad_request` where an argument is missing or wrong.
    """
    fields = {
        name.decode("latin-1"): values[-1].decode("utf-8", "replace")
        for name, values in request.args.items()
    }
    try:
        return msgspec.convert(fields, body_type, strict=False)
    except msgspec.ValidationError as cause:
        raise ApiError("bad_request", f"query: {cause}", "rejected") from cause


READER_BY_METHOD = {b"POST": read_body, b"GET": read_query, b"HEAD": read_query}


class NotFound(resource.Resource):
    """Answers every path below it with a typed refusal."""

    isLeaf = True

    def render(self, request: server.Request) -> int:
        """Refuses the path."""
        send_error(request, ApiError("unknown_path", "no such path"))
        return server.NOT_DONE_YET


class Tree(resource.Resource):
    """A path element whose unknown children get a typed refusal."""

    def getChild(self, path: bytes, request: server.Request):
        """Returns the refusal; known children are found before."""
        return NotFound()

    def render(self, request: server.Request) -> int:
        """Refuses the bare path element."""
        return NotFound().render(request)

    def put(self, path: str, child: resource.Resource) -> None:
        """Places child below a path of one or more elements."""
        element, _, rest = path.partition("/")
        name = element.encode()
        if not rest:
            self.putChild(name, child)
            return
        if name not in self.children:
            self.putChild(name, Tree())
        self.children[name].put(rest, child)
