"""Closes the connections of a server without truncating responses."""

from twisted.internet import task

from chicorystack import defaults
from chicorystack.web.channel import BoundedSite


class GracefulSite(BoundedSite):
    """A site that can close its open connections gracefully.

    Attributes:
        closing: Whether connections are closed after the current response.
    """

    closing = False

    def close_idle_connections(self) -> None:
        """Closes the connections that have no request in progress."""
        for channel in list(self.open_channels):
            if not channel.requests:
                channel.transport.loseConnection()

    async def wait_for_requests(self, reactor) -> None:
        """Closes idle connections until no request is in progress.

        A request may have been read between the last check for requests in
        progress and the closing of the port; it is served like the others.
        """
        while any(channel.requests for channel in self.open_channels):
            self.close_idle_connections()
            await task.deferLater(reactor, defaults.DRAIN_CHECK_INTERVAL_S)

    async def close_connections(self, reactor) -> None:
        """Closes all connections once their buffered bytes have been sent.

        Must be called when no request is in progress. Waits at most
        FLUSH_TIMEOUT_S for peers that do not read.
        """
        for channel in list(self.open_channels):
            channel.transport.loseConnection()
        flush_deadline = reactor.seconds() + defaults.FLUSH_TIMEOUT_S
        while self.open_channels and reactor.seconds() < flush_deadline:
            await task.deferLater(reactor, defaults.DRAIN_CHECK_INTERVAL_S)
