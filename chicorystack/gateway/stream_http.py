"""Origins of streams between routers, as JSON over HTTP.

`POST /v1/stream-origins` accepts an OriginNotice and returns a NoticeAnswer;
`POST /v1/stream-origin` accepts an OriginQuery and returns an OriginAnswer.
"""

from collections.abc import Callable
from typing import TypeVar

from twisted.web import resource

from chicorystack import defaults
from chicorystack.gateway.peer_http import (
    MessageResource,
    PeerClient,
    PeerError,
)
from chicorystack.streams.finder import OriginFinder
from chicorystack.streams.messages import (
    NoticeAnswer,
    OriginAnswer,
    OriginNotice,
    OriginQuery,
    StreamPeerError,
)
from chicorystack.streams.replicator import OriginReplicator

NOTICE_PATH = b"/v1/stream-origins"
QUERY_PATH = b"/v1/stream-origin"
AnswerT = TypeVar("AnswerT")


def add_stream_resources(
    api: resource.Resource, finder: OriginFinder, replicator: OriginReplicator
) -> None:
    """Adds the resources for origins of streams below `/v1`."""

    def accept(notice: OriginNotice) -> NoticeAnswer:
        replicator.accept(notice)
        return NoticeAnswer()

    api.putChild(b"stream-origins", MessageResource(OriginNotice, accept))
    api.putChild(b"stream-origin", MessageResource(OriginQuery, finder.answer))


class HttpStreamPeers:
    """HTTP implementation of StreamPeers."""

    def __init__(
        self, client: PeerClient, witness_candidates: Callable[[], list[str]]
    ):
        self._client = client
        self._witness_candidates = witness_candidates

    def names(self) -> list[str]:
        """See StreamPeers."""
        return self._client.names()

    def witness_candidates(self) -> list[str]:
        """See StreamPeers."""
        return self._witness_candidates()

    async def tell_origins(
        self, router: str, notice: OriginNotice
    ) -> NoticeAnswer:
        """See StreamPeers."""
        return await self._send(router, NOTICE_PATH, notice, NoticeAnswer)

    async def query_origin(
        self, router: str, query: OriginQuery
    ) -> OriginAnswer:
        """See StreamPeers."""
        return await self._send(router, QUERY_PATH, query, OriginAnswer)

    async def _send(
        self,
        router: str,
        path: bytes,
        message: object,
        answer_type: type[AnswerT],
    ) -> AnswerT:
        try:
            return await self._client.send(
                router,
                path,
                message,
                answer_type,
                defaults.STREAM_PEER_TIMEOUT_S,
            )
        except PeerError as error:
            raise StreamPeerError(str(error)) from error
