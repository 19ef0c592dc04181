"""Where streams began: what one router knows and asks the others."""

from collections.abc import Callable

from chicorystack.gateway.targets import TargetRegistry
from chicorystack.streams.finder import OriginFinder
from chicorystack.streams.messages import StreamPeers
from chicorystack.streams.origins import OriginTable
from chicorystack.streams.replicator import OriginReplicator
from chicorystack.streams.versions import RegistryReads, VersionHistory


class StreamOrigins:
    """The parts of one router that share its table of origins.

    Attributes:
        finder: Finds the origin of a stream that is taken up.
        replicator: Records the origin of a stream that begins.
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
        table = OriginTable(clock)
        history = VersionHistory(clock, registry, reads, read_soon)
        self.finder = OriginFinder(clock, table, peers, history)
        self.replicator = OriginReplicator(clock, table, peers, history)
