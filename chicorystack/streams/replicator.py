"""Tells other routers where this router's streams began.

Two routers of other data centres, where there are some, keep copies, so that
a stream can be taken up elsewhere after its first router has died. Records are
sent in batches: at longer intervals while only one version serves.
"""

from twisted.internet import defer

from chicorystack import defaults
from chicorystack.observe.events import emit
from chicorystack.streams.messages import (
    OriginNotice,
    OriginRecord,
    StreamPeerError,
    StreamPeers,
)
from chicorystack.streams.origins import OriginTable
from chicorystack.streams.versions import VersionHistory


class OriginReplicator:
    """Keeps origins of streams here and at other routers."""

    def __init__(
        self,
        clock,
        table: OriginTable,
        peers: StreamPeers,
        history: VersionHistory,
    ):
        self._clock = clock
        self._table = table
        self._peers = peers
        self._history = history
        self._unsent: list[OriginRecord] = []
        self._flush_call = None
        self._silent_until: dict[str, float] = {}

    def record(self, record: OriginRecord, connected_at: float) -> None:
        """Records a stream whose first event is about to be sent.

        Args:
            record: Its origin.
            connected_at: Clock time at which the connection to its target had
                been opened, in seconds.
        """
        self._table.add(record, connected_at)
        self._unsent.append(record)
        delay_s = (
            defaults.STREAM_NOTICE_URGENT_S
            if self._history.has_several(record.service)
            else defaults.STREAM_NOTICE_S
        )
        self._schedule(delay_s)

    def accept(self, notice: OriginNotice) -> None:
        """Keeps copies of another router's records."""
        for record in notice.records:
            self._table.add(record)

    def _schedule(self, delay_s: float) -> None:
        """Schedules the next batch, or brings it forward."""
        pending = self._flush_call
        if pending is not None and pending.active():
            if pending.getTime() <= self._clock.seconds() + delay_s:
                return
            pending.cancel()
        self._flush_call = self._clock.callLater(delay_s, self._flush)

    def _flush(self) -> None:
        unsent, self._unsent = self._unsent, []
        records = [
            record
            for begun in unsent
            if (record := self._table.statement(begun.request_id)) is not None
        ]
        if records:
            sending = defer.ensureDeferred(self._send(OriginNotice(records)))
            sending.addErrback(_log_failure)

    async def _send(self, notice: OriginNotice) -> None:
        """Sends a batch until enough routers have it, or none is left.

        A batch that no router has is sent again later.
        """
        candidates = self._peers.witness_candidates()
        silent = [router for router in candidates if self._is_silent(router)]
        answering = [router for router in candidates if router not in silent]
        copies = await self._tell_some(answering, notice)
        if not copies:
            # If this process was suspended, all others look silent.
            copies = await self._tell_some(silent, notice)
        if not copies:
            self._unsent = [*notice.records, *self._unsent]
            del self._unsent[: -defaults.MAX_STREAM_ORIGINS]
            self._schedule(defaults.STREAM_NOTICE_S)

    async def _tell_some(self, routers: list[str], notice: OriginNotice) -> int:
        """Sends a batch to routers in turn; returns how many have it."""
        copies = 0
        untold = routers[: defaults.STREAM_ORIGIN_MAX_TRIES]
        while untold and copies < defaults.STREAM_ORIGIN_COPIES:
            lacking = defaults.STREAM_ORIGIN_COPIES - copies
            results = await defer.gatherResults(
                [
                    defer.ensureDeferred(self._tell(router, notice))
                    for router in untold[:lacking]
                ]
            )
            copies += sum(results)
            untold = untold[lacking:]
        return copies

    async def _tell(self, router: str, notice: OriginNotice) -> bool:
        """Sends a batch to one router; returns whether that has it."""
        try:
            await self._peers.tell_origins(router, notice)
        except StreamPeerError as error:
            if not self._is_silent(router):
                emit(
                    "streams", "not_told", router=router, reason=str(error),
                    records=len(notice.records),
                )  # fmt: skip
            self._silent_until[router] = (
                self._clock.seconds() + defaults.STREAM_PEER_SILENT_S
            )
            return False
        self._silent_until.pop(router, None)
        return True

    def _is_silent(self, router: str) -> bool:
        """Returns whether a router did not answer lately."""
        return self._silent_until.get(router, 0.0) > self._clock.seconds()


def _log_failure(failure) -> None:
    emit("streams", "bug", reason=failure.getTraceback())
