"""Tests that a call is not ended because its target is silent for a while."""

import pytest

from tests.support.memory_router import (
    CONFIG,
    STEP_S,
    MemoryRouter,
    stream_request,
)

GAP_MS = 300
# Longer than 2.5 times the objective of 0.8 s for the first event, and four
# times that for gaps, after which a target counts as stalled.
SILENCE_S = 2.2
ROUTE = CONFIG["Routes"][0] | {
    "StreamResume": True,
    "MaxAttempts": 2,
    "TargetGapMs": GAP_MS,
}
SECOND_EVENT = b"id: 2\ndata: b\n\n"


@pytest.mark.parametrize("stops", [True, False])
def test_stream_of_the_only_target_goes_on_after_a_silence(stops):
    """Guards against streams that are cut as their target preempts them."""
    router = MemoryRouter()
    router.publish(CONFIG | {"Version": 2, "Routes": [ROUTE]})
    channel = router.connect()
    target = router.begin_stream(channel, b"a")
    if stops:
        router.stop()
    router.advance(SILENCE_S)
    target.respond(b"%x\r\n%b\r\n" % (len(SECOND_EVENT), SECOND_EVENT))
    target.finish()
    router.advance(STEP_S)
    assert SECOND_EVENT in channel.transport.value()
    assert channel.transport.value().endswith(b"0\r\n\r\n")


def test_silent_stream_is_cut_at_its_deadline():
    """Guards against a silent target that holds a call for good."""
    router = MemoryRouter()
    router.publish(CONFIG | {"Version": 2, "Routes": [ROUTE]})
    channel = router.connect()
    channel.dataReceived(stream_request(b"a", deadline_ms=3_000))
    router.accept_at_target().begin(b"a")
    router.advance(3.0)
    assert channel.transport.disconnecting
    assert not channel.transport.value().endswith(b"0\r\n\r\n")
