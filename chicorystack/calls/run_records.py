"""Records by which a target's runs outlive its agent, and their folding."""

import contextlib
from typing import Literal, NamedTuple, NotRequired, TypedDict

import msgspec

from chicorystack import defaults
from chicorystack.calls.run_table import KeptAnswer, Run, RunState
from chicorystack.infrastructure.messages import LogEntry


class RunNote(TypedDict):
    """What became of one key.

    Attributes:
        key: Hash of customer and call key.
        body_hash: Hash of the operation and body.
        state: `running` is the intent, which stands before each run.
        status: HTTP status of the answer; `done` only, as all below.
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
    """A process begins (`owner_claimed`) or ends (`owner_released`) to own.

    Attributes:
        kind: Which of the two.
        id: Id of the record.
        owner: Incarnation id of the agent's process.
    """

    kind: Literal["owner_claimed", "owner_released"]
    id: str
    owner: str


class NotesRecord(TypedDict):
    """Notes of an owner; without any, it shows that the owner is there.

    Attributes:
        kind: Always `runs_noted`.
        id: Id of the record.
        owner: Incarnation id of the agent's process.
        notes: The notes.
    """

    kind: Literal["runs_noted"]
    id: str
    owner: str
    notes: list[RunNote]


class _Kind(TypedDict):
    kind: str


kind_decoder = msgspec.json.Decoder(_Kind)
decoder_by_kind = {
    "owner_claimed": msgspec.json.Decoder(OwnerRecord),
    "owner_released": msgspec.json.Decoder(OwnerRecord),
    "runs_noted": msgspec.json.Decoder(NotesRecord),
}


class TimedNote(NamedTuple):
    """A note and when it was appended, by the log's clock."""

    note: RunNote
    time: float


def run_stream(target: str) -> str:
    """Returns the stream of a target's runs."""
    return f"runs-{target}"


class RunFold:
    """A target's stream of runs, folded in the log's order.

    Attributes:
        owner: Process that may run calls; empty for none.
        note_by_key: Newest note of each key within the window.
        doubt_until: Time by the log's clock until which keys without a note
            may have been run by a lost owner that the log did not hear.
        claimed_at: Time by the log's clock when the owner claimed.
    """

    def __init__(self):
        self.owner = ""
        self.note_by_key: dict[str, TimedNote] = {}
        self.doubt_until = 0.0
        self.claimed_at = 0.0
        self._owners_seen: set[str] = set()
        self._last_time = 0.0

    def deliver(self, entry: LogEntry) -> str | None:
        """Folds an entry; returns its id where it is valid, else None.

        Records of an owner that another has followed are void.
        """
        kind = kind_decoder.decode(entry["record"])["kind"]
        record = decoder_by_kind[kind].decode(entry["record"])
        now = entry["time"]
        if kind == "owner_claimed":
            self._claim(record["owner"], now)
            return record["id"] if self.owner == record["owner"] else None
        if record["owner"] != self.owner:
            return None
        self._last_time = now
        if kind == "owner_released":
            self.owner = ""
        else:
            self._fold_notes(record["notes"], now)
        return record["id"]

    def _claim(self, owner: str, now: float) -> None:
        if owner in self._owners_seen:
            return
        self._owners_seen.add(owner)
        silent_s = now - self._last_time
        if self.owner and silent_s > defaults.OWNER_SILENCE_S:
            self.doubt_until = now + defaults.KEY_WINDOW_S
        self.owner = owner
        self.claimed_at = now
        self._last_time = now
        self._forget_before(now - defaults.KEY_WINDOW_S)
        for key, timed in self.note_by_key.items():
            if timed.note["state"] == "running":
                unknown = timed.note | {"state": "unknown"}
                self.note_by_key[key] = timed._replace(note=unknown)

    def _fold_notes(self, notes: list[RunNote], now: float) -> None:
        self._forget_before(now - defaults.KEY_WINDOW_S)
        for note in notes:
            known = self.note_by_key.get(note["key"])
            if known is None:
                self.note_by_key[note["key"]] = TimedNote(note, now)
            elif known.note["state"] == "running":
                self.note_by_key[note["key"]] = known._replace(note=note)

    def _forget_before(self, oldest: float) -> None:
        while self.note_by_key:
            key = next(iter(self.note_by_key))
            if self.note_by_key[key].time >= oldest:
                return
            del self.note_by_key[key]


def note_of_result(
    key: str, content: str, answer: KeptAnswer | None
) -> RunNote:
    """Returns the note of a finished run; None is an unknown outcome."""
    if answer is None:
        return RunNote(key=key, body_hash=content, state="unknown")
    note = RunNote(
        key=key,
        body_hash=content,
        state="done",
        status=answer.status,
        tokens=answer.tokens,
        use=answer.use,
    )
    if len(answer.body) <= defaults.NOTED_BODY_MAX_BYTES:
        with contextlib.suppress(UnicodeDecodeError):
            note["body"] = answer.body.decode()
    return note


def run_of_note(note: RunNote, forget_at: float) -> Run:
    """Returns the table's entry for a note of an earlier owner."""
    if note["state"] != "done":
        return Run(note["state"], note["body_hash"], forget_at)
    body = note["body"].encode() if "body" in note else None
    answer = KeptAnswer(note["status"], body, note["tokens"], note["use"])
    return Run("done", note["body_hash"], forget_at, answer)
