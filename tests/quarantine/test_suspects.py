"""Suspects run one at a time, on targets that they have not crashed."""

from twisted.internet import defer
from twisted.internet.task import Clock

from chicorystack.quarantine.router_quarantine import assign_suspect
from chicorystack.quarantine.strikes import StrikeTable
from chicorystack.quarantine.target_monitor import TargetMonitor

TARGETS = [f"t{number}" for number in range(6)]


def test_suspects_run_one_at_a_time_and_others_concurrently():
    strikes = StrikeTable(Clock())
    strikes.record_crash("t1", ["suspect-1", "suspect-2"])
    monitor = TargetMonitor("t0", strikes, probe=None)
    started = {}

    def run(content):
        run_deferred = defer.Deferred()

        def start():
            started[content] = run_deferred
            return run_deferred

        return defer.ensureDeferred(monitor.run(content, start))

    for content in ("suspect-1", "suspect-2", "innocent"):
        run(content)
    assert list(started) == ["suspect-1", "innocent"]
    started["suspect-1"].callback(None)
    assert "suspect-2" in started
    for content in ("suspect-2", "innocent"):
        started[content].callback(None)
    assert strikes.count("suspect-1") == 0


def test_routers_choose_the_same_target_that_has_not_crashed():
    clock = Clock()
    first_router, second_router = StrikeTable(clock), StrikeTable(clock)
    crashed = []
    for _ in range(3):
        first_router.record_crash(crashed[-1] if crashed else "t0", ["a"])
        crashed = crashed or ["t0"]
        second_router.merge(first_router.messages())
        chosen = assign_suspect(first_router, "a", TARGETS)
        assert chosen == assign_suspect(second_router, "a", TARGETS[::-1])
        assert chosen not in crashed
        crashed.append(chosen)
    assert len(set(crashed)) == len(crashed)


def test_request_without_strikes_is_not_assigned():
    assert assign_suspect(StrikeTable(Clock()), "a", TARGETS) is None
