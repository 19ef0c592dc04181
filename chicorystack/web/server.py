"""JSON endpoints and limits on request bodies, on twisted.web."""

import hmac
import io
from collections.abc import Awaitable, Callable
from typing import Generic, Protocol, TypeVar

import msgspec
from twisted.internet import defer, error
from twisted.internet.interfaces import IReactorTCP
from twisted.web import http, resource, server

from chicorystack import defaults
from chicorystack.decoding import decode_json
from chicorystack.errors import ApiError, UserError
from chicorystack.observe.logs import part_logger
from chicorystack.web.channel import max_connections
from chicorystack.web.graceful import GracefulSite

log = part_logger("web")
encoder = msgspec.json.Encoder()

BodyT = TypeVar("BodyT")
FLEET_TOKEN_HEADER = "chicory-fleet-token"


class ListenError(UserError):
    """The address or port is not available."""


class LimitedRequest(server.Request):
    """A request whose body may not exceed MAX_BODY_BYTES.

    A body that is too large is read to its end and discarded, so that the
    client gets the error response instead of a connection reset. If its length
    exceeds MAX_DISCARDED_BODY_BYTES, the request is refused immediately.
    """

    _too_large = False

    def gotLength(self, length: int | None) -> None:
        """Prepares a buffer in memory for the body; VMs have no disks."""
        self.content = io.BytesIO()
        if length is None:
            return
        self._too_large = length > defaults.MAX_BODY_BYTES
        if length > defaults.MAX_DISCARDED_BODY_BYTES:
            self.channel.refuse(_body_too_large())

    def handleContentChunk(self, data: bytes) -> None:
        """Buffers a part of the body unless the body exceeds the limit."""
        if self.content.tell() + len(data) > defaults.MAX_BODY_BYTES:
            self._too_large = True
        if not self._too_large:
            super().handleContentChunk(data)

    def process(self) -> None:
        """Serves the request, or refuses it if its body is too large."""
        if self.channel.site.closing:
            self.setHeader(b"connection", b"close")
            self.channel.persistent = False
        if not self._too_large:
            super().process()
            return
        send_error(self, _body_too_large())

    def processingFailed(self, reason) -> None:
        """Sends an error response after an unexpected exception."""
        _respond_to_failure(reason, self)


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


def get_header(request: server.Request, name: str) -> str | None:
    """Returns a request header as text, or None if it is absent.

    Raises:
        ApiError: `bad_request` if the header is not UTF-8.
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
    """Sends a JSON message as the response."""
    body = encoder.encode(message)
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()


def send_error(request: server.Request, api_error: ApiError) -> None:
    """Sends a typed error response, with Retry-After if the error has one."""
    if api_error.retry_after_ms is not None:
        seconds = max(1, -(-api_error.retry_after_ms // 1000))
        request.setHeader(b"retry-after", str(seconds).encode())
    send_json(request, api_error.status, api_error.to_reply())


def read_body(request: server.Request, body_type: type[BodyT]) -> BodyT:
    """Decodes the request's JSON body.

    Raises:
        ApiError: `bad_request` with the position of the first error.
    """
    request.content.seek(0)
    try:
        return decode_json(request.content.read(), body_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as cause:
        raise ApiError("bad_request", f"body: {cause}", "rejected") from cause


def run_handler(request: server.Request, coroutine: Awaitable[object]) -> int:
    """Runs a coroutine that serves the request; errors are sent as JSON.

    The coroutine is cancelled when the client disconnects.
    """
    running = defer.ensureDeferred(coroutine)
    finished = request.notifyFinish()
    finished.addErrback(lambda _: running.cancel())
    running.addErrback(_respond_to_failure, request)
    return server.NOT_DONE_YET


def _respond_to_failure(failure, request: server.Request) -> None:
    """Sends an error, or closes the connection if that fails, too."""
    if request.finished or request._disconnected:
        return
    try:
        _send_failure(failure, request)
    except Exception as error:
        log.opt(exception=error).error("no error response could be sent")
        request.transport.abortConnection()


def _send_failure(failure, request: server.Request) -> None:
    if failure.check(ApiError):
        send_error(request, failure.value)
        return
    log.opt(exception=failure.value).error("request handler failed")
    if request.startedWriting:
        request.transport.abortConnection()
        return
    send_error(request, ApiError("internal", "internal error"))


class Authorizer(Protocol):
    """Checks whether a request may access an endpoint."""

    def __call__(self, request: server.Request) -> None:
        """Raises ApiError if the request is not authorized."""


def fleet_authorizer(fleet_token: str) -> Authorizer:
    """Returns an authorizer that requires the fleet token.

    The fleet's own processes and its operators have the token.
    """

    def authorize(request: server.Request) -> None:
        token = get_header(request, FLEET_TOKEN_HEADER) or ""
        if not hmac.compare_digest(token.encode(), fleet_token.encode()):
            raise ApiError("forbidden", "the fleet token is missing or wrong")

    return authorize


def allow_all(request: server.Request) -> None:
    """Allows every request."""


def refuse_method(request: server.Request, allowed: str) -> int:
    """Refuses a method that the path does not support."""
    request.setHeader(b"allow", allowed.encode())
    send_error(
        request,
        ApiError("method_not_allowed", f"use {allowed} here", "rejected"),
    )
    return server.NOT_DONE_YET


class JsonEndpoint(resource.Resource, Generic[BodyT]):
    """A URL that receives a typed JSON message and responds with another.

    GET requests pass the fields of the message as query arguments.
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
        ApiError: `bad_request` if an argument is missing or invalid.
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
    """Responds with a typed error to every path below it."""

    isLeaf = True

    def render(self, request: server.Request) -> int:
        """Sends the error response."""
        send_error(request, ApiError("unknown_path", "no such path"))
        return server.NOT_DONE_YET


class ResourceTree(resource.Resource):
    """A path element that sends a typed error for unknown children."""

    def getChild(self, path: bytes, request: server.Request):
        """Returns NotFound; twisted looks up known children first."""
        return NotFound()

    def render(self, request: server.Request) -> int:
        """Responds with an error, as the element itself has no content."""
        return NotFound().render(request)

    def put(self, path: str, child: resource.Resource) -> None:
        """Adds child at a path of one or more elements."""
        element, _, rest = path.partition("/")
        name = element.encode()
        if not rest:
            self.putChild(name, child)
            return
        if name not in self.children:
            self.putChild(name, ResourceTree())
        self.children[name].put(rest, child)
