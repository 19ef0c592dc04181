"""A stream that several targets made reaches its caller without a seam."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorystack.gateway.event_stream import (
    EventSplitter,
    StreamGapError,
    StreamProgress,
)


def event(number):
    return f"id: {number}\ndata: t{number}\n\n".encode()


@given(st.lists(st.integers(1, 400), max_size=20))
def test_events_come_out_whole_however_the_bytes_are_cut(cuts):
    data = b"".join(map(event, range(1, 30)))
    places = sorted({0, len(data), *(c for c in cuts if c < len(data))})
    splitter = EventSplitter()
    found = [
        item.data
        for start, end in zip(places, places[1:], strict=False)
        for item in splitter.feed(data[start:end])
    ]
    assert b"".join(found) == data
    assert found == [event(n) for n in range(1, 30)]
    assert splitter.held == b""


@given(st.integers(1, 19), st.integers(0, 5), st.integers(1, 8))
def test_events_that_are_sent_again_are_passed_on_once(broken, back, held):
    progress = StreamProgress(None)
    passed = []
    for data in (
        b"".join(map(event, range(1, broken + 1))) + event(99)[:held],
        b"".join(map(event, range(max(1, broken - back), 21))),
    ):
        splitter = EventSplitter()
        passed += [e.id for e in splitter.feed(data) if progress.is_new(e)]
    assert passed == list(range(1, 21))


def test_missing_event_is_noticed():
    progress = StreamProgress(None)
    for item in EventSplitter().feed(event(1) + event(2)):
        progress.is_new(item)
    (late,) = EventSplitter().feed(event(4))
    with pytest.raises(StreamGapError):
        progress.is_new(late)
