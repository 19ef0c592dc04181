"""Prometheus counters and latency histograms of the gateway."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

REGISTRY = CollectorRegistry()
LATENCY_BUCKETS_S = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8,
)  # fmt: skip

requests_total = Counter(
    "chicory_requests",
    "Requests by kind of route and outcome",
    ["kind", "outcome"],
    registry=REGISTRY,
)
attempts_total = Counter(
    "chicory_attempts",
    "Attempts at targets by their end",
    ["end"],
    registry=REGISTRY,
)
first_byte_seconds = Histogram(
    "chicory_first_byte_seconds",
    "Time from a request's first byte to the first byte of its answer",
    ["kind"],
    buckets=LATENCY_BUCKETS_S,
    registry=REGISTRY,
)

rotation_exits_total = Counter(
    "chicory_rotation_exits",
    "Times that the router left the rotation because of its load",
    registry=REGISTRY,
)

rate_permits_total = Counter(
    "chicory_rate_permits",
    "Permits that calls needed for targets with a rate limit",
    ["result"],
    registry=REGISTRY,
)

cold_targets = Gauge(
    "chicory_cold_targets",
    "Cold targets that limit the rate of calls, as this router knows them",
    registry=REGISTRY,
)

streams_resumed_total = Counter(
    "chicory_streams_resumed",
    "Streams that callers took up again, by how their origin was found",
    ["found_by"],
    registry=REGISTRY,
)

data_centre_evacuated = Gauge(
    "chicory_data_centre_evacuated",
    "Whether this router sends no new calls to a data centre",
    ["data_centre"],
    registry=REGISTRY,
)

held_bytes = Gauge(
    "chicory_held_bytes",
    "Bytes held for callers that read or send slowly, and for their calls",
    registry=REGISTRY,
)

callers_disconnected_total = Counter(
    "chicory_callers_disconnected",
    "Callers disconnected because the process held too many bytes",
    registry=REGISTRY,
)

unanswered_requests_total = Counter(
    "chicory_unanswered_requests",
    "Requests whose connection closed before their answer was complete",
    ["reason"],
    registry=REGISTRY,
)

first_event_ratio = Histogram(
    "chicory_first_event_ratio",
    "Measured time to the first event divided by the predicted time",
    ["service"],
    buckets=(0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0),
    registry=REGISTRY,
)

scheduling_waiting = Gauge(
    "chicory_scheduling_waiting",
    "Calls that wait for a target",
    ["service"],
    registry=REGISTRY,
)
scheduling_limit = Gauge(
    "chicory_scheduling_limit",
    "Calls that this router may have open at a service's targets",
    ["service"],
    registry=REGISTRY,
)
scheduling_wait_seconds = Histogram(
    "chicory_scheduling_wait_seconds",
    "Time that calls waited before they were sent to a target or refused",
    ["end"],
    buckets=LATENCY_BUCKETS_S,
    registry=REGISTRY,
)
scheduling_refusals_total = Counter(
    "chicory_scheduling_refusals",
    "Calls refused because of the load of their service's targets",
    ["reason"],
    registry=REGISTRY,
)


def metrics_text() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
