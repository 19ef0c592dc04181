"""Follows one partition: the newest record of each key, then each change."""

import math
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import defer, task
from twisted.python.failure import Failure

from chicorystack import defaults
from chicorystack.observe.events import emit
from chicorystack.observe.unreadable import unreadable_records
from chicorystack.store.keyed_log import (
    HistoryGoneError,
    KeyedLog,
    KeyedRecord,
    LogPosition,
    Partition,
    ReadResult,
    StoreError,
)
from chicorystack.util import backoff_delay


class PollTiming(NamedTuple):
    """How often a partition is read.

    Attributes:
        wait_s: How long the store may hold a read until a record arrives (long
            polling), in seconds.
        pause_s: Pause between two reads, in seconds.
        newest_only: Whether the newest record of each key is enough. After an
            outage, or while more records are due than one reply holds, the
            records between are then not read: over a slow link they would
            delay the newest.
    """

    wait_s: float
    pause_s: float = 0.0
    newest_only: bool = False


class Update(NamedTuple):
    """Records that a read returned.

    Attributes:
        records: The records, in order.
        is_snapshot: Whether they are a snapshot of all keys, not changes.
        era: The store's era; 0 if it has none.
        end: Offset after the partition's last record.
    """

    records: list[KeyedRecord]
    is_snapshot: bool
    era: int = 0
    end: int = 0


