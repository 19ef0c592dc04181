"""No series of faults lets a customer use more than it has prepaid.

Each mechanism is also taken out, and the same search must then find a life
in which the budget is exceeded.
"""

import msgspec
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget import grant_records as grants
from chicorystack.budget.grant_client import GrantClient
from chicorystack.budget.grant_partition import GrantPartition
from chicorystack.budget.grant_records import Holder, Instant, Terms
from chicorystack.budget.grants import Account, GrantBook
from chicorystack.observe.invariants import violations_by_name
from chicorystack.store.keyed_log import KeyedRecord
from tests.budget.grant_machine import GrantMachine
from tests.support.fake_log import FakeLog

SEARCH = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
)
# Finding a fault is enough; shrinking it is for people.
SEEK = settings(SEARCH, max_examples=600, phases=[Phase.generate])


def test_budget_holds_through_random_faults():
    run_state_machine_as_test(GrantMachine, settings=SEARCH)


def append_unconditionally(patch):
    append = FakeLog.append

    async def without_condition(self, partition, records, _expected_end=None):
        return await append(self, partition, records)

    patch.setattr(FakeLog, "append", without_condition)


def use_what_is_not_in_the_log(patch):
    def note_pending(self, terms):
        self.terms = terms

    patch.setattr(Account, "note_pending", note_pending)


def forget_the_predecessor(patch):
    def lost(_self, earlier):
        return 0, 0

    patch.setattr(GrantBook, "_lost", lost)


def forget_unanswered_appends(patch):
    next_append = GrantPartition._next_append

    def without_memory(self):
        if self._unanswered is not None:
            self._unanswered = None
            for account in self._book.account_by_customer.values():
                account._pending = None
        return next_append(self)

    patch.setattr(GrantPartition, "_next_append", without_memory)


@pytest.mark.parametrize(
    "mechanism_out",
    [
        append_unconditionally,
        forget_the_predecessor,
    ],
)
def test_search_finds_a_missing_mechanism(monkeypatch, mechanism_out):
    mechanism_out(monkeypatch)
    with pytest.raises(AssertionError, match=" of "):
        run_state_machine_as_test(GrantMachine, settings=SEEK)


def test_terms_grow_to_the_whole_grant():
    terms = Terms(1_000, 100, 200, 50.0, 1.0, Instant(5.0, 10.0))
    assert terms.limit(Instant(5.0, 10.0)) == 300
    assert terms.limit(Instant(5.0, 11.0)) == 300
    assert terms.limit(Instant(5.0, 13.0)) == 400
    assert terms.limit(Instant(5.0, 100.0)) == 1_000
    # Another boot: the clock says nothing.
    assert terms.limit(Instant(900.0, 10.0)) == 1_000
    assert terms.limit(Instant(5.0, 9.0)) == 1_000


class Alone:
    """A router that knows no other one."""

    def names(self):
        return []


class FixedClock:
    """A VM's clock that a test sets."""

    def __init__(self, boot, seconds):
        self.now = Instant(boot, seconds)

    def instant(self):
        return self.now


@pytest.mark.parametrize(("boot", "lost"), [(5.0, 300), (900.0, 1_000)])
def test_successor_takes_back_only_within_one_boot(boot, lost):
    terms = Terms(1_000, 100, 200, 50.0, 1.0, Instant(5.0, 10.0))
    record = grants.GrantRecord(process="old", terms=terms, need=0, spent=80)
    ledger = grants.GrantLedger()
    key = grants.record_key("alpha", "front-1")
    ledger.load([KeyedRecord(key, msgspec.json.encode(record), 0)], 1)
    vm_clock = FixedClock(boot, 10.5)
    book = GrantBook(Holder("front-1", "new"), vm_clock)
    book.set_prepaid({"alpha": 10_000})
    # The predecessor used nothing after this start, however long it takes to
    # reach the store.
    vm_clock.now = Instant(boot, 30.0)
    (written,) = book.records(ledger, ["alpha"], 1)
    decoded = msgspec.json.decode(written.value, type=grants.GrantRecord)
    assert (decoded["lost"], decoded["lost_spent"]) == (lost, 80)
    assert decoded["terms"].granted <= 10_000 - lost


def use_after_a_late_append():
    """A lower grant is taken late; a higher one is refused meanwhile."""
    clock = task.Clock()
    log = FakeLog(clock)
    vm_clock = FixedClock(1.0, 0.0)
    client = GrantClient(
        clock, log, "keyed.grants", Holder("front-1", "p"), lambda: 1,
        vm_clock, Alone(),
    )  # fmt: skip
    client.set_prepaid({"alpha": 100_000})
    client.start()

    def pump(seconds):
        for _ in range(round(seconds / 0.05)):
            clock.advance(0.05)
            vm_clock.now = Instant(1.0, clock.seconds())

    def reserve(tokens):
        asking = defer.ensureDeferred(
            client.reserve("alpha", tokens, clock.seconds() + 3.0)
        )
        asking.addErrback(lambda _: None)

    reserve(100)
    pump(defaults.GRANT_OBSERVED_S - 0.5)
    # What the router needs has shown itself: its next record lowers its grant.
    log.faults.extend(["late"] + ["refused"] * 20)
    pump(0.75)
    # More than the lower grant, and as much as the present one allows soon.
    reserve(2_000)
    pump(6.0)
    return violations_by_name["grant_covers_use"]


def tokens_used_without_a_record():
    """The store refuses every append; calls come all the same."""
    clock = task.Clock()
    log = FakeLog(clock)
    log.faults.extend(["refused"] * 50)
    client = GrantClient(
        clock,
        log,
        "keyed.grants",
        Holder("front-1", "p"),
        lambda: 1,
        FixedClock(1.0, 0.0),
        Alone(),
    )
    client.set_prepaid({"alpha": 100_000})
    client.start()
    granted = []
    for _ in range(5):
        asking = defer.ensureDeferred(
            client.reserve("alpha", 1_000, clock.seconds() + 0.3)
        )
        asking.addCallbacks(granted.append, lambda _: None)
        clock.pump([0.05] * 10)
    return sum(reservation.tokens for reservation in granted)


def test_nothing_is_used_that_is_not_in_the_log():
    assert tokens_used_without_a_record() == 0


def test_tokens_are_used_at_once_where_terms_do_not_wait(monkeypatch):
    use_what_is_not_in_the_log(monkeypatch)
    assert tokens_used_without_a_record() > 0


def test_late_append_never_undercuts_what_is_in_use():
    before = violations_by_name["grant_covers_use"]
    assert use_after_a_late_append() == before


def test_late_append_undercuts_where_it_is_forgotten(monkeypatch):
    forget_unanswered_appends(monkeypatch)
    before = violations_by_name["grant_covers_use"]
    assert use_after_a_late_append() > before


def test_key_of_a_record_splits_into_customer_and_router():
    key = grants.record_key("a/b", "front-1")
    assert key.rpartition(grants.KEY_SEPARATOR)[::2] == ("a/b", "front-1")
