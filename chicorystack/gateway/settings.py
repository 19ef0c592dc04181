"""Settings of a gateway router."""

from typing import NamedTuple

from chicorystack.routing.retry_budget import RetryBounds
from chicorystack.web.exchange import Address


class GatewaySettings(NamedTuple):
    """What one router process is told at its start.

    Attributes:
        name: Name of its VM.
        data_centre: Its data centre.
        callers: Where it listens for callers.
        readiness: Where it says whether it is ready.
        metrics: Where it shows its metrics.
        peers: Where it answers other routers.
        max_descriptors: File descriptors that it may open.
        retries: Further attempts that all routers may make.
        stop_within_s: Time from the signal to stop to being killed.
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
