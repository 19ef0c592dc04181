"""The targets that are there, and which of them take new work.

Targets register themselves in the store. One that says it is leaving, or
whose entry has gone, gets nothing new. Entries that go while the store is
away are kept for a short time after its return, in which a target that lives
registers again.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.observe.events import emit
from chicorystack.web.exchange import Address


class TargetEntry(NamedTuple):
    """What a target says of itself.

    Attributes:
        id: Id of this incarnation; another start may have the same.
        started_ms: Unix time of its start in milliseconds; tells
            incarnations of one id apart.
        service: Service that it offers.
        address: Where it listens.
        zone: Its data centre.
        slots: Requests that it runs at once.
        ready: Whether it takes new work.
        sequence: Number of the entry; an incarnation counts up.
        slow_s: How much longer it is slow after its start.
    """

    id: str
    started_ms: int
    service: str
    address: Address
    zone: str
    slots: int
    ready: bool
    sequence: int = 0
    slow_s: float = 0.0

    @property
    def incarnation(self) -> tuple[str, int]:
        """Tells this start of the target from all others."""
        return self.id, self.started_ms

    def is_older_than(self, other: "TargetEntry") -> bool:
        """Tells whether an entry of the same id was written before another."""
        return (self.started_ms, self.sequence) < (
            other.started_ms,
            other.sequence,
        )


class StoreContact(NamedTuple):
    """How well the entries are known.

    Attributes:
        reached_at: Time on the clock of the store's last answer.
        regained_at: Time when it answered again after it had not.
    """

    reached_at: float
    regained_at: float


class TargetRegistry:
    """Targets by id.

    Attributes:
        entry_by_id: The entries that count now.
        loaded: Whether the entries have been read once.
    """

    def __init__(self, clock, contact: Callable[[], StoreContact]):
        self._clock = clock
        self._contact = contact
        self._drop_at_by_id: dict[str, float] = {}
        self._gone_listeners: list[Callable[[TargetEntry], None]] = []
        self._heard_listeners: list[Callable[[str], None]] = []
        self.entry_by_id: dict[str, TargetEntry] = {}
        self.loaded = False

    def on_gone(self, listener: Callable[[TargetEntry], None]) -> None:
        """Calls listener with each incarnation that is not there any more."""
        self._gone_listeners.append(listener)

    def on_heard(self, listener: Callable[[str], None]) -> None:
        """Calls listener with the id of each target that has registered."""
        self._heard_listeners.append(listener)

    def apply(
        self, entries: Iterable[tuple[str, TargetEntry | None]], whole: bool
    ) -> None:
        """Takes over entries by id; None for one that is gone or unreadable.

        Args:
            entries: Entries, in order of the store.
            whole: Whether all others are gone.
        """
        self.loaded = True
        named = set()
        for target_id, entry in entries:
            named.add(target_id)
            if entry is None:
                self._note_missing(target_id)
            else:
                self._note_entry(entry)
        if whole:
            for target_id in set(self.entry_by_id) - named:
                self._note_missing(target_id)
        self._drop_missing()

    def of_service(self, service: str) -> Iterator[TargetEntry]:
        """Yields targets of a service that take new work."""
        self._drop_missing()
        for entry in self.entry_by_id.values():
            if entry.service == service and entry.ready:
                yield entry

    def is_current(self, entry: TargetEntry) -> bool:
        """Tells whether this incarnation is still known."""
        known = self.entry_by_id.get(entry.id)
        return known is not None and known.incarnation == entry.incarnation

    def _note_entry(self, entry: TargetEntry) -> None:
        known = self.entry_by_id.get(entry.id)
        if known is not None and entry.is_older_than(known):
            self._log(entry, "outdated_entry")
            return
        self._drop_at_by_id.pop(entry.id, None)
        self.entry_by_id[entry.id] = entry
        for listener in self._heard_listeners:
            listener(entry.id)
        if known is None or known.incarnation != entry.incarnation:
            if known is not None:
                self._tell_gone(known)
            self._log(entry, "joined")
        elif known.ready != entry.ready:
            self._log(entry, "ready" if entry.ready else "draining")

    def _note_missing(self, target_id: str) -> None:
        if target_id not in self.entry_by_id:
            return
        now = self._clock.seconds()
        regained_at = self._contact().regained_at
        if regained_at and now < regained_at + defaults.REENTRY_GRACE_S:
            drop_at = regained_at + defaults.REENTRY_GRACE_S
            self._drop_at_by_id.setdefault(target_id, drop_at)
        else:
            self._drop_at_by_id[target_id] = now

    def _drop_missing(self) -> None:
        now = self._clock.seconds()
        due = [
            target_id
            for target_id, drop_at in self._drop_at_by_id.items()
            if drop_at <= now
        ]
        for target_id in due:
            del self._drop_at_by_id[target_id]
            entry = self.entry_by_id.pop(target_id)
            self._log(entry, "gone")
            self._tell_gone(entry)

    def _tell_gone(self, entry: TargetEntry) -> None:
        for listener in self._gone_listeners:
            listener(entry)

    def _log(self, entry: TargetEntry, event: str) -> None:
        contact = self._contact()
        emit(
            "targets",
            event,
            target=entry.id,
            service=entry.service,
            address=str(entry.address),
            read_s_ago=round(self._clock.seconds() - contact.reached_at, 3),
        )
