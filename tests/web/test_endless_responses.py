"""Tests that bytes without end, which are no response, are cut off."""

import pytest
from twisted.internet import task

from chicorystack import defaults
from tests.web.test_exchange import Peer, start_fetch

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
PART = b"x" * 4_096
# More than any part of a response other than its body may have.
ENOUGH_PARTS = 64


@pytest.mark.parametrize(
    ("start", "part"),
    [
        (b"", PART),
        (HEAD, PART),
        (HEAD, b"x-filler: " + PART + b"\r\n"),
        (HEAD + b"x-long: ", PART),
        (CHUNKED, PART),
        (CHUNKED + b"0\r\n", b"x-trailer: " + PART + b"\r\n"),
        (CHUNKED + b"1;", PART),
    ],
)
def test_endless_bytes_outside_a_body_end_the_exchange(start, part):
    peer = Peer()
    receiver = peer.run()
    peer.respond(start)
    for _ in range(ENOUGH_PARTS):
        if peer.transport.aborted:
            break
        peer.respond(part)
    (failure,) = receiver.ends
    assert failure is not None
    assert failure.sent
    assert peer.transport.aborted
    assert not peer.idle


def test_endless_interim_responses_do_not_extend_the_time_limit():
    clock, peer = task.Clock(), Peer()
    _, failures = start_fetch(clock, peer)
    for _ in range(10):
        peer.respond(b"HTTP/1.1 102 Processing\r\n\r\n")
        clock.advance(0.05)
    assert failures
    assert peer.transport.aborted


def test_endless_body_is_cut_off_at_the_size_limit():
    clock, peer = task.Clock(), Peer()
    _, failures = start_fetch(clock, peer)
    peer.respond(HEAD + b"\r\n")
    part = b"x" * 1024 * 1024
    for _ in range(defaults.FETCH_MAX_BYTES // len(part) + 1):
        peer.respond(part)
    assert failures
    assert peer.transport.aborted


def test_body_that_trickles_is_cut_off_at_the_time_limit():
    clock, peer = task.Clock(), Peer()
    _, failures = start_fetch(clock, peer)
    peer.respond(HEAD + b"\r\n")
    for _ in range(round(defaults.FETCH_MAX_S / 0.25) + 1):
        peer.respond(b"x")
        clock.advance(0.25)
    assert failures
    assert peer.transport.aborted
