"""Logs records of other programs that cannot be used, once each.

Records are read again with each snapshot, and some are written again every
second; only a new reason leads to another line.
"""

from chicorystack import defaults
from chicorystack.observe.events import emit


class UnreadableRecords:
    """The reasons that have been logged, by part of the program and key."""

    def __init__(self):
        self._reason_by_record: dict[tuple[str, str], str] = {}

    def report(self, part: str, key: str, error: Exception) -> bool:
        """Logs that a record cannot be used, unless the reason is known.

        Args:
            part: The part of the program that reads it.
            key: Key of the record.
            error: Why it cannot be used.

        Returns:
            Whether the reason is new.
        """
        reason = repr(error)[: defaults.MAX_REASON_LENGTH]
        is_new = self._reason_by_record.pop((part, key), None) != reason
        if is_new:
            emit(part, "unreadable", key=key, reason=reason)
        self._reason_by_record[part, key] = reason
        if len(self._reason_by_record) > defaults.MAX_UNREADABLE_RECORDS:
            del self._reason_by_record[next(iter(self._reason_by_record))]
        return is_new

    def forget(self, part: str, key: str) -> None:
        """Notes that a record can be used again or has been deleted."""
        if self._reason_by_record:
            self._reason_by_record.pop((part, key), None)


unreadable_records = UnreadableRecords()
