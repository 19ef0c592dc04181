"""Messages between routers on evacuations, and how they are sent."""

from typing import Protocol

import msgspec

from chicorystack.decoding import Count, Integer
from chicorystack.errors import ChicoryError


class EvacuationPeerError(ChicoryError):
    """A router sent no valid answer."""


class EvacuationStatement(msgspec.Struct, frozen=True):
    """What one record of the store says about a data centre.

    Attributes:
        data_centre: Name of the data centre.
        active: Whether it is evacuated; False if the request was cancelled.
        era: Earliest era of the store in which the record may have been
            written.
        offset: Offset of the record in its partition.
        read_era: Era in which the record was read, if that is a later one: the
            store came back from a copy that may have contained it.
    """

    data_centre: str
    active: bool
    era: Count
    offset: Integer
    read_era: Count = 0

    @property
    def position(self) -> tuple[int, int]:
        """Place in the order of all statements; a greater one is newer."""
        return self.era, self.offset

    @property
    def latest_era(self) -> int:
        """Latest era in which the record may have been written."""
        return max(self.era, self.read_era)


class EvacuationNotice(msgspec.Struct, frozen=True):
    """The newest statements that a router knows; both message and answer.

    Attributes:
        statements: At most one statement per data centre.
    """

    statements: list[EvacuationStatement]


class EvacuationPeers(Protocol):
    """Access to the other routers."""

    def names(self) -> list[str]:
        """Returns the other routers."""

    async def exchange(
        self, router: str, notice: EvacuationNotice
    ) -> EvacuationNotice:
        """Sends a router statements; returns those that it knows.

        Raises:
            EvacuationPeerError: If the router sent no valid answer.
        """
