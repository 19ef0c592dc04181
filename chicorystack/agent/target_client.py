"""HTTP client of one target; forwards streamed answers as they arrive."""

import itertools
from collections.abc import Callable
from typing import TypedDict

import msgspec
from twisted.internet import defer, protocol
from twisted.web import http_headers

from chicorystack import defaults
from chicorystack.calls.messages import (
    EVENT_END,
    EngineRequest,
    EngineUsage,
)
from chicorystack.decoding import decode_json
from chicorystack.errors import ChicoryError
from chicorystack.web.client import (
    BytesProducer,
    make_http_agent,
    read_body,
)
from chicorystack.web.exchange import MAX_STATUS, MIN_STATUS

# More than the length of any engine's last event.
TAIL_BYTES = 512
DATA_PREFIX = b"data: "


class TargetFailedError(ChicoryError):
    """The target refused the call or did not complete its answer.

    Attributes:
        tokens: Number of tokens generated before the failure.
    """

    def __init__(self, message: str, tokens: int = 0):
        super().__init__(message)
        self.tokens = tokens


class TokenEvent(TypedDict):
    """Data of an event with a part of the answer."""

    text: str


def _is_token(event: bytes) -> bool:
    """Returns whether an event is a part of the answer, not an error's text."""
    if not event.startswith(DATA_PREFIX):
        return False
    try:
        decode_json(event.removeprefix(DATA_PREFIX), TokenEvent)
    except msgspec.DecodeError:
        return False
    return True


class StreamReader(protocol.Protocol):
    """Forwards a stream of events and parses the usage in the last one.

    Attributes:
        event_count: Number of events forwarded so far.
        finished: Fires with the engine's usage, or fails if the stream ends
            without it.
    """

    def __init__(
        self,
        forward: Callable[[bytes], None],
        on_start: Callable[["StreamReader"], None],
    ):
        self._forward = forward
        self._on_start = on_start
        self._buffer = b""
        self.event_count = 0
        self.finished: defer.Deferred[EngineUsage] = defer.Deferred()

    def connectionMade(self) -> None:
        """Reports that the answer has started."""
        self._on_start(self)

    def dataReceived(self, data: bytes) -> None:
        """Forwards complete events, but keeps the last one in the buffer.

        The stream's last event is the engine's usage, which the agent replaces
        with its own end record.
        """
        if self.finished.called:
            return
        self._buffer += data
        last_end = self._buffer.rfind(EVENT_END, 0, -len(EVENT_END))
        if last_end < 0:
            if len(self._buffer) > defaults.MAX_EVENT_BYTES:
                self._fail("an event of the engine is too large")
                self.transport.loseConnection()
            return
        complete = self._buffer[: last_end + len(EVENT_END)]
        self._buffer = self._buffer[last_end + len(EVENT_END) :]
        self._forward_events(complete)

    def connectionLost(self, reason) -> None:
        """Parses the usage in the last event."""
        if self.finished.called:
            return
        try:
            last = self._buffer.strip().removeprefix(DATA_PREFIX)
            usage = decode_json(last, EngineUsage)
        except msgspec.DecodeError:
            if self._buffer.endswith(EVENT_END):
                self._forward_events(self._buffer)
            self._fail("the engine's stream ended without usage")
            return
        self.finished.callback(usage)

    def _forward_events(self, complete: bytes) -> None:
        """Forwards events up to the first one that is not of the answer."""
        events = complete.removesuffix(EVENT_END).split(EVENT_END)
        tokens = list(itertools.takewhile(_is_token, events))
        if tokens:
            self.event_count += len(tokens)
            self._forward(EVENT_END.join([*tokens, b""]))
        if len(tokens) < len(events):
            self._fail("the engine sent something else than a token")
            self.transport.loseConnection()

    def _fail(self, reason: str) -> None:
        if not self.finished.called:
            self.finished.errback(TargetFailedError(reason, self.event_count))


class TargetClient:
    """Calls one target over HTTP, each time on a new connection."""

    def __init__(self, reactor, base_url: str):
        self._http = make_http_agent(reactor, persistent=False)
        self._base_url = base_url.rstrip("/")

    async def generate(
        self,
        request: EngineRequest,
        on_start: Callable[[StreamReader], None],
        forward: Callable[[bytes], None],
    ) -> EngineUsage:
        """Runs a generation.

        `on_start` receives the reader, whose connection can be closed to
        cancel the generation.

        Raises:
            TargetFailedError: If the engine refuses the request or does not
                complete its stream.
        """
        response = await self._post("/generate", msgspec.json.encode(request))
        if response.code != 200:
            await _read_whole(response)
            raise TargetFailedError(
                f"the engine answered with status {response.code}"
            )
        reader = StreamReader(forward, on_start)
        response.deliverBody(reader)
        return await reader.finished

    async def call(
        self, operation: str, body: bytes, key: str
    ) -> tuple[int, bytes]:
        """Calls a plain service; returns status and body.

        Raises:
            TargetFailedError: If no complete answer was received.
        """
        response = await self._post(f"/call/{operation}", body, key)
        body = await _read_whole(response)
        if not MIN_STATUS <= response.code <= MAX_STATUS:
            raise TargetFailedError(
                f"the service answered with status {response.code}"
            )
        return response.code, body

    async def _post(self, path: str, body: bytes, key: str = ""):
        headers = http_headers.Headers({"content-type": ["application/json"]})
        if key:
            headers.addRawHeader("idempotency-key", key)
        url = (self._base_url + path).encode()
        try:
            return await self._http.request(
                b"POST", url, headers, BytesProducer(body)
            )
        except Exception as error:
            raise TargetFailedError(
                f"the request to the target failed: {error!r}"
            ) from error


async def _read_whole(response) -> bytes:
    try:
        return await read_body(response)
    except Exception as error:
        raise TargetFailedError(
            f"the target did not complete its answer: {error!r}"
        ) from error
