"""Messages between routers on where streams began, and how they are sent."""

from typing import NamedTuple, Protocol

import msgspec

from chicorystack.decoding import Amount
from chicorystack.errors import ChicoryError
from chicorystack.store.keyed_log import LogPosition


class StreamPeerError(ChicoryError):
    """A router sent no valid answer.

    Attributes:
        not_running: Whether its VM refused the connection.
    """

    def __init__(self, message: str, not_running: bool = False):
        super().__init__(message)
        self.not_running = not_running


class StreamOrigin(NamedTuple):
    """What began a stream; only this may go on with it.

    Attributes:
        service: Name of the service.
        version: Version of the target's software.
    """

    service: str
    version: str


class TargetRun(msgspec.Struct, frozen=True):
    """One run of a target, from its start to its end, as its entry states it.

    Attributes:
        target: ID of the target.
        started_ms: Unix time of its start in milliseconds.
        version: Version of its software.
    """

    target: str
    started_ms: int
    version: str


class RunQuery(msgspec.Struct, frozen=True):
    """Asks a router whether a run has not been followed by another version.

    Attributes:
        run: The run.
    """

    run: TargetRun


class RunAnswer(msgspec.Struct, frozen=True):
    """The answer to a RunQuery.

    Attributes:
        confirmed: Whether it has not been; None if the router has never seen
            the target.
        is_read: Whether the router has read the registry for this answer.
    """

    confirmed: bool | None
    is_read: bool = False


class OriginRecord(msgspec.Struct, frozen=True):
    """The origin of one stream.

    Attributes:
        request_id: ID of the request that brought its first event.
        service: See StreamOrigin.
        version: See StreamOrigin.
        run: The run that began it, if its entry may have been out of date;
            None if the version is certain.
    """

    request_id: str
    service: str
    version: str
    run: TargetRun | None = None

    @property
    def origin(self) -> StreamOrigin:
        """The origin."""
        return StreamOrigin(self.service, self.version)


class OriginNotice(msgspec.Struct, frozen=True):
    """Tells another router of streams that have begun.

    Attributes:
        records: Their origins.
    """

    records: list[OriginRecord]


class NoticeAnswer(msgspec.Struct, frozen=True):
    """The answer to an OriginNotice."""


class OriginQuery(msgspec.Struct, frozen=True):
    """Asks a router where a stream began.

    Attributes:
        request_id: ID of the request that brought its first event.
        service: Service whose versions the answer lists.
        since_s: Age of the oldest version to list, in seconds.
    """

    request_id: str
    service: str
    since_s: Amount


class VersionsSeen(msgspec.Struct, frozen=True):
    """Versions of a service that a router has seen in some time.

    Attributes:
        versions: The versions.
        complete: Whether it has read each change of the registry from the
            beginning of that time to its position.
        era: Era of the position to which it has read.
        offset: Offset of that position.
    """

    versions: list[str]
    complete: bool
    era: int = 0
    offset: int = 0

    @property
    def read_to(self) -> LogPosition:
        """How far it has read the registry."""
        return LogPosition(self.era, self.offset)


class OriginAnswer(msgspec.Struct, frozen=True):
    """The answer to an OriginQuery.

    Attributes:
        record: The origin; None if the router does not know it.
        seen: Versions that it has seen.
    """

    record: OriginRecord | None
    seen: VersionsSeen


class StreamVersions(Protocol):
    """Keeps streams to the version that began them."""

    def record(self, record: OriginRecord, connected_at: float) -> None:
        """Records a stream whose first event is about to be sent.

        Args:
            record: Its origin.
            connected_at: Clock time at which the connection to its target had
                been opened, in seconds.
        """

    async def confirm(self, run: TargetRun, connected_at: float) -> bool:
        """Returns whether a connection led to a run of this run's version.

        Args:
            run: The run that the registry had shown before.
            connected_at: Clock time at which the connection had been opened,
                in seconds.
        """


class StreamPeers(Protocol):
    """Access to the other routers; calls raise StreamPeerError."""

    def names(self) -> list[str]:
        """Returns the other routers."""

    def witness_candidates(self) -> list[str]:
        """Returns the other routers, those first that should keep records."""

    async def tell_origins(
        self, router: str, notice: OriginNotice
    ) -> NoticeAnswer:
        """Tells a router of streams that have begun."""

    async def query_origin(
        self, router: str, query: OriginQuery
    ) -> OriginAnswer:
        """Asks a router where a stream began."""

    async def query_run(self, router: str, query: RunQuery) -> RunAnswer:
        """Asks a router whether a target's run has not been followed."""
