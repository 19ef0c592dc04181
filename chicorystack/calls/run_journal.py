"""Keeps a target's runs in the log, so that they outlive its agent.

An intent stands in the log, and has been read back under this process's own
claim, before its call runs. A successor claims the stream, which voids all
later records of its predecessor, and answers 'unknown' for every intent
without a result.

While the log does not answer for long, the owner goes on from memory and
appends afterwards. A successor sees such a silence in the log and answers
'unknown' for all keys that it does not know, for the window.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.calls.run_records import (
    NotesRecord,
    OwnerRecord,
    RunFold,
    RunNote,
    run_stream,
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
    """Returns how often an owner may append, in seconds.

    All owners of the fleet together stay within FLEET_RUN_APPENDS_PER_S.
    """
    owners = sum(
        len(service.target_by_name)
        for site in config.site_by_name.values()
        for service in site.service_by_name.values()
        if service.runs_once
    )
    fair_s = owners / defaults.FLEET_RUN_APPENDS_PER_S
    return max(defaults.RUN_APPEND_INTERVAL_S, fair_s)


class _Pending(NamedTuple):
    """A note to append, and who waits for it."""

    note: RunNote
    waiter: defer.Deferred


class RunJournal:
    """The owner's side of a target's stream of runs.

    Attributes:
        owner: Incarnation id of this process.
        fold: The stream as read so far.
        active: Whether this process owns the target's keys.
        superseded: Whether another process has followed; this is for good.
        append_interval_s: Least time between two appends, in seconds.
        from_memory: Whether calls run before their intent is in the log.
    """

    def __init__(
        self,
        clock,
        client: LogClient,
        target: str,
    ):
        self._clock = clock
        self._client = client
        self._stream = run_stream(target)
        self._active_listeners: list[Callable[[RunFold], None]] = []
        self._follower = LogFollower(clock, client, self._stream, self._deliver)
        self._pending: list[_Pending] = []
        self._read_back: dict[str, defer.Deferred] = {}
        self._ready_waiters: list[defer.Deferred] = []
        self._running: defer.Deferred | None = None
        self._acknowledged_at = 0.0
        self._down_s = 0.0
        self.append_interval_s = defaults.RUN_APPEND_INTERVAL_S
        self.owner = new_id()
        self.fold = RunFold()
        self.active = False
        self.superseded = False
        self.from_memory = False

    def on_active(self, listener: Callable[[RunFold], None]) -> None:
        """Calls listener with what the log knows once this process owns."""
        self._active_listeners.append(listener)

    def start(self) -> None:
        """Reads the stream, claims it and begins to append."""
        if self._running is None:
            self._follower.start()
            self._running = defer.ensureDeferred(self._run())
            self._running.addErrback(_log_failure)

    def stop(self) -> None:
        """Ends reading and appending, as the loss of the process would."""
        self._follower.stop()
        if self._running is not None:
            self._running.cancel()

    def ready(self) -> "defer.Deferred[None]":
        """Returns a Deferred that fires once this process owns the keys."""
        waiter: defer.Deferred[None] = defer.Deferred()
        if self.superseded:
            waiter.errback(_superseded())
        elif self.active:
            waiter.callback(None)
        else:
            self._ready_waiters.append(waiter)
        return waiter

    def note(self, note: RunNote) -> "defer.Deferred[None]":
        """Appends a note with the next batch.

        Returns:
            A Deferred that fires once the note counts: it has been read back
            or the owner goes on from memory. It fails with NotOwnerError
            where another process has followed.
        """
        waiter: defer.Deferred[None] = defer.Deferred()
        if self.superseded:
            waiter.errback(_superseded())
            return waiter
        self._pending.append(_Pending(note, waiter))
        if self.from_memory and self._within_memory_limit():
            waiter.callback(None)
        return waiter

    async def release(self) -> None:
        """Ends ownership, so that the successor has nothing to doubt."""
        give_up_at = self._clock.seconds() + defaults.CONTROL_TIMEOUT_S
        while self._pending or self._read_back:
            if self._clock.seconds() >= give_up_at:
                return
            await self._pause(self.append_interval_s)
        if not self.active or self.from_memory:
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
        await self._append(claim, [])
        self.active = self.fold.owner == self.owner
        if not self.active:
            self._give_way()
            return
        for listener in self._active_listeners:
            listener(self.fold)
        _fire(self._ready_waiters)
        self._ready_waiters = []
        while True:
            await self._append_notes()
            await self._pause(self.append_interval_s)

    async def _append_notes(self) -> None:
        silent_s = self._clock.seconds() - self._acknowledged_at
        if not self._pending and silent_s < defaults.OWNER_PRESENCE_S:
            return
        limit = defaults.RUN_NOTES_PER_APPEND
        batch, self._pending = self._pending[:limit], self._pending[limit:]
        record = self._batch([pending.note for pending in batch])
        waiters = [pending.waiter for pending in batch]
        try:
            await self._append(record, waiters)
        except NotOwnerError:
            _fail(waiters)
            raise
        _fire(waiters)

    def _batch(self, notes: list[RunNote]) -> NotesRecord:
        return NotesRecord(
            kind="runs_noted", id=new_id(), owner=self.owner, notes=notes
        )

    async def _append(
        self,
        record: OwnerRecord | NotesRecord,
        waiters: list[defer.Deferred],
    ) -> None:
        """Appends a record until it has been read back."""
        while not self.superseded:
            began = self._clock.seconds()
            if await self._append_once(record):
                self._acknowledged_at = self._clock.seconds()
                self._down_s = 0.0
                self.from_memory = False
                return
            await self._pause(defaults.LOG_RETRY_INITIAL_S)
            self._note_failure(began)
            if self.from_memory and self._within_memory_limit():
                _fire(waiters)
        raise _superseded()

    async def _append_once(self, record: OwnerRecord | NotesRecord) -> bool:
        seen: defer.Deferred[None] = defer.Deferred()
        self._read_back[record["id"]] = seen
        try:
            await self._client.append(self._stream, record)
            seen.addTimeout(defaults.CONTROL_TIMEOUT_S, self._clock)
            await seen
        except (UnreachableError, ApiError, defer.TimeoutError) as error:
            log.warning("append failed; will retry: {!r}", error)
            return False
        finally:
            self._read_back.pop(record["id"], None)
        return True

    def _note_failure(self, began: float) -> None:
        """Goes on from memory once the log has been seen down for long.

        A pause of this process counts as one step only: it says nothing of
        the log.
        """
        step_s = self._clock.seconds() - began
        self._down_s += min(step_s, defaults.OUTAGE_STEP_MAX_S)
        if not self.active or self._down_s < defaults.OWNER_MEMORY_AFTER_S:
            return
        if not self.from_memory:
            log.warning("the log is down; runs calls from memory")
        self.from_memory = True
        if self._within_memory_limit():
            _fire(pending.waiter for pending in self._pending)

    def _within_memory_limit(self) -> bool:
        silent_s = self._clock.seconds() - self._acknowledged_at
        return silent_s < defaults.OWNER_MEMORY_MAX_S

    def _deliver(self, entry: LogEntry) -> None:
        record_id = self.fold.deliver(entry)
        if self.active and self.fold.owner != self.owner:
            self._give_way()
        if record_id in self._read_back:
            waiter = self._read_back[record_id]
            if not waiter.called:
                waiter.callback(None)

    def _give_way(self) -> None:
        if self.superseded:
            return
        log.warning("another process owns this target's keys now")
        self.superseded = True
        self.active = False
        self.from_memory = False
        _fail(pending.waiter for pending in self._pending)
        _fail(self._ready_waiters)
        self._pending = []
        self._ready_waiters = []

    def _pause(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._clock, seconds)


def _fire(waiters: Iterable[defer.Deferred]) -> None:
    for waiter in list(waiters):
        if not waiter.called:
            waiter.callback(None)


def _fail(waiters: Iterable[defer.Deferred]) -> None:
    for waiter in list(waiters):
        if not waiter.called:
            waiter.errback(_superseded())


def _superseded() -> NotOwnerError:
    return NotOwnerError("another process owns this target's keys")


def _log_failure(failure) -> None:
    if failure.check(defer.CancelledError, NotOwnerError):
        return
    log.opt(exception=failure.value).error("the journal stopped")
