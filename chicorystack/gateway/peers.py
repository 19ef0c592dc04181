"""Directory of routers, from records that the routers keep in the store."""

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.observe.events import emit
from chicorystack.store.follower import Follower, PollTiming, Update
from chicorystack.store.keyed_log import (
    KeyedLog,
    KeyedRecord,
    Partition,
    StoreError,
)
from chicorystack.util import backoff_delay
from chicorystack.web.exchange import Address


class RouterDirectory:
    """Registers this router and tracks the others and their addresses.

    A router that crashed without deregistering still counts. Counting too many
    is safe: it only makes each router's share of budgets and retries smaller.

    Attributes:
        address_by_name: Peer addresses of the other routers.
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
            PollTiming(0.0, defaults.ROUTERS_READ_PAUSE_S),
            self._apply_update,
        )

    def start(self) -> None:
        """Registers this router, then starts following the others."""
        defer.ensureDeferred(self._register())

    def count(self) -> int:
        """Returns the number of routers, including this one.

        Until the directory has been read, it is at least DEFAULT_ROUTER_COUNT.
        """
        known = 1 + len(self.address_by_name)
        if not self._follower.loaded:
            return max(defaults.DEFAULT_ROUTER_COUNT, known)
        return known

    async def deregister(self) -> None:
        """Deregisters this router."""
        self._follower.stop()
        try:
            await self._log.append(
                self._partition, [KeyedRecord(self._name, b"")]
            )
        except StoreError as error:
            emit("routers", "not_left", reason=str(error))

    async def _register(self) -> None:
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

    def _apply_update(self, update: Update) -> None:
        if update.is_snapshot:
            self.address_by_name = {}
        for record in update.records:
            if record.key != self._name:
                self._apply_record(record)
        emit("routers", "counted", others=self.address_by_name)

    def _apply_record(self, record: KeyedRecord) -> None:
        if not record.value:
            self.address_by_name.pop(record.key, None)
            return
        try:
            address = Address.parse(record.value.decode())
        except ValueError as error:
            emit("routers", "unreadable", router=record.key, reason=str(error))
            return
        self.address_by_name[record.key] = address
