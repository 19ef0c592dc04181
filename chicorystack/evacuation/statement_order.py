"""Orders what is read of the store's requests among eras.

When the store comes back from an older copy, a new era begins. Records of the
copy keep their offsets, and the records lost with the rest leave theirs to new
ones. A snapshot read in the new era therefore contains records of the former
era. They must not count as newer than a request of the former era that the
copy lacks.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from chicorystack.evacuation.messages import EvacuationStatement
from chicorystack.evacuation.table import EvacuationTable


class ReadPosition(NamedTuple):
    """How far the partition has been read.

    Attributes:
        era: Era of the store.
        end: Offset after the partition's last record.
    """

    era: int
    end: int


class StatementOrder:
    """Puts statements read from the store and from other routers in order."""

    def __init__(self, table: EvacuationTable):
        self._table = table
        self._position = ReadPosition(0, 0)
        # Records written at this offset or later are of the current era: the
        # partition ended there when the era's first snapshot was read.
        self._era_start = 0
        # Active requests in the store, as read, by data centre.
        self._read_by_data_centre: dict[str, EvacuationStatement] = {}

    def apply_snapshot(
        self, statements: Iterable[EvacuationStatement], position: ReadPosition
    ) -> None:
        """Applies the newest record of each key.

        A key that is missing has been deleted, unless the copy from which the
        store came back never had it.
        """
        read_by_data_centre = {s.data_centre: s for s in statements}
        if position.era != self._position.era:
            self._read_by_data_centre = {}
            self._era_start = position.end
        cancelled = [
            _cancelled(statement.data_centre, position)
            for statement in self._table.known()
            if statement.active
            and statement.data_centre not in read_by_data_centre
            and (
                statement.data_centre in self._read_by_data_centre
                or _is_covered(statement, position)
            )
        ]
        self._position = position
        self._read_by_data_centre = read_by_data_centre
        self._apply(cancelled)

    def apply_changes(
        self, statements: Iterable[EvacuationStatement], position: ReadPosition
    ) -> None:
        """Applies records that were appended since the last read."""
        self._position = position
        changes = list(statements)
        for statement in changes:
            if statement.active:
                self._read_by_data_centre[statement.data_centre] = statement
            else:
                self._read_by_data_centre.pop(statement.data_centre, None)
        self._apply(changes)

    def receive(self, statements: Iterable[EvacuationStatement]) -> None:
        """Applies what another router has stated.

        The sender may have read less of the store than this router, which
        then knows that the request has been cancelled since.
        """
        received = [
            _cancelled(statement.data_centre, self._position)
            if self._is_cancelled(statement)
            else statement
            for statement in statements
        ]
        self._apply(received)

    def _is_cancelled(self, statement: EvacuationStatement) -> bool:
        """Whether this router has read that a request is no longer there."""
        return (
            statement.active
            and statement.data_centre not in self._read_by_data_centre
            and _is_covered(statement, self._position)
        )

    def _apply(self, statements: list[EvacuationStatement]) -> None:
        """Applies statements, and again what has been read of the store.

        The statements may have shown when the era began, and thereby the era
        of a record that this router has read.
        """
        era = self._position.era
        known = [*self._table.known(), *statements]
        start = min(
            [self._era_start, *(s.offset for s in known if s.era == era)]
        )
        former = max(
            (s.era for s in known if s.era < era), default=max(0, era - 1)
        )
        own = [
            msgspec.structs.replace(statement, era=former, read_era=era)
            for statement in self._read_by_data_centre.values()
        ]
        self._table.apply(
            msgspec.structs.replace(statement, era=era)
            if statement.read_era == era and statement.offset >= start
            else statement
            for statement in [*own, *statements]
        )


def _is_covered(statement: EvacuationStatement, position: ReadPosition) -> bool:
    """Whether a read up to the position must have found the record."""
    return (
        statement.latest_era == position.era and statement.offset < position.end
    )


def _cancelled(data_centre: str, position: ReadPosition) -> EvacuationStatement:
    """Returns a cancellation by the last record read at the latest."""
    return EvacuationStatement(
        data_centre, False, position.era, position.end - 1
    )
