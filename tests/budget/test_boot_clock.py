"""Steps of the time of day neither speed terms up nor look like one boot."""

from chicorystack.budget.boot_clock import BootClock
from chicorystack.budget.grant_records import Terms


class Vm:
    """A VM's two clocks."""

    def __init__(self):
        self.unix = 1_000_000.0
        self.since_boot = 50.0

    def clock(self):
        return BootClock(lambda: self.unix, lambda: self.since_boot)

    def run(self, seconds):
        self.unix += seconds
        self.since_boot += seconds


def terms(at):
    return Terms(1_000, 0, 100, 100.0, 1.0, at)


def test_step_of_the_time_of_day_does_not_free_the_whole_grant():
    vm = Vm()
    clock = vm.clock()
    written = terms(clock.instant())
    vm.unix += 2.4
    vm.run(2.0)
    assert written.limit(clock.instant()) == 200


def test_successor_after_a_step_that_went_back_counts_all_that_was_used():
    vm = Vm()
    before = vm.clock()
    written = terms(before.instant())
    vm.unix += 2.4
    vm.run(2.0)
    used = written.limit(before.instant())
    vm.unix -= 2.4
    assert written.limit(vm.clock().instant()) >= used


def test_successor_during_a_step_counts_the_whole_grant():
    vm = Vm()
    written = terms(vm.clock().instant())
    vm.unix += 2.4
    assert written.limit(vm.clock().instant()) == 1_000


def test_sleep_counts():
    vm = Vm()
    clock = vm.clock()
    written = terms(clock.instant())
    vm.run(3_600.0)
    assert written.limit(clock.instant()) == 1_000
