"""Evacuations as one router knows them, with their logs and metric."""

from collections.abc import Callable

from chicorystack import defaults
from chicorystack.evacuation.exchange import Connectivity, EvacuationExchange
from chicorystack.evacuation.messages import (
    EvacuationPeers,
    EvacuationStatement,
)
from chicorystack.evacuation.regions import RegionalCall, RegionTable
from chicorystack.evacuation.statement_order import ReadPosition, StatementOrder
from chicorystack.evacuation.table import EvacuationTable
from chicorystack.observe.events import emit
from chicorystack.observe.exposition import data_centre_evacuated


class Evacuations:
    """The parts of one router that decide where calls may run.

    Attributes:
        table: The evacuated data centres.
        regions: The regions of data centres.
        exchange: Passes statements between routers.
    """

    def __init__(
        self,
        clock,
        peers: EvacuationPeers,
        connectivity: Callable[[], Connectivity],
        region_by_data_centre: dict[str, str],
    ):
        """Starts without evacuations.

        Args:
            clock: The reactor.
            peers: The other routers.
            connectivity: Returns what this router can reach.
            region_by_data_centre: The regions of data centres.
        """
        self._clock = clock
        self._ready_at: float | None = None
        self._reported: set[str] = set()
        self._restore_listeners: list[Callable[[str], None]] = []
        self.table = EvacuationTable()
        self.table.on_change(self._report)
        self.regions = RegionTable(region_by_data_centre)
        self._reader = StatementOrder(self.table)
        self.exchange = EvacuationExchange(
            clock, self.table, self._reader, peers, connectivity
        )

    def on_restored(self, listener: Callable[[str], None]) -> None:
        """Calls listener with each data centre that is evacuated no more."""
        self._restore_listeners.append(listener)

    def start(self) -> None:
        """Starts exchanging statements with other routers, unless begun."""
        if self._ready_at is not None:
            return
        self._ready_at = (
            self._clock.seconds() + defaults.EVACUATION_START_WAIT_S
        )
        self.exchange.start()

    @property
    def ready(self) -> bool:
        """Whether other routers have been asked, or had time to answer.

        Before that, this router may not know of a request that the store has
        lost.
        """
        return self.exchange.asked or (
            self._ready_at is not None
            and self._clock.seconds() >= self._ready_at
        )

    def apply_update(
        self,
        statements: list[EvacuationStatement],
        position: ReadPosition,
        is_snapshot: bool,
    ) -> None:
        """Applies an update of the store.

        Args:
            statements: Statements in the update, in the store's order.
            position: How far the partition has been read.
            is_snapshot: Whether they are of all keys, not changes.
        """
        if is_snapshot:
            self._reader.apply_snapshot(statements, position)
        else:
            self._reader.apply_changes(statements, position)

    def allows(self, call: RegionalCall, data_centre: str) -> bool:
        """Returns whether a call may be sent to a target there now."""
        return not self.table.is_evacuated(data_centre) and (
            self.regions.allowed(call, data_centre)
        )

    def _report(self, news: list[EvacuationStatement]) -> None:
        for statement in news:
            data_centre = statement.data_centre
            if statement.active == (data_centre in self._reported):
                continue
            if statement.active:
                self._reported.add(data_centre)
            else:
                self._reported.discard(data_centre)
                for listener in self._restore_listeners:
                    listener(data_centre)
            data_centre_evacuated.labels(data_centre).set(statement.active)
            emit(
                "evacuation",
                "evacuated" if statement.active else "restored",
                data_centre=data_centre,
                era=statement.era,
                offset=statement.offset,
                evacuated=sorted(self._reported),
            )
