"""Tests of placement policies under different loads."""

from collections import Counter

from twisted.internet.task import Clock

from chicorystack.gateway.loads import TargetLoads
from chicorystack.gateway.messages import (
    Call,
    CallerRequest,
    LoadSample,
    PromptPart,
)
from chicorystack.gateway.model import CallKind, Route, WeightedService
from chicorystack.gateway.placement import LeastLoaded, PrefixAffinity
from chicorystack.gateway.targets import TargetEntry
from chicorystack.web.exchange import Address

ROUTE = Route(
    "r", "h", "/a/", CallKind.STREAM, (WeightedService("s", 1),),
    5.0, 0.8, 0.3, 2, 1, False, True, True,
)  # fmt: skip
TARGETS = [
    TargetEntry(f"i-{n}", 1, "s", Address("10.0.0.1", n), "ab"[n % 2], 8, True)
    for n in range(1, 10)
]


def make_call(session):
    prompt = (PromptPart("shared", 2000), PromptPart(session, 3000))
    request = CallerRequest(
        "id", b"POST", b"/a/", "h", "/a/", [], b"", None, None, None, prompt,
        "", 0.0,
    )  # fmt: skip
    return Call(request, ROUTE, "s", "alpha", 0, 5.0, 1, "")


def test_calls_of_one_session_use_one_target():
    placement = PrefixAffinity(TargetLoads(Clock()))
    chosen = {placement.choose(make_call("s1"), TARGETS).id for _ in range(20)}
    assert len(chosen) == 1


def test_sessions_are_spread_over_all_targets():
    placement = PrefixAffinity(TargetLoads(Clock()))
    chosen = Counter(
        placement.choose(make_call(f"s{n}"), TARGETS).id for n in range(900)
    )
    assert len(chosen) == len(TARGETS)
    assert max(chosen.values()) < 2 * 100


def test_hot_session_spills_over_to_few_targets():
    loads = TargetLoads(Clock())
    placement = PrefixAffinity(loads)
    for n in range(60):
        session = "hot" if n % 2 else f"s{n}"
        loads.record_start(placement.choose(make_call(session), TARGETS).id)
    mean = 60 / len(TARGETS)
    assert max(loads.open_calls_by_id.values()) <= 1.4 * mean + 3


def test_session_keeps_its_target_when_another_is_removed():
    placement = PrefixAffinity(TargetLoads(Clock()))
    for n in range(50):
        first = placement.choose(make_call(f"s{n}"), TARGETS)
        rest = [t for t in TARGETS if t != first][1:] + [first]
        assert placement.choose(make_call(f"s{n}"), rest) == first


def test_local_target_is_preferred_unless_more_loaded():
    loads = TargetLoads(Clock())
    placement = LeastLoaded("a", loads)
    local = placement.choose(make_call("s"), TARGETS)
    assert local.zone == "a"
    for target in TARGETS:
        if target.zone == "a":
            loads.record_sample(target.id, LoadSample(6, 2, 8))
    assert placement.choose(make_call("s"), TARGETS).zone == "b"


def test_reported_load_decays_with_age():
    clock = Clock()
    loads = TargetLoads(clock)
    loads.record_sample("i-1", LoadSample(8, 0, 8))
    fresh = loads.load("i-1")
    clock.advance(5.0)
    assert loads.load("i-1") < fresh / 100
