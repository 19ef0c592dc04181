"""The audit trail: who changed what, when, by the log's order."""

import difflib
from collections.abc import Iterable, Iterator
from typing import NamedTuple, TypedDict

import msgspec

from chicorystack.budget.messages import (
    CustomerCreated,
    KeeperClaimed,
    RecordHeader,
    ToppedUp,
    shard_stream,
)
from chicorystack.config.fold import ConfigFold
from chicorystack.config.messages import CONFIG_STREAM, ConfigRecord
from chicorystack.ctl.session import Session
from chicorystack.ctl.tables import time_text
from chicorystack.infrastructure.messages import LogEntry

EXPIRED = "unknown, as earlier records have expired"


class Change(TypedDict):
    """One change that someone asked for.

    Attributes:
        time: The log service's clock, in seconds since 1970.
        stream: Stream of the record.
        offset: Its offset there.
        who: Operator, or the router that claimed a shard.
        what: What was changed.
        old: State before.
        new: State after; equal to `old` where the change did not take effect.
        diff: Lines that a configuration changed, as a unified diff.
    """

    time: float
    stream: str
    offset: int
    who: str
    what: str
    old: str
    new: str
    diff: list[str]


class AuditFilter(NamedTuple):
    """Which changes are wanted.

    Attributes:
        customer: Only this customer's; empty for all changes.
        limit: Only so many of the newest; 0 for all.
    """

    customer: str = ""
    limit: int = 0


async def read_changes(session: Session, wanted: AuditFilter) -> list[Change]:
    """Returns the wanted changes, oldest first."""
    store = await session.read_config()
    changes = list(config_changes(await session.read_stream(CONFIG_STREAM)))
    for shard in range(store.config.shard_count):
        stream = shard_stream(shard)
        entries = await session.read_stream(stream)
        changes.extend(shard_changes(stream, entries))
    if wanted.customer:
        about = f"{wanted.customer}/"
        changes = [
            change
            for change in changes
            if about in f"{change['what'].rpartition(' ')[2]}/"
        ]
    changes.sort(key=lambda change: (change["time"], change["offset"]))
    return changes[-wanted.limit :]


def config_changes(entries: Iterable[LogEntry]) -> Iterator[Change]:
    """Yields publications, those that lost included."""
    fold = ConfigFold()
    text = ""
    seen: set[str] = set()
    for entry in entries:
        version = fold.version
        fold.apply(entry)
        if _kind(entry) != "config_published":
            continue
        record = msgspec.json.decode(entry["record"], type=ConfigRecord)
        if record["id"] in seen:
            continue
        seen.add(record["id"])
        won = fold.winner_of(version + 1) == record["id"]
        yield _change(
            entry,
            CONFIG_STREAM,
            record["operator"],
            "publish configuration",
            f"version {version}" if fold.based else EXPIRED,
            _outcome(fold, won),
            _diff(text, record["text"]) if won else [],
        )
        if won:
            text = record["text"]


def _outcome(fold: ConfigFold, won: bool) -> str:
    if not fold.based:
        return EXPIRED
    return f"version {fold.version}{'' if won else ' (came second)'}"


class _ShardAudit:
    """Folds one shard's stream into changes."""

    def __init__(self, stream: str):
        self._stream = stream
        self._tokens_by_budget: dict[str, int] = {}
        self._customers: set[str] = set()
        self._seen: set[str] = set()
        self._epoch = 0
        self._keeper = "none"

    def customer_created(self, entry: LogEntry) -> Change:
        """Describes a new customer, or an existing one's new secret key."""
        record = msgspec.json.decode(entry["record"], type=CustomerCreated)
        known = record["customer"] in self._customers
        self._customers.add(record["customer"])
        return _change(
            entry,
            self._stream,
            record["operator"],
            f"{'change key of' if known else 'create'} {record['customer']}",
            "earlier key" if known else "no customer",
            "new key",
        )

    def topped_up(self, entry: LogEntry) -> Change:
        """Describes a top-up; one sent again changes nothing."""
        record = msgspec.json.decode(entry["record"], type=ToppedUp)
        budget = f"{record['customer']}/{record['budget']}"
        old = self._tokens_by_budget.get(budget, 0)
        repeated = record["id"] in self._seen
        self._seen.add(record["id"])
        new = old if repeated else old + record["tokens"]
        self._tokens_by_budget[budget] = new
        return _change(
            entry,
            self._stream,
            record["operator"],
            f"top up {budget}",
            f"{old} tokens",
            f"{new} tokens{' (sent again)' if repeated else ''}",
        )

    def keeper_claimed(self, entry: LogEntry) -> Change:
        """Describes a router's claim of the shard."""
        record = msgspec.json.decode(entry["record"], type=KeeperClaimed)
        old = f"{self._keeper} epoch {self._epoch}"
        won = record["epoch"] == self._epoch + 1 or not self._epoch
        if won:
            self._epoch, self._keeper = record["epoch"], record["router"]
        new = f"{self._keeper} epoch {self._epoch}"
        return _change(
            entry,
            self._stream,
            record["router"],
            f"keep {self._stream}",
            old,
            new if won else f"{new} (came second)",
        )


def shard_changes(stream: str, entries: Iterable[LogEntry]) -> Iterator[Change]:
    """Yields customers, top-ups and keepers' claims of a shard's stream."""
    audit = _ShardAudit(stream)
    describe_by_kind = {
        "customer_created": audit.customer_created,
        "topped_up": audit.topped_up,
        "keeper_claimed": audit.keeper_claimed,
    }
    for entry in entries:
        describe = describe_by_kind.get(_kind(entry))
        if describe is not None:
            yield describe(entry)


def print_changes(changes: Iterable[Change], with_diff: bool) -> str:
    """Returns changes as text for people."""
    lines = []
    for change in changes:
        lines.append(
            f"{time_text(change['time'])} {change['stream']}@"
            f"{change['offset']} {change['who']}: {change['what']}: "
            f"{change['old']} -> {change['new']}"
        )
        if with_diff:
            lines.extend(f"    {line}" for line in change["diff"])
    return "\n".join(lines) or "no changes"


def _kind(entry: LogEntry) -> str:
    return msgspec.json.decode(entry["record"], type=RecordHeader)["kind"]


def _change(
    entry: LogEntry,
    stream: str,
    who: str,
    what: str,
    old: str,
    new: str,
    diff: list[str] | None = None,
) -> Change:
    return Change(
        time=entry["time"],
        stream=stream,
        offset=entry["offset"],
        who=who,
        what=what,
        old=old,
        new=new,
        diff=diff or [],
    )


def _diff(old: str, new: str) -> list[str]:
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), lineterm="", n=1
    )
    # The first two lines name files, and there are none.
    return list(lines)[2:]
