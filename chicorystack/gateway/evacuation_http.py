"""Statements on evacuations between routers, as JSON over HTTP.

`POST /v1/evacuations` accepts an EvacuationNotice and returns one.
"""

from twisted.web import resource

from chicorystack import defaults
from chicorystack.evacuation.exchange import EvacuationExchange
from chicorystack.evacuation.messages import (
    EvacuationNotice,
    EvacuationPeerError,
)
from chicorystack.gateway.peer_http import (
    MessageResource,
    PeerChannel,
    PeerClient,
)

EVACUATIONS_PATH = b"/v1/evacuations"


def add_evacuation_resource(
    api: resource.Resource, exchange: EvacuationExchange
) -> None:
    """Adds the resource for evacuations below `/v1`."""
    api.putChild(
        b"evacuations", MessageResource(EvacuationNotice, exchange.answer)
    )


class HttpEvacuationPeers:
    """HTTP implementation of EvacuationPeers."""

    def __init__(self, client: PeerClient):
        self._channel = PeerChannel(
            client,
            defaults.EVACUATION_PEER_TIMEOUT_S,
            lambda error: EvacuationPeerError(str(error)),
        )

    def names(self) -> list[str]:
        """See EvacuationPeers."""
        return self._channel.names()

    async def exchange(
        self, router: str, notice: EvacuationNotice
    ) -> EvacuationNotice:
        """See EvacuationPeers."""
        return await self._channel.send(
            router, EVACUATIONS_PATH, notice, EvacuationNotice
        )
