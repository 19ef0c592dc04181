"""Patterns of load that placement answers."""

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


def call(session):
    prompt = (PromptPart("shared", 2000), PromptPart(session, 3000))
    request = CallerRequest(
        "id", b"POST", b"/a/", "h", "/a/", [], b"", None, None, None, prompt,
        "", 0.0,
    )  # fmt: skip
    return Call(request, ROUTE, "s", "alpha", 0, 5.0, 1, "")


def test_calls_of_a_session_go_to_one_target():
    placer = PrefixAffinity(TargetLoads(Clock()))
    chosen = {placer.choose(call("s1"), TARGETS).id for _ in range(20)}
    assert len(chosen) == 1


def test_sessions_spread_over_all_targets():
    placer = PrefixAffinity(TargetLoads(Clock()))
    chosen = Counter(
        placer.choose(call(f"s{n}"), TARGETS).id for n in range(900)
    )
    assert len(chosen) == len(TARGETS)
    assert max(chosen.values()) < 2 * 100


def test_hot_session_spills_over_to_few_targets():
    loads = TargetLoads(Clock())
    placer = PrefixAffinity(loads)
    for n in range(60):
        session = "hot" if n % 2 else f"s{n}"
        loads.note_begun(placer.choose(call(session), TARGETS).id)
    mean = 60 / len(TARGETS)
    assert max(loads.open_by_id.values()) <= 1.4 * mean + 3


def test_session_keeps_its_target_when_another_target_goes():
    placer = PrefixAffinity(TargetLoads(Clock()))
    for n in range(50):
        first = placer.choose(call(f"s{n}"), TARGETS)
        rest = [t for t in TARGETS if t != first][1:] + [first]
        assert placer.choose(call(f"s{n}"), rest) == first


def test_near_target_is_taken_unless_it_is_busier():
    loads = TargetLoads(Clock())
    placer = LeastLoaded("a", loads)
    near = placer.choose(call("s"), TARGETS)
    assert near.zone == "a"
    for target in TARGETS:
        if target.zone == "a":
            loads.note_sample(target.id, LoadSample(6, 2, 8))
    assert placer.choose(call("s"), TARGETS).zone == "b"


def test_told_load_loses_weight_with_age():
    clock = Clock()
    loads = TargetLoads(clock)
    loads.note_sample("i-1", LoadSample(8, 0, 8))
    fresh = loads.load("i-1")
    clock.advance(5.0)
    assert loads.load("i-1") < fresh / 100
