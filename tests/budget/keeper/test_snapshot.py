"""Readers that start from a snapshot reach the same state as all others."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from bench.budget_sim import SHARD, Simulation
from chicorystack import defaults
from chicorystack.budget.keeper.ledger import ShardLedger
from chicorystack.budget.keeper.messages import Usage
from chicorystack.budget.keeper.snapshot import LedgerReader, snapshot_records
from chicorystack.observe import invariants
from tests.budget.keeper.test_ledger import batch, claim, customer, top_up

BUDGET = "c/b"


def records(kinds):
    """Yields a valid stream of records that random numbers select."""
    epoch, number, committed = 0, 0, 0
    yield top_up("t", 10_000)
    for index, kind in enumerate(kinds):
        if kind == 0:
            yield top_up(f"t{index % 3}", 100)
        elif kind == 1:
            epoch, number = epoch + 1, 0
            yield claim(epoch)
        elif kind == 2:
            yield customer(f"c{index % 4}", f"hash-{index}")
        elif epoch:
            number, committed = number + 1, committed + kind
            bill = Usage(BUDGET, f"k{index % 9}", kind, f"h:{index}")
            yield batch(number, committed, bill, epoch=epoch)


def entries(stream):
    return [
        {"offset": at, "time": 1.0 + 50 * at, "record": json.dumps(record)}
        for at, record in enumerate(stream)
    ]


@settings(max_examples=200)
@given(
    kinds=st.lists(st.integers(0, 20), min_size=1, max_size=40),
    data=st.data(),
)
def test_readers_from_any_offset_reach_the_same_state(kinds, data):
    plain = list(records(kinds))
    read_to = data.draw(st.integers(0, len(plain)), label="read_to")
    place = data.draw(st.integers(read_to, len(plain)), label="place")
    begin = data.draw(st.integers(0, read_to), label="begin")
    prefix = LedgerReader(ShardLedger(0))
    for entry in entries(plain[:read_to]):
        prefix.deliver(entry)
    parts = list(snapshot_records(prefix.ledger, read_to))
    stream = entries(plain[:place] + parts + plain[place:])
    whole, late = LedgerReader(ShardLedger(0)), LedgerReader(ShardLedger(0))
    for entry in stream:
        whole.deliver(entry)
    for entry in stream[begin:]:
        late.deliver(entry)
    assert late.has_base
    assert late.ledger.state() == whole.ledger.state()


def test_reader_without_a_complete_snapshot_has_no_base(monkeypatch):
    monkeypatch.setattr(defaults, "SNAPSHOT_PART_CHARS", 50)
    source = LedgerReader(ShardLedger(0))
    for entry in entries([top_up("t", 100), claim(1)]):
        source.deliver(entry)
    parts = list(snapshot_records(source.ledger, 2))
    stream = entries([top_up("t", 100), claim(1), *parts])
    late = LedgerReader(ShardLedger(0))
    for entry in stream[1:-1]:
        late.deliver(entry)
    assert not late.has_base
    late.deliver(stream[-1])
    # The snapshot includes the entries that this reader has missed.
    assert late.has_base
    assert late.ledger.budget(BUDGET).topped_up == 100


@pytest.fixture
def short_log():
    """A fleet whose log retains records for only 400 s."""
    logger.disable("chicorystack")
    invariants.violations_by_name.clear()
    sim = Simulation(retention_s=400.0)
    for name in ("r1", "r2"):
        sim.add_router(name)
    sim.add_agent("a1")
    sim.top_up(BUDGET, 1000)
    sim.run(3.0)
    yield sim
    assert not invariants.violations_by_name
    logger.enable("chicorystack")


def test_budget_survives_the_expiry_of_its_records(short_log):
    for number in range(20):
        short_log.call("r1", BUDGET, f"k{number}", 20)
        short_log.run(60.0)
    spent = sum(short_log.engine_use_by_budget[BUDGET].values())
    assert short_log.log.entries(f"shard-{SHARD}")[0]["offset"] > 0
    for name in ("r1", "r2"):
        short_log.network.kill(short_log.network.process_by_name[name])
        short_log.remove_vm(name)
    short_log.add_router("r3")
    short_log.run(10.0)
    short_log.call("r3", BUDGET, "late", 20)
    short_log.run(5.0)
    assert short_log.outcomes[-1].code == "done"
    controller = next(short_log.keepers()).keeper.controller_by_shard[SHARD]
    budget = controller.budgets("c")["budgets"][0]
    assert budget["topped_up"] == 1000
    assert budget["billed"] >= spent
