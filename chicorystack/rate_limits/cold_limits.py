"""Which targets are cold, until when, and how many calls they accept.

A cold target accepts few calls a second. Several sources say for how long it
is cold: its entry, its answers, the cancelled evacuation of its data centre and
other routers. Each may be late, so the one counts that says longest. A
statement ends by its time or by a newer one of the same source.
"""

import enum
from collections.abc import Callable, Iterable
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.gateway.model import ServiceSpec
from chicorystack.gateway.targets import TargetEntry, TargetRegistry
from chicorystack.observe.events import emit
from chicorystack.observe.exposition import cold_targets
from chicorystack.rate_limits.messages import ColdStatement, Incarnation
from chicorystack.rate_limits.pacing import ColdBounds


class ColdSource(enum.Enum):
    """Who says that a target is cold.

    ENTRY is the target's entry, START its first entry as a new incarnation,
    RETURN the cancelled evacuation of its data centre, ANSWER the target's own
    answer, PEER an answer that another router has had, and REQUEST another
    router's request for a permit.
    """

    ENTRY = "entry"
    START = "start"
    RETURN = "return"
    ANSWER = "answer"
    PEER = "peer"
    REQUEST = "request"


# What a newer entry of the target overrides.
ENTRY_SOURCES = (ColdSource.ENTRY, ColdSource.START, ColdSource.RETURN)
# What routers tell each other. The rest is known to each from the store, or
# must end for all once it has ended for one.
SHARED_SOURCES = (ColdSource.ANSWER, ColdSource.PEER)


class RecentlyCold(NamedTuple):
    """A target that was cold and has turned warm.

    Attributes:
        calls_per_s: Calls a second that it accepted while it was cold.
        warm_since: Clock time at which it turned warm, in seconds.
    """

    calls_per_s: float
    warm_since: float


class _Record:
    """What is known of one incarnation.

    Attributes:
        service: Its service; None if it is not known from the registry.
        peer_rate_per_s: Rate that another router has stated.
        sequence: Sequence number of its newest entry.
        returned_at: Clock time of its data centre's last return, in seconds.
        until_by_source: Clock times until which it is cold, in seconds.
        reported: Whether it was last logged as cold.
    """

    def __init__(self):
        self.service: str | None = None
        self.peer_rate_per_s = 0.0
        self.sequence = 0
        self.returned_at: float | None = None
        self.until_by_source: dict[ColdSource, float] = {}
        self.reported = False

    def until(self, sources: Iterable[ColdSource] = ColdSource) -> float:
        """Returns the latest time that these sources state; 0 for none."""
        return max(
            (self.until_by_source.get(source, 0.0) for source in sources),
            default=0.0,
        )


