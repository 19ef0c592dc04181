"""The first publisher of a version wins, and nobody goes back."""

import json

from chicorystack.config.store import ConfigStore


def entry(offset, record_id, replaces):
    record = {
        "kind": "config_published",
        "id": record_id,
        "replaces": replaces,
        "operator": "op",
        "text": "",
        "config": {"sites": {}, "shards": replaces + 1},
    }
    return {"offset": offset, "time": 0.0, "record": json.dumps(record)}


def kept_entry(offset, kept):
    return {"offset": offset, "time": 0.0, "record": json.dumps(kept)}


def test_first_publisher_wins():
    store = ConfigStore()
    store.deliver(entry(0, "a", 0))
    store.deliver(entry(1, "b", 0))
    assert store.config.version == 1
    assert store.winner_of(1) == "a"


def test_peer_never_takes_a_store_back():
    newer, older = ConfigStore(), ConfigStore()
    for store in (newer, older):
        store.deliver(entry(0, "a", 0))
    newer.deliver(entry(1, "b", 1))
    assert not newer.take_from_peer(older.in_force())
    assert older.take_from_peer(newer.in_force())
    assert older.config.version == 2


def test_version_heard_from_a_peer_does_not_judge_publications():
    ahead, behind = ConfigStore(), ConfigStore()
    entries = [
        entry(0, "a", 0),
        entry(1, "too early", 2),
        entry(2, "b", 1),
        entry(3, "c", 2),
    ]
    for each in entries:
        ahead.deliver(each)
    behind.deliver(entries[0])
    behind.take_from_peer(ahead.in_force())
    for each in entries[1:]:
        behind.deliver(each)
    assert behind.in_force() == ahead.in_force()
    assert behind.winner_of(3) == "c"


def test_record_appended_twice_counts_once():
    store = ConfigStore()
    for offset, record_id in enumerate(["a", "b", "a", "b"]):
        store.deliver(entry(offset, record_id, 0))
    assert (store.config.version, store.winner_of(1)) == (1, "a")


def test_entry_that_is_no_record_is_passed_over():
    store = ConfigStore()
    assert not store.deliver({"offset": 0, "time": 0.0, "record": "{}"})
    store.deliver(entry(1, "a", 0))
    assert store.config.version == 1
