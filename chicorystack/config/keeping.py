"""Keeps the version in force alive past the log's retention."""

from collections.abc import Callable

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.config.fold import ConfigFold
from chicorystack.config.messages import CONFIG_STREAM, ConfigKept
from chicorystack.errors import ApiError
from chicorystack.infrastructure.log_client import LogClient
from chicorystack.observe.logs import part_logger
from chicorystack.util import new_id
from chicorystack.web.client import UnreachableError

log = part_logger("config")
# After so many ranks all wait equally long.
RANKS_STAGGERED = 8


class KeepSchedule:
    """Decides when a reader of the log states the version in force again.

    Any record that carries the version starts the time anew at all readers.
    Readers wait longer by their rank, so that usually one appends, and
    whoever is left does where those before it are gone. No clock is compared
    with another's: the age of a record that was there before this reader is
    not known, and it is stated again soon.

    Attributes:
        keep_at: Time on the clock to append at.
    """

    def __init__(self, clock, retention_s: float, rank: Callable[[], int]):
        self._clock = clock
        self._interval_s = retention_s / 4
        self._rank = rank
        self.keep_at = self._after(defaults.CONFIG_KEEP_GRACE_S)

    def note_carried(self, seen_live: bool) -> None:
        """Takes note of a record that carries the version in force.

        Args:
            seen_live: Whether it was read as it came, rather than on catching
                up.
        """
        if seen_live:
            self.keep_at = self._after(self._interval_s)

    def due(self) -> bool:
        """Tells whether to append now."""
        return self._clock.seconds() >= self.keep_at

    def _after(self, wait_s: float) -> float:
        stagger_s = min(self._rank(), RANKS_STAGGERED) * self._interval_s / 8
        wait_s = min(wait_s, self._interval_s)
        return self._clock.seconds() + wait_s + stagger_s


def kept_record(fold: ConfigFold) -> ConfigKept | None:
    """Returns a record that states what is in force; None where unknown."""
    if fold.latest is None or not fold.based:
        return None
    return ConfigKept(
        kind="config_kept",
        id=new_id(),
        version=fold.latest.version,
        offset=fold.latest.offset,
        read_to=fold.next_offset,
        publication=fold.latest.record,
    )


class ConfigKeeping:
    """Appends `config_kept` records when the schedule says so."""

    def __init__(
        self,
        reactor,
        log_client: LogClient,
        fold: ConfigFold,
        schedule: KeepSchedule,
        reads_log: Callable[[], bool],
    ):
        self._log_client = log_client
        self._fold = fold
        self._schedule = schedule
        self._reads_log = reads_log
        self._loop = task.LoopingCall(self._review)
        self._loop.clock = reactor

    def start(self) -> None:
        """Begins to watch the schedule."""
        self._loop.start(defaults.CONFIG_POLL_S, now=False)

    def stop(self) -> None:
        """Stops watching."""
        if self._loop.running:
            self._loop.stop()

    def _review(self):
        if not self._reads_log() or not self._schedule.due():
            return None
        return defer.ensureDeferred(self._keep())

    async def _keep(self) -> None:
        record = kept_record(self._fold)
        if record is None:
            return
        try:
            await self._log_client.append(CONFIG_STREAM, record)
        except (UnreachableError, ApiError) as error:
            log.warning("the version in force was not stated: {}", error)
            return
        self._schedule.note_carried(seen_live=True)
        log.info("stated version {} again in the log", record["version"])
