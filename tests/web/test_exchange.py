"""Ends of answers: whole, cut, reset, early, or with bytes that follow."""

import pytest
from twisted.internet import defer, error, task
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from chicorystack.web.exchange import HttpConnection, HttpRequest, fetch

GET = HttpRequest(b"GET", b"/x", [(b"host", b"h")])
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nok"


class Transport(StringTransport):
    """A transport that notes options and resets."""

    def __init__(self):
        super().__init__()
        self.aborted = False

    def setTcpNoDelay(self, _on):
        pass

    def setTcpKeepAlive(self, _on):
        pass

    def abortConnection(self):
        self.aborted = True


class Receiver:
    """Notes an answer."""

    def __init__(self):
        self.status = 0
        self.body = b""
        self.ends = []

    def head_received(self, status, _headers):
        self.status = status

    def data_received(self, data):
        self.body += data

    def exchange_ended(self, failure):
        self.ends.append(failure)


class Peer:
    """One connection, with its peer played by the test."""

    def __init__(self):
        self.idle = []
        self.connection = HttpConnection(task.Clock(), self.idle.append)
        self.transport = Transport()
        self.connection.makeConnection(self.transport)

    def run(self, request=GET):
        receiver = Receiver()
        self.connection.run(request, receiver)
        return receiver

    def answer(self, data):
        self.connection.dataReceived(data)

    def close(self, reason):
        self.connection.connectionLost(Failure(reason))


def test_whole_answer_leaves_the_connection_for_the_next():
    peer = Peer()
    first = peer.run()
    peer.answer(WHOLE)
    assert (first.status, first.body, first.ends) == (200, b"ok", [None])
    assert peer.idle == [peer.connection]
    second = peer.run()
    peer.answer(WHOLE)
    assert second.ends == [None]


@pytest.mark.parametrize("cut", range(1, len(WHOLE)))
def test_answer_cut_anywhere_is_a_failure(cut):
    peer = Peer()
    receiver = peer.run()
    peer.answer(WHOLE[:cut])
    peer.close(error.ConnectionDone())
    (failure,) = receiver.ends
    assert failure is not None
    assert failure.sent
    assert not peer.idle


def test_body_without_length_ends_with_its_connection():
    peer = Peer()
    receiver = peer.run()
    peer.answer(UNFRAMED)
    peer.close(error.ConnectionDone())
    assert receiver.ends == [None]
    assert not peer.idle


def test_reset_does_not_end_a_body_without_length():
    peer = Peer()
    receiver = peer.run()
    peer.answer(UNFRAMED)
    peer.close(error.ConnectionLost())
    assert receiver.ends[0] is not None


def test_surplus_bytes_end_the_connection_and_reach_nobody():
    peer = Peer()
    receiver = peer.run()
    peer.answer(WHOLE + WHOLE)
    assert receiver.ends == [None]
    assert peer.transport.aborted
    assert not peer.idle


def test_bytes_while_idle_end_the_connection():
    peer = Peer()
    peer.run()
    peer.answer(WHOLE)
    peer.answer(WHOLE)
    assert peer.transport.aborted
    assert not peer.connection.usable


def test_bytes_that_are_no_http_are_a_failure():
    peer = Peer()
    receiver = peer.run()
    peer.answer(b"\x00\x01 rubbish\r\n\r\n")
    assert receiver.ends[0] is not None
    assert peer.transport.aborted


def test_close_before_an_answer_may_have_been_read():
    peer = Peer()
    receiver = peer.run()
    peer.close(error.ConnectionDone())
    assert receiver.ends[0].sent


def test_aborted_exchange_says_nothing_more():
    peer = Peer()
    receiver = peer.run()
    peer.connection.abort()
    peer.answer(WHOLE)
    assert receiver.ends == []


def test_connection_is_not_used_beyond_the_time_its_peer_keeps_it():
    clock = task.Clock()
    connection = HttpConnection(clock, lambda _: None)
    connection.makeConnection(Transport())
    connection.run(GET, Receiver())
    connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=2\r\ncontent-length: 0\r\n\r\n"
    )
    assert connection.usable
    clock.advance(1.5)
    assert not connection.usable


def test_body_is_sent_with_its_length():
    peer = Peer()
    peer.run(HttpRequest(b"POST", b"/x", [(b"host", b"h")], b"body"))
    assert (
        peer.transport.value()
        .lower()
        .endswith(b"content-length: 4\r\n\r\nbody")
    )


class OnePeer:
    """A pool with one connection, whose peer the test plays."""

    def __init__(self, peer):
        self._peer = peer

    async def connection(self):
        return self._peer.connection


def fetching(clock, peer):
    failures = []
    answers = []
    running = defer.ensureDeferred(
        fetch(clock, OnePeer(peer), GET, first_byte_s=0.2, silence_s=0.5)
    )
    running.addCallbacks(answers.append, failures.append)
    return answers, failures


def test_large_answer_over_a_slow_link_is_waited_for():
    clock, peer = task.Clock(), Peer()
    answers, failures = fetching(clock, peer)
    peer.answer(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n")
    for _ in range(10):
        clock.pump([0.1] * 4)
        peer.answer(b"x")
    assert failures == []
    assert answers[0].body == b"x" * 10


def test_peer_that_falls_silent_is_given_up():
    clock, peer = task.Clock(), Peer()
    _, failures = fetching(clock, peer)
    clock.pump([0.1] * 3)
    assert failures
    assert peer.transport.aborted
    _, late = fetching(clock, peer := Peer())
    peer.answer(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nx")
    clock.pump([0.1] * 4)
    assert late == []
    clock.pump([0.1] * 2)
    assert late
