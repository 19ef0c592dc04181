"""Interface of the store: a log that keeps the newest record of each key."""

from typing import NamedTuple, Protocol

from chicorystack.errors import ChicoryError


class StoreError(ChicoryError):
    """A call of the store failed.

    Attributes:
        maybe_done: Whether the call may have taken effect, or still may.
    """

    def __init__(self, message: str, maybe_done: bool = False):
        super().__init__(message)
        self.maybe_done = maybe_done


class HistoryGoneError(StoreError):
    """The requested records have been deleted; only the newest are left."""


class ConflictError(StoreError):
    """The partition does not end at the expected offset.

    Attributes:
        end: Offset after its last record.
    """

    def __init__(self, end: int):
        super().__init__(f"the partition ends at offset {end}")
        self.end = end


class Partition(NamedTuple):
    """One partition of a topic.

    Attributes:
        topic: Name of the topic.
        number: Number of the partition within the topic.
    """

    topic: str
    number: int = 0


class KeyedRecord(NamedTuple):
    """One record.

    Attributes:
        key: Its key.
        value: Its value; empty if the key is deleted.
        offset: Its offset; -1 before it is appended.
    """

    key: str
    value: bytes
    offset: int = -1


class LogPosition(NamedTuple):
    """How far a partition has been read; later positions compare higher.

    Attributes:
        era: The store's era.
        offset: Offset to read from next, in that era.
    """

    era: int = 0
    offset: int = 0


class ReadResult(NamedTuple):
    """Records of a partition, in order.

    Attributes:
        records: The records.
        end: Offset to read from next.
        partition_end: Offset after the partition's last record; 0 if unknown.
            It is higher than `end` if the store returned a part only.
    """

    records: list[KeyedRecord]
    end: int
    partition_end: int = 0


class KeyedLog(Protocol):
    """Calls of the store; each raises StoreError if it fails.

    Attributes:
        era: Number of the store's history, as of its last response; 0 before
            the first. It rises when the store comes back from an older copy:
            the newest records are gone and their offsets are given out again.
    """

    era: int

    async def read_newest(self, partition: Partition) -> ReadResult:
        """Returns the newest record of each key."""

    async def read(
        self, partition: Partition, start: int, wait_s: float
    ) -> ReadResult:
        """Returns records from an offset on.

        Args:
            partition: The partition.
            start: Offset of the first record to return.
            wait_s: How long to wait, in seconds, if there is no record yet.

        Raises:
            HistoryGoneError: If records from that offset on have been deleted.
        """

    async def append(
        self,
        partition: Partition,
        records: list[KeyedRecord],
        expected_end: int | None = None,
    ) -> int:
        """Appends all records or none; returns the offset of the first.

        Args:
            partition: The partition.
            records: Records to append.
            expected_end: Offset at which the partition must end; None to
                append unconditionally.

        Raises:
            ConflictError: If the partition does not end there.
        """
