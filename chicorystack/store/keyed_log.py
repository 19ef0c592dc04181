"""The log that keeps the newest record of each key, as the product sees it."""

from typing import NamedTuple, Protocol

from chicorystack.errors import ChicoryError


class StoreError(ChicoryError):
    """The store did not do what was asked.

    Attributes:
        maybe_done: Whether it may have been done, or may yet be.
    """

    def __init__(self, message: str, maybe_done: bool = False):
        super().__init__(message)
        self.maybe_done = maybe_done


class HistoryGoneError(StoreError):
    """The records asked for have been deleted; only the newest are left."""


class ConflictError(StoreError):
    """The partition has grown beyond the expected end.

    Attributes:
        end: Offset after its last record.
    """

    def __init__(self, end: int):
        super().__init__(f"the partition ends at {end}")
        self.end = end


class Partition(NamedTuple):
    """One partition of a topic."""

    topic: str
    number: int = 0


class KeyedRecord(NamedTuple):
    """One record.

    Attributes:
        key: Its key.
        value: Its value; empty where the key is dropped.
        offset: Its offset; -1 before it is appended.
    """

    key: str
    value: bytes
    offset: int = -1


class Records(NamedTuple):
    """Records of a partition, in order.

    Attributes:
        records: The records.
        end: Offset from which to read on.
    """

    records: list[KeyedRecord]
    end: int


class KeyedLog(Protocol):
    """The store's calls; each raises StoreError where it fails."""

    async def newest(self, partition: Partition) -> Records:
        """Returns the newest record of each key."""

    async def read(
        self, partition: Partition, start: int, wait_s: float
    ) -> Records:
        """Returns records from an offset on; waits for one up to `wait_s`.

        Raises:
            HistoryGoneError: If records from there on have been deleted.
        """

    async def append(
        self,
        partition: Partition,
        records: list[KeyedRecord],
        expected_end: int | None = None,
    ) -> int:
        """Appends records, all or none; returns the first one's offset.

        Raises:
            ConflictError: If the partition does not end as expected.
        """
