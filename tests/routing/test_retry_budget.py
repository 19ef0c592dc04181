"""All routers together stay within the operator's bound on attempts."""

import random

from twisted.internet.task import Clock

from chicorystack.routing.retry_budget import RetryBounds, RetryBudget

BOUNDS = RetryBounds(ratio=0.2, window_s=10.0, slack=52.0)


def test_routers_that_retry_all_they_can_keep_the_bound():
    clock = Clock()
    rng = random.Random(4)
    routers = [RetryBudget(clock, BOUNDS, lambda: 4) for _ in range(4)]
    calls, retries = [], []
    for _ in range(4000):
        clock.advance(0.01)
        now = clock.seconds()
        router = routers[0] if rng.random() < 0.5 else rng.choice(routers)
        router.note_call("s")
        calls.append(now)
        for _ in range(3):
            if router.take("s"):
                retries.append(now)
        window = now - BOUNDS.window_s
        recent = sum(at >= window for at in retries)
        bound = 0.2 * sum(at >= window for at in calls) + 52
        assert recent <= bound
    assert len(retries) > 100


def test_retries_come_back_as_the_window_slides():
    clock = Clock()
    share = RetryBudget(clock, BOUNDS, lambda: 1)
    taken = sum(share.take("s") for _ in range(100))
    assert 0 < taken <= 52
    clock.advance(BOUNDS.window_s + 0.1)
    assert share.take("s")
