"""Tests the limits on clients' connections and the JSON errors for them."""

import pytest
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure
from twisted.web import resource
from twisted.web.server import NOT_DONE_YET

from chicorystack import defaults
from chicorystack.web.server import ResourceTree
from tests.support.raw_http import (
    InMemoryHttpServer,
    build_request,
    parse_response,
)


@pytest.fixture
def http_server():
    return InMemoryHttpServer(ResourceTree(), max_connections=3)


@pytest.mark.parametrize(
    "raw",
    [
        b"nonsense\r\n\r\n",
        b"GET / HTTP/1.1\r\nno colon\r\n\r\n",
        b"GET / HTTP/1.1\r\ncontent-length: x\r\n\r\n",
        b"GET / HTTP/1.1\r\ntransfer-encoding: zip\r\n\r\n",
        build_request(b"GET", b"/", [(b"x", b"y" * defaults.MAX_HEADER_BYTES)]),
        build_request(
            b"GET", b"/", [(b"x", b"y")] * (defaults.MAX_HEADERS + 1)
        ),
        b"GET /" + b"x" * defaults.MAX_HEADER_BYTES + b" HTTP/1.1\r\n",
    ],
)
def test_invalid_request_gets_json_error(http_server, raw):
    reply = http_server.send(raw)
    assert reply.status == 400
    assert reply.error()["code"] == "bad_request"


def test_slowly_sent_request_times_out(http_server):
    protocol, transport = http_server.connect()
    raw = build_request(b"POST", b"/v1", body=b"x" * 1000)
    for position in range(int(defaults.REQUEST_ARRIVAL_TIMEOUT_S) + 1):
        protocol.dataReceived(raw[position : position + 1])
        http_server.clock.advance(1)
    reply = parse_response(transport.value())
    assert reply.status == 408
    assert reply.error()["code"] == "request_timeout"
    assert transport.disconnecting


def test_arrival_timeout_starts_anew_for_each_request(http_server):
    protocol, transport = http_server.connect()
    for _ in range(5):
        protocol.dataReceived(build_request(b"GET", b"/none"))
        assert parse_response(transport.value()).status == 404
        transport.clear()
        http_server.clock.advance(defaults.REQUEST_ARRIVAL_TIMEOUT_S - 1)
    assert not transport.disconnecting


def test_idle_connection_is_closed(http_server):
    _, transport = http_server.connect()
    http_server.clock.advance(defaults.HTTP_IDLE_TIMEOUT_S + 1)
    assert transport.disconnecting


def test_connections_above_the_limit_are_refused_until_one_closes(http_server):
    opened = [http_server.connect() for _ in range(3)]
    reply = parse_response(http_server.connect()[1].value())
    assert reply.status == 429
    assert reply.error()["code"] == "overloaded"
    assert reply.error()["retry_after_ms"] > 0
    opened[0][0].connectionLost(None)
    assert http_server.send(build_request(b"GET", b"/none")).status == 404


def test_far_too_large_body_is_refused_before_it_arrives(http_server):
    size = str(defaults.MAX_DISCARDED_BODY_BYTES + 1).encode()
    reply = http_server.send(
        b"POST /v1 HTTP/1.1\r\ncontent-length: " + size + b"\r\n\r\n"
    )
    assert reply.status == 413
    assert reply.error()["code"] == "body_too_large"


def test_body_above_the_limit_is_refused(http_server):
    body = b"x" * (defaults.MAX_BODY_BYTES + 1)
    reply = http_server.send(build_request(b"POST", b"/v1", body=body))
    assert reply.status == 413
    assert reply.error()["code"] == "body_too_large"


class EndlessResource(resource.Resource):
    """Sends a response without an end and records a client's disconnect."""

    isLeaf = True
    client_disconnected = False

    def render(self, client_request):
        client_request.notifyFinish().addErrback(self.record_disconnect)
        client_request.write(b"x")
        return NOT_DONE_YET

    def record_disconnect(self, _reason):
        self.client_disconnected = True


def test_client_that_does_not_read_is_disconnected():
    endless = EndlessResource()
    http_server = InMemoryHttpServer(endless)
    protocol, transport = http_server.connect()
    protocol.dataReceived(build_request(b"GET", b"/"))
    transport.producer.pauseProducing()
    http_server.clock.advance(defaults.CLIENT_STALL_TIMEOUT_S - 1)
    transport.producer.resumeProducing()
    transport.producer.pauseProducing()
    http_server.clock.advance(defaults.CLIENT_STALL_TIMEOUT_S - 1)
    assert not transport.disconnected
    http_server.clock.advance(1)
    assert transport.disconnected
    protocol.connectionLost(Failure(ConnectionLost()))
    assert endless.client_disconnected
