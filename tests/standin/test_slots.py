"""Slots of the stand-in engine go to the highest priority first."""

from twisted.internet import defer

from chicorystack.standin.slots import PrioritySlots


def test_high_priority_goes_first_and_a_cancelled_waiter_gets_none():
    slots = PrioritySlots(1)
    taken = []

    async def take(name, priority):
        await slots.acquire(priority)
        taken.append(name)

    waiters = {
        name: defer.ensureDeferred(take(name, priority))
        for name, priority in [
            ("first", "low"),
            ("low", "low"),
            ("gone", "high"),
            ("normal", "normal"),
            ("high", "high"),
        ]
    }
    waiters["gone"].addErrback(lambda failure: failure.trap(Exception))
    waiters["gone"].cancel()
    for _ in range(4):
        slots.release()
    assert taken == ["first", "high", "normal", "low"]
    assert slots.free == 1
