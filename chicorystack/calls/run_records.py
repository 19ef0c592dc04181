"""Records of a target's runs in the log, and the state that they build."""

import contextlib
from typing import Literal, NamedTuple, NotRequired, TypedDict

from chicorystack import defaults
from chicorystack.calls.run_table import CachedAnswer, Run, RunState
from chicorystack.decoding import JsonDecoder
from chicorystack.infrastructure.messages import LogEntry


class RunUpdate(TypedDict):
    """A change of the state of one key.

    Attributes:
        key: Hash of the customer and the idempotency key.
        body_hash: Hash of the operation and body.
        state: New state; `running` is the intent, written before each run.
        status: HTTP status of the answer. This and the fields below are set
            for `done` only.
        body: Whole body, where it is short.
        tokens: Tokens used.
        use: Id of the run.
    """

    key: str
    body_hash: str
    state: RunState
    status: NotRequired[int]
    body: NotRequired[str]
    tokens: NotRequired[int]
    use: NotRequired[str]


class OwnerRecord(TypedDict):
    """A process claims or releases the ownership of a target's keys.

    Attributes:
        kind: Whether it claims or releases.
        id: Id of the record.
        owner: Incarnation id of the agent's process.
    """

    kind: Literal["owner_claimed", "owner_released"]
    id: str
    owner: str


class RunUpdatesRecord(TypedDict):
    """A batch of an owner's updates; an empty one is a heartbeat.

    Attributes:
        kind: Always `runs_noted`.
        id: Id of the record.
        owner: Incarnation id of the agent's process.
        notes: The updates.
    """

    kind: Literal["runs_noted"]
    id: str
    owner: str
    notes: list[RunUpdate]


class _Kind(TypedDict):
    kind: str


kind_decoder = JsonDecoder(_Kind)
decoder_by_kind = {
    "owner_claimed": JsonDecoder(OwnerRecord),
    "owner_released": JsonDecoder(OwnerRecord),
    "runs_noted": JsonDecoder(RunUpdatesRecord),
}


class TimedUpdate(NamedTuple):
    """An update and the time of its append on the log's clock, in seconds."""

    update: RunUpdate
    time: float


def run_stream_name(target: str) -> str:
    """Returns the name of the log stream of a target's runs."""
    return f"runs-{target}"


class JournalState:
    """State built by applying a target's stream of runs in log order.

    Attributes:
        owner: Incarnation id of the process that may run calls; empty if none.
        update_by_key: Latest update of each key within the window.
        uncertain_until: Time on the log's clock until which keys without an
            update may have been run by a lost owner that could not append.
        claimed_at: Time on the log's clock when the owner claimed the keys.
    """

    def __init__(self):
        self.owner = ""
        self.update_by_key: dict[str, TimedUpdate] = {}
        self.uncertain_until = 0.0
        self.claimed_at = 0.0
        self._owners_seen: set[str] = set()
        self._last_record_time = 0.0

    def apply(self, entry: LogEntry) -> str | None:
        """Applies an entry; returns its record's id, or None if it is invalid.

        Records of a superseded owner are ignored.
        """
        kind = kind_decoder.decode(entry["record"])["kind"]
        record = decoder_by_kind[kind].decode(entry["record"])
        now = entry["time"]
        if kind == "owner_claimed":
            self._apply_claim(record["owner"], now)
            return record["id"] if self.owner == record["owner"] else None
        if record["owner"] != self.owner:
            return None
        self._last_record_time = now
        if kind == "owner_released":
            self.owner = ""
        else:
            self._apply_updates(record["notes"], now)
        return record["id"]

    def _apply_claim(self, owner: str, now: float) -> None:
        if owner in self._owners_seen:
            return
        self._owners_seen.add(owner)
        silence_s = now - self._last_record_time
        if self.owner and silence_s > defaults.OWNER_GAP_MAX_S:
            self.uncertain_until = now + defaults.KEY_WINDOW_S
        self.owner = owner
        self.claimed_at = now
        self._last_record_time = now
        self._evict_before(now - defaults.KEY_WINDOW_S)
        for key, timed_update in self.update_by_key.items():
            if timed_update.update["state"] == "running":
                unknown = timed_update.update | {"state": "unknown"}
                self.update_by_key[key] = timed_update._replace(update=unknown)

    def _apply_updates(self, updates: list[RunUpdate], now: float) -> None:
        self._evict_before(now - defaults.KEY_WINDOW_S)
        for update in updates:
            earlier = self.update_by_key.get(update["key"])
            if earlier is None:
                self.update_by_key[update["key"]] = TimedUpdate(update, now)
            elif earlier.update["state"] == "running":
                self.update_by_key[update["key"]] = earlier._replace(
                    update=update
                )

    def _evict_before(self, oldest: float) -> None:
        while self.update_by_key:
            key = next(iter(self.update_by_key))
            if self.update_by_key[key].time >= oldest:
                return
            del self.update_by_key[key]


def update_for_result(
    key: str, body_hash: str, answer: CachedAnswer | None
) -> RunUpdate:
    """Returns the update for a finished run; None is an unknown outcome."""
    if answer is None:
        return RunUpdate(key=key, body_hash=body_hash, state="unknown")
    update = RunUpdate(
        key=key,
        body_hash=body_hash,
        state="done",
        status=answer.status,
        tokens=answer.tokens,
        use=answer.use,
    )
    if len(answer.body) <= defaults.JOURNALED_BODY_MAX_BYTES:
        with contextlib.suppress(UnicodeDecodeError):
            update["body"] = answer.body.decode()
    return update


def run_from_update(update: RunUpdate, expires_at: float) -> Run:
    """Returns the run table's entry for an update of an earlier owner."""
    if update["state"] != "done":
        return Run(update["state"], update["body_hash"], expires_at)
    body = update["body"].encode() if "body" in update else None
    answer = CachedAnswer(
        update["status"], body, update["tokens"], update["use"]
    )
    return Run("done", update["body_hash"], expires_at, answer)
