"""Tests that origins of streams reach other routers, also after a silence."""

import pytest

from chicorystack import defaults
from chicorystack.streams.messages import OriginQuery
from tests.streams.simulation import SERVICE, Fleet


@pytest.fixture
def fleet():
    fleet = Fleet(3, 1, ("v1", "v2"))
    fleet.run(1.0, begins_per_s=0.0)
    return fleet


def known_at(fleet, stream):
    """Returns the other routers that know a stream's origin."""
    return [
        name
        for name, router in fleet.network.router_by_name.items()
        if name != stream.router
        and router.finder.answer(query(stream)).record is not None
    ]


def query(stream):
    return OriginQuery(stream.id, SERVICE, 30.0)


def test_two_other_routers_know_a_stream_soon(fleet):
    fleet.begin("router-0")
    fleet.run(defaults.STREAM_NOTICE_URGENT_S + 0.02, begins_per_s=0.0)
    assert known_at(fleet, fleet.begun[0]) == ["router-1", "router-2"]


def test_batch_that_nobody_took_is_sent_again(fleet):
    fleet.network.dark.add("router-0")
    fleet.begin("router-0")
    fleet.run(2.0, begins_per_s=0.0)
    assert known_at(fleet, fleet.begun[0]) == []
    fleet.network.heal()
    fleet.run(defaults.STREAM_PEER_SILENT_S + 1.0, begins_per_s=0.0)
    assert known_at(fleet, fleet.begun[0]) != []


def test_silent_router_is_not_told_again_at_once(fleet):
    fleet.network.dark.add("router-1")
    fleet.begin("router-0")
    fleet.run(0.5, begins_per_s=0.0)
    messages = fleet.network.messages
    fleet.begin("router-0")
    fleet.run(0.1, begins_per_s=0.0)
    assert fleet.network.messages == messages + 1


def test_routers_that_all_look_silent_are_told_nevertheless(fleet):
    fleet.network.dark.add("router-0")
    fleet.begin("router-0")
    fleet.run(0.3, begins_per_s=0.0)
    fleet.network.heal()
    fleet.begin("router-0")
    fleet.run(0.1, begins_per_s=0.0)
    assert known_at(fleet, fleet.begun[1]) == ["router-1", "router-2"]
