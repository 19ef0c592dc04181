"""Counts, by request, the targets that crashed while running it.

A request is identified by the hash of its content, without its idempotency key,
so retries and copies count as the same request. Each request that was running
on a target when it crashed gets a strike, even if it did not cause the crash. A
request with a strike is a suspect: its runs are sent to one target, and a
target runs one suspect at a time. So a later crash has a single suspect, and
the strikes of other requests are cleared when they complete. A request at the
strike limit is refused.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple, TypedDict

from chicorystack import defaults
from chicorystack.errors import ApiError, Outcome
from chicorystack.util import new_id, stable_hash


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
    """

    death: str
    content: str
    cleared: bool
    left_ms: int


class StrikesMessage(TypedDict):
    """Strikes that one process sends to another."""

    strikes: list[StrikeMessage]


class Strike(NamedTuple):
    """A strike as stored in one process.

    Attributes:
        content: Hash of the request that was running when the target crashed.
        cleared: Whether the request has completed a run since.
        expires_at: Time on the reactor's clock at which it expires.
    """

    content: str
    cleared: bool
    expires_at: float


class StrikeTable:
    """The strikes known to one process, limited by age and number."""

    def __init__(self, clock):
        self._clock = clock
        self._strike_by_id: dict[tuple[str, str], Strike] = {}
        self._completed_until: dict[str, float] = {}

    def count(self, content: str) -> int:
        """Returns the number of a request's active strikes."""
        self._remove_expired()
        return sum(
            strike.content == content and not strike.cleared
            for strike in self._strike_by_id.values()
        )

    def crashed_targets(self, content: str) -> set[str]:
        """Returns the names of the targets that crashed running a request."""
        return {
            death.partition(":")[0]
            for (death, _), strike in self._strike_by_id.items()
            if strike.content == content
        }

    def record_crash(self, target: str, contents: Iterable[str]) -> None:
        """Adds a strike to each request that ran on a crashed target."""
        death = f"{target}:{new_id()}"
        left_ms = int(defaults.QUARANTINE_S * 1000)
        self.merge(
            StrikeMessage(
                death=death, content=content, cleared=False, left_ms=left_ms
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
        for strike_id, strike in self._strike_by_id.items():
            if strike.content == content:
                self._strike_by_id[strike_id] = strike._replace(cleared=True)

    def merge(self, messages: Iterable[StrikeMessage]) -> bool:
        """Merges strikes from a peer; returns whether anything changed."""
        self._remove_expired()
        changed = False
        for message in messages:
            changed |= self._merge_one(message)
        while len(self._strike_by_id) > defaults.MAX_STORED_STRIKES:
            del self._strike_by_id[next(iter(self._strike_by_id))]
        return changed

    def messages(self, content: str | None = None) -> list[StrikeMessage]:
        """Returns the strikes of one content, or all, as messages."""
        return list(self._iterate_messages(content))

    def check(self, content: str, outcome: Outcome | None = None) -> None:
        """Refuses a request that has reached the strike limit.

        Raises:
            ApiError: `quarantined`, with the time until the strikes expire.
        """
        if self.count(content) < defaults.QUARANTINE_STRIKES:
            return
        left_s = max(
            strike.expires_at - self._clock.seconds()
            for strike in self._strike_by_id.values()
            if strike.content == content
        )
        raise ApiError(
            "quarantined",
            "this request has crashed each target that ran it",
            outcome,
            max(1, int(left_s * 1000)),
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
        self._strike_by_id[strike_id] = Strike(
            message["content"], cleared, expires_at
        )
        return True

    def _has_completed(self, content: str) -> bool:
        remember_until = self._completed_until.get(content, 0.0)
        return self._clock.seconds() < remember_until

    def _iterate_messages(self, content: str | None) -> Iterator[StrikeMessage]:
        self._remove_expired()
        now = self._clock.seconds()
        for (death, _), strike in self._strike_by_id.items():
            if content is None or strike.content == content:
                yield StrikeMessage(
                    death=death,
                    content=strike.content,
                    cleared=strike.cleared,
                    left_ms=int((strike.expires_at - now) * 1000),
                )

    def _remove_expired(self) -> None:
        now = self._clock.seconds()
        expired = [
            strike_id
            for strike_id, strike in self._strike_by_id.items()
            if strike.expires_at <= now
        ]
        for strike_id in expired:
            del self._strike_by_id[strike_id]
