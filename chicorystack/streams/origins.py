"""Origins of recent streams, own and of other routers."""

from typing import NamedTuple

from chicorystack import defaults
from chicorystack.streams.messages import OriginRecord, StreamOrigin


class _KeptRecord(NamedTuple):
    """A record and when it is dropped.

    Attributes:
        record: The record.
        keep_until: Clock time in seconds.
    """

    record: OriginRecord
    keep_until: float


class OriginTable:
    """Origins by request ID, kept for as long as a stream may be taken up."""

    def __init__(self, clock):
        self._clock = clock
        self._kept_by_id: dict[str, _KeptRecord] = {}

    def __len__(self) -> int:
        return len(self._kept_by_id)

    def add(self, record: OriginRecord) -> None:
        """Keeps a record; the first one of a request stays."""
        if self.get(record.request_id) is not None:
            return
        keep_until = self._clock.seconds() + defaults.STREAM_ORIGIN_KEEP_S
        self._kept_by_id[record.request_id] = _KeptRecord(record, keep_until)
        self._drop_oldest()

    def get(self, request_id: str) -> OriginRecord | None:
        """Returns the record of a request, if it is kept."""
        kept = self._kept_by_id.get(request_id)
        return None if kept is None else kept.record

    def origin(self, request_id: str) -> StreamOrigin | None:
        """Returns the origin of a request's stream, if it is kept."""
        record = self.get(request_id)
        return None if record is None else record.origin

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
