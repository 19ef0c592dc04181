"""Calls a target and reads its answer as it comes."""

from collections.abc import Callable

import msgspec
from twisted.internet import defer, protocol
from twisted.web import client, http_headers

from chicorystack.calls.messages import (
    EVENT_END,
    EngineRequest,
    EngineUsage,
)
from chicorystack.errors import ChicoryError
from chicorystack.web.client import BytesProducer

# Longer than any last event of an engine.
TAIL_BYTES = 512
DATA_PREFIX = b"data: "


class TargetFailedError(ChicoryError):
    """The target refused the call or broke off.

    Attributes:
        tokens: Tokens that it had generated.
    """

    def __init__(self, message: str, tokens: int = 0):
        super().__init__(message)
        self.tokens = tokens


class StreamReader(protocol.Protocol):
    """Passes a stream on as it comes and finds its last event.

    Attributes:
        events: Number of events passed on so far.
        finished: Fires with the engine's usage, or fails where the stream
            ends without it.
    """

    def __init__(
        self,
        pass_on: Callable[[bytes], None],
        on_start: Callable[["StreamReader"], None],
    ):
        self._pass_on = pass_on
        self._on_start = on_start
        self._held = b""
        self.events = 0
        self.finished: defer.Deferred[EngineUsage] = defer.Deferred()

    def connectionMade(self) -> None:
        """Lets the answer begin."""
        self._on_start(self)

    def dataReceived(self, data: bytes) -> None:
        """Passes whole events on; the last one is held back.

        The last event is the engine's usage, which the agent's own end
        record replaces.
        """
        self._held += data
        cut = self._held.rfind(EVENT_END, 0, -len(EVENT_END))
        if cut < 0:
            return
        whole = self._held[: cut + len(EVENT_END)]
        self._held = self._held[cut + len(EVENT_END) :]
        self._count_and_pass(whole)

    def connectionLost(self, reason) -> None:
        """Reads the usage out of the last event."""
        if self.finished.called:
            return
        try:
            last = self._held.strip().removeprefix(DATA_PREFIX)
            usage = msgspec.json.decode(last, type=EngineUsage)
        except msgspec.DecodeError:
            if self._held.endswith(EVENT_END):
                self._count_and_pass(self._held)
            self.finished.errback(
                TargetFailedError("the engine's stream broke off", self.events)
            )
            return
        self.finished.callback(usage)

    def _count_and_pass(self, whole: bytes) -> None:
        self.events += whole.count(EVENT_END)
        self._pass_on(whole)


class TargetClient:
    """Speaks to one target over HTTP."""

    def __init__(self, http: client.Agent, base_url: str):
        self._http = http
        self._base_url = base_url.rstrip("/")

    async def generate(
        self,
        request: EngineRequest,
        on_start: Callable[[StreamReader], None],
        pass_on: Callable[[bytes], None],
    ) -> EngineUsage:
        """Runs a generation; `on_start` gets the reader, to cancel by.

        Raises:
            TargetFailedError: If the engine refuses or breaks off.
        """
        response = await self._post("/generate", msgspec.json.encode(request))
        if response.code != 200:
            await client.readBody(response)
            raise TargetFailedError(f"the engine said {response.code}")
        reader = StreamReader(pass_on, on_start)
        response.deliverBody(reader)
        return await reader.finished

    async def call(
        self, operation: str, body: bytes, key: str
    ) -> tuple[int, bytes]:
        """Calls a plain service; returns status and body.

        Raises:
            TargetFailedError: If no whole answer came.
        """
        response = await self._post(f"/call/{operation}", body, key)
        try:
            return response.code, await client.readBody(response)
        except Exception as error:
            raise TargetFailedError(f"the service broke off: {error!r}") from (
                error
            )

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
            raise TargetFailedError(f"the target failed: {error!r}") from error
