"""A follower delivers every change through outages and lost history."""

from twisted.internet.task import Clock

from chicorystack.store.follower import Follower, Pace
from chicorystack.store.keyed_log import KeyedRecord, Partition
from tests.support.fake_log import FakeLog

PARTITION = Partition("keyed.x")


class Followed:
    """A follower and what it has delivered."""

    def __init__(self, records=()):
        self.clock = Clock()
        self.log = FakeLog(self.clock)
        self.put(*records)
        self.value_by_key = {}
        self.updates = 0
        self.fail_on = 0
        self.follower = Follower(
            self.clock, self.log, PARTITION, Pace(0.0, 0.2), self._take
        )
        self.follower.start()

    def _take(self, update):
        self.updates += 1
        if self.fail_on == self.updates:
            raise ValueError("a fault of the program")
        if update.whole:
            self.value_by_key = {}
        for record in update.records:
            self.value_by_key[record.key] = record.value

    def put(self, *records):
        self.log._append(
            PARTITION, [KeyedRecord(k, v) for k, v in records], None
        )

    def run(self, seconds):
        self.clock.pump([0.01] * round(seconds * 100))


def test_newest_of_each_key_comes_first_then_changes():
    followed = Followed([("a", b"1"), ("b", b"1"), ("a", b"2")])
    followed.run(0.1)
    assert followed.value_by_key == {"a": b"2", "b": b"1"}
    followed.put(("b", b"3"))
    followed.run(0.5)
    assert followed.value_by_key == {"a": b"2", "b": b"3"}


def test_history_that_is_gone_is_read_from_the_newest():
    followed = Followed([("a", b"1")])
    followed.run(0.1)
    followed.log.down = True
    followed.put(("a", b"2"), ("b", b"2"))
    followed.log.forget_history()
    followed.run(1.0)
    followed.log.down = False
    followed.run(1.0)
    assert followed.value_by_key == {"a": b"2", "b": b"2"}


def test_return_of_the_store_is_noticed_soon():
    followed = Followed([("a", b"1")])
    followed.run(0.1)
    assert followed.follower.regained_at == 0
    followed.log.down = True
    followed.run(20.0)
    followed.log.down = False
    back_at = followed.clock.seconds()
    followed.run(1.0)
    assert back_at <= followed.follower.regained_at <= back_at + 0.6


def test_outage_is_not_a_storm_of_reads():
    followed = Followed()
    followed.run(0.1)
    followed.log.down = True
    before = followed.log.calls
    followed.run(10.0)
    assert followed.log.calls - before <= 45


def test_fault_of_the_program_does_not_end_the_following():
    followed = Followed([("a", b"1")])
    followed.run(0.1)
    followed.fail_on = 2
    followed.put(("a", b"2"))
    followed.run(2.0)
    assert followed.value_by_key == {"a": b"2"}
