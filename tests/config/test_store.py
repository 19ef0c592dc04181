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
