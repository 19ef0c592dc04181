"""Distinguishes a crashed target from one whose connection failed."""

from urllib.parse import urlsplit

from twisted.internet import endpoints, error, protocol, task

from chicorystack import defaults


class TargetProbe:
    """Probes a target's port.

    Each probe opens a new connection, as pooled ones break when the target
    crashes.
    """

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

    async def is_alive(self) -> bool:
        """Returns False if the target's port refuses a connection.

        It probes TARGET_PROBES times, as a crashing process may close its port
        last.
        """
        for _ in range(defaults.TARGET_PROBES):
            if not await self._accepts_connection():
                return False
            await task.deferLater(self._reactor, defaults.TARGET_PROBE_PAUSE_S)
        return True

    async def _accepts_connection(self) -> bool:
        try:
            connection = await self._endpoint.connect(self._factory)
        except error.ConnectionRefusedError:
            return False
        except error.ConnectError:
            return True
        connection.transport.loseConnection()
        return True
