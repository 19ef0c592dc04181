"""Directory of routers, from records that the routers keep in the store.

The value of a router's record is `DATA_CENTRE@IP:PORT`.
"""

from typing import NamedTuple

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget.grants.holders import RouterPlace
from chicorystack.observe.events import emit
from chicorystack.observe.unreadable import unreadable_records
from chicorystack.store.follower import Follower, PollTiming, Update
from chicorystack.store.keyed_log import (
    KeyedLog,
    KeyedRecord,
    Partition,
    StoreError,
)
from chicorystack.util import backoff_delay
from chicorystack.web.exchange import Address


class PeerRouter(NamedTuple):
    """Another router.

    Attributes:
        data_centre: Its data centre.
        address: Address at which it listens for other routers.
    """

    data_centre: str
    address: Address

    @classmethod
    def parse(cls, text: str) -> "PeerRouter":
        """Returns the router of a record's value; raises ValueError."""
        data_centre, _, address = text.rpartition("@")
        return cls(data_centre, Address.parse(address))

    def __str__(self) -> str:
        return f"{self.data_centre}@{self.address}"


class RouterDirectory:
    """Registers this router and tracks the others.

    A router that crashed without deregistering still counts. Counting too many
    is safe: it only makes each router's share of budgets and retries smaller.

    Attributes:
        peer_by_name: The other routers.
        places: The other routers' places; replaced when they change.
    """

    def __init__(
        self, clock, log: KeyedLog, topic: str, name: str, own: PeerRouter
    ):
        """Starts with an empty directory.

        Args:
            clock: The reactor.
            log: The store.
            topic: Topic of the records.
            name: Name of this router.
            own: How the others reach this router.
        """
        self._clock = clock
        self._log = log
        self._partition = Partition(topic)
        self._name = name
        self._own = own
        # Whether the next snapshot may lack routers that are still there.
        self._keep_peers = False
        self.peer_by_name: dict[str, PeerRouter] = {}
        self.places: frozenset[RouterPlace] = frozenset()
        self._follower = Follower(
            clock,
            log,
            self._partition,
            PollTiming(0.0, defaults.ROUTERS_READ_PAUSE_S),
            self._apply_update,
            self._register_again,
        )

    def start(self) -> None:
        """Registers this router, then starts following the others."""
        registering = defer.ensureDeferred(self._register())
        registering.addCallback(lambda _: self._start_following())
        registering.addErrback(_log_failure)

    def _start_following(self) -> None:
        """Follows the others; reads often at first, as they may start too."""
        self._follower.start()
        for delay_s in defaults.ROUTERS_EARLY_READS_S:
            self._clock.callLater(delay_s, self._follower.read_soon)

    @property
    def loaded(self) -> bool:
        """Whether the other routers' records have been read once."""
        return self._follower.loaded

    def count(self) -> int:
        """Returns the number of routers, including this one.

        Until the directory has been read, it is at least DEFAULT_ROUTER_COUNT.
        """
        known = 1 + len(self.peer_by_name)
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
        record = KeyedRecord(self._name, str(self._own).encode())
        failures = 0
        while True:
            try:
                await self._log.append(self._partition, [record])
                return
            except StoreError:
                failures += 1
                await task.deferLater(
                    self._clock,
                    backoff_delay(failures, defaults.STORE_RETRY_MAX_S),
                )

    def _register_again(self) -> None:
        """Registers again in a store that may have lost the record."""
        self._keep_peers = True
        defer.ensureDeferred(self._register()).addErrback(_log_failure)

    def _apply_update(self, update: Update) -> None:
        if update.is_snapshot and not self._keep_peers:
            self.peer_by_name = {}
        self._keep_peers = False
        for record in update.records:
            if record.key != self._name:
                self._apply_record(record)
        self.places = frozenset(
            RouterPlace(name, peer.data_centre)
            for name, peer in self.peer_by_name.items()
        )
        others = {name: str(peer) for name, peer in self.peer_by_name.items()}
        emit("routers", "counted", others=others)

    def _apply_record(self, record: KeyedRecord) -> None:
        if not record.value:
            self.peer_by_name.pop(record.key, None)
            return
        try:
            peer = PeerRouter.parse(record.value.decode())
        except ValueError as error:
            unreadable_records.report("routers", record.key, error)
            return
        unreadable_records.forget("routers", record.key)
        self.peer_by_name[record.key] = peer


def _log_failure(failure) -> None:
    emit("routers", "bug", reason=failure.getTraceback())
