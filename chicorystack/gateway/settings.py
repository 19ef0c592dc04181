"""Settings of a gateway router."""

from typing import NamedTuple

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
        retry_ratio: Further attempts that all routers may make for each call
            of a service.
        retry_window_s: Span over which these are counted.
        retry_slack: Further attempts of all routers in a span beyond that.
        stop_within_s: Time from the signal to stop to being killed.
    """

    name: str
    data_centre: str
    callers: Address
    readiness: Address
    metrics: Address
    peers: Address
    max_descriptors: int
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    stop_within_s: float
