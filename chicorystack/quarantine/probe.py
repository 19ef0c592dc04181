"""Tells a dead target from one that only broke a call off."""

from urllib.parse import urlsplit

from twisted.internet import endpoints, error, protocol, task

from chicorystack import defaults


class TargetProbe:
    """Opens connections of its own, as kept ones die with the target."""

    def __init__(self, reactor, target_url: str):
        parts = urlsplit(target_url)
        self._reactor = reactor
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor,
            parts.hostname,
            parts.port,
            timeout=defaults.TARGET_PROBE_TIMEOUT_S,
        )
        self._factory = protocol.Factory.forProtocol(protocol.Protocol)
        self._factory.noisy = False

    async def answers(self) -> bool:
        """Returns False where the target's port refuses a connection.

        It looks twice, as a dying process may close its port last.
        """
        for _ in range(defaults.TARGET_PROBES):
            if not await self._accepts():
                return False
            await task.deferLater(self._reactor, defaults.TARGET_PROBE_PAUSE_S)
        return True

    async def _accepts(self) -> bool:
        try:
            connected = await self._endpoint.connect(self._factory)
        except error.ConnectionRefusedError:
            return False
        except error.ConnectError:
            return True
        connected.transport.loseConnection()
        return True
