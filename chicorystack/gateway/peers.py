"""Which routers there are, from a record that each keeps in the store."""

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
from chicorystack.web.exchange import Address


class RouterDirectory:
    """Knows routers and where they answer others.

    One that died without a word still counts: counting too many only makes
    shares of budgets and retries smaller.

    Attributes:
        address_by_name: The other routers.
    """

    def __init__(
        self, clock, log: KeyedLog, topic: str, name: str, address: Address
    ):
        self._clock = clock
        self._log = log
        self._partition = Partition(topic)
        self._name = name
        self._address = address
        self.address_by_name: dict[str, Address] = {}
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
        known = 1 + len(self.address_by_name)
        if not self._follower.loaded:
            return max(defaults.ROUTERS_ASSUMED, known)
        return known

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
        record = KeyedRecord(self._name, str(self._address).encode())
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
            self.address_by_name = {}
        for record in update.records:
            if record.key != self._name:
                self._note(record)
        emit("routers", "counted", others=self.address_by_name)

    def _note(self, record: KeyedRecord) -> None:
        if not record.value:
            self.address_by_name.pop(record.key, None)
            return
        try:
            address = Address.parse(record.value.decode())
        except ValueError as error:
            emit("routers", "unreadable", router=record.key, reason=str(error))
            return
        self.address_by_name[record.key] = address
