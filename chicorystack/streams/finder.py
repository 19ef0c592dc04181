"""Finds where a stream began that its caller takes up again.

This router knows, or another one does; or only one version of the service can
have begun it. Else the stream does not go on: versions are never guessed.
"""

import enum
from typing import NamedTuple

from twisted.internet import defer

from chicorystack import defaults
from chicorystack.observe.events import emit
from chicorystack.observe.exposition import streams_resumed_total
from chicorystack.store.keyed_log import LogPosition
from chicorystack.streams.confirmer import RunConfirmer
from chicorystack.streams.messages import (
    OriginAnswer,
    OriginQuery,
    StreamOrigin,
    StreamPeerError,
    StreamPeers,
    VersionsSeen,
)
from chicorystack.streams.origins import KeptRecord, OriginTable
from chicorystack.streams.registry_reader import RegistryReader
from chicorystack.streams.versions import VersionHistory


class FoundBy(enum.Enum):
    """How the origin of a stream was found."""

    OWN_RECORD = "own_record"
    OTHER_ROUTER = "other_router"
    ONLY_VERSION = "only_version"
    UNCERTAIN = "uncertain"
    UNKNOWN = "unknown"


class ResumedStream(NamedTuple):
    """A stream that is taken up.

    Attributes:
        request_id: ID of the request that brought its first event; empty if
            the caller did not name it.
        services: Services that may run the call.
        began_within_s: Age that the stream has at most, in seconds.
    """

    request_id: str
    services: tuple[str, ...]
    began_within_s: float


class _Answers:
    """Collects routers' answers.

    Attributes:
        received: The answers so far.
        enough: Fires once one router knows the origin, or none is left.
    """

    def __init__(self, expected: int):
        self._left = expected
        self.received: list[OriginAnswer] = []
        self.enough: defer.Deferred[None] = defer.Deferred()
        if not expected:
            self.enough.callback(None)

    def add(self, answer: OriginAnswer | None) -> None:
        """Adds an answer; None for a router that sent none."""
        self._left -= 1
        if answer is not None:
            self.received.append(answer)
        is_known = answer is not None and answer.record is not None
        if (is_known or not self._left) and not self.enough.called:
            self.enough.callback(None)


class OriginFinder:
    """Finds origins, and answers other routers that look for them."""

    def __init__(
        self,
        clock,
        table: OriginTable,
        peers: StreamPeers,
        history: VersionHistory,
        reader: RegistryReader,
        confirmer: RunConfirmer,
    ):
        self._clock = clock
        self._table = table
        self._peers = peers
        self._history = history
        self._reader = reader
        self._confirmer = confirmer

    async def find(self, stream: ResumedStream) -> StreamOrigin | None:
        """Returns the stream's origin; None if it is not known for certain."""
        origin, found_by = await self._find(stream)
        streams_resumed_total.labels(found_by.value).inc()
        emit(
            "streams", "resumed", id=stream.request_id, origin=origin,
            found_by=found_by.value,
        )  # fmt: skip
        return origin

    def answer(self, query: OriginQuery) -> OriginAnswer:
        """Answers another router."""
        return OriginAnswer(
            self._table.statement(query.request_id),
            self._history.seen(query.service, query.since_s),
        )

    async def _find(
        self, stream: ResumedStream
    ) -> tuple[StreamOrigin | None, FoundBy]:
        kept = self._table.get(stream.request_id)
        if kept is not None:
            return await self._confirmed(kept, FoundBy.OWN_RECORD)
        asked_at = self._clock.seconds()
        answers = await self._ask_all(stream)
        for answer in answers:
            if answer.record is not None:
                self._table.add(answer.record)
                kept = self._table.get(stream.request_id)
                return await self._confirmed(kept, FoundBy.OTHER_ROUTER)
        only = await self._only_version(stream, answers, asked_at)
        if only is None:
            return None, FoundBy.UNKNOWN
        return StreamOrigin(stream.services[0], only), FoundBy.ONLY_VERSION

    async def _confirmed(
        self, kept: KeptRecord, found_by: FoundBy
    ) -> tuple[StreamOrigin | None, FoundBy]:
        """Returns the origin unless the target may have run another version."""
        run = kept.record.run
        if run is not None and not await self._confirmer.confirm(
            run, kept.connected_at
        ):
            return None, FoundBy.UNCERTAIN
        return kept.record.origin, found_by

    async def _ask_all(self, stream: ResumedStream) -> list[OriginAnswer]:
        """Asks all routers; returns as soon as one knows the origin."""
        query = OriginQuery(
            stream.request_id, stream.services[0], stream.began_within_s
        )
        routers = self._peers.names()
        answers = _Answers(len(routers))
        for router in routers:
            asking = defer.ensureDeferred(self._ask(router, query))
            asking.addErrback(_log_failure)
            asking.addCallback(answers.add)
        await answers.enough
        return list(answers.received)

    async def _ask(
        self, router: str, query: OriginQuery
    ) -> OriginAnswer | None:
        try:
            return await self._peers.query_origin(router, query)
        except StreamPeerError as error:
            emit("streams", "unanswered", router=router, reason=str(error))
            return None

    async def _only_version(
        self,
        stream: ResumedStream,
        answers: list[OriginAnswer],
        asked_at: float,
    ) -> str | None:
        """Returns the only version that can have begun the stream, if any.

        The version was registered before the stream began, so a read of the
        registry that begins now shows it, or some router has seen it go. Each
        change must have been read: by this router, or up to the snapshot that
        this router began with by another one.
        """
        if len(stream.services) != 1:
            return None
        if not self._reader.answered_lately():
            return None
        if not await self._reader.read_since(
            asked_at, defaults.REGISTRY_FRESH_S
        ):
            return None
        own = self._history.seen(stream.services[0], stream.began_within_s)
        seen = [own, *(answer.seen for answer in answers)]
        return _only(seen, self._reader.reads.complete_from)


def _only(seen: list[VersionsSeen], read_from: LogPosition) -> str | None:
    """Returns the only version seen if no change can have been missed.

    Positions are compared, as the clock of a suspended VM stands still.

    Args:
        seen: What this router and others have seen.
        read_from: Position from which on this router has read each change.
    """
    versions = {version for one in seen for version in one.versions}
    if len(versions) != 1:
        return None
    if not any(
        one.complete
        and one.read_to.era == read_from.era
        and one.read_to >= read_from
        for one in seen
    ):
        return None
    return versions.pop()


def _log_failure(failure) -> None:
    emit("streams", "bug", reason=failure.getTraceback())
