"""Whole answers of finished streams, for retries through the same agent."""

from typing import NamedTuple

from chicorystack import defaults
from chicorystack.calls.messages import CallHeader
from chicorystack.calls.run_table import KeptAnswer
from chicorystack.errors import ApiError


class _KeptStream(NamedTuple):
    """One kept answer.

    Attributes:
        body_hash: Hash of the operation and body that it answers.
        answer: The answer, without its end record.
        forget_at: Time on the clock to forget it at.
    """

    body_hash: str
    answer: KeptAnswer
    forget_at: float


class KeptStreams:
    """Keeps finished streams within the window and a number of bytes.

    Attributes:
        kept_bytes: Bytes of all kept answers.
    """

    def __init__(self, clock):
        self._clock = clock
        self._stream_by_key: dict[str, _KeptStream] = {}
        self.kept_bytes = 0

    def find(self, call: CallHeader, content: str) -> KeptAnswer | None:
        """Returns the kept answer of a call, or None.

        Args:
            call: The call.
            content: Its body hash.

        Raises:
            ApiError: `key_reused` where the key came with another body.
        """
        self._forget_old()
        kept = self._stream_by_key.get(call["key"])
        if kept is None:
            return None
        if kept.body_hash != content:
            raise ApiError(
                "key_reused",
                "the key came before with another operation or body",
                "rejected",
            )
        return kept.answer

    def keep(self, call: CallHeader, content: str, answer: KeptAnswer) -> None:
        """Keeps an answer, making room where needed."""
        self._drop(call["key"])
        forget_at = self._clock.seconds() + defaults.KEY_WINDOW_S
        kept = _KeptStream(content, answer, forget_at)
        self._stream_by_key[call["key"]] = kept
        self.kept_bytes += len(answer.body)
        while self.kept_bytes > defaults.KEPT_STREAMS_MAX_BYTES:
            self._drop(next(iter(self._stream_by_key)))

    def _drop(self, key: str) -> None:
        kept = self._stream_by_key.pop(key, None)
        if kept is not None:
            self.kept_bytes -= len(kept.answer.body)

    def _forget_old(self) -> None:
        now = self._clock.seconds()
        while self._stream_by_key:
            key = next(iter(self._stream_by_key))
            if self._stream_by_key[key].forget_at > now:
                return
            self._drop(key)
