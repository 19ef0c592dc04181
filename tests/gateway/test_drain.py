"""Tests that a router that stops cuts no request that it has passed on."""

import json

import pytest
from twisted.internet import defer, task
from twisted.internet.error import ConnectError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from chicorystack import defaults
from chicorystack.gateway.process import GatewayProcess
from chicorystack.gateway.settings import GatewaySettings
from chicorystack.platform import operator_config, target_entries
from chicorystack.platform.router import ADAPTER
from chicorystack.routing.retry_budget import RetryBounds
from chicorystack.store.keyed_log import KeyedRecord, ReadResult
from chicorystack.web.exchange import Address
from tests.support.raw_http import build_request, parse_response

GRACE_S = 8.0
STEP_S = 0.05
# Time into the stop at which the port is closed, and no excuse is left for
# requests that are cut.
LATE_S = 3.1
CALLERS_PORT = 7000
TARGET_PORT = 9000
CONFIG = {
    "Version": 1,
    "Routes": [
        {
            "Name": "guide",
            "Host": "x",
            "PathPrefix": "/guide/",
            "Kind": "streaming",
            "Service": "llm",
            "TimeoutMs": 15_000,
            "SloMs": 800,
        }
    ],
    "Services": [{"Name": "llm"}],
}
TARGET = {
    "Service": "llm",
    "Address": f"127.0.0.1:{TARGET_PORT}",
    "Zone": "a",
    "Slots": 8,
    "State": "ready",
}
RECORDS_BY_PARTITION = {
    operator_config.PARTITION: [
        KeyedRecord("config", json.dumps(CONFIG).encode(), 0)
    ],
    target_entries.PARTITION: [
        KeyedRecord("i-1", json.dumps(TARGET).encode(), 0)
    ],
}


class FixedLog:
    """A store in which nothing changes."""

    era = 1

    def __init__(self, reactor):
        self._reactor = reactor

    async def read_newest(self, partition):
        records = RECORDS_BY_PARTITION.get(partition, [])
        return ReadResult(records, len(records))

    async def read(self, _partition, start, wait_s):
        await task.deferLater(self._reactor, max(wait_s, STEP_S))
        return ReadResult([], start)

    async def append(self, _partition, _records, expected_end=None):
        return expected_end or 0


class TargetTransport(StringTransport):
    """A connection in memory that takes the options of a socket."""

    def setTcpNoDelay(self, enabled):
        """Does nothing."""

    def setTcpKeepAlive(self, enabled):
        """Does nothing."""


class TargetSide:
    """The target's side of a connection, with one request."""

    def __init__(self, factory):
        self._transport = TargetTransport()
        self._protocol = factory.buildProtocol(None)
        self._protocol.makeConnection(self._transport)

    def begin(self, request_id):
        self._protocol.dataReceived(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"x-chicorystack-request-attempt-id: %b\r\n"
            b"x-chicorystack-response-seal: s\r\n"
            b"transfer-encoding: chunked\r\n\r\n"
            b"f\r\nid: 1\ndata: a\n\n\r\n" % request_id
        )

    def finish(self):
        self._protocol.dataReceived(b"0\r\n\r\n")


