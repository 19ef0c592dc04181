"""Tests that decision records are bounded and keep notable decisions."""

from itertools import count

from chicorystack.observe.decisions import DecisionLog


def test_ordinary_traffic_does_not_evict_a_refusal():
    log = DecisionLog(limit=10, now=count().__next__)
    log.record_notable("k1", "budget", "refused", "budget_exhausted")
    for number in range(1000):
        log.record(f"other-{number}", "attempts", "sent")
    assert [found.decision for found in log.find_by_subject({"k1"})] == [
        "refused"
    ]


def test_both_ring_buffers_are_bounded():
    log = DecisionLog(limit=10)
    for _ in range(100):
        log.record("k", "attempts", "sent")
        log.record_notable("k", "attempts", "retried", "x" * 10_000)
    found = log.find_by_subject({"k"})
    assert len(found) == 20
    assert max(len(decision.cause) for decision in found) == 200


def test_decisions_on_the_subjects_are_returned_oldest_first():
    log = DecisionLog(now=iter([1.0, 2.0, 3.0, 4.0]).__next__)
    log.record_notable("a", "p", "first", "c")
    log.record("a", "p", "second")
    log.record("b", "p", "other")
    log.record("c", "p", "third")
    found = log.find_by_subject({"a", "c"})
    assert [item.decision for item in found] == ["first", "second", "third"]
