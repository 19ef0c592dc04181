"""The audit trail: who changed what and when, in the order of the log."""

import difflib
from collections.abc import Iterable, Iterator
from typing import NamedTuple, TypedDict

from chicorystack.budget.keeper.messages import (
    CustomerCreated,
    KeeperClaimed,
    RecordHeader,
    ToppedUp,
    shard_stream,
)
from chicorystack.config.log_state import ConfigLogState
from chicorystack.config.messages import CONFIG_STREAM, ConfigRecord
from chicorystack.ctl.session import Session
from chicorystack.ctl.tables import format_time
from chicorystack.decoding import decode_json
from chicorystack.infrastructure.messages import LogEntry

EXPIRED = "unknown, as earlier records have expired"


class Change(TypedDict):
    """A change requested by an operator, or a router's claim of a shard.

    Attributes:
        time: Time of the log service's clock, in seconds since 1970.
        stream: Stream of the record.
        offset: Offset of the record in the stream.
        who: Operator, or the router that claimed the shard.
        what: What was to be changed.
        old: State before the change.
        new: State after the change, with a note if the change did not take
            effect.
        diff: Changed lines of the configuration, as a unified diff.
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
    """Selects changes.

    Attributes:
        customer: Only changes of this customer; empty for all changes.
        limit: Maximum number of changes, the newest ones; 0 for all.
    """

    customer: str = ""
    limit: int = 0


async def read_changes(
    session: Session, audit_filter: AuditFilter
) -> list[Change]:
    """Returns the selected changes, oldest first."""
    store = await session.read_config()
    changes = list(config_changes(await session.read_stream(CONFIG_STREAM)))
    for shard in range(store.config.shard_count):
        stream = shard_stream(shard)
        entries = await session.read_stream(stream)
        changes.extend(shard_changes(stream, entries))
    if audit_filter.customer:
        customer_path = f"{audit_filter.customer}/"
        changes = [
            change
            for change in changes
            if customer_path in f"{change['what'].rpartition(' ')[2]}/"
        ]
    changes.sort(key=lambda change: (change["time"], change["offset"]))
    return changes[-audit_filter.limit :]


def config_changes(entries: Iterable[LogEntry]) -> Iterator[Change]:
    """Yields all publications, including rejected ones."""
    log_state = ConfigLogState()
    text = ""
    publication_ids: set[str] = set()
    for entry in entries:
        version = log_state.version
        log_state.apply(entry)
        if _record_kind(entry) != "config_published":
            continue
        record = decode_json(entry["record"], ConfigRecord)
        if record["id"] in publication_ids:
            continue
        publication_ids.add(record["id"])
        accepted = log_state.publication_id(version + 1) == record["id"]
        yield _build_change(
            entry,
            CONFIG_STREAM,
            record["operator"],
            record.get("change", "publish configuration"),
            f"version {version}" if log_state.is_complete else EXPIRED,
            _describe_version(log_state, accepted),
            _diff_lines(text, record["text"]) if accepted else [],
        )
        if accepted:
            text = record["text"]


def _describe_version(log_state: ConfigLogState, accepted: bool) -> str:
    if not log_state.is_complete:
        return EXPIRED
    return f"version {log_state.version}{'' if accepted else ' (came second)'}"


class _ShardAudit:
    """Derives changes from the records of a shard's stream."""

    def __init__(self, stream: str):
        self._stream = stream
        self._tokens_by_budget: dict[str, int] = {}
        self._customers: set[str] = set()
        self._top_up_ids: set[str] = set()
        self._epoch = 0
        self._keeper = "none"

    def describe_customer_created(self, entry: LogEntry) -> Change:
        """Describes a new customer, or a new secret key of an existing one."""
        record = decode_json(entry["record"], CustomerCreated)
        exists = record["customer"] in self._customers
        self._customers.add(record["customer"])
        return _build_change(
            entry,
            self._stream,
            record["operator"],
            f"{'change key of' if exists else 'create'} {record['customer']}",
            "earlier key" if exists else "no customer",
            "new key",
        )

    def describe_topped_up(self, entry: LogEntry) -> Change:
        """Describes a top-up; a repeated one changes nothing."""
        record = decode_json(entry["record"], ToppedUp)
        budget = f"{record['customer']}/{record['budget']}"
        old = self._tokens_by_budget.get(budget, 0)
        repeated = record["id"] in self._top_up_ids
        self._top_up_ids.add(record["id"])
        new = old if repeated else old + record["tokens"]
        self._tokens_by_budget[budget] = new
        return _build_change(
            entry,
            self._stream,
            record["operator"],
            f"top up {budget}",
            f"{old} tokens",
            f"{new} tokens{' (sent again)' if repeated else ''}",
        )

    def describe_keeper_claimed(self, entry: LogEntry) -> Change:
        """Describes a router's claim of the shard."""
        record = decode_json(entry["record"], KeeperClaimed)
        old = f"{self._keeper} epoch {self._epoch}"
        accepted = record["epoch"] == self._epoch + 1 or not self._epoch
        if accepted:
            self._epoch, self._keeper = record["epoch"], record["router"]
        new = f"{self._keeper} epoch {self._epoch}"
        return _build_change(
            entry,
            self._stream,
            record["router"],
            f"keep {self._stream}",
            old,
            new if accepted else f"{new} (came second)",
        )


def shard_changes(stream: str, entries: Iterable[LogEntry]) -> Iterator[Change]:
    """Yields new customers, top-ups and keeper claims of a shard's stream."""
    audit = _ShardAudit(stream)
    describe_by_kind = {
        "customer_created": audit.describe_customer_created,
        "topped_up": audit.describe_topped_up,
        "keeper_claimed": audit.describe_keeper_claimed,
    }
    for entry in entries:
        describe = describe_by_kind.get(_record_kind(entry))
        if describe is not None:
            yield describe(entry)


def format_changes(changes: Iterable[Change], with_diff: bool) -> str:
    """Returns changes as human-readable text."""
    lines = []
    for change in changes:
        lines.append(
            f"{format_time(change['time'])} {change['stream']}@"
            f"{change['offset']} {change['who']}: {change['what']}: "
            f"{change['old']} -> {change['new']}"
        )
        if with_diff:
            lines.extend(f"    {line}" for line in change["diff"])
    return "\n".join(lines) or "no changes"


def _record_kind(entry: LogEntry) -> str:
    return decode_json(entry["record"], RecordHeader)["kind"]


def _build_change(
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


def _diff_lines(old: str, new: str) -> list[str]:
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), lineterm="", n=1
    )
    # The first two lines are file headers, which do not apply here.
    return list(lines)[2:]
