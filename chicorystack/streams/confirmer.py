"""Confirms that a connection led, or leads, to a target's known version.

This router reads the registry for it. If it cannot, others are asked, which
read it themselves: a router that is out of step may be the only one that does
not know.
"""

import enum

from twisted.internet import defer

from chicorystack import defaults
from chicorystack.observe.events import emit
from chicorystack.streams.messages import (
    RunAnswer,
    RunQuery,
    StreamPeerError,
    StreamPeers,
    TargetRun,
)
from chicorystack.streams.registry_reader import RegistryReader
from chicorystack.streams.runs import RunHistory


class _Failure(enum.Enum):
    """Why a router gave no answer."""

    NOT_RUNNING = "not_running"
    SILENT = "silent"


class RunConfirmer:
    """Confirms runs of targets, and answers other routers."""

    def __init__(
        self,
        clock,
        runs: RunHistory,
        reader: RegistryReader,
        peers: StreamPeers,
    ):
        self._clock = clock
        self._runs = runs
        self._reader = reader
        self._peers = peers

    async def confirm(self, run: TargetRun, connected_at: float) -> bool:
        """Returns whether a connection led to a run of this run's version.

        Args:
            run: The run that the registry had shown before.
            connected_at: Clock time at which the connection had been opened,
                in seconds.
        """
        confirmed = self._runs.has_answered(run, connected_at)
        if confirmed is None:
            wait_s = (
                defaults.RUN_READ_WAIT_S
                if self._reader.answered_lately()
                else defaults.RUN_READ_SHORT_WAIT_S
            )
            confirmed = await self._read(run, connected_at, wait_s)
        asked = confirmed is None
        if confirmed is None:
            confirmed = await self._ask(run)
        if confirmed is None:
            confirmed = await self._read(
                run, connected_at, defaults.RUN_READ_LAST_WAIT_S
            )
        if asked or not confirmed:
            emit(
                "streams", "checked", target=run.target, version=run.version,
                confirmed=bool(confirmed), others_asked=asked,
            )  # fmt: skip
        return bool(confirmed)

    async def _read(
        self, run: TargetRun, connected_at: float, wait_s: float
    ) -> bool | None:
        """Waits for a read of the registry; returns None if there is none."""
        if not await self._reader.read_since(connected_at, wait_s):
            return None
        return self._runs.has_answered(run, connected_at) or False

    async def answer(self, query: RunQuery) -> RunAnswer:
        """Answers another router by a new read, or the last one."""
        now = self._clock.seconds()
        is_read = await self._reader.read_since(
            now, defaults.RUN_READ_SHORT_WAIT_S
        )
        shown_at = now if is_read else self._reader.reads.began_at
        confirmed = self._runs.has_answered(query.run, shown_at)
        return RunAnswer(confirmed, is_read)

    async def _ask(self, run: TargetRun) -> bool | None:
        """Asks some routers, then all others unless one of these has read.

        If none can read, the store is away for all: then what they have read
        last counts. Few may be silent, as those may be the ones that can.

        Returns:
            None if too many are silent, or none answers.
        """
        routers = self._peers.witness_candidates()
        answered = silent = 0
        for some in (
            routers[: defaults.RUN_ASKED_ROUTERS],
            routers[defaults.RUN_ASKED_ROUTERS :],
        ):
            results = await self._ask_some(some, run)
            answers = [r for r in results if isinstance(r, RunAnswer)]
            if any(answer.confirmed is False for answer in answers):
                return False
            if any(answer.confirmed and answer.is_read for answer in answers):
                return True
            answered += len(answers)
            silent += results.count(_Failure.SILENT)
        most_silent = len(routers) // defaults.RUN_ROUTERS_PER_SILENT
        return True if answered and silent <= most_silent else None

    async def _ask_some(
        self, routers: list[str], run: TargetRun
    ) -> list["RunAnswer | _Failure"]:
        asking = [
            defer.ensureDeferred(self._ask_one(router, run))
            for router in routers
        ]
        return await defer.gatherResults(asking)

    async def _ask_one(
        self, router: str, run: TargetRun
    ) -> "RunAnswer | _Failure":
        try:
            return await self._peers.query_run(router, RunQuery(run))
        except StreamPeerError as error:
            emit("streams", "unanswered", router=router, reason=str(error))
            if error.not_running:
                return _Failure.NOT_RUNNING
            return _Failure.SILENT
