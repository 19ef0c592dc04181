"""Origins of recent streams, own and of other routers."""

from typing import NamedTuple

import msgspec

from chicorystack import defaults
from chicorystack.streams.messages import OriginRecord
from chicorystack.streams.runs import RunHistory


class KeptRecord(NamedTuple):
    """A record and when it is dropped.

    Attributes:
        record: The record.
        connected_at: Clock time at which the connection to the target that
            began the stream had been opened, in seconds; that of its receipt
            for a copy of another router's record.
        keep_until: Clock time in seconds.
    """

    record: OriginRecord
    connected_at: float
    keep_until: float


class OriginTable:
    """Origins by request ID, kept for as long as a stream may be taken up."""

    def __init__(self, clock, runs: RunHistory):
        self._clock = clock
        self._runs = runs
        self._kept_by_id: dict[str, KeptRecord] = {}

    def __len__(self) -> int:
        return len(self._kept_by_id)

    def add(
        self, record: OriginRecord, connected_at: float | None = None
    ) -> None:
        """Keeps a record; the first one of a request stays.

        Args:
            record: The record.
            connected_at: See KeptRecord; None for a copy received now.
        """
        if self.get(record.request_id) is not None:
            return
        now = self._clock.seconds()
        self._kept_by_id[record.request_id] = KeptRecord(
            record,
            now if connected_at is None else connected_at,
            now + defaults.STREAM_ORIGIN_KEEP_S,
        )
        self._drop_oldest()

    def get(self, request_id: str) -> KeptRecord | None:
        """Returns what is kept of a request's stream, if anything is."""
        return self._kept_by_id.get(request_id)

    def statement(self, request_id: str) -> OriginRecord | None:
        """Returns what to tell other routers of a request's stream.

        Returns:
            The record, without the run once its version is certain; None if
            none is kept, or another version may have begun the stream.
        """
        kept = self.get(request_id)
        if kept is None:
            return None
        record, connected_at, _ = kept
        if record.run is None:
            return record
        certain = self._runs.has_answered(record.run, connected_at)
        if certain is None:
            return record
        return msgspec.structs.replace(record, run=None) if certain else None

    def _drop_oldest(self) -> None:
        """Drops records that are too old or too many; they are in order."""
        now = self._clock.seconds()
        while self._kept_by_id:
            oldest_id, oldest = next(iter(self._kept_by_id.items()))
            if (
                oldest.keep_until > now
                and len(self._kept_by_id) <= defaults.MAX_STREAM_ORIGINS
            ):
                return
            del self._kept_by_id[oldest_id]
