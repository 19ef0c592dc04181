"""Settings of a gateway router."""

from typing import NamedTuple

from chicorystack.routing.retry_budget import RetryBounds
from chicorystack.web.exchange import Address


class GatewaySettings(NamedTuple):
    """Settings of one router process.

    Attributes:
        name: Name of its VM.
        data_centre: Its data centre.
        callers: Address to listen on for callers.
        readiness: Address of the readiness endpoint.
        metrics: Address of the metrics endpoint.
        peers: Address to listen on for other routers.
        max_descriptors: Limit on open file descriptors.
        retries: Bounds on the retries of all routers together.
        stop_within_s: Time from SIGTERM until the process is killed.
    """

    name: str
    data_centre: str
    callers: Address
    readiness: Address
    metrics: Address
    peers: Address
    max_descriptors: int
    retries: RetryBounds
    stop_within_s: float
