"""All routers together stay within the operator's bounds on retries."""

import random

from twisted.internet.task import Clock

from chicorystack.routing.retry_budget import RetryBounds, RetryBudget

BOUNDS = RetryBounds(ratio=0.2, window_s=10.0, slack=52.0)


def test_routers_together_stay_within_the_retry_bounds():
    clock = Clock()
    rng = random.Random(4)
    routers = [RetryBudget(clock, BOUNDS, lambda: 4) for _ in range(4)]
    calls, retries = [], []
    for _ in range(4000):
        clock.advance(0.01)
        now = clock.seconds()
        router = routers[0] if rng.random() < 0.5 else rng.choice(routers)
        router.record_call("s")
        calls.append(now)
        for _ in range(3):
            if router.take("s"):
                retries.append(now)
        window_start = now - BOUNDS.window_s
        recent_retries = sum(at >= window_start for at in retries)
        max_retries = 0.2 * sum(at >= window_start for at in calls) + 52
        assert recent_retries <= max_retries
    assert len(retries) > 100


def test_budget_refills_as_the_window_slides():
    clock = Clock()
    budget = RetryBudget(clock, BOUNDS, lambda: 1)
    taken = sum(budget.take("s") for _ in range(100))
    assert 0 < taken <= 52
    clock.advance(BOUNDS.window_s + 0.1)
    assert budget.take("s")
