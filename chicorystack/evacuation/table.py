"""Table of evacuated data centres: the newest statement on each."""

from collections.abc import Callable, Iterable

from chicorystack.evacuation.messages import EvacuationStatement

Listener = Callable[[list[EvacuationStatement]], None]


class EvacuationTable:
    """The newest statement by data centre.

    The order of records in the store decides which one is newer, never the
    time at which a statement arrived.
    """

    def __init__(self):
        self._newest_by_data_centre: dict[str, EvacuationStatement] = {}
        self._listeners: list[Listener] = []

    def apply(self, statements: Iterable[EvacuationStatement]) -> None:
        """Keeps the statements that are newer than those known."""
        news_by_data_centre = {
            statement.data_centre: statement
            for statement in statements
            if self._accept(statement)
        }
        if not news_by_data_centre:
            return
        for listener in self._listeners:
            listener(list(news_by_data_centre.values()))

    def is_evacuated(self, data_centre: str) -> bool:
        """Returns whether no new call may go to a data centre."""
        newest = self._newest_by_data_centre.get(data_centre)
        return newest is not None and newest.active

    @property
    def any_evacuated(self) -> bool:
        """Whether any data centre is evacuated."""
        return any(s.active for s in self._newest_by_data_centre.values())

    def known(self) -> list[EvacuationStatement]:
        """Returns the newest statements."""
        return list(self._newest_by_data_centre.values())

    def on_change(self, listener: Listener) -> None:
        """Calls listener with the statements that have just become newest."""
        self._listeners.append(listener)

    def _accept(self, statement: EvacuationStatement) -> bool:
        """Keeps a statement if it is newer; returns whether it is."""
        known = self._newest_by_data_centre.get(statement.data_centre)
        if known is not None and statement.position <= known.position:
            return False
        self._newest_by_data_centre[statement.data_centre] = statement
        return True
