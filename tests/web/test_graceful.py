"""A stopping server answers a request that came at the last moment."""

from twisted.internet import defer
from twisted.web import resource, server

from chicorystack import defaults
from tests.support.wire import Wire, request


class Slow(resource.Resource):
    """Sends half of an answer, and the rest when the test says so."""

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.request = None

    def render_GET(self, request):
        self.request = request
        request.write(b"half")
        return server.NOT_DONE_YET


def test_request_read_as_the_port_closes_is_answered_whole():
    page = Slow()
    wire = Wire(page)
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
    page.request.write(b" and rest")
    page.request.finish()
    wire.clock.advance(defaults.DRAIN_CHECK_S)
    assert transport.disconnecting
    assert transport.value().endswith(b"0\r\n\r\n")
    stopping.addErrback(lambda _: None)
    stopping.cancel()
