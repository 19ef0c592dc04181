"""Writes snapshots of the version in force before its record expires."""

from collections.abc import Callable

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.config.log_state import ConfigLogState
from chicorystack.config.messages import CONFIG_STREAM, ConfigSnapshot
from chicorystack.errors import ApiError
from chicorystack.infrastructure.log_client import LogClient
from chicorystack.observe.logs import part_logger
from chicorystack.util import new_id
from chicorystack.web.client import UnreachableError

log = part_logger("config")
# Readers of this rank and above all have the same delay.
MAX_STAGGERED_RANK = 8


class SnapshotSchedule:
    """Decides when a reader of the log appends a snapshot.

    Any record that contains the version in force restarts the timer of all
    readers. The delay grows with a reader's rank, so that usually only one
    reader appends, and the next one does if those before it are gone. Clocks
    of different processes are never compared: the age of a record from before
    this reader's start is unknown, so the first snapshot is due soon.

    Attributes:
        next_at: Time, on the given clock, at which the next snapshot is due.
    """

    def __init__(self, clock, retention_s: float, rank: Callable[[], int]):
        self._clock = clock
        self._interval_s = retention_s / 4
        self._rank = rank
        self.next_at = self._time_after(defaults.CONFIG_SNAPSHOT_DELAY_S)

    def handle_record(self, live: bool) -> None:
        """Restarts the timer after a record with the version in force.

        Args:
            live: Whether the record was read as it was appended. Records read
                while catching up are ignored.
        """
        if live:
            self.next_at = self._time_after(self._interval_s)

    def is_due(self) -> bool:
        """Returns whether to append a snapshot now."""
        return self._clock.seconds() >= self.next_at

    def _time_after(self, delay_s: float) -> float:
        stagger_s = min(self._rank(), MAX_STAGGERED_RANK) * self._interval_s / 8
        delay_s = min(delay_s, self._interval_s)
        return self._clock.seconds() + delay_s + stagger_s


def build_snapshot(log_state: ConfigLogState) -> ConfigSnapshot | None:
    """Returns a snapshot of the version in force; None if it is unknown."""
    if log_state.latest is None or not log_state.is_complete:
        return None
    return ConfigSnapshot(
        kind="config_kept",
        id=new_id(),
        version=log_state.latest.version,
        offset=log_state.latest.offset,
        read_to=log_state.next_offset,
        publication=log_state.latest.record,
    )


class SnapshotWriter:
    """Appends snapshots to the config stream when they are due."""

    def __init__(
        self,
        reactor,
        log_client: LogClient,
        log_state: ConfigLogState,
        schedule: SnapshotSchedule,
        is_caught_up: Callable[[], bool],
    ):
        self._log_client = log_client
        self._log_state = log_state
        self._schedule = schedule
        self._is_caught_up = is_caught_up
        self._loop = task.LoopingCall(self._check_schedule)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts checking the schedule."""
        self._loop.start(defaults.CONFIG_POLL_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stops checking the schedule."""
        if self._loop.running:
            self._loop.stop()

    def _check_schedule(self):
        if not self._is_caught_up() or not self._schedule.is_due():
            return None
        return defer.ensureDeferred(self._append_snapshot())

    async def _append_snapshot(self) -> None:
        record = build_snapshot(self._log_state)
        if record is None:
            return
        try:
            await self._log_client.append(CONFIG_STREAM, record)
        except (UnreachableError, ApiError) as error:
            log.warning(
                "could not append a snapshot of the version in force: {}", error
            )
            return
        self._schedule.handle_record(live=True)
        log.info("appended a snapshot of version {}", record["version"])
