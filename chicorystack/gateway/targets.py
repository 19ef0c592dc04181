"""Registry of targets, and which of them accept new calls.

Targets register themselves in the store. A target that is draining, or whose
entry has been removed, gets no new calls. Entries that expire during an outage
of the store are kept for a short time after its recovery, so that live targets
can register again.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.observe.events import emit
from chicorystack.web.exchange import Address


class TargetEntry(NamedTuple):
    """Registration of a target.

    Attributes:
        id: ID of the target; it may be the same after a restart.
        started_ms: Unix time of its start in milliseconds; distinguishes
            incarnations with the same ID.
        service: Service that it offers.
        address: Address that it listens on.
        zone: Its data centre.
        slots: Requests that it can run concurrently.
        ready: Whether it accepts new calls.
        sequence: Sequence number of the entry; increases within an
            incarnation.
        warmup_s: Remaining warm-up time after its start, in which it is slow.
        version: Version of its software; empty if it states none.
    """

    id: str
    started_ms: int
    service: str
    address: Address
    zone: str
    slots: int
    ready: bool
    sequence: int = 0
    warmup_s: float = 0.0
    version: str = ""

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identifies one run of the target, from its start to its end."""
        return self.id, self.started_ms

    def continues(self, other: "TargetEntry") -> bool:
        """Returns whether the target runs as it did at another entry."""
        return (self.incarnation, self.version) == (
            other.incarnation,
            other.version,
        )

    def is_older_than(self, other: "TargetEntry") -> bool:
        """Returns whether this entry precedes another of the same ID."""
        return (self.started_ms, self.sequence) < (
            other.started_ms,
            other.sequence,
        )


class StoreStatus(NamedTuple):
    """Connectivity to the store.

    Attributes:
        last_response_at: Clock time of the last successful read, in seconds.
        recovered_at: Clock time of the first successful read after the last
            outage, in seconds; 0 if there was no outage.
    """

    last_response_at: float
    recovered_at: float


class TargetRegistry:
    """Registered targets by ID.

    Attributes:
        entry_by_id: Current entries.
        disputed_by_id: Newest entries in the store that are of an earlier
            start than the current ones: they came late, or the time of day of
            the target's VM is behind.
        loaded: Whether the entries have been read at least once; while they
            are read for the first time, it is not set yet.
    """

    def __init__(self, clock, store_status: Callable[[], StoreStatus]):
        self._clock = clock
        self._store_status = store_status
        self._remove_at_by_id: dict[str, float] = {}
        # Last entries of removed incarnations: a store that comes back from an
        # older copy still has them.
        self._removed_by_incarnation: dict[tuple[str, int], TargetEntry] = {}
        self._removal_listeners: list[Callable[[TargetEntry], None]] = []
        self._missing_listeners: list[Callable[[TargetEntry], None]] = []
        self._registration_listeners: list[Callable[[str], None]] = []
        self.entry_by_id: dict[str, TargetEntry] = {}
        self.disputed_by_id: dict[str, TargetEntry] = {}
        self.loaded = False

    def on_removed(self, listener: Callable[[TargetEntry], None]) -> None:
        """Calls listener with each incarnation that is removed or replaced.

        One that states another version than before counts as replaced.
        """
        self._removal_listeners.append(listener)

    def on_missing(self, listener: Callable[[TargetEntry], None]) -> None:
        """Calls listener with each entry that the store no longer has."""
        self._missing_listeners.append(listener)

    def on_registered(self, listener: Callable[[str], None]) -> None:
        """Calls listener with a target's ID each time it writes its entry."""
        self._registration_listeners.append(listener)

    def apply(
        self, entries: Iterable[tuple[str, TargetEntry | None]], snapshot: bool
    ) -> None:
        """Applies an update of entries by ID.

        Args:
            entries: Entries, in the store's order; None for one that was
                deleted or cannot be decoded.
            snapshot: Whether the entries are complete, so that all other
                targets are missing.
        """
        listed = set()
        for target_id, entry in entries:
            listed.add(target_id)
            if entry is None:
                self._mark_missing(target_id)
            else:
                self._apply_entry(entry)
        if snapshot:
            for target_id in set(self.entry_by_id) - listed:
                self._mark_missing(target_id)
        self.loaded = True
        self._remove_expired()

    def ready_targets(self, service: str) -> Iterator[TargetEntry]:
        """Yields targets of a service that accept new calls."""
        self._remove_expired()
        for entry in self.entry_by_id.values():
            if entry.service == service and entry.ready:
                yield entry

    def is_current(self, entry: TargetEntry) -> bool:
        """Returns whether this incarnation is still registered."""
        return self.is_registered(entry.incarnation)

    def is_registered(self, incarnation: tuple[str, int]) -> bool:
        """Returns whether an incarnation of a target is registered."""
        current = self.entry_by_id.get(incarnation[0])
        return current is not None and current.incarnation == incarnation

    def _apply_entry(self, entry: TargetEntry) -> None:
        current = self.entry_by_id.get(entry.id)
        removed = self._removed_by_incarnation.get(entry.incarnation)
        if (current is not None and entry.is_older_than(current)) or (
            removed is not None and entry.sequence <= removed.sequence
        ):
            self._emit_event(entry, "outdated_entry")
            if current is not None and not entry.continues(current):
                self.disputed_by_id[entry.id] = entry
            return
        self.disputed_by_id.pop(entry.id, None)
        self._remove_at_by_id.pop(entry.id, None)
        self.entry_by_id[entry.id] = entry
        for listener in self._registration_listeners:
            listener(entry.id)
        if current is None or not entry.continues(current):
            if current is not None:
                self._notify_removed(current)
                self._removed_by_incarnation.pop(entry.incarnation, None)
            self._emit_event(entry, "joined")
        elif current.ready != entry.ready:
            self._emit_event(entry, "ready" if entry.ready else "draining")

    def _mark_missing(self, target_id: str) -> None:
        if target_id not in self.entry_by_id:
            return
        self.disputed_by_id.pop(target_id, None)
        for listener in self._missing_listeners:
            listener(self.entry_by_id[target_id])
        now = self._clock.seconds()
        recovered_at = self._store_status().recovered_at
        if (
            recovered_at
            and now < recovered_at + defaults.REREGISTRATION_GRACE_S
        ):
            remove_at = recovered_at + defaults.REREGISTRATION_GRACE_S
            self._remove_at_by_id.setdefault(target_id, remove_at)
        else:
            self._remove_at_by_id[target_id] = now

    def _remove_expired(self) -> None:
        now = self._clock.seconds()
        due = [
            target_id
            for target_id, remove_at in self._remove_at_by_id.items()
            if remove_at <= now
        ]
        for target_id in due:
            del self._remove_at_by_id[target_id]
            entry = self.entry_by_id.pop(target_id)
            self._emit_event(entry, "gone")
            self._notify_removed(entry)

    def _notify_removed(self, entry: TargetEntry) -> None:
        self._removed_by_incarnation[entry.incarnation] = entry
        if len(self._removed_by_incarnation) > defaults.MAX_REMOVED_TARGETS:
            oldest = next(iter(self._removed_by_incarnation))
            del self._removed_by_incarnation[oldest]
        for listener in self._removal_listeners:
            listener(entry)

    def _emit_event(self, entry: TargetEntry, event: str) -> None:
        store_status = self._store_status()
        emit(
            "targets",
            event,
            target=entry.id,
            service=entry.service,
            address=str(entry.address),
            read_s_ago=round(
                self._clock.seconds() - store_status.last_response_at, 3
            ),
        )
