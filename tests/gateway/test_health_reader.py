"""Tests when routers read the health of targets."""

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.gateway.health_reader import HealthReader, HealthSchedule
from chicorystack.gateway.model import ServiceSpec
from chicorystack.platform.headers import PlatformTargetCodec
from chicorystack.web.exchange import HttpConnection
from tests.rate_limits.simulation import entry
from tests.support.memory_router import TargetTransport


@pytest.mark.parametrize("routers", [1, 4, 31, 70])
def test_all_routers_together_read_a_target_often_but_not_too_often(routers):
    """Guards against targets that are flooded with requests for health."""
    clock = Clock()
    schedules = [HealthSchedule(clock, lambda: routers) for _ in range(routers)]
    # A whole number of intervals: in others, a router may read once more.
    seconds = 10 * schedules[0].interval_s()
    reads = 0
    while clock.seconds() < seconds:
        reads += sum(len(s.due([entry("i-1")])) for s in schedules)
        clock.advance(0.1)
    most = min(
        routers / defaults.HEALTH_READ_MIN_S, defaults.HEALTH_READS_PER_S
    )
    assert 0.75 * most <= reads / seconds <= most


def test_target_that_has_left_or_is_cold_is_not_read():
    clock = Clock()
    schedule = HealthSchedule(clock, lambda: 1)
    schedule.due([entry("i-1")])
    clock.advance(1.0)
    assert schedule.due([]) == []
    assert schedule.due([entry("i-1")]) == []
    clock.advance(1.0)
    assert schedule.due([entry("i-1")]) == [entry("i-1")]


MAY_BE_COLD = ServiceSpec(
    "s", 0, None, cold_start_s=5.0, cold_per_s=1.0, health_path="/health"
)


class OneConnection:
    """Connections to a target, of which there is one."""

    def __init__(self, clock):
        self.connection = HttpConnection(clock, lambda _connection: None)
        self.connection.makeConnection(TargetTransport())

    async def acquire(self):
        return self.connection


class ColdAnswers:
    """A limiter that collects what targets say of their health."""

    def __init__(self):
        self.cold = self
        self.seconds = []

    def record_cold_answer(self, _entry, cold_s):
        self.seconds.append(cold_s)


class KnowsAll:
    """A registry in which each target is current."""

    def is_current(self, _entry):
        return True


@pytest.mark.parametrize(
    ("request_id", "recorded"),
    [(b"", [None]), (b"x-chicorystack-request-attempt-id: a\r\n", [])],
)
def test_response_to_a_call_is_not_taken_for_a_targets_health(
    request_id, recorded
):
    """Guards against a cold target that counts as warm by a late copy."""
    clock, answers = Clock(), ColdAnswers()
    connections = OneConnection(clock)
    reader = HealthReader(
        clock,
        KnowsAll(),
        lambda _name: MAY_BE_COLD,
        None,
        PlatformTargetCodec(),
        answers,
        lambda _entry: connections,
        lambda _entry: True,
    )
    reading = defer.ensureDeferred(reader._read(entry("i-1")))
    connections.connection.dataReceived(
        b"HTTP/1.1 200 OK\r\n" + request_id + b"content-length: 0\r\n\r\n"
    )
    assert reading.called
    assert answers.seconds == recorded
