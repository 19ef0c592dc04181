"""Slots of the stand-in engine go to waiters of the highest priority first."""

from twisted.internet import defer

from chicorystack.standin.slots import PrioritySlots


def test_waiters_get_slots_by_priority_and_a_cancelled_waiter_gets_none():
    slots = PrioritySlots(1)
    acquired = []

    async def acquire_slot(name, priority):
        await slots.acquire(priority)
        acquired.append(name)

    waiters = {
        name: defer.ensureDeferred(acquire_slot(name, priority))
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
    assert acquired == ["first", "high", "normal", "low"]
    assert slots.free == 1
