"""The first publication of a version wins, and no store reverts."""

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


def snapshot_entry(offset, snapshot):
    return {"offset": offset, "time": 0.0, "record": json.dumps(snapshot)}


def test_first_publication_of_a_version_wins():
    store = ConfigStore()
    store.deliver(entry(0, "a", 0))
    store.deliver(entry(1, "b", 0))
    assert store.config.version == 1
    assert store.publication_id(1) == "a"


def test_older_version_of_a_peer_is_ignored():
    newer, older = ConfigStore(), ConfigStore()
    for store in (newer, older):
        store.deliver(entry(0, "a", 0))
    newer.deliver(entry(1, "b", 1))
    assert not newer.update_from_peer(older.in_force())
    assert older.update_from_peer(newer.in_force())
    assert older.config.version == 2


def test_version_from_a_peer_does_not_decide_on_publications():
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
    behind.update_from_peer(ahead.in_force())
    for each in entries[1:]:
        behind.deliver(each)
    assert behind.in_force() == ahead.in_force()
    assert behind.publication_id(3) == "c"


def test_duplicate_record_is_applied_once():
    store = ConfigStore()
    for offset, record_id in enumerate(["a", "b", "a", "b"]):
        store.deliver(entry(offset, record_id, 0))
    assert (store.config.version, store.publication_id(1)) == (1, "a")


def test_invalid_entry_is_skipped():
    store = ConfigStore()
    assert not store.deliver({"offset": 0, "time": 0.0, "record": "{}"})
    store.deliver(entry(1, "a", 0))
    assert store.config.version == 1
