"""Rationing of the last tokens of a budget under full load."""

import random

import pytest

from chicorystack import defaults
from chicorystack.budget.grants.call_queue import GrantError
from tests.budget.grants.test_loans import PREPAID, Routers

SMALL, LARGE = 40, 400


# Time in which use falls to 1/e.
DECAY_S = int(defaults.GRANT_RATION_TIME_CONSTANT_S)


def seconds_with_service(routers, until_s):
    """Returns the whole seconds since the start in which a call was served."""
    rng = random.Random(3)
    names = sorted(routers.client_by_name)
    begun_at = routers.clock.seconds()
    served = set()
    while routers.clock.seconds() < begun_at + until_s:
        tokens = rng.choice([SMALL, SMALL, LARGE])
        result = routers.call(rng.choice(names), tokens)
        if not isinstance(result, GrantError):
            served.add(int(routers.clock.seconds() - begun_at))
        routers.pump(0.01)
    return served


def spend_down(routers, left):
    """Uses a budget until the given number of tokens is left."""
    names = sorted(routers.client_by_name)
    step = 500
    for number in range((PREPAID - left) // step):
        routers.call(names[number % len(names)], step)
        routers.pump(0.05)


def routers_near_the_end():
    """Returns routers that have just started, with 5% of a budget left."""
    routers = Routers("a", "b", "c", "d")
    spend_down(routers, left=int(PREPAID * 0.05))
    for client in routers.client_by_name.values():
        client._grants._started_at = client._grants._clock.instant()
    return routers


def test_last_tokens_serve_calls_for_a_while():
    served = seconds_with_service(routers_near_the_end(), until_s=20.0)
    assert max(served) >= DECAY_S
    assert len(served) >= DECAY_S


def test_call_larger_than_the_ration_is_refused_at_once():
    routers = routers_near_the_end()
    seconds_with_service(routers, until_s=4.0)
    calls = routers.log.calls
    begun_at = routers.clock.seconds()
    for _ in range(20):
        assert isinstance(routers.call("a", 2_500), GrantError)
    assert routers.clock.seconds() - begun_at < 20 * 0.1
    assert routers.log.calls - calls <= 3 * 20


def test_last_tokens_are_used_at_once_without_rationing(monkeypatch):
    monkeypatch.setattr(defaults, "GRANT_RATIONED_FRACTION", 0.0)
    served = seconds_with_service(routers_near_the_end(), until_s=20.0)
    assert len(served) < DECAY_S


@pytest.mark.parametrize("left_part", [0.04, 0.2])
def test_calls_are_not_limited_while_enough_is_left(left_part):
    routers = Routers("a", "b")
    spend_down(routers, left=int(PREPAID * (left_part + 0.1)))
    for _ in range(10):
        assert isinstance(routers.call("a", 500), float)
        routers.pump(0.05)


def test_router_that_has_run_for_a_while_does_not_ration():
    routers = routers_near_the_end()
    routers.pump(defaults.GRANT_RATION_MAX_AGE_S + 1.0)
    served = seconds_with_service(routers, until_s=20.0)
    assert len(served) < DECAY_S


def test_top_up_lifts_the_ration():
    routers = routers_near_the_end()
    seconds_with_service(routers, until_s=8.0)
    for client in routers.client_by_name.values():
        client.set_prepaid({"alpha": 2 * PREPAID})
    routers.pump(1.2)
    for _ in range(5):
        assert isinstance(routers.call("a", 2_000), float)
        routers.pump(0.05)