class Router:
    """A router in memory; the test plays its callers and its target."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        addresses = [Address("127.0.0.1", CALLERS_PORT + n) for n in range(4)]
        settings = GatewaySettings(
            "r", "a", *addresses, 1000, RetryBounds(0.2, 10.0, 5.0),
            float("inf"), GRACE_S, float("inf"),
        )  # fmt: skip
        self.process = GatewayProcess(
            self.reactor, settings, FixedLog(self.reactor), ADAPTER
        )
        self.process.start()
        self.advance(1.0)

    def advance(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.reactor.advance(STEP_S)

    def connect(self):
        """Opens a caller's connection; returns the router's side of it."""
        site = next(
            factory
            for port, factory, *_ in self.reactor.tcpServers
            if port == CALLERS_PORT
        )
        channel = site.buildProtocol(None)
        channel.makeConnection(StringTransport())
        return channel

    def begin_stream(self, channel, request_id):
        """Sends a request whose target sends a first event."""
        channel.dataReceived(stream_request(request_id))
        target = self.accept_at_target()
        target.begin(request_id)
        return target

    def accept_at_target(self):
        """Accepts the one connection that the router opens to the target."""
        return TargetSide(self._take_connection())

    def fail_connection(self):
        """Lets the one connection to the target fail."""
        failure = Failure(ConnectError())
        self._take_connection().clientConnectionFailed(None, failure)

    def _take_connection(self):
        (client,) = self.opened_to_target()
        self.reactor.tcpClients.remove(client)
        return client[2]

    def opened_to_target(self):
        return [c for c in self.reactor.tcpClients if c[1] == TARGET_PORT]

    def stop(self):
        """Stops as SIGTERM does."""
        defer.ensureDeferred(self.process.drain())


def stream_request(request_id, deadline_ms=15_000):
    headers = [
        (b"x-chicorystack-request-attempt-id", request_id),
        (b"x-chicorystack-deadline-ms", b"%d" % deadline_ms),
    ]
    return build_request(b"POST", b"/guide/1", headers)


def response_after_first(channel):
    """Returns the response that follows a complete chunked one."""
    _, _, rest = channel.transport.value().partition(b"0\r\n\r\n")
    return parse_response(rest)


@pytest.fixture
def router():
    return Router()


def test_request_that_follows_late_in_a_stop_is_not_cut(router):
    """Guards against callers that go on at once on a kept connection."""
    channel = router.connect()
    target = router.begin_stream(channel, b"first")
    router.stop()
    router.advance(LATE_S)
    target.finish()
    assert channel.transport.value().endswith(b"0\r\n\r\n")
    channel.dataReceived(stream_request(b"second"))
    assert channel.transport.disconnecting
    assert not router.opened_to_target()


def test_request_read_before_a_response_ends_is_refused_in_a_stop(router):
    """Guards against dropping a request that has been read already."""
    channel = router.connect()
    target = router.begin_stream(channel, b"first")
    router.stop()
    router.advance(LATE_S)
    channel.dataReceived(stream_request(b"second"))
    target.finish()
    response = response_after_first(channel)
    assert response.status == 503
    assert response.headers["connection"] == "close"
    assert float(response.headers["retry-after"]) > 0
    assert not router.opened_to_target()


def test_request_that_arrives_slowly_is_refused_in_a_stop(router):
    """Guards against passing on a request whose connection is still open."""
    channel = router.connect()
    request = stream_request(b"slow")
    router.stop()
    channel.dataReceived(request[:40])
    router.advance(LATE_S)
    channel.dataReceived(request[40:])
    assert parse_response(channel.transport.value()).status == 503
    assert not router.opened_to_target()


def test_request_whose_deadline_ends_in_time_is_served_in_a_stop(router):
    """Guards against refusing what can be served whole."""
    channel = router.connect()
    first = router.begin_stream(channel, b"first")
    router.stop()
    router.advance(LATE_S)
    channel.dataReceived(stream_request(b"second", deadline_ms=2_000))
    first.finish()
    second = router.accept_at_target()
    second.begin(b"second")
    second.finish()
    assert response_after_first(channel).status == 200


def test_request_that_waits_for_its_target_is_refused_as_a_stop_ends(router):
    """Guards against closing on a request that was never passed on."""
    channel = router.connect()
    router.stop()
    channel.dataReceived(stream_request(b"waiting"))
    router.advance(GRACE_S - defaults.DRAIN_RESERVE_S + STEP_S)
    assert not channel.transport.disconnecting
    router.fail_connection()
    assert parse_response(channel.transport.value()).status == 503


def test_request_at_work_as_a_stop_ends_gets_a_failure(router):
    """Guards against closing without a response that has not begun."""
    channel = router.connect()
    router.stop()
    channel.dataReceived(stream_request(b"at-work"))
    router.accept_at_target()
    router.advance(GRACE_S - STEP_S)
    assert parse_response(channel.transport.value()).status == 502
