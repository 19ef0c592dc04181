"""Tests that targets get no calls for as long as their responses ask."""

import pytest
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.gateway.target_notices import TargetNotices
from chicorystack.platform.headers import PlatformTargetCodec
from tests.gateway.test_targets import entry


class Harness:
    """Notices from decoded responses of targets."""

    def __init__(self):
        self.clock = Clock()
        self.notices = TargetNotices(self.clock)

    def respond(self, target, status, **headers):
        fields = [
            (name.replace("_", "-").encode(), value)
            for name, value in headers.items()
        ]
        head = PlatformTargetCodec().decode_head(status, fields)
        self.notices.record(target, head)

    def accepts(self, target):
        return self.notices.accepts_calls(target)


@pytest.fixture
def harness():
    return Harness()


@pytest.mark.parametrize("status", [200, 429, 500, 503])
def test_leaving_target_gets_no_calls_until_it_has_started_again(
    harness, status
):
    harness.respond(entry("i-1"), status, server_leaving=b"1")
    harness.clock.advance(1_000.0)
    assert not harness.accepts(entry("i-1", sequence=99))
    assert harness.accepts(entry("i-1", started_ms=6))
    assert harness.accepts(entry("i-2"))


def test_leaving_notice_of_a_misdirected_request_is_of_another_target(harness):
    harness.respond(entry("i-1"), 421, server_leaving=b"1")
    assert harness.accepts(entry("i-1"))


def test_target_is_paused_for_fractions_of_a_second(harness):
    harness.respond(entry("i-1"), 503, retry_after=b"0.75")
    harness.clock.advance(0.7)
    assert not harness.accepts(entry("i-1"))
    harness.clock.advance(0.1)
    assert harness.accepts(entry("i-1"))


def test_shorter_pause_does_not_end_a_longer_one(harness):
    harness.respond(entry("i-1"), 503, retry_after=b"10")
    harness.respond(entry("i-1"), 503, retry_after=b"1")
    harness.clock.advance(5.0)
    assert not harness.accepts(entry("i-1"))
    assert harness.notices.pause_left_s(entry("i-1")) == pytest.approx(5.0)


@pytest.mark.parametrize(
    "value", [b"", b"soon", b"-3", b"nan", b"inf", b"\xff", b"0"]
)
def test_nonsense_does_not_pause_a_target(harness, value):
    harness.respond(entry("i-1"), 503, retry_after=value)
    assert harness.accepts(entry("i-1"))


def test_huge_pause_ends_after_the_maximum(harness):
    harness.respond(entry("i-1"), 503, retry_after=b"1e300")
    harness.clock.advance(defaults.TARGET_PAUSE_MAX_S - 1.0)
    assert not harness.accepts(entry("i-1"))
    harness.clock.advance(2.0)
    assert harness.accepts(entry("i-1"))


def test_retry_after_of_other_statuses_is_for_the_caller_only(harness):
    harness.respond(entry("i-1"), 429, retry_after=b"5")
    harness.respond(entry("i-1"), 200, retry_after=b"5")
    assert harness.accepts(entry("i-1"))


def test_number_of_remembered_notices_is_limited(harness):
    for number in range(defaults.MAX_TARGET_NOTICES + 10):
        harness.respond(entry(f"i-{number}"), 200, server_leaving=b"1")
    stored = harness.notices._notice_by_incarnation
    assert len(stored) == defaults.MAX_TARGET_NOTICES