class ColdLimits:
    """Limits of cold targets, by incarnation.

    Attributes:
        bounds: Bounds on the calls of all routers to a cold target.
    """

    def __init__(
        self,
        clock,
        registry: TargetRegistry,
        find_service: Callable[[str], ServiceSpec | None],
        bounds: ColdBounds,
    ):
        """Starts without cold targets and follows the registry.

        Args:
            clock: The reactor.
            registry: The targets.
            find_service: Returns the configuration of a service, if known.
            bounds: Bounds on the calls of all routers to a cold target.
        """
        self._clock = clock
        self._registry = registry
        self._find_service = find_service
        self._record_by_incarnation: dict[Incarnation, _Record] = {}
        # Registered incarnations whose entry has been read.
        self._seen: set[Incarnation] = set()
        self._cold_listeners: list[Callable[[], None]] = []
        self.bounds = bounds
        registry.on_registered(self._record_entry)
        registry.on_removed(self._remove)

    def on_cold(self, listener: Callable[[], None]) -> None:
        """Calls listener when a target may have become cold."""
        self._cold_listeners.append(listener)

    def limit(self, incarnation: Incarnation) -> float | None:
        """Returns the calls a second that a target accepts; None for any."""
        record = self._record_by_incarnation.get(incarnation)
        if record is None or record.until() <= self._clock.seconds():
            return None
        return self._calls_per_s(record)

    def recently_cold(self, incarnation: Incarnation) -> RecentlyCold | None:
        """Returns since when a target is warm; None if it was never cold."""
        record = self._record_by_incarnation.get(incarnation)
        if record is None or not record.until():
            return None
        if record.until() > self._clock.seconds():
            return None
        calls_per_s = self._calls_per_s(record)
        if calls_per_s is None:
            return None
        return RecentlyCold(calls_per_s, record.until())

    def active(self) -> list[Incarnation]:
        """Returns the cold targets that limit the rate of calls."""
        self._drop_unregistered()
        active = []
        for incarnation, record in self._record_by_incarnation.items():
            is_cold = self.limit(incarnation) is not None
            if is_cold:
                active.append(incarnation)
            elif record.reported:
                record.reported = False
                emit("rate_limits", "warm", target=incarnation[0])
        cold_targets.set(len(active))
        return active

    def shared(self) -> list[ColdStatement]:
        """Returns what targets have answered, for other routers."""
        now = self._clock.seconds()
        return [
            ColdStatement(*incarnation, calls_per_s, until - now)
            for incarnation, record in self._record_by_incarnation.items()
            if (until := record.until(SHARED_SOURCES)) > now
            and (calls_per_s := self._calls_per_s(record)) is not None
        ]

    def merge(self, statements: Iterable[ColdStatement]) -> bool:
        """Merges another router's statements; returns whether any was news."""
        changed = False
        for statement in statements:
            incarnation = statement.incarnation
            if self._extend(incarnation, ColdSource.PEER, statement.cold_s):
                record = self._record_by_incarnation[incarnation]
                record.peer_rate_per_s = statement.calls_per_s
                self._notify(incarnation, ColdSource.PEER)
                changed = True
        return changed

    def record_answer(self, entry: TargetEntry, cold_s: float) -> bool:
        """Records for how long a target stays cold, by its answer.

        Answers may overtake each other, so they only extend the time.

        Returns:
            Whether that was news.
        """
        if not self._extend(entry.incarnation, ColdSource.ANSWER, cold_s):
            return False
        self._record_by_incarnation[entry.incarnation].service = entry.service
        self._notify(entry.incarnation, ColdSource.ANSWER)
        return True

    def record_request(
        self, incarnation: Incarnation, calls_per_s: float
    ) -> None:
        """Records that another router asks for permits of a cold target.

        It may know of the target before this router does. If it has read the
        same entry later, it takes the target for cold a little longer.
        """
        known = self._record_by_incarnation.get(incarnation)
        now = self._clock.seconds()
        if known is not None:
            others = [s for s in ColdSource if s is not ColdSource.REQUEST]
            if known.until(others) + defaults.COLD_ENTRY_DELAY_S > now:
                return
        record = self._record(incarnation)
        record.peer_rate_per_s = calls_per_s
        until = now + defaults.COLD_REQUEST_S
        record.until_by_source[ColdSource.REQUEST] = until
        self._notify(incarnation, ColdSource.REQUEST)

    def record_return(self, data_centre: str) -> None:
        """Takes all targets of a data centre for cold after its evacuation.

        This ends with an entry written after it, or after the time for which a
        target of the service is cold when it starts.
        """
        now = self._clock.seconds()
        for entry in self._registry.entry_by_id.values():
            start_s = self._start_s(entry.service)
            if entry.zone != data_centre or not start_s:
                continue
            record = self._record(entry.incarnation)
            record.service = entry.service
            record.sequence = max(record.sequence, entry.sequence)
            record.returned_at = now
            record.until_by_source[ColdSource.RETURN] = now + start_s
            self._notify(entry.incarnation, ColdSource.RETURN)

    def _record_entry(self, target_id: str) -> None:
        entry = self._registry.entry_by_id[target_id]
        is_first = entry.incarnation not in self._seen
        self._seen.add(entry.incarnation)
        known = self._record_by_incarnation.get(entry.incarnation)
        if known is None and entry.warmup_s <= 0:
            return
        if (
            known is not None
            and not is_first
            and entry.sequence <= known.sequence
        ):
            return
        record = self._record(entry.incarnation)
        record.service = entry.service
        record.sequence = entry.sequence
        self._apply_entry(record, entry)
        if entry.warmup_s > 0:
            # What is in the store as this router starts may have started long
            # ago.
            if is_first and self._registry.loaded:
                until = self._clock.seconds() + self._start_s(entry.service)
                record.until_by_source[ColdSource.START] = until
            self._notify(entry.incarnation, ColdSource.ENTRY)

    def _apply_entry(self, record: _Record, entry: TargetEntry) -> None:
        """Replaces what former entries have stated."""
        now = self._clock.seconds()
        for source in ENTRY_SOURCES:
            until = record.until_by_source.get(source, 0.0)
            if until > now and self._is_overridden(record, source):
                record.until_by_source[source] = now
        if entry.warmup_s > 0:
            warmup_s = min(entry.warmup_s, defaults.COLD_MAX_S)
            record.until_by_source[ColdSource.ENTRY] = now + warmup_s

    def _is_overridden(self, record: _Record, source: ColdSource) -> bool:
        """Returns whether an entry read now ends what a source has stated."""
        now = self._clock.seconds()
        if source is ColdSource.RETURN:
            return now - record.returned_at >= defaults.COLD_ENTRY_DELAY_S
        return True

    def _extend(
        self, incarnation: Incarnation, source: ColdSource, cold_s: float
    ) -> bool:
        """Extends the time of a source; returns whether it was news."""
        until = self._clock.seconds() + min(cold_s, defaults.COLD_MAX_S)
        known = self._record_by_incarnation.get(incarnation)
        known_until = 0.0 if known is None else known.until(SHARED_SOURCES)
        now = self._clock.seconds()
        if until < max(now, known_until) + defaults.COLD_EXTENSION_MIN_S:
            return False
        self._record(incarnation).until_by_source[source] = until
        return True

    def _calls_per_s(self, record: _Record) -> float | None:
        """Returns the rate of a cold target; None if it has no limit."""
        spec = record.service and self._find_service(record.service)
        calls_per_s = spec.cold_per_s if spec else record.peer_rate_per_s
        if not calls_per_s:
            return None
        return max(calls_per_s, defaults.RATE_LIMIT_MIN_PER_S)

    def _start_s(self, service: str) -> float:
        spec = self._find_service(service)
        if spec is None or not spec.cold_per_s:
            return 0.0
        return min(spec.cold_start_s, defaults.COLD_MAX_S)

    def _record(self, incarnation: Incarnation) -> _Record:
        return self._record_by_incarnation.setdefault(incarnation, _Record())

    def _notify(self, incarnation: Incarnation, source: ColdSource) -> None:
        calls_per_s = self.limit(incarnation)
        if calls_per_s is None:
            return
        record = self._record_by_incarnation[incarnation]
        if not record.reported:
            record.reported = True
            emit(
                "rate_limits", "cold", target=incarnation[0],
                source=source.value, calls_per_s=calls_per_s,
                left_s=round(record.until() - self._clock.seconds(), 3),
            )  # fmt: skip
        for listener in self._cold_listeners:
            listener()

    def _drop_unregistered(self) -> None:
        """Discards what others have stated of targets that have left."""
        now = self._clock.seconds()
        outdated = [
            incarnation
            for incarnation, record in self._record_by_incarnation.items()
            if record.until() <= now
            and not self._registry.is_registered(incarnation)
        ]
        for incarnation in outdated:
            del self._record_by_incarnation[incarnation]

    def _remove(self, entry: TargetEntry) -> None:
        self._seen.discard(entry.incarnation)
        self._record_by_incarnation.pop(entry.incarnation, None)
