"""Origins of streams between routers, as JSON over HTTP.

`POST /v1/stream-origins` accepts an OriginNotice and returns a NoticeAnswer;
`POST /v1/stream-origin` accepts an OriginQuery and returns an OriginAnswer;
`POST /v1/target-run` accepts a RunQuery and returns a RunAnswer.
"""

from collections.abc import Callable

from twisted.web import resource

from chicorystack import defaults
from chicorystack.gateway.peer_http import (
    MessageResource,
    PeerChannel,
    PeerClient,
)
from chicorystack.streams.messages import (
    NoticeAnswer,
    OriginAnswer,
    OriginNotice,
    OriginQuery,
    RunAnswer,
    RunQuery,
    StreamPeerError,
)
from chicorystack.streams.stream_origins import StreamOrigins

NOTICE_PATH = b"/v1/stream-origins"
QUERY_PATH = b"/v1/stream-origin"
RUN_PATH = b"/v1/target-run"


def add_stream_resources(
    api: resource.Resource, origins: StreamOrigins
) -> None:
    """Adds the resources for origins of streams below `/v1`."""

    def accept(notice: OriginNotice) -> NoticeAnswer:
        origins.replicator.accept(notice)
        return NoticeAnswer()

    api.putChild(b"stream-origins", MessageResource(OriginNotice, accept))
    api.putChild(
        b"stream-origin", MessageResource(OriginQuery, origins.finder.answer)
    )
    api.putChild(
        b"target-run", MessageResource(RunQuery, origins.confirmer.answer)
    )


class HttpStreamPeers:
    """HTTP implementation of StreamPeers."""

    def __init__(
        self, client: PeerClient, witness_candidates: Callable[[], list[str]]
    ):
        self._channel = PeerChannel(
            client,
            defaults.STREAM_PEER_TIMEOUT_S,
            lambda error: StreamPeerError(str(error), error.not_running),
        )
        self._witness_candidates = witness_candidates

    def names(self) -> list[str]:
        """See StreamPeers."""
        return self._channel.names()

    def witness_candidates(self) -> list[str]:
        """See StreamPeers."""
        return self._witness_candidates()

    async def tell_origins(
        self, router: str, notice: OriginNotice
    ) -> NoticeAnswer:
        """See StreamPeers."""
        return await self._channel.send(
            router, NOTICE_PATH, notice, NoticeAnswer
        )

    async def query_origin(
        self, router: str, query: OriginQuery
    ) -> OriginAnswer:
        """See StreamPeers."""
        return await self._channel.send(router, QUERY_PATH, query, OriginAnswer)

    async def query_run(self, router: str, query: RunQuery) -> RunAnswer:
        """See StreamPeers."""
        return await self._channel.send(router, RUN_PATH, query, RunAnswer)
