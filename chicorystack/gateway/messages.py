"""Messages between the caller side, core and target side of the gateway."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from chicorystack.gateway.model import Route
from chicorystack.gateway.unanswered import CloseReason
from chicorystack.web.exchange import Headers


class PromptPart(NamedTuple):
    """A part of a prompt, which several calls may share.

    Attributes:
        id: Identifies the part's content.
        tokens: Its length in tokens.
    """

    id: str
    tokens: int


class TokenLimits(NamedTuple):
    """Upper limits on the tokens that a call uses.

    Attributes:
        prompt: Tokens of the prompt.
        output: Most tokens of the response.
    """

    prompt: int
    output: int

    @property
    def total(self) -> int:
        """Most tokens of prompt and response together."""
        return self.prompt + self.output


class CallerRequest(NamedTuple):
    """A complete request of a caller.

    Attributes:
        id: ID that the caller gave this request; empty for none.
        method: HTTP method.
        target: HTTP request target: path and query as the caller sent them.
        host: Host, without port.
        path: Path, without query.
        headers: Headers to forward, without hop-by-hop headers and those that
            only this system may set.
        body: The complete body.
        api_key: The caller's API key; None if it sent none.
        timeout_s: How long the caller waits; None if not stated.
        token_limits: Limits on its tokens; None if the caller gave none.
        prompt_parts: Parts of the prompt, in order.
        last_event_id: ID of the last event that the caller has; empty for none.
        received_at: Clock time when the request began to arrive, in seconds.
        resumes: ID of the request that brought the first event of the stream
            that the caller takes up again; empty for none.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    api_key: str | None
    timeout_s: float | None
    token_limits: TokenLimits | None
    prompt_parts: tuple[PromptPart, ...]
    last_event_id: str
    received_at: float
    resumes: str = ""


class Call(NamedTuple):
    """An admitted request.

    Attributes:
        request: The request.
        route: Its route.
        service: Name of the service that runs it.
        customer: Name of the customer; empty on routes without customers.
        priority: Priority, 0 the most urgent; None to let the target choose.
        deadline: Clock time after which a response is useless, in seconds.
        config_version: Version of the configuration that admitted it.
        content_hash: Digest of the request; the same for repeats of it.
        version: Version of the targets that may run it; None for any.
        allowed_regions: Regions in which it may run; None for any.
    """

    request: CallerRequest
    route: Route
    service: str
    customer: str
    priority: int | None
    deadline: float
    config_version: int
    content_hash: str
    version: str | None = None
    allowed_regions: frozenset[str] | None = None

    @property
    def crash_keys(self) -> tuple[str, ...]:
        """What may crash targets: the whole request, or a part of its prompt.

        The last part belongs to this request or its session alone.
        """
        parts = self.request.prompt_parts[:-1]
        return (self.content_hash, *(f"part-{part.id}" for part in parts))


class LoadSample(NamedTuple):
    """Load that a target reports.

    Attributes:
        running: Requests that it is running.
        waiting: Requests in its queue.
        slots: Requests that it can run concurrently.
        pace: How long work takes there at this moment, in percent of the usual
            time; None if not reported.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


class ResponseHead(NamedTuple):
    """Status and headers of a target's response.

    Attributes:
        status: HTTP status.
        headers: Headers to forward.
        request_id: ID of the request that it belongs to; empty for none.
        signed: Whether it carries the target's signature.
        not_run: Whether the target states that it has not run the request.
        is_stream: Whether the body is a stream of events.
        encoded: Whether the body has a content encoding, such as compression
            by a proxy.
        closes_connection: Whether the target will close the connection.
        load: The target's load; None if not reported.
        misdirected: Whether another target than the expected one responded,
            without running the request.
        leaving: Whether the target is about to leave.
        retry_after_s: For how long the target wants no requests from this
            router, in seconds; None if not stated.
        calls_per_s: Calls a second that the target accepts from all routers
            together; None for any rate.
        cold_s: For how long the target stays cold, in seconds; None if not
            stated.
        delimited: Whether a length or chunks mark the end of the body, not
            the end of the connection.
    """

    status: int
    headers: Headers
    request_id: str
    signed: bool
    not_run: bool
    is_stream: bool
    encoded: bool
    closes_connection: bool
    load: LoadSample | None
    misdirected: bool = False
    leaving: bool = False
    retry_after_s: float | None = None
    calls_per_s: float | None = None
    cold_s: float | None = None
    delimited: bool = True


class Refusal(NamedTuple):
    """An error response of the gateway itself.

    Attributes:
        status: HTTP status.
        code: Stable error code.
        message: Description for people.
        retry_after_s: Seconds until a retry may succeed; None if none would.
    """

    status: int
    code: str
    message: str
    retry_after_s: float | None = None


class ResponseWriter(Protocol):
    """Writes the response to one request of a caller.

    Attributes:
        disconnected: Whether nothing more can be sent to the caller.
    """

    disconnected: bool

    def on_disconnect(self, listener: Callable[[], None]) -> None:
        """Calls listener if the caller disconnects before the response ends."""

    def start(self, status: int, headers: Headers) -> None:
        """Sends status and headers."""

    def send(self, data: bytes) -> None:
        """Sends a part of the body."""

    def end(self) -> None:
        """Ends a complete response."""

    def abort(self, reason: CloseReason) -> None:
        """Closes the connection, so that the response is seen as truncated."""

    def fail(self, refusal: Refusal) -> None:
        """Ends the response after an error of the router's own.

        The refusal is sent if no response has begun; one that has begun is
        broken off. Does nothing if the response has ended.
        """

    def refuse(self, refusal: Refusal) -> None:
        """Sends a refusal as the response."""

    def apply_backpressure(
        self, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        """Sets the callbacks that pause and resume the target.

        They are called when more is held for the caller than its budget, as it
        reads more slowly than the target sends, and when it has caught up.
        """

    def hold(self, size: int) -> None:
        """Counts bytes held for the caller besides those to be sent.

        The caller may be disconnected if too many are held.
        """

    def release(self, size: int) -> None:
        """Counts that bytes of them are no longer held."""
