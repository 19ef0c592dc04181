"""Records a target's runs in the log, so that they survive its agent.

Before a call runs, its intent is appended to the log and read back under this
process's own claim. A successor claims the stream, which invalidates all later
records of its predecessor, and reports 'unknown' for every intent without a
result.

During a long outage of the log, the owner keeps the state of calls in memory
only and appends their updates afterwards. A successor detects such a gap in
the log and reports 'unknown' for all keys that it does not know, for the key
window.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.calls.run_records import (
    JournalState,
    OwnerRecord,
    RunUpdate,
    RunUpdatesRecord,
    run_stream_name,
)
from chicorystack.config.model import FleetConfig
from chicorystack.errors import ApiError, ChicoryError
from chicorystack.infrastructure.log_client import LogClient, LogFollower
from chicorystack.infrastructure.messages import LogEntry
from chicorystack.observe.logs import part_logger
from chicorystack.util import new_id
from chicorystack.web.client import UnreachableError

log = part_logger("run-journal")


class NotOwnerError(ChicoryError):
    """Another process has claimed the target's keys."""


def append_interval_s(config: FleetConfig) -> float:
    """Returns the minimum time between an owner's appends, in seconds.

    All owners of the fleet together stay within FLEET_RUN_APPENDS_PER_S.
    """
    owners = sum(
        len(service.target_by_name)
        for site in config.site_by_name.values()
        for service in site.service_by_name.values()
        if service.runs_once
    )
    fair_share_s = owners / defaults.FLEET_RUN_APPENDS_PER_S
    return max(defaults.RUN_APPEND_INTERVAL_S, fair_share_s)


class _PendingUpdate(NamedTuple):
    """An update to append, and the Deferred of its caller."""

    update: RunUpdate
    waiter: defer.Deferred


