"""Which versions of a service have been registered lately.

If only one has been since before a stream began, the stream began at it.
"""

from chicorystack import defaults
from chicorystack.gateway.targets import TargetEntry, TargetRegistry
from chicorystack.streams.messages import StreamOrigin, VersionsSeen
from chicorystack.streams.registry_reader import RegistryReader


class VersionHistory:
    """Versions by service, with those that have gone."""

    def __init__(self, clock, registry: TargetRegistry, reader: RegistryReader):
        """Starts without versions.

        Args:
            clock: The reactor.
            registry: The targets, with their versions.
            reader: Reads of the registry.
        """
        self._clock = clock
        self._registry = registry
        self._reader = reader
        self._gone_at_by_origin: dict[StreamOrigin, float] = {}
        registry.on_removed(self._record_gone)

    def seen(self, service: str, since_s: float) -> VersionsSeen:
        """Returns the versions of the last seconds.

        Args:
            service: The service.
            since_s: How far back, in seconds. A time of which versions are no
                longer remembered is never complete.
        """
        now = self._clock.seconds()
        believed_since_s = since_s + defaults.STREAM_VERSION_BELIEF_S
        current = {
            entry.version
            for entry in (
                *self._registry.entry_by_id.values(),
                *self._registry.disputed_by_id.values(),
            )
            if entry.service == service
        }
        gone = {
            origin.version
            for origin, gone_at in self._gone_at_by_origin.items()
            if origin.service == service and gone_at >= now - believed_since_s
        }
        reads = self._reader.reads
        watched_from = reads.complete_since
        return VersionsSeen(
            sorted(current | gone),
            watched_from is not None
            and watched_from <= now - since_s
            and believed_since_s <= defaults.STREAM_VERSION_KEEP_S,
            *reads.read_to,
        )

    def has_several(self, service: str) -> bool:
        """Returns whether streams may break and meet another version."""
        seen = self.seen(service, defaults.STREAM_ORIGIN_KEEP_S)
        return len(seen.versions) > 1

    def _record_gone(self, entry: TargetEntry) -> None:
        now = self._clock.seconds()
        self._gone_at_by_origin = {
            origin: gone_at
            for origin, gone_at in self._gone_at_by_origin.items()
            if gone_at >= now - defaults.STREAM_VERSION_KEEP_S
        }
        self._gone_at_by_origin[StreamOrigin(entry.service, entry.version)] = (
            now
        )
