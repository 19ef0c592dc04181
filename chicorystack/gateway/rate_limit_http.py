"""Rate limits between routers, as JSON over HTTP.

`POST /v1/rate-shares` accepts a ShareRequest and returns a ShareAnswer; `POST
/v1/rate-permits` accepts a PermitRequest and returns a PermitAnswer.
"""

from twisted.web import resource

from chicorystack import defaults
from chicorystack.gateway.peer_http import (
    MessageResource,
    PeerChannel,
    PeerClient,
)
from chicorystack.rate_limits.limiter import RateLimiter
from chicorystack.rate_limits.messages import (
    PermitAnswer,
    PermitRequest,
    RatePeerError,
    ShareAnswer,
    ShareRequest,
)

SHARES_PATH = b"/v1/rate-shares"
PERMITS_PATH = b"/v1/rate-permits"


def add_rate_limit_resources(
    api: resource.Resource, limiter: RateLimiter
) -> None:
    """Adds the resources for rate limits below `/v1`."""
    api.putChild(
        b"rate-shares", MessageResource(ShareRequest, limiter.lease_share)
    )
    api.putChild(b"rate-permits", MessageResource(PermitRequest, limiter.grant))


class HttpRatePeers:
    """HTTP implementation of RatePeers."""

    def __init__(self, client: PeerClient):
        self._channel = PeerChannel(
            client,
            defaults.RATE_PEER_TIMEOUT_S,
            lambda error: RatePeerError(str(error), error.not_running),
        )

    def names(self) -> list[str]:
        """See RatePeers."""
        return self._channel.names()

    async def request_share(
        self, router: str, request: ShareRequest
    ) -> ShareAnswer:
        """See RatePeers."""
        return await self._channel.send(
            router, SHARES_PATH, request, ShareAnswer
        )

    async def request_permits(
        self, router: str, request: PermitRequest
    ) -> PermitAnswer:
        """See RatePeers."""
        return await self._channel.send(
            router, PERMITS_PATH, request, PermitAnswer
        )
