"""Replay of a shard's stream ignores duplicate, late and stale records."""

import json

from chicorystack import defaults
from chicorystack.budget.keeper.ledger import ShardLedger
from chicorystack.budget.keeper.messages import Usage

BUDGET = "c/b"


class Stream:
    def __init__(self):
        self.ledger = ShardLedger(0)
        self.offset = 0

    def append(self, record, time=0.0):
        text = json.dumps(record)
        entry = {"offset": self.offset, "time": time, "record": text}
        self.ledger.apply(entry)
        self.offset += 1


def top_up(record_id, tokens):
    return {"kind": "topped_up", "id": record_id, "customer": "c",
            "budget": "b", "tokens": tokens, "operator": "o"}  # fmt: skip


def claim(epoch):
    return {"kind": "keeper_claimed", "id": f"e{epoch}", "epoch": epoch,
            "router": "r", "url": "u"}  # fmt: skip


def batch(number, committed, *bills, epoch=1):
    return {"kind": "ledger_batch", "id": f"b{number}", "epoch": epoch,
            "number": number, "committed": {BUDGET: committed},
            "bills": bills}  # fmt: skip


def customer(record_id, key_hash):
    return {
        "kind": "customer_created",
        "id": record_id,
        "operator": "o",
        "customer": "c",
        "key_salt": "00",
        "key_hash": key_hash,
    }


def claimed_stream():
    stream = Stream()
    stream.append(top_up("t1", 100))
    stream.append(claim(1))
    return stream


def test_duplicate_top_up_counts_once():
    stream = claimed_stream()
    stream.append(top_up("t1", 100))
    assert stream.ledger.budget(BUDGET).topped_up == 100


def test_late_duplicate_of_a_batch_does_not_lower_the_bound():
    stream = claimed_stream()
    stream.append(batch(1, 30))
    stream.append(batch(2, 60))
    stream.append(batch(1, 30))
    assert stream.ledger.budget(BUDGET).committed == 60


def test_batch_of_an_older_epoch_is_ignored():
    stream = claimed_stream()
    stream.append(claim(2))
    stream.append(batch(1, 30, Usage(BUDGET, "k", 5, "h:1")))
    assert stream.ledger.budget(BUDGET).committed == 0
    assert stream.ledger.budget(BUDGET).billed == 0


def test_late_duplicate_of_a_customer_does_not_restore_the_old_key():
    stream = claimed_stream()
    stream.append(customer("c1", "old"))
    stream.append(customer("c2", "new"))
    stream.append(customer("c1", "old"))
    assert stream.ledger.customer_by_name["c"]["key_hash"] == "new"


def test_bills_do_not_expire_during_an_outage():
    stream = claimed_stream()
    bill = Usage(BUDGET, "k", 5, "h:1")
    stream.append(batch(1, 30, bill), time=1.0)
    stream.append(batch(2, 30, bill), time=2.0 + 2 * defaults.BILL_WINDOW_S)
    assert stream.ledger.budget(BUDGET).billed == 5


def test_bills_expire_after_the_window():
    stream = claimed_stream()
    stream.append(batch(1, 30, Usage(BUDGET, "k", 5, "h:1")), time=1.0)
    steps = int(defaults.BILL_WINDOW_S / defaults.BILL_WINDOW_MAX_STEP_S) + 1
    for step in range(steps):
        time = 1.0 + (step + 1) * defaults.BILL_WINDOW_MAX_STEP_S
        stream.append(batch(step + 2, 30), time)
    assert not stream.ledger.bill_by_key
