"""How many routers there are, from a record that each keeps in the store."""

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.observe.events import emit
from chicorystack.store.follower import Follower, Pace, Update
from chicorystack.store.keyed_log import (
    KeyedLog,
    KeyedRecord,
    Partition,
    StoreError,
)
from chicorystack.util import backoff_delay

PRESENT = b"1"


class RouterDirectory:
    """Counts routers; one that died without a word still counts.

    Counting too many only makes shares of budgets and retries smaller.
    """

    def __init__(self, clock, log: KeyedLog, topic: str, name: str):
        self._clock = clock
        self._log = log
        self._partition = Partition(topic)
        self._name = name
        self._names = {name}
        self._follower = Follower(
            clock,
            log,
            self._partition,
            Pace(0.0, defaults.ROUTERS_READ_PAUSE_S),
            self._update,
        )

    def start(self) -> None:
        """Enters this router and begins to count."""
        defer.ensureDeferred(self._enter())

    def count(self) -> int:
        """Returns the number of routers, this one included."""
        if not self._follower.loaded:
            return max(defaults.ROUTERS_ASSUMED, len(self._names))
        return len(self._names)

    async def leave(self) -> None:
        """Takes this router's record back."""
        self._follower.stop()
        try:
            await self._log.append(
                self._partition, [KeyedRecord(self._name, b"")]
            )
        except StoreError as error:
            emit("routers", "not_left", reason=str(error))

    async def _enter(self) -> None:
        record = KeyedRecord(self._name, PRESENT)
        failures = 0
        while True:
            try:
                await self._log.append(self._partition, [record])
                break
            except StoreError:
                failures += 1
                await task.deferLater(
                    self._clock,
                    backoff_delay(failures, defaults.STORE_RETRY_MAX_S),
                )
        self._follower.start()

    def _update(self, update: Update) -> None:
        if update.whole:
            self._names = {self._name}
        for record in update.records:
            if record.value:
                self._names.add(record.key)
            elif record.key != self._name:
                self._names.discard(record.key)
        emit("routers", "counted", routers=sorted(self._names))
