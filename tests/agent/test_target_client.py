"""Tests that a response is not taken for that of another request."""

from twisted.internet import defer
from twisted.internet.testing import MemoryReactorClock

from chicorystack.agent.target_client import TargetClient
from tests.support.memory_router import TargetTransport

EARLIER = b"HTTP/1.1 503 Full\r\ncontent-length: 7\r\n\r\nearlier"


def test_earlier_refusal_of_a_target_is_not_the_next_calls_answer():
    """Guards against a caller that gets another caller's answer."""
    reactor = MemoryReactorClock()
    target = TargetClient(reactor, "http://127.0.0.1:9000")
    first = defer.ensureDeferred(target.call("book", b"{}", "key-1"))
    connection = accept(reactor)
    connection.dataReceived(EARLIER)
    assert first.result == (503, b"earlier")
    second = defer.ensureDeferred(target.call("book", b"{}", "key-2"))
    if reactor.tcpClients:
        accept(reactor)
    connection.dataReceived(EARLIER)
    assert not second.called


def accept(reactor):
    """Accepts the one connection that is being opened; returns its client."""
    ((_host, _port, factory, *_rest),) = reactor.tcpClients
    reactor.tcpClients.clear()
    protocol = factory.buildProtocol(None)
    protocol.makeConnection(TargetTransport())
    return protocol