class RunJournal:
    """Reads, claims and appends to a target's stream of runs.

    Attributes:
        owner: Incarnation id of this process.
        state: State from the part of the stream read so far.
        active: Whether this process owns the target's keys.
        superseded: Whether another process has claimed the keys; permanent.
        append_interval_s: Minimum time between two appends, in seconds.
        memory_only: Whether calls run before their intent is in the log, as
            the log is down.
    """

    def __init__(
        self,
        clock,
        client: LogClient,
        target: str,
    ):
        self._clock = clock
        self._client = client
        self._stream = run_stream_name(target)
        self._active_listeners: list[Callable[[JournalState], None]] = []
        self._follower = LogFollower(
            clock, client, self._stream, self._apply_entry
        )
        self._pending: list[_PendingUpdate] = []
        self._read_back_by_id: dict[str, defer.Deferred] = {}
        self._ready_waiters: list[defer.Deferred] = []
        self._running: defer.Deferred | None = None
        self._acknowledged_at = 0.0
        self._outage_s = 0.0
        self.append_interval_s = defaults.RUN_APPEND_INTERVAL_S
        self.owner = new_id()
        self.state = JournalState()
        self.active = False
        self.superseded = False
        self.memory_only = False

    def on_active(self, listener: Callable[[JournalState], None]) -> None:
        """Registers a listener, called once this process owns the keys.

        Args:
            listener: Called with the journal's state.
        """
        self._active_listeners.append(listener)

    def start(self) -> None:
        """Reads the stream, claims it and starts to append."""
        if self._running is None:
            self._follower.start()
            self._running = defer.ensureDeferred(self._run())
            self._running.addErrback(_log_failure)

    def stop(self) -> None:
        """Stops reading and appending without releasing the keys."""
        self._follower.stop()
        if self._running is not None:
            self._running.cancel()

    def ready(self) -> "defer.Deferred[None]":
        """Returns a Deferred that fires once this process owns the keys.

        It fails with NotOwnerError if another process has claimed them.
        """
        waiter: defer.Deferred[None] = defer.Deferred()
        if self.superseded:
            waiter.errback(_superseded_error())
        elif self.active:
            waiter.callback(None)
        else:
            self._ready_waiters.append(waiter)
        return waiter

    def append(self, update: RunUpdate) -> "defer.Deferred[None]":
        """Appends an update with the next batch.

        Returns:
            A Deferred that fires once the update is in effect: it has been
            read back, or the journal is in memory-only mode. It fails with
            NotOwnerError if another process has claimed the keys.
        """
        waiter: defer.Deferred[None] = defer.Deferred()
        if self.superseded:
            waiter.errback(_superseded_error())
            return waiter
        self._pending.append(_PendingUpdate(update, waiter))
        if self.memory_only and self._within_memory_limit():
            waiter.callback(None)
        return waiter

    async def release(self) -> None:
        """Releases the keys, so that no key is uncertain to the successor.

        It keeps them if updates are still pending after CONTROL_TIMEOUT_S, or
        if the journal is in memory-only mode.
        """
        deadline = self._clock.seconds() + defaults.CONTROL_TIMEOUT_S
        while self._pending or self._read_back_by_id:
            if self._clock.seconds() >= deadline:
                return
            await self._pause(self.append_interval_s)
        if not self.active or self.memory_only:
            return
        self.stop()
        self.active = False
        record = OwnerRecord(
            kind="owner_released", id=new_id(), owner=self.owner
        )
        await self._client.append(self._stream, record)

    async def _run(self) -> None:
        while not self._follower.caught_up:
            await self._pause(self.append_interval_s)
        claim = OwnerRecord(kind="owner_claimed", id=new_id(), owner=self.owner)
        await self._append_record(claim, [])
        self.active = self.state.owner == self.owner
        if not self.active:
            self._step_down()
            return
        for listener in self._active_listeners:
            listener(self.state)
        _fire_all(self._ready_waiters)
        self._ready_waiters = []
        while True:
            await self._append_batch()
            await self._pause(self.append_interval_s)

    async def _append_batch(self) -> None:
        since_ack_s = self._clock.seconds() - self._acknowledged_at
        if (
            not self._pending
            and since_ack_s < defaults.OWNER_HEARTBEAT_INTERVAL_S
        ):
            return
        limit = defaults.RUN_UPDATES_PER_APPEND
        batch, self._pending = self._pending[:limit], self._pending[limit:]
        record = self._batch_record([pending.update for pending in batch])
        waiters = [pending.waiter for pending in batch]
        try:
            await self._append_record(record, waiters)
        except NotOwnerError:
            _fail_all(waiters)
            raise
        _fire_all(waiters)

    def _batch_record(self, updates: list[RunUpdate]) -> RunUpdatesRecord:
        return RunUpdatesRecord(
            kind="runs_noted", id=new_id(), owner=self.owner, notes=updates
        )

    async def _append_record(
        self,
        record: OwnerRecord | RunUpdatesRecord,
        waiters: list[defer.Deferred],
    ) -> None:
        """Retries an append until the record has been read back."""
        while not self.superseded:
            started_at = self._clock.seconds()
            if await self._append_once(record):
                self._acknowledged_at = self._clock.seconds()
                self._outage_s = 0.0
                self.memory_only = False
                return
            await self._pause(defaults.LOG_RETRY_INITIAL_S)
            self._record_append_failure(started_at)
            if self.memory_only and self._within_memory_limit():
                _fire_all(waiters)
        raise _superseded_error()

    async def _append_once(
        self, record: OwnerRecord | RunUpdatesRecord
    ) -> bool:
        read_back: defer.Deferred[None] = defer.Deferred()
        self._read_back_by_id[record["id"]] = read_back
        try:
            await self._client.append(self._stream, record)
            read_back.addTimeout(defaults.CONTROL_TIMEOUT_S, self._clock)
            await read_back
        except (UnreachableError, ApiError, defer.TimeoutError) as error:
            log.warning("append failed; will retry: {!r}", error)
            return False
        finally:
            self._read_back_by_id.pop(record["id"], None)
        return True

    def _record_append_failure(self, started_at: float) -> None:
        """Switches to memory-only mode after a long outage of the log.

        One failure adds at most OUTAGE_STEP_MAX_S, as a pause of this process
        says nothing about the log.
        """
        step_s = self._clock.seconds() - started_at
        self._outage_s += min(step_s, defaults.OUTAGE_STEP_MAX_S)
        if not self.active or self._outage_s < defaults.MEMORY_ONLY_AFTER_S:
            return
        if not self.memory_only:
            log.warning("the log is down; keeping call states in memory only")
        self.memory_only = True
        if self._within_memory_limit():
            _fire_all(pending.waiter for pending in self._pending)

    def _within_memory_limit(self) -> bool:
        since_ack_s = self._clock.seconds() - self._acknowledged_at
        return since_ack_s < defaults.MEMORY_ONLY_MAX_S

    def _apply_entry(self, entry: LogEntry) -> None:
        record_id = self.state.apply(entry)
        if self.active and self.state.owner != self.owner:
            self._step_down()
        if record_id in self._read_back_by_id:
            waiter = self._read_back_by_id[record_id]
            if not waiter.called:
                waiter.callback(None)

    def _step_down(self) -> None:
        if self.superseded:
            return
        log.warning("another process owns this target's keys now")
        self.superseded = True
        self.active = False
        self.memory_only = False
        _fail_all(pending.waiter for pending in self._pending)
        _fail_all(self._ready_waiters)
        self._pending = []
        self._ready_waiters = []

    def _pause(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._clock, seconds)


def _fire_all(waiters: Iterable[defer.Deferred]) -> None:
    for waiter in list(waiters):
        if not waiter.called:
            waiter.callback(None)


def _fail_all(waiters: Iterable[defer.Deferred]) -> None:
    for waiter in list(waiters):
        if not waiter.called:
            waiter.errback(_superseded_error())


def _superseded_error() -> NotOwnerError:
    return NotOwnerError("another process owns this target's keys")


def _log_failure(failure) -> None:
    if failure.check(defer.CancelledError, NotOwnerError):
        return
    log.opt(exception=failure.value).error(
        "the run journal stopped after an error"
    )
