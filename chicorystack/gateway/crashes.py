"""Requests that crash the targets that run them, by content.

A target that dies takes all calls on it along. Each of their contents gets a
strike, the innocent ones too; a content that ends a run is cleared. At the
limit of strikes a content is refused, at all routers: each writes its strikes
to the store, and follows those of the others.
"""

from collections.abc import Callable
from typing import NamedTuple

import msgspec
from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.gateway.targets import TargetEntry
from chicorystack.observe.events import emit
from chicorystack.quarantine.strikes import StrikeMessage, StrikeTable
from chicorystack.store.follower import Follower, Pace, Update
from chicorystack.store.keyed_log import (
    KeyedLog,
    KeyedRecord,
    Partition,
    StoreError,
)
from chicorystack.util import backoff_delay

_decoder = msgspec.json.Decoder(list[StrikeMessage])


class _BrokenRun(NamedTuple):
    """A run that ended with its connection.

    Attributes:
        content: What was asked.
        broken_at: Time on the clock.
    """

    content: str
    broken_at: float


class CrashWatch:
    """Tells which contents ran on targets that died.

    A connection that breaks is no death yet: a target may lose an answer and
    live. It has died if it refuses connections soon after, or is gone.
    """

    def __init__(
        self,
        clock,
        strikes: StrikeTable,
        on_change: Callable[[str], None],
    ):
        self._clock = clock
        self._strikes = strikes
        self._on_change = on_change
        self._broken_by_target: dict[tuple[str, int], list[_BrokenRun]] = {}

    def note_broken(self, target: TargetEntry, content: str) -> None:
        """Takes a run that ended with its connection."""
        recent = self._recent(target)
        recent.append(_BrokenRun(content, self._clock.seconds()))
        self._broken_by_target[target.incarnation] = recent

    def note_dead(self, target: TargetEntry) -> None:
        """Takes that a target refuses connections, or is gone."""
        contents = {run.content for run in self._recent(target)}
        self._broken_by_target.pop(target.incarnation, None)
        if not contents:
            return
        self._strikes.note_death(target.id, contents)
        for content in contents:
            emit(
                "crashes", "strike", target=target.id, content=content,
                strikes=self._strikes.count(content), together=len(contents),
            )  # fmt: skip
            self._on_change(content)

    def note_answered(self, content: str) -> None:
        """Takes that a target has lived through a run."""
        suspect = self._strikes.count(content) > 0
        self._strikes.note_completed(content)
        if suspect:
            emit("crashes", "cleared", content=content)
            self._on_change(content)

    def _recent(self, target: TargetEntry) -> list[_BrokenRun]:
        """Returns the runs that broke off a moment ago."""
        since = self._clock.seconds() - defaults.CRASH_CONFIRM_S
        runs = self._broken_by_target.get(target.incarnation, [])
        return [run for run in runs if run.broken_at >= since]


class StrikeShare:
    """Passes this router's strikes to the others, and takes theirs."""

    def __init__(
        self,
        clock,
        log: KeyedLog,
        topic: str,
        router: str,
        strikes: StrikeTable,
    ):
        self._clock = clock
        self._log = log
        self._partition = Partition(topic)
        self._router = router
        self._strikes = strikes
        self._unwritten: set[str] = set()
        self._writing = False
        self._follower = Follower(
            clock,
            log,
            self._partition,
            Pace(0.0, defaults.STRIKES_READ_PAUSE_S),
            self._update,
        )

    def start(self) -> None:
        """Begins to follow the other routers' strikes."""
        self._follower.start()

    def write(self, content: str) -> None:
        """Writes a content's strikes soon; the record goes as they lapse."""
        self._unwritten.add(content)
        if self._strikes.messages(content):
            self._clock.callLater(
                defaults.QUARANTINE_S + 1.0, self.write, content
            )
        if not self._writing:
            self._writing = True
            writing = defer.ensureDeferred(self._write_all())
            writing.addErrback(_note_bug)
            writing.addBoth(self._note_written)

    def _note_written(self, _result) -> None:
        self._writing = False

    async def _write_all(self) -> None:
        failures = 0
        while self._unwritten:
            contents, self._unwritten = self._unwritten, set()
            records = [self._record(content) for content in contents]
            try:
                await self._log.append(self._partition, records)
            except StoreError as error:
                failures += 1
                self._unwritten |= contents
                if failures == 1:
                    emit("crashes", "not_written", reason=str(error))
                delay_s = backoff_delay(failures, defaults.STORE_RETRY_MAX_S)
                await task.deferLater(self._clock, delay_s)

    def _record(self, content: str) -> KeyedRecord:
        messages = self._strikes.messages(content)
        value = msgspec.json.encode(messages) if messages else b""
        return KeyedRecord(f"{content}/{self._router}", value)

    def _update(self, update: Update) -> None:
        for record in update.records:
            content, _, router = record.key.rpartition("/")
            if router == self._router or not record.value:
                continue
            try:
                news = self._strikes.merge(_decoder.decode(record.value))
            except msgspec.DecodeError as error:
                emit("crashes", "unreadable", reason=str(error))
                continue
            if news:
                emit(
                    "crashes", "told", content=content, router=router,
                    strikes=self._strikes.count(content),
                )  # fmt: skip


def _note_bug(failure) -> None:
    emit("crashes", "bug", reason=failure.getTraceback())
