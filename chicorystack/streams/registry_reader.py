"""Reads of the registry of targets: when they began, and waits for new ones."""

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import task

from chicorystack import defaults
from chicorystack.store.keyed_log import LogPosition


class RegistryReads(NamedTuple):
    """When the registry of targets was read.

    Attributes:
        complete_since: Clock time since which each change has been read, in
            seconds; None before the first complete read.
        began_at: Clock time when the last successful read began, in seconds.
        complete_from: Position from which on each change has been read.
        read_to: How far the registry has been read.
    """

    complete_since: float | None
    began_at: float
    complete_from: LogPosition = LogPosition()
    read_to: LogPosition = LogPosition()


class RegistryReader:
    """Waits for reads of the registry."""

    def __init__(
        self,
        clock,
        reads: Callable[[], RegistryReads],
        read_soon: Callable[[], None],
    ):
        """Prepares to wait.

        Args:
            clock: The reactor.
            reads: Returns when the registry was read.
            read_soon: Lets it be read again at once.
        """
        self._clock = clock
        self._reads = reads
        self._read_soon = read_soon
        self._next_read_at = 0.0

    @property
    def reads(self) -> RegistryReads:
        """When the registry was read."""
        return self._reads()

    def answered_lately(self) -> bool:
        """Returns whether the store has answered a read of late."""
        age_s = self._clock.seconds() - self.reads.began_at
        return age_s <= defaults.REGISTRY_FRESH_S

    async def read_since(self, at: float, wait_s: float) -> bool:
        """Waits for a read of the registry that begins at that time or later.

        Args:
            at: Clock time in seconds.
            wait_s: How long to wait, in seconds.

        Returns:
            Whether one has ended in time.
        """
        give_up_at = self._clock.seconds() + wait_s
        if self.reads.began_at < at:
            self._schedule_read()
        while self.reads.began_at < at:
            if self._clock.seconds() >= give_up_at:
                return False
            await task.deferLater(self._clock, defaults.REGISTRY_FRESH_CHECK_S)
        return True

    def _schedule_read(self) -> None:
        """Schedules one read for all that wait, some time after the last.

        Many streams may break at once; each read is a call of the store.
        """
        now = self._clock.seconds()
        if self._next_read_at > now:
            return
        gap_s = (
            defaults.REGISTRY_READ_GAP_S
            if self.answered_lately()
            else defaults.REGISTRY_RETRY_GAP_S
        )
        self._next_read_at = max(now, self._next_read_at + gap_s)
        self._clock.callLater(self._next_read_at - now, self._read_soon)
