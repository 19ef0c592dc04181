"""Detects requests that crash targets and shares their strikes.

Requests have keys: a digest of their content, and the prompt parts that other
requests may share. When a target crashes, each key of the requests that were
running there gets a strike, even if it did not cause the crash. The strikes of
the keys of a request that completes are cleared. Requests with a key to blame
(see `quarantine.blame`) are refused by all routers: each router publishes its
strikes in the store and follows those of the others.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec
from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.decoding import JsonDecoder
from chicorystack.errors import ApiError
from chicorystack.gateway.messages import Call, Refusal
from chicorystack.gateway.targets import TargetEntry
from chicorystack.observe.events import emit
from chicorystack.observe.unreadable import unreadable_records
from chicorystack.quarantine import blame
from chicorystack.quarantine.strikes import StrikeMessage, StrikeTable
from chicorystack.store.follower import Follower, PollTiming, Update
from chicorystack.store.keyed_log import (
    KeyedLog,
    KeyedRecord,
    Partition,
    StoreError,
)
from chicorystack.util import backoff_delay

_decoder = JsonDecoder(list[StrikeMessage])


class _InterruptedRun(NamedTuple):
    """A call whose connection broke while it was running.

    Attributes:
        keys: Keys of the request: that of its content, then those of the parts
            of its prompt.
        interrupted_at: Clock time when the connection broke, in seconds.
    """

    keys: tuple[str, ...]
    interrupted_at: float


class CrashDetector:
    """Gives strikes to requests that were running when a target crashed.

    A broken connection alone does not show a crash, as a live target may lose
    a response. A target has crashed if, soon after, it refuses connections or
    its registration is removed.
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
        self._interrupted_by_target: dict[
            tuple[str, int], list[_InterruptedRun]
        ] = {}

    def refusal(self, call: Call) -> Refusal | None:
        """Returns why a call may not run; None unless it is quarantined."""
        try:
            blame.check(self._strikes, call.crash_keys)
        except ApiError as error:
            message = f"{error}: {call.content_hash}"
            retry_s = error.retry_after_ms / 1000
            return Refusal(503, error.code, message, retry_s)
        return None

    def record_broken_connection(
        self, target: TargetEntry, keys: tuple[str, ...]
    ) -> None:
        """Records that a call's connection to its target broke."""
        recent = self._recent_runs(target)
        recent.append(_InterruptedRun(keys, self._clock.seconds()))
        self._interrupted_by_target[target.incarnation] = recent

    def record_target_down(self, target: TargetEntry) -> None:
        """Records that a target refuses connections or has been removed."""
        runs = [run.keys for run in self._recent_runs(target)]
        keys = {key for run in runs for key in run}
        self._interrupted_by_target.pop(target.incarnation, None)
        if not keys:
            return
        self._strikes.record_crash(
            target.id,
            keys,
            incarnation=str(target.started_ms or ""),
            parts_by_content={
                content: tuple(parts[: defaults.MAX_STRIKE_PARTS])
                for content, *parts in runs
            },
        )
        for key in keys:
            if not self._strikes.count(key):
                # It has completed a run lately.
                continue
            emit(
                "crashes", "strike", target=target.id, content=key,
                strikes=self._strikes.count(key), together=len(keys),
            )  # fmt: skip
            self._on_change(key)

    def record_response(self, keys: Iterable[str]) -> None:
        """Records a response to a request, which clears its keys' strikes."""
        for key in keys:
            suspect = self._strikes.count(key) > 0
            self._strikes.record_completed(key)
            if suspect:
                emit("crashes", "cleared", content=key)
                self._on_change(key)

    def _recent_runs(self, target: TargetEntry) -> list[_InterruptedRun]:
        """Returns calls whose connection broke within CRASH_CONFIRM_S."""
        since = self._clock.seconds() - defaults.CRASH_CONFIRM_S
        runs = self._interrupted_by_target.get(target.incarnation, [])
        return [run for run in runs if run.interrupted_at >= since]


class StrikeReplicator:
    """Shares strikes between routers through the store."""

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
        self._unpublished: set[str] = set()
        self._publishing = False
        self._follower = Follower(
            clock,
            log,
            self._partition,
            PollTiming(0.0, defaults.STRIKES_READ_PAUSE_S),
            self._apply_update,
            self._publish_again,
        )

    def start(self) -> None:
        """Starts following the other routers' strikes."""
        self._follower.start()

    def publish(self, content: str) -> None:
        """Publishes a request's strikes without waiting for the store.

        After the strikes have expired, the record is written again without a
        value, which deletes it.
        """
        self._unpublished.add(content)
        if self._strikes.messages(content):
            self._schedule_deletion(content)
        if not self._publishing:
            self._publishing = True
            publishing = defer.ensureDeferred(self._publish_all())
            publishing.addErrback(_log_publish_failure)
            publishing.addBoth(self._on_published)

    def _publish_again(self) -> None:
        """Publishes all strikes in a store that may have lost some."""
        for content in {m["content"] for m in self._strikes.messages()}:
            self.publish(content)

    def _on_published(self, _result) -> None:
        self._publishing = False

    async def _publish_all(self) -> None:
        failures = 0
        while self._unpublished:
            contents, self._unpublished = self._unpublished, set()
            records = [self._record(content) for content in contents]
            try:
                await self._log.append(self._partition, records)
            except StoreError as error:
                failures += 1
                self._unpublished |= contents
                if failures == 1:
                    emit("crashes", "not_written", reason=str(error))
                delay_s = backoff_delay(failures, defaults.STORE_RETRY_MAX_S)
                await task.deferLater(self._clock, delay_s)

    def _record(self, content: str) -> KeyedRecord:
        messages = self._strikes.messages(content)
        value = msgspec.json.encode(messages) if messages else b""
        return KeyedRecord(f"{content}/{self._router}", value)

    def _apply_update(self, update: Update) -> None:
        for record in update.records:
            if record.value:
                self._apply_record(record)

    def _apply_record(self, record: KeyedRecord) -> None:
        """Merges the strikes that a router has published.

        An own record that holds unknown strikes is of an earlier process on
        this VM, which can no longer delete it.
        """
        content, _, router = record.key.rpartition("/")
        try:
            changed = self._strikes.merge(_decoder.decode(record.value))
        except msgspec.DecodeError as error:
            unreadable_records.report("crashes", record.key, error)
            return
        unreadable_records.forget("crashes", record.key)
        if not changed:
            return
        emit(
            "crashes", "told", content=content, router=router,
            strikes=self._strikes.count(content),
        )  # fmt: skip
        if router == self._router:
            self._schedule_deletion(content)

    def _schedule_deletion(self, content: str) -> None:
        """Publishes a request's strikes again once they have expired."""
        self._clock.callLater(
            defaults.QUARANTINE_S + 1.0, self.publish, content
        )


def _log_publish_failure(failure) -> None:
    emit("crashes", "bug", reason=failure.getTraceback())
