"""Passes statements on evacuations between routers.

A router sends statements that are new to it to some others at once. It asks
some others for theirs at start, after an outage of the store, and repeatedly
during one, as it then learns of new requests only from them.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.evacuation.messages import (
    EvacuationNotice,
    EvacuationPeerError,
    EvacuationPeers,
    EvacuationStatement,
)
from chicorystack.evacuation.statement_order import StatementOrder
from chicorystack.evacuation.table import EvacuationTable
from chicorystack.observe.events import emit


class Connectivity(NamedTuple):
    """What this router can reach.

    Attributes:
        store_read_at: Clock time of the last successful read of the store, in
            seconds.
        store_recovered_at: Clock time of the first successful read after the
            last outage, in seconds; 0 if there was none.
        routers_known: Whether the list of other routers has been read.
    """

    store_read_at: float
    store_recovered_at: float
    routers_known: bool


class EvacuationExchange:
    """Exchanges statements with other routers.

    Attributes:
        asked: Whether the other routers have been asked since the start.
    """

    def __init__(
        self,
        clock,
        table: EvacuationTable,
        reader: StatementOrder,
        peers: EvacuationPeers,
        connectivity: Callable[[], Connectivity],
    ):
        self._clock = clock
        self._table = table
        self._reader = reader
        self._peers = peers
        self._connectivity = connectivity
        self._recovered_at = 0.0
        self._asking = False
        # Routers that did not answer the last message.
        self._silent: set[str] = set()
        self._loop = task.LoopingCall(self._check)
        self._loop.clock = clock
        self.asked = False
        table.on_change(self._tell)

    def start(self) -> None:
        """Starts asking other routers when necessary."""
        self._loop.start(defaults.EVACUATION_CHECK_INTERVAL_S)

    def answer(self, notice: EvacuationNotice) -> EvacuationNotice:
        """Applies another router's statements; returns those known here."""
        self._reader.receive(notice.statements)
        return EvacuationNotice(self._table.known())

    def _tell(self, news: list[EvacuationStatement]) -> None:
        self._run(self._send_to_some(EvacuationNotice(news)))

    def _check(self) -> None:
        """Asks other routers if one of the reasons to do so holds."""
        now, reach = self._clock.seconds(), self._connectivity()
        store_silent_s = now - reach.store_read_at
        has_recovered = reach.store_recovered_at != self._recovered_at
        if (
            self.asked
            and not has_recovered
            and store_silent_s < defaults.EVACUATION_STORE_SILENT_S
        ):
            return
        if reach.routers_known and not self._asking:
            self._recovered_at = reach.store_recovered_at
            self._asking = True
            self._run(self._ask())

    async def _ask(self) -> None:
        try:
            await self._send_to_some(EvacuationNotice(self._table.known()))
        finally:
            self._asking = False
            self.asked = True

    async def _send_to_some(self, notice: EvacuationNotice) -> None:
        routers = self._peers.names()
        count = min(len(routers), defaults.EVACUATION_FANOUT)
        sending = [
            defer.ensureDeferred(self._send(router, notice))
            for router in random.sample(routers, count)
        ]
        await defer.gatherResults(sending)

    async def _send(self, router: str, notice: EvacuationNotice) -> None:
        try:
            answer = await self._peers.exchange(router, notice)
        except EvacuationPeerError as error:
            if router not in self._silent:
                self._silent.add(router)
                emit(
                    "evacuation", "unanswered", router=router, reason=str(error)
                )
            return
        self._silent.discard(router)
        self._reader.receive(answer.statements)

    def _run(self, coroutine) -> None:
        running = defer.ensureDeferred(coroutine)
        running.addErrback(_log_failure)


def _log_failure(failure) -> None:
    emit("evacuation", "bug", reason=failure.getTraceback())
