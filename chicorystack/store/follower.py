"""Follows one partition: the newest of each key first, then each change."""

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.observe.events import emit
from chicorystack.store.keyed_log import (
    HistoryGoneError,
    KeyedLog,
    KeyedRecord,
    Partition,
    Records,
    StoreError,
)
from chicorystack.util import backoff_delay


class Pace(NamedTuple):
    """How often a partition is read.

    Attributes:
        wait_s: How long the store may hold a read until a record comes.
        pause_s: Pause between two reads.
    """

    wait_s: float
    pause_s: float = 0.0


class Update(NamedTuple):
    """What a read brought.

    Attributes:
        records: Records, in order.
        whole: Whether they are all keys there are, not only changes.
    """

    records: list[KeyedRecord]
    whole: bool


class Follower:
    """Delivers the records of a partition, through outages and lost history.

    Attributes:
        loaded: Whether the newest of each key have been read once.
        reached_at: Time on the clock of the last good answer.
        regained_at: Time on the clock when the store answered again after it
            had not; 0 where it always has.
    """

    def __init__(
        self,
        clock,
        log: KeyedLog,
        partition: Partition,
        pace: Pace,
        on_update: Callable[[Update], None],
    ):
        self._clock = clock
        self._log = log
        self._partition = partition
        self._pace = pace
        self._on_update = on_update
        self._end: int | None = None
        self._failures = 0
        self._stopped = False
        self.loaded = False
        self.reached_at = 0.0
        self.regained_at = 0.0

    def start(self) -> None:
        """Begins to follow."""
        running = defer.ensureDeferred(self._run())
        running.addErrback(self._start_again)

    def stop(self) -> None:
        """Ends after the read under way."""
        self._stopped = True

    async def _run(self) -> None:
        while not self._stopped:
            pause_s = await self._step()
            if pause_s:
                await task.deferLater(self._clock, pause_s)

    async def _step(self) -> float:
        """Reads once; returns the pause after it, in seconds."""
        try:
            found, whole = await self._read()
        except HistoryGoneError as error:
            self._note_gap(error)
            return 0.0
        except StoreError as error:
            self._note_failure(error)
            return backoff_delay(self._failures, defaults.STORE_RETRY_MAX_S)
        self._note_reached()
        self._end = found.end
        self.loaded = True
        if found.records or whole:
            self._on_update(Update(found.records, whole))
        return self._pace.pause_s

    async def _read(self) -> tuple[Records, bool]:
        if self._end is None:
            return await self._log.newest(self._partition), True
        found = await self._log.read(
            self._partition, self._end, self._pace.wait_s
        )
        return found, False

    def _note_gap(self, error: HistoryGoneError) -> None:
        emit(
            "store",
            "history_gone",
            topic=self._partition.topic,
            offset=self._end,
            reason=str(error),
        )
        self._end = None

    def _note_failure(self, error: StoreError) -> None:
        self._failures += 1
        if self._failures == defaults.STORE_LOST_AFTER_FAILURES:
            emit(
                "store",
                "lost",
                topic=self._partition.topic,
                reached_s_ago=round(self._clock.seconds() - self.reached_at, 3),
                reason=str(error),
            )

    def _note_reached(self) -> None:
        now = self._clock.seconds()
        if self._failures:
            self.regained_at = now
            emit(
                "store",
                "regained",
                topic=self._partition.topic,
                failures=self._failures,
            )
        self._failures = 0
        self.reached_at = now

    def _start_again(self, failure) -> None:
        """Reads all anew after a fault of the program itself."""
        emit(
            "store",
            "follower_failed",
            topic=self._partition.topic,
            reason=failure.getTraceback(),
        )
        self._end = None
        self._clock.callLater(defaults.FOLLOWER_RESTART_S, self.start)
