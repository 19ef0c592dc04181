"""Closes the connections of a server without cutting answers."""

from twisted.internet import task
from twisted.web import server

from chicorystack import defaults


class GracefulSite(server.Site):
    """A site that knows its open connections and can close them gently.

    Attributes:
        closing: Whether connections are closed after the answer under way.
        open_channels: Connections with callers.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.closing = False
        self.open_channels: set = set()

    def buildProtocol(self, address):
        """Returns the protocol of a new connection and remembers it."""
        channel = super().buildProtocol(address)
        self.open_channels.add(channel)
        forget = channel.connectionLost

        def connection_lost(reason):
            self.open_channels.discard(channel)
            forget(reason)

        channel.connectionLost = connection_lost
        return channel

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
