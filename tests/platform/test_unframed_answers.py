"""End-to-end answers that have no length and end with their connection."""

import pytest

from bench.platform_fleet import default_config, running_platform_fleet

EVENTS = 10


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with running_platform_fleet(tmp_path_factory.mktemp("unframed")) as fleet:
        for name, service in (("i-llm-1", "llm"), ("i-app-1", "app")):
            fleet.start_engine(name, service)
        fleet.start_router("router-1")
        fleet.publish(default_config())
        fleet.wait_until_ready()
        yield fleet


def test_whole_answers_are_delivered(fleet):
    for name in ("i-llm-1", "i-app-1"):
        fleet.set_engine_faults(name, unframed=True)
    reply = fleet.call("router-1", "/book/1", "whole-booking")
    assert reply.status == 200
    assert b"i-app-1" in reply.body
    reply = fleet.request_stream("router-1", "whole-stream")
    assert reply.status == 200
    assert reply.body.count(b"id: ") == EVENTS


def test_stream_that_ends_inside_an_event_does_not_look_complete(fleet):
    fleet.set_engine_faults("i-llm-1", unframed=True, break_after=3)
    with pytest.raises(Exception, match="IncompleteRead|incomplete"):
        fleet.request_stream("router-1", "broken-stream")
