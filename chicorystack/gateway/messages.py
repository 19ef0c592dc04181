"""What passes between callers' side, core and targets' side of the gateway."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from chicorystack.gateway.model import Route
from chicorystack.web.exchange import Headers


class PromptPart(NamedTuple):
    """A part of a prompt, which several calls may share.

    Attributes:
        part: Id of its content.
        tokens: Its length.
    """

    part: str
    tokens: int


class TokenBounds(NamedTuple):
    """Tokens that a call may use at most.

    Attributes:
        prompt: Tokens of the prompt.
        output: Most tokens of the answer.
    """

    prompt: int
    output: int

    @property
    def total(self) -> int:
        """Tokens at the most."""
        return self.prompt + self.output


class CallerRequest(NamedTuple):
    """A whole request of a caller.

    Attributes:
        id: Id that the caller gave this request; empty for none.
        method: Method.
        target: Path and query as the caller sent them.
        host: Host, without port.
        path: Path, without query.
        headers: Headers to pass on, without those of one connection and
            those that only this system may set.
        body: The whole body.
        key: The caller's secret key, where it gave one.
        timeout_s: How long the caller waits; None where it did not say.
        tokens: Tokens at the most, for language models.
        prompt: Parts of the prompt, in order.
        last_event: Id of the last event that the caller has; empty for none.
        received_at: Time on the clock when it began to arrive.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    key: str | None
    timeout_s: float | None
    tokens: TokenBounds | None
    prompt: tuple[PromptPart, ...]
    last_event: str
    received_at: float


class Call(NamedTuple):
    """A request that has been admitted.

    Attributes:
        request: The request.
        route: Its route.
        service: Name of the service that runs it.
        customer: Name of the customer; empty on routes without customers.
        priority: Rank, 0 the most urgent; None to let the target choose.
        deadline: Time on the clock when an answer is of no use any more.
        config_version: Version of the configuration that it was admitted by.
        content: Short name of what is asked, the same each time it is asked.
    """

    request: CallerRequest
    route: Route
    service: str
    customer: str
    priority: int | None
    deadline: float
    config_version: int
    content: str


class LoadSample(NamedTuple):
    """How busy a target says it is.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait there.
        slots: Requests that it can run at once.
    """

    running: int
    waiting: int
    slots: int


class AnswerHead(NamedTuple):
    """The head of a target's answer.

    Attributes:
        status: Status.
        headers: Headers to pass on.
        request_id: Id of the request that it answers; empty for none.
        sealed: Whether it bears the target's signature.
        not_run: Whether the target says that it has not run the request.
        is_stream: Whether the body is a stream of events.
        encoded: Whether the body has been compressed on the way.
        leaving: Whether the target says that it closes the connection.
        load: How busy the target is, where it says so.
    """

    status: int
    headers: Headers
    request_id: str
    sealed: bool
    not_run: bool
    is_stream: bool
    encoded: bool
    leaving: bool
    load: LoadSample | None


class Refusal(NamedTuple):
    """An answer of the gateway itself.

    Attributes:
        status: HTTP status.
        reason: Why, as a short stable word.
        message: The same for people.
        retry_after_s: When to come back; None where that would not help.
    """

    status: int
    reason: str
    message: str
    retry_after_s: float | None = None


class CallerReply(Protocol):
    """The caller's side of one request."""

    gone: bool

    def on_gone(self, listener: Callable[[], None]) -> None:
        """Calls listener once if the caller leaves before its answer ends."""

    def start(self, status: int, headers: Headers) -> None:
        """Sends status and headers."""

    def send(self, data: bytes) -> None:
        """Sends a part of the body."""

    def end(self) -> None:
        """Ends an answer that is whole."""

    def break_off(self) -> None:
        """Ends an answer so that the caller sees that it is not whole."""

    def refuse(self, refusal: Refusal) -> None:
        """Answers with a refusal."""

    def throttle(
        self, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        """Pauses and resumes the target while the caller reads slowly."""