class Follower:
    """Delivers the records of a partition to a callback.

    It retries during outages of the store, and reads a new snapshot if the
    records to read next have been deleted or the store's era has changed. A
    record at which the callback raises an exception is passed over, and read
    again after FOLLOWER_REREAD_S.

    Attributes:
        loaded: Whether the newest record of each key has been read once.
        loaded_at: Clock time at which it was last read, in seconds; None
            before. Each change since then has been delivered.
        loaded_from: Position from which on each change has been delivered.
        read_began_at: Clock time at which the last read began that returned
            all that the partition then had, in seconds.
        last_response_at: Clock time of the last successful read, in seconds.
        recovered_at: Clock time of the first successful read after the last
            failure, in seconds; 0 if no read has failed.
    """

    def __init__(
        self,
        clock,
        log: KeyedLog,
        partition: Partition,
        timing: PollTiming,
        on_update: Callable[[Update], None],
        on_new_era: Callable[[], None] = lambda: None,
    ):
        """Prepares to follow a partition.

        Args:
            clock: The reactor.
            log: The store.
            partition: The partition.
            timing: How often to read.
            on_update: Called with the records of each read that returns any.
            on_new_era: Called when the store has come back from an older copy,
                before the snapshot of the new era is read.
        """
        self._clock = clock
        self._log = log
        self._partition = partition
        self._timing = timing
        self._on_update = on_update
        self._on_new_era = on_new_era
        self._era = 0
        self._end: int | None = None
        self._failures = 0
        self._stopped = False
        self._pause: defer.Deferred | None = None
        self._read_soon = False
        # Time at which all records are read again as some were passed over.
        self._reread_at = math.inf
        self.loaded = False
        self.loaded_at: float | None = None
        self.loaded_from = LogPosition()
        self.read_began_at = 0.0
        self.last_response_at = 0.0
        self.recovered_at = 0.0

    @property
    def read_to(self) -> LogPosition:
        """How far the partition has been read; before a snapshot, nowhere."""
        return LogPosition(self._era, self._end or 0)

    def start(self) -> None:
        """Starts following."""
        running = defer.ensureDeferred(self._run())
        running.addErrback(self._restart)

    def stop(self) -> None:
        """Stops after the read in flight."""
        self._stopped = True

    def read_soon(self) -> None:
        """Skips the pause before the next read, or the one in progress."""
        self._read_soon = True
        if self._pause is not None:
            self._pause.cancel()

    async def _run(self) -> None:
        while not self._stopped:
            self._read_soon = False
            pause_s = await self._poll()
            if pause_s and not self._read_soon:
                await self._wait(pause_s)

    async def _wait(self, pause_s: float) -> None:
        self._pause = task.deferLater(self._clock, pause_s)
        try:
            await self._pause
        except defer.CancelledError:
            return
        finally:
            self._pause = None

    async def _poll(self) -> float:
        """Reads once; returns the pause before the next read, in seconds."""
        began_at = self._clock.seconds()
        if began_at >= self._reread_at:
            self._reread_at, self._end = math.inf, None
        try:
            page, is_snapshot = await self._read()
        except HistoryGoneError as error:
            self._note_era()
            self._handle_history_gone(error)
            return 0.0
        except StoreError as error:
            self._record_failure(error)
            return backoff_delay(self._failures, defaults.STORE_RETRY_MAX_S)
        self._record_success()
        if self._note_era():
            return 0.0
        self._end = page.end
        if is_snapshot:
            self.loaded = True
            self.loaded_at = self._clock.seconds()
            self.loaded_from = self.read_to
        if page.records or is_snapshot:
            self._deliver(
                Update(page.records, is_snapshot, self._era, page.end)
            )
        if page.records and page.partition_end > page.end:
            # The store limits the size of a reply.
            self._skip_to_newest()
            return 0.0
        self.read_began_at = began_at
        return self._timing.pause_s

    def _deliver(self, update: Update) -> None:
        """Delivers an update, without the records at which that fails.

        A record may be delivered twice.
        """
        error = self._try_deliver(update)
        if error is None:
            return
        failed = {}
        for record in update.records:
            one = update._replace(records=[record], is_snapshot=False)
            record_error = self._try_deliver(one)
            if record_error is not None:
                failed[record] = record_error
        for record, record_error in failed.items():
            self._report_record(record, record_error)
            now = self._clock.seconds()
            self._reread_at = now + defaults.FOLLOWER_REREAD_S
        if not failed:
            self._report_failure(error)
        if update.is_snapshot:
            good = [r for r in update.records if r not in failed]
            error = self._try_deliver(update._replace(records=good))
            if error is not None:
                self._report_failure(error)

    def _try_deliver(self, update: Update) -> Exception | None:
        try:
            self._on_update(update)
        except Exception as error:
            return error
        return None

    def _report_record(self, record: KeyedRecord, error: Exception) -> None:
        key = f"{self._partition.topic}:{record.key}"
        if unreadable_records.report("store", key, error):
            self._report_failure(error)

    def _report_failure(self, error: Exception) -> None:
        emit(
            "store",
            "follower_failed",
            topic=self._partition.topic,
            reason=Failure(
                error, type(error), error.__traceback__
            ).getTraceback(),
        )

    async def _read(self) -> tuple[ReadResult, bool]:
        if self._end is None:
            return await self._log.read_newest(self._partition), True
        page = await self._log.read(
            self._partition, self._end, self._timing.wait_s
        )
        return page, False

    def _skip_to_newest(self) -> None:
        if self._timing.newest_only:
            self._end = None

    def _note_era(self) -> bool:
        """Notes the store's era; returns whether a new one has begun."""
        before, self._era = self._era, self._log.era
        if before in (0, self._era):
            return False
        emit(
            "store", "new_era", topic=self._partition.topic, before=before,
            now=self._era, offset=self._end,
        )  # fmt: skip
        self._end = None
        self.recovered_at = self._clock.seconds()
        self._on_new_era()
        return True

    def _handle_history_gone(self, error: HistoryGoneError) -> None:
        emit(
            "store",
            "history_gone",
            topic=self._partition.topic,
            offset=self._end,
            reason=str(error),
        )
        self._end = None

    def _record_failure(self, error: StoreError) -> None:
        self._failures += 1
        if self._failures == defaults.STORE_LOST_AFTER_FAILURES:
            self._skip_to_newest()
            emit(
                "store",
                "lost",
                topic=self._partition.topic,
                reached_s_ago=round(
                    self._clock.seconds() - self.last_response_at, 3
                ),
                reason=str(error),
            )

    def _record_success(self) -> None:
        now = self._clock.seconds()
        if self._failures:
            self.recovered_at = now
            emit(
                "store",
                "regained",
                topic=self._partition.topic,
                failures=self._failures,
            )
        self._failures = 0
        self.last_response_at = now

    def _restart(self, failure) -> None:
        """Starts again with a new snapshot after an unexpected exception."""
        self._report_failure(failure.value)
        self._end = None
        self._clock.callLater(defaults.FOLLOWER_RESTART_DELAY_S, self.start)
