"""Closes the connections of a server without cutting answers."""

from twisted.internet import task

from chicorystack import defaults
from chicorystack.web.channel import BoundedSite


class GracefulSite(BoundedSite):
    """A site that knows its open connections and can close them gently.

    Attributes:
        closing: Whether connections are closed after the answer under way.
    """

    closing = False

    def close_idle(self) -> None:
        """Closes the connections on which no request has begun."""
        for channel in list(self.open_channels):
            if not channel.requests:
                channel.transport.loseConnection()

    async def wait_for_requests(self, reactor) -> None:
        """Closes idle connections until no request is left on any.

        A request may have been read between the last look at the work under
        way and the closing of the port; it is answered like the others.
        """
        while any(channel.requests for channel in self.open_channels):
            self.close_idle()
            await task.deferLater(reactor, defaults.DRAIN_CHECK_S)

    async def close_connections(self, reactor) -> None:
        """Closes all connections once their bytes are on the wire.

        To be called when no request is being handled. A peer that does not
        read what it is sent is waited for a bounded time.
        """
        for channel in list(self.open_channels):
            channel.transport.loseConnection()
        give_up_at = reactor.seconds() + defaults.FLUSH_TIMEOUT_S
        while self.open_channels and reactor.seconds() < give_up_at:
            await task.deferLater(reactor, defaults.DRAIN_CHECK_S)
