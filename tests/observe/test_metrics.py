"""Tests sending metrics to a statsd server, and without one."""

import socket

import pytest
from twisted.internet import task

from chicorystack import defaults
from chicorystack.observe.metrics import (
    Metrics,
    MetricsError,
    make_statsd_client,
    metrics,
    start_metrics,
)


@pytest.fixture
def listener():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind((defaults.LOOPBACK, 0))
        server.settimeout(5)
        yield server


def address_of(listener) -> str:
    host, port = listener.getsockname()
    return f"{host}:{port}"


def test_counts_of_an_interval_arrive_in_one_datagram(listener):
    clock = task.Clock()
    loop = start_metrics(clock, address_of(listener), "router-1")
    metrics.send(make_statsd_client("127.0.0.1:9", "earlier-tests"))
    for _ in range(1000):
        metrics.count("calls.received")
    metrics.count("keeper.granted", 250)
    clock.advance(defaults.METRICS_INTERVAL_S)
    loop.stop()
    lines = set(listener.recv(4096).decode().splitlines())
    assert lines == {
        "chicory.router-1.calls.received:1000|c",
        "chicory.router-1.keeper.granted:250|c",
    }


def test_timings_are_sent_as_percentiles(listener):
    own = Metrics()
    for duration_ms in range(1, 101):
        own.timing("calls.duration", duration_ms)
    own.send(make_statsd_client(address_of(listener), "r"))
    assert listener.recv(4096).decode().splitlines() == [
        "chicory.r.calls.duration.p50_ms:50|g",
        "chicory.r.calls.duration.p95_ms:95|g",
        "chicory.r.calls.duration.p99_ms:99|g",
        "chicory.r.calls.duration.max_ms:100|g",
    ]


def test_memory_for_timings_is_bounded():
    own = Metrics()
    for _ in range(defaults.METRICS_MAX_TIMINGS + 10):
        own.timing("calls.duration", 1.0)
    kept = own._timings_by_name["calls.duration"]
    assert len(kept) == defaults.METRICS_MAX_TIMINGS


def test_sending_without_a_server_neither_blocks_nor_fails():
    client = make_statsd_client("127.0.0.1:9", "r")
    assert client._sock.getblocking() is False
    for _ in range(100):
        metrics.count("calls.received")
        metrics.send(client)


def test_sending_does_not_start_without_an_address():
    assert start_metrics(task.Clock(), "", "r") is None


@pytest.mark.parametrize("address", ["localhost:1", "127.0.0.1", "1.2.3.4:x"])
def test_invalid_address_is_a_user_error(address):
    with pytest.raises(MetricsError, match="IP:port"):
        start_metrics(task.Clock(), address, "r")
