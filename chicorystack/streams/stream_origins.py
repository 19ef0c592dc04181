"""Where streams began: what one router knows and asks the others."""

from collections.abc import Callable

from chicorystack.gateway.targets import TargetRegistry
from chicorystack.streams.confirmer import RunConfirmer
from chicorystack.streams.finder import OriginFinder
from chicorystack.streams.messages import OriginRecord, StreamPeers, TargetRun
from chicorystack.streams.origins import OriginTable
from chicorystack.streams.registry_reader import RegistryReader, RegistryReads
from chicorystack.streams.replicator import OriginReplicator
from chicorystack.streams.runs import RunHistory
from chicorystack.streams.versions import VersionHistory


class StreamOrigins:
    """The parts of one router that share its table of origins.

    Implements StreamVersions.

    Attributes:
        finder: Finds the origin of a stream that is taken up.
        replicator: Records the origin of a stream that begins.
        confirmer: Confirms which version a target's connection leads to.
    """

    def __init__(
        self,
        clock,
        registry: TargetRegistry,
        reads: Callable[[], RegistryReads],
        read_soon: Callable[[], None],
        peers: StreamPeers,
    ):
        """Starts without origins.

        Args:
            clock: The reactor.
            registry: The targets, with their versions.
            reads: Returns when the registry was read.
            read_soon: Lets it be read again at once.
            peers: The other routers.
        """
        reader = RegistryReader(clock, reads, read_soon)
        history = VersionHistory(clock, registry, reader)
        runs = RunHistory(registry, reader)
        table = OriginTable(clock, runs)
        self.confirmer = RunConfirmer(clock, runs, reader, peers)
        self.finder = OriginFinder(
            clock, table, peers, history, reader, self.confirmer
        )
        self.replicator = OriginReplicator(clock, table, peers, history)

    def record(self, record: OriginRecord, connected_at: float) -> None:
        """See StreamVersions."""
        self.replicator.record(record, connected_at)

    async def confirm(self, run: TargetRun, connected_at: float) -> bool:
        """See StreamVersions."""
        return await self.confirmer.confirm(run, connected_at)
