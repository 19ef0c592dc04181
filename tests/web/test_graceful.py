"""Tests that a stopping server completes requests in progress."""

from twisted.internet import defer
from twisted.web import resource, server

from chicorystack import defaults
from tests.support.wire import Wire, request


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
    wire = Wire(slow)
    protocol, transport = wire.connect()
    _, idle_transport = wire.connect()
    protocol.dataReceived(request(b"GET", b"/"))

    async def stop():
        await wire.site.wait_for_requests(wire.clock)
        await wire.site.close_connections(wire.clock)

    stopping = defer.ensureDeferred(stop())
    wire.clock.advance(defaults.DRAIN_CHECK_S)
    assert not transport.disconnecting
    assert idle_transport.disconnecting
    slow.request.write(b" and rest")
    slow.request.finish()
    wire.clock.advance(defaults.DRAIN_CHECK_S)
    assert transport.disconnecting
    assert transport.value().endswith(b"0\r\n\r\n")
    stopping.addErrback(lambda _: None)
    stopping.cancel()
