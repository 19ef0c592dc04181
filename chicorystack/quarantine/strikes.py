"""Counts, by request, the targets that crashed while running it.

A request is identified by the hash of its content, without its idempotency key,
so retries and copies count as the same request. Each request that was running
on a target when it crashed gets a strike, even if it did not cause the crash. A
request with a strike is a suspect: its runs are sent to one target, and a
target runs one suspect at a time. So a later crash has a single suspect, and
the strikes of other requests are cleared when they complete. A request at the
strike limit is refused.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from typing import Annotated, NamedTuple, NotRequired, TypedDict

import msgspec

from chicorystack import defaults
from chicorystack.decoding import MAX_COUNT
from chicorystack.errors import ApiError, Outcome
from chicorystack.util import new_id, stable_hash

QUARANTINE_MS = int(defaults.QUARANTINE_S * 1000)


def content_hash(service: str, content: str) -> str:
    """Returns a hash that identifies a request, without idempotency key."""
    text = f"{service}\0{content}"
    return f"{stable_hash(text):016x}"


class StrikeMessage(TypedDict):
    """A strike as exchanged by processes.

    Attributes:
        death: ID of a target's crash, `target:id`.
        content: Hash of the request that was running there.
        cleared: Whether the request has completed a run since.
        left_ms: Time until the strike expires, in milliseconds. The receiver
            converts it to a deadline on its own clock at once.
        parts: Keys of the parts of the request's prompt that others may share.
            Missing if `content` is the key of such a part, or if they are not
            known.
    """

    death: str
    content: str
    cleared: bool
    left_ms: Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=QUARANTINE_MS)]
    parts: NotRequired[
        Annotated[list[str], msgspec.Meta(max_length=defaults.MAX_STRIKE_PARTS)]
    ]


class StrikesMessage(TypedDict):
    """Strikes that one process sends to another."""

    strikes: list[StrikeMessage]


class Strike(NamedTuple):
    """A strike as stored in one process.

    Attributes:
        content: Hash of the request that was running when the target crashed.
        cleared: Whether the request has completed a run since.
        expires_at: Time on the reactor's clock at which it expires.
        parts: See StrikeMessage; None if it has none.
    """

    content: str
    cleared: bool
    expires_at: float
    parts: tuple[str, ...] | None = None


class StrikeTable:
    """The strikes known to one process, limited by age and number."""

    def __init__(self, clock, capacity: int = defaults.MAX_STORED_STRIKES):
        """Starts empty.

        Args:
            clock: The reactor.
            capacity: Number of strikes above which the oldest are dropped.
        """
        self._clock = clock
        self._capacity = capacity
        self._strike_by_id: dict[tuple[str, str], Strike] = {}
        # Crashes, by content, and the reverse.
        self._deaths_by_content: dict[str, set[str]] = {}
        self._contents_by_death: dict[str, set[str]] = {}
        self._next_expiry_at = math.inf
        self._completed_until: dict[str, float] = {}

    def count(self, content: str) -> int:
        """Returns the number of a request's active strikes."""
        return len(self.crashes(content))

    def crashes(self, content: str) -> frozenset[str]:
        """Returns the crashes for which a request has active strikes."""
        self._remove_expired()
        return frozenset(
            death
            for death in self._deaths_by_content.get(content, ())
            if not self._strike_by_id[death, content].cleared
        )

    def at_limit(self, content: str) -> bool:
        """Returns whether a request has reached the strike limit."""
        return self.count(content) >= defaults.QUARANTINE_STRIKES

    def contents(self) -> list[str]:
        """Returns all contents that have strikes."""
        return list(self._deaths_by_content)

    def crashes_by_explanation(self, content: str) -> dict[str, frozenset[str]]:
        """Returns the crashes of each content that explains a content's.

        These are the contents with all of its active strikes, itself included.
        """
        crashes = self.crashes(content)
        crashes_by_content = {
            other: self.crashes(other)
            for death in list(crashes)[:1]
            for other in self._contents_by_death[death]
        }
        return {
            other: found
            for other, found in crashes_by_content.items()
            if crashes <= found
        }

    def requests(self) -> set[frozenset[str]]:
        """Returns the keys of each request that ran on a crashed target.

        Requests are left out of which only single keys are known.
        """
        self._remove_expired()
        return {
            frozenset((strike.content, *strike.parts))
            for strike in self._strike_by_id.values()
            if strike.parts is not None and not strike.cleared
        }

    def age_s(self, content: str) -> float:
        """Returns the seconds since the newest strike of a content."""
        return defaults.QUARANTINE_S - self._left_s(content)

    def crashed_targets(self, content: str) -> set[str]:
        """Returns the names of the targets that crashed running a request."""
        deaths = self._deaths_by_content.get(content, ())
        return {death.partition(":")[0] for death in deaths}

    def record_crash(
        self,
        target: str,
        contents: Iterable[str],
        incarnation: str = "",
        parts_by_content: Mapping[str, tuple[str, ...]] | None = None,
    ) -> None:
        """Adds a strike to each request that ran on a crashed target.

        Args:
            target: Name of the target.
            contents: The requests.
            incarnation: Identifies the run of the target that has ended, so
                that several reports of its crash count as one; empty if
                unknown.
            parts_by_content: Keys of the parts of each request's prompt that
                others may share; None if they are not known.
        """
        death = f"{target}:{incarnation or new_id()}"
        parts_by_content = parts_by_content or {}
        self.merge(
            _message(
                Strike(content, False, 0.0, parts_by_content.get(content)),
                death,
                QUARANTINE_MS,
            )
            for content in set(contents)
        )

    def record_completed(self, content: str) -> None:
        """Clears the strikes of a request that has completed a run.

        A request that crashes each target never completes. Strikes that arrive
        within COMPLETED_CONTENT_TTL_S are cleared, too.
        """
        remember_until = (
            self._clock.seconds() + defaults.COMPLETED_CONTENT_TTL_S
        )
        self._completed_until.pop(content, None)
        self._completed_until[content] = remember_until
        while len(self._completed_until) > defaults.MAX_COMPLETED_CONTENTS:
            del self._completed_until[next(iter(self._completed_until))]
        for death in self._deaths_by_content.get(content, ()):
            strike = self._strike_by_id[death, content]
            self._strike_by_id[death, content] = strike._replace(cleared=True)

    def merge(self, messages: Iterable[StrikeMessage]) -> bool:
        """Merges strikes from a peer; returns whether anything changed."""
        self._remove_expired()
        changed = False
        for message in messages:
            changed |= self._merge_one(message)
        while len(self._strike_by_id) > self._capacity:
            self._remove(next(iter(self._strike_by_id)))
        return changed

    def messages(self, content: str | None = None) -> list[StrikeMessage]:
        """Returns the strikes of one content, or all, as messages."""
        return list(self._iterate_messages(content))

    def check(self, content: str, outcome: Outcome | None = None) -> None:
        """Refuses a request that has reached the strike limit.

        Raises:
            ApiError: `quarantined`, with the time until the strikes expire.
        """
        if not self.at_limit(content):
            return
        raise ApiError(
            "quarantined",
            "this request has crashed each target that ran it",
            outcome,
            max(1, int(self._left_s(content) * 1000)),
        )

    def _left_s(self, content: str) -> float:
        """Returns the seconds until the newest strike of a content expires."""
        return max(
            self._strike_by_id[death, content].expires_at
            - self._clock.seconds()
            for death in self._deaths_by_content[content]
        )

    def _merge_one(self, message: StrikeMessage) -> bool:
        if message["left_ms"] <= 0:
            return False
        strike_id = (message["death"], message["content"])
        existing = self._strike_by_id.get(strike_id)
        cleared = message["cleared"] or self._has_completed(message["content"])
        if existing is not None:
            if existing.cleared or not cleared:
                return False
            self._strike_by_id[strike_id] = existing._replace(cleared=True)
            return True
        expires_at = self._clock.seconds() + message["left_ms"] / 1000
        parts = message.get("parts")
        self._strike_by_id[strike_id] = Strike(
            message["content"],
            cleared,
            expires_at,
            None if parts is None else tuple(parts),
        )
        deaths = self._deaths_by_content.setdefault(message["content"], set())
        deaths.add(message["death"])
        contents = self._contents_by_death.setdefault(message["death"], set())
        contents.add(message["content"])
        self._next_expiry_at = min(self._next_expiry_at, expires_at)
        return True

    def _has_completed(self, content: str) -> bool:
        remember_until = self._completed_until.get(content, 0.0)
        return self._clock.seconds() < remember_until

    def _iterate_messages(self, content: str | None) -> Iterator[StrikeMessage]:
        self._remove_expired()
        now = self._clock.seconds()
        for (death, _), strike in self._strike_by_id.items():
            if content is None or strike.content == content:
                left_ms = int((strike.expires_at - now) * 1000)
                yield _message(strike, death, left_ms)

    def _remove_expired(self) -> None:
        now = self._clock.seconds()
        if now < self._next_expiry_at:
            return
        expired = [
            strike_id
            for strike_id, strike in self._strike_by_id.items()
            if strike.expires_at <= now
        ]
        for strike_id in expired:
            self._remove(strike_id)
        self._next_expiry_at = min(
            (strike.expires_at for strike in self._strike_by_id.values()),
            default=math.inf,
        )

    def _remove(self, strike_id: tuple[str, str]) -> None:
        del self._strike_by_id[strike_id]
        death, content = strike_id
        _discard(self._deaths_by_content, content, death)
        _discard(self._contents_by_death, death, content)


def _message(strike: Strike, death: str, left_ms: int) -> StrikeMessage:
    """Returns a strike as a message to other processes."""
    message = StrikeMessage(
        death=death,
        content=strike.content,
        cleared=strike.cleared,
        left_ms=left_ms,
    )
    if strike.parts is not None:
        message["parts"] = list(strike.parts)
    return message


def _discard(values_by_key: dict[str, set[str]], key: str, value: str) -> None:
    """Removes a value, and its key if no other value is left there."""
    values = values_by_key[key]
    values.discard(value)
    if not values:
        del values_by_key[key]
