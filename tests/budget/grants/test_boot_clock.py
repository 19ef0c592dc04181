"""Steps of the wall clock do not raise limits or hide a predecessor's use."""

from chicorystack.budget.grants.boot_clock import BootClock
from chicorystack.budget.grants.records import GrantTerms


class Vm:
    """A VM's wall clock and boot-time clock."""

    def __init__(self):
        self.unix_time = 1_000_000.0
        self.since_boot = 50.0

    def clock(self):
        return BootClock(lambda: self.unix_time, lambda: self.since_boot)

    def run(self, seconds):
        self.unix_time += seconds
        self.since_boot += seconds


def terms(at):
    return GrantTerms(1_000, 0, 100, 100.0, 1.0, at)


def test_wall_clock_step_does_not_free_the_whole_grant():
    vm = Vm()
    clock = vm.clock()
    written = terms(clock.instant())
    vm.unix_time += 2.4
    vm.run(2.0)
    assert written.limit(clock.instant()) == 200


def test_successor_counts_all_use_after_a_step_forward_and_back():
    vm = Vm()
    before = vm.clock()
    written = terms(before.instant())
    vm.unix_time += 2.4
    vm.run(2.0)
    used = written.limit(before.instant())
    vm.unix_time -= 2.4
    assert written.limit(vm.clock().instant()) >= used


def test_successor_after_a_step_counts_the_whole_grant():
    vm = Vm()
    written = terms(vm.clock().instant())
    vm.unix_time += 2.4
    assert written.limit(vm.clock().instant()) == 1_000


def test_suspended_time_counts():
    vm = Vm()
    clock = vm.clock()
    written = terms(clock.instant())
    vm.run(3_600.0)
    assert written.limit(clock.instant()) == 1_000
