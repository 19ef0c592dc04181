"""Cache of complete streamed answers, for retries at the same agent."""

from typing import NamedTuple

from chicorystack import defaults
from chicorystack.calls.messages import CallHeader
from chicorystack.calls.run_table import CachedAnswer
from chicorystack.errors import ApiError


class _CacheEntry(NamedTuple):
    """One cached answer.

    Attributes:
        body_hash: Hash of the operation and body of the call.
        answer: The answer, without its end record.
        expires_at: Time on the clock at which it expires.
    """

    body_hash: str
    answer: CachedAnswer
    expires_at: float


class AnswerCache:
    """Caches complete streams by key, bounded by age and by total bytes.

    Attributes:
        cached_bytes: Total bytes of all cached answers.
    """

    def __init__(self, clock):
        self._clock = clock
        self._entry_by_key: dict[str, _CacheEntry] = {}
        self.cached_bytes = 0

    def find(self, call: CallHeader, body_hash: str) -> CachedAnswer | None:
        """Returns the cached answer of a call, or None.

        Args:
            call: The call.
            body_hash: Hash of its operation and body.

        Raises:
            ApiError: `key_reused` if the key was used with another operation
                or body.
        """
        self._evict_expired()
        entry = self._entry_by_key.get(call["key"])
        if entry is None:
            return None
        if entry.body_hash != body_hash:
            raise ApiError(
                "key_reused",
                "the key was used before with another operation or body",
                "rejected",
            )
        return entry.answer

    def store(
        self, call: CallHeader, body_hash: str, answer: CachedAnswer
    ) -> None:
        """Stores an answer; evicts the oldest ones beyond the byte limit."""
        self._remove(call["key"])
        expires_at = self._clock.seconds() + defaults.KEY_WINDOW_S
        entry = _CacheEntry(body_hash, answer, expires_at)
        self._entry_by_key[call["key"]] = entry
        self.cached_bytes += len(answer.body)
        while self.cached_bytes > defaults.CACHED_STREAMS_MAX_BYTES:
            self._remove(next(iter(self._entry_by_key)))

    def _remove(self, key: str) -> None:
        entry = self._entry_by_key.pop(key, None)
        if entry is not None:
            self.cached_bytes -= len(entry.answer.body)

    def _evict_expired(self) -> None:
        now = self._clock.seconds()
        while self._entry_by_key:
            key = next(iter(self._entry_by_key))
            if self._entry_by_key[key].expires_at > now:
                return
            self._remove(key)
