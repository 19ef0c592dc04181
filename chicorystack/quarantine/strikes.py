"""Counts, by content, the targets that died while running a call.

Every call that ran on a target when it died gets a strike, the innocent ones
too. A content with a strike is a suspect: its runs go one at a time to one
target, and never two suspects run on one target together. So the next death
again has one suspect only, and all others are cleared by completing. At the
limit the content is refused.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple, TypedDict

from chicorystack import defaults
from chicorystack.errors import ApiError, Outcome
from chicorystack.util import new_id, stable_hash


def content_hash(service: str, content: str) -> str:
    """Returns the short name of what a call asks for, whatever its key."""
    text = f"{service}\0{content}"
    return f"{stable_hash(text):016x}"


class StrikeMessage(TypedDict):
    """A strike as processes tell each other.

    Attributes:
        death: Id of a target's death, `target:id`.
        content: Content that ran there.
        cleared: Whether the content has completed a run since.
        left_ms: Time until the strike lapses; the receiver turns it into a
            deadline on its own clock at once.
    """

    death: str
    content: str
    cleared: bool
    left_ms: int


class StrikesMessage(TypedDict):
    """Strikes that one process passes on to another."""

    strikes: list[StrikeMessage]


class Strike(NamedTuple):
    """A strike as one process holds it.

    Attributes:
        content: Content that ran when the target died.
        cleared: Whether the content has completed a run since.
        lapses_at: Time on the reactor's clock.
    """

    content: str
    cleared: bool
    lapses_at: float


class StrikeTable:
    """The strikes that one process knows of; bounded in time and number."""

    def __init__(self, clock):
        self._clock = clock
        self._strike_by_id: dict[tuple[str, str], Strike] = {}
        self._completed_until: dict[str, float] = {}

    def count(self, content: str) -> int:
        """Returns the number of a content's strikes in force."""
        self._forget_lapsed()
        return sum(
            strike.content == content and not strike.cleared
            for strike in self._strike_by_id.values()
        )

    def targets_lost(self, content: str) -> set[str]:
        """Returns the names of the targets that died running a content."""
        return {
            death.partition(":")[0]
            for (death, _), strike in self._strike_by_id.items()
            if strike.content == content
        }

    def note_death(self, target: str, contents: Iterable[str]) -> None:
        """Gives a strike to each content that ran on a target that died."""
        death = f"{target}:{new_id()}"
        left_ms = int(defaults.QUARANTINE_S * 1000)
        self.merge(
            StrikeMessage(
                death=death, content=content, cleared=False, left_ms=left_ms
            )
            for content in set(contents)
        )

    def note_completed(self, content: str) -> None:
        """Clears a content: what crashes each target never completes."""
        until = self._clock.seconds() + defaults.COMPLETED_REMEMBERED_S
        self._completed_until.pop(content, None)
        self._completed_until[content] = until
        while len(self._completed_until) > defaults.COMPLETED_KEPT:
            del self._completed_until[next(iter(self._completed_until))]
        for strike_id, strike in self._strike_by_id.items():
            if strike.content == content:
                self._strike_by_id[strike_id] = strike._replace(cleared=True)

    def merge(self, told: Iterable[StrikeMessage]) -> bool:
        """Takes strikes from a peer; tells whether any was news."""
        self._forget_lapsed()
        news = False
        for message in told:
            news |= self._merge_one(message)
        while len(self._strike_by_id) > defaults.STRIKES_KEPT:
            del self._strike_by_id[next(iter(self._strike_by_id))]
        return news

    def messages(self, content: str | None = None) -> list[StrikeMessage]:
        """Returns the strikes of one content, or all, to pass on."""
        return list(self._messages(content))

    def check(self, content: str, outcome: Outcome | None = None) -> None:
        """Refuses a content at the limit.

        Raises:
            ApiError: `quarantined`, with the time until the strikes lapse.
        """
        if self.count(content) < defaults.QUARANTINE_STRIKES:
            return
        left_s = max(
            strike.lapses_at - self._clock.seconds()
            for strike in self._strike_by_id.values()
            if strike.content == content
        )
        raise ApiError(
            "quarantined",
            "this content has crashed each target that ran it",
            outcome,
            max(1, int(left_s * 1000)),
        )

    def _merge_one(self, message: StrikeMessage) -> bool:
        if message["left_ms"] <= 0:
            return False
        strike_id = (message["death"], message["content"])
        known = self._strike_by_id.get(strike_id)
        cleared = message["cleared"] or self._completed(message["content"])
        if known is not None:
            if known.cleared or not cleared:
                return False
            self._strike_by_id[strike_id] = known._replace(cleared=True)
            return True
        lapses_at = self._clock.seconds() + message["left_ms"] / 1000
        self._strike_by_id[strike_id] = Strike(
            message["content"], cleared, lapses_at
        )
        return True

    def _completed(self, content: str) -> bool:
        until = self._completed_until.get(content, 0.0)
        return self._clock.seconds() < until

    def _messages(self, content: str | None) -> Iterator[StrikeMessage]:
        self._forget_lapsed()
        now = self._clock.seconds()
        for (death, _), strike in self._strike_by_id.items():
            if content is None or strike.content == content:
                yield StrikeMessage(
                    death=death,
                    content=strike.content,
                    cleared=strike.cleared,
                    left_ms=int((strike.lapses_at - now) * 1000),
                )

    def _forget_lapsed(self) -> None:
        now = self._clock.seconds()
        lapsed = [
            strike_id
            for strike_id, strike in self._strike_by_id.items()
            if strike.lapses_at <= now
        ]
        for strike_id in lapsed:
            del self._strike_by_id[strike_id]
