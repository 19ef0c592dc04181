"""Settings of a gateway router."""

from typing import NamedTuple

from chicorystack.rate_limits.pacing import ColdBounds
from chicorystack.routing.retry_budget import RetryBounds
from chicorystack.web.exchange import Address


class GatewaySettings(NamedTuple):
    """Settings of one router process.

    Attributes:
        name: Name of its VM.
        data_centre: Its data centre.
        caller_address: Address to listen on for callers.
        readiness_address: Address of the readiness endpoint.
        metrics_address: Address of the metrics endpoint.
        peer_address: Address to listen on for other routers.
        max_descriptors: Limit on open file descriptors.
        retry_bounds: Bounds on the retries of all routers together.
        link_bytes_per_s: Capacity of the VM's link in each direction; infinity
            if unknown.
        grace_period_s: Time from SIGTERM until the process is killed.
        memory_bytes: Memory above which the process is killed; infinity if
            unknown.
        region_by_data_centre: Regions of the data centres.
        evacuates: Whether the operator may evacuate data centres.
        cold_bounds: Bounds on the calls of all routers to a cold target.
    """

    name: str
    data_centre: str
    caller_address: Address
    readiness_address: Address
    metrics_address: Address
    peer_address: Address
    max_descriptors: int
    retry_bounds: RetryBounds
    link_bytes_per_s: float
    grace_period_s: float
    memory_bytes: float
    region_by_data_centre: dict[str, str] = {}
    evacuates: bool = False
    cold_bounds: ColdBounds = ColdBounds()
