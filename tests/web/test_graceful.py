"""Tests that a stopping server completes requests in progress."""

from twisted.internet import defer
from twisted.web import resource, server

from chicorystack import defaults
from tests.support.raw_http import InMemoryHttpServer, build_request


class SlowResource(resource.Resource):
    """Sends half of a response; the test sends the rest."""

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.request = None

    def render_GET(self, request):
        self.request = request
        request.write(b"half")
        return server.NOT_DONE_YET


def test_request_read_while_the_port_closes_gets_a_complete_response():
    slow = SlowResource()
    http_server = InMemoryHttpServer(slow)
    protocol, transport = http_server.connect()
    _, idle_transport = http_server.connect()
    protocol.dataReceived(build_request(b"GET", b"/"))

    async def stop():
        await http_server.site.wait_for_requests(http_server.clock)
        await http_server.site.close_connections(http_server.clock)

    stopping = defer.ensureDeferred(stop())
    http_server.clock.advance(defaults.DRAIN_CHECK_INTERVAL_S)
    assert not transport.disconnecting
    assert idle_transport.disconnecting
    slow.request.write(b" and rest")
    slow.request.finish()
    http_server.clock.advance(defaults.DRAIN_CHECK_INTERVAL_S)
    assert transport.disconnecting
    assert transport.value().endswith(b"0\r\n\r\n")
    stopping.addErrback(lambda _: None)
    stopping.cancel()


def test_request_that_follows_on_a_kept_connection_in_a_stop_is_answered():
    """Guards against cutting a caller that goes on at once after a response."""
    slow = SlowResource()
    http_server = InMemoryHttpServer(slow)
    protocol, transport = http_server.connect()
    protocol.dataReceived(build_request(b"GET", b"/"))
    http_server.site.closing = True
    stopping = defer.ensureDeferred(
        http_server.site.wait_for_requests(http_server.clock)
    )
    slow.request.finish()
    transport.clear()
    protocol.dataReceived(build_request(b"GET", b"/"))
    http_server.clock.advance(defaults.DRAIN_CHECK_INTERVAL_S)
    assert not transport.disconnecting
    slow.request.finish()
    assert b"connection: close" in transport.value().lower()
    assert transport.value().endswith(b"0\r\n\r\n")
    assert transport.disconnecting
    http_server.clock.advance(defaults.DRAIN_CHECK_INTERVAL_S)
    stopping.addErrback(lambda _: None)
    stopping.cancel()
