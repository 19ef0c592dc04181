"""Metrics, aggregated in memory and sent to statsd once per interval.

All parts of a process use the shared `metrics`; nothing is sent unless a
statsd server is configured. They are sent over UDP on a non-blocking socket,
so a slow or absent server only causes the loss of metrics.
"""

import ipaddress
import math
from collections import Counter, defaultdict
from typing import Literal, NamedTuple

import statsd
from twisted.internet import task

from chicorystack import defaults
from chicorystack.errors import UserError

MetricKind = Literal["counter", "timing"]
PERCENTILES = (50, 95, 99)


class Metric(NamedTuple):
    """A documented metric.

    Attributes:
        kind: A counter, or a timing in milliseconds.
        meaning: Description for the operators' documentation.
    """

    kind: MetricKind
    meaning: str


# All metrics that are sent; `.*` at the end of a name stands for one component.
METRIC_BY_NAME: dict[str, Metric] = {
    "calls.received": Metric("counter", "calls that reached this router"),
    "calls.answered": Metric("counter", "calls answered in whole"),
    "calls.broken_off": Metric("counter", "answers cut after they began"),
    "calls.abandoned": Metric("counter", "calls whose caller went away"),
    "calls.refused.*": Metric("counter", "refusals, by error code"),
    "calls.duration": Metric(
        "timing", "from a call's check to its whole answer"
    ),
    "attempts.sent": Metric("counter", "calls sent to an agent"),
    "attempts.failed": Metric("counter", "attempts without a whole answer"),
    "gate.received": Metric("counter", "calls that reached this agent"),
    "gate.refused.*": Metric("counter", "an agent's refusals, by error code"),
    "keeper.claims": Metric("counter", "shards taken over by this router"),
    "keeper.losses": Metric("counter", "shards lost to a newer keeper"),
    "keeper.exchanges": Metric("counter", "holders' exchanges answered"),
    "keeper.granted": Metric("counter", "tokens handed out"),
    "config.entered": Metric("counter", "configurations that came in force"),
    "config.lost": Metric("counter", "publications that came second"),
    "invariant.violated.*": Metric("counter", "violations, by invariant"),
    "http.refused.*": Metric(
        "counter", "requests that were no whole valid HTTP, by error code"
    ),
    "http.stalled_clients": Metric(
        "counter", "clients dropped because they did not read their answer"
    ),
    "http.refused_connections": Metric(
        "counter", "connections closed because too many were open"
    ),
}


class MetricsError(UserError):
    """The statsd address is invalid."""


class Metrics:
    """Counters and timings of a process since the last send."""

    def __init__(self):
        self._count_by_name: Counter[str] = Counter()
        self._timings_by_name: defaultdict[str, list[float]] = defaultdict(list)

    def count(self, name: str, change: int = 1) -> None:
        """Increments a counter by change."""
        self._count_by_name[name] += change

    def timing(self, name: str, duration_ms: float) -> None:
        """Records a duration in milliseconds.

        Only the first METRICS_MAX_TIMINGS of an interval are kept, to limit
        memory use.
        """
        timings = self._timings_by_name[name]
        if len(timings) < defaults.METRICS_MAX_TIMINGS:
            timings.append(duration_ms)

    def send(self, client: statsd.StatsClient) -> None:
        """Sends all counters and timings in few datagrams and resets them."""
        counts, self._count_by_name = self._count_by_name, Counter()
        timings = self._timings_by_name
        self._timings_by_name = defaultdict(list)
        with client.pipeline() as pipeline:
            for name, value in counts.items():
                pipeline.incr(name, value)
            for name, durations_ms in timings.items():
                _send_percentiles(pipeline, name, durations_ms)


def _send_percentiles(pipeline, name: str, durations_ms: list[float]) -> None:
    ordered = sorted(durations_ms)
    for percentile in PERCENTILES:
        position = math.ceil(len(ordered) * percentile / 100) - 1
        pipeline.gauge(f"{name}.p{percentile}_ms", round(ordered[position], 2))
    pipeline.gauge(f"{name}.max_ms", round(ordered[-1], 2))


metrics = Metrics()


def make_statsd_client(address: str, process: str) -> statsd.StatsClient:
    """Returns a client for `IP:port` with a non-blocking socket.

    Raises:
        MetricsError: If the address is not `IP:port`.
    """
    host, _, port = address.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
        port_number = int(port)
    except ValueError as error:
        raise MetricsError(
            f"--statsd must be IP:port; got '{address}'"
        ) from error
    client = statsd.StatsClient(
        str(ip),
        port_number,
        prefix=f"chicory.{process}",
        maxudpsize=defaults.METRICS_DATAGRAM_BYTES,
        ipv6=ip.version == 6,
    )
    client._sock.setblocking(False)
    return client


def start_metrics(clock, address: str, process: str) -> task.LoopingCall | None:
    """Starts sending metrics; does nothing without an address.

    Args:
        clock: The reactor.
        address: `IP:port` of the statsd server, or empty.
        process: Name of this process, part of each metric's name.

    Raises:
        MetricsError: If the address is not `IP:port`.
    """
    if not address:
        return None
    client = make_statsd_client(address, process)
    loop = task.LoopingCall(metrics.send, client)
    loop.clock = clock
    loop.start(defaults.METRICS_INTERVAL_S, now=False)
    return loop
