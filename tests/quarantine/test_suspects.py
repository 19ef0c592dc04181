"""Suspects run one at a time, on a target that they have not brought down."""

from twisted.internet import defer
from twisted.internet.task import Clock

from chicorystack.quarantine.sentry import assign_suspect
from chicorystack.quarantine.strikes import StrikeTable
from chicorystack.quarantine.watch import DeathWatch

TARGETS = [f"t{number}" for number in range(6)]


def test_suspects_wait_for_each_other_and_others_do_not():
    strikes = StrikeTable(Clock())
    strikes.note_death("t1", ["suspect-1", "suspect-2"])
    watch = DeathWatch("t0", strikes, probe=None)
    started = {}

    def run(content):
        started_run = defer.Deferred()

        def start():
            started[content] = started_run
            return started_run

        return defer.ensureDeferred(watch.run(content, start))

    for content in ("suspect-1", "suspect-2", "innocent"):
        run(content)
    assert list(started) == ["suspect-1", "innocent"]
    started["suspect-1"].callback(None)
    assert "suspect-2" in started
    for waiting in ("suspect-2", "innocent"):
        started[waiting].callback(None)
    assert strikes.count("suspect-1") == 0


def test_routers_choose_one_target_that_the_suspect_did_not_bring_down():
    clock = Clock()
    one, other = StrikeTable(clock), StrikeTable(clock)
    lost = []
    for _ in range(3):
        one.note_death(lost[-1] if lost else "t0", ["a"])
        lost = lost or ["t0"]
        other.merge(one.messages())
        chosen = assign_suspect(one, "a", TARGETS)
        assert chosen == assign_suspect(other, "a", TARGETS[::-1])
        assert chosen not in lost
        lost.append(chosen)
    assert len(set(lost)) == len(lost)


def test_content_without_strikes_goes_where_it_likes():
    assert assign_suspect(StrikeTable(Clock()), "a", TARGETS) is None
