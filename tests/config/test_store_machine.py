"""Random runs of readers, publishers and peers over an expiring log."""

import json

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chicorystack.config.keeping import kept_record
from chicorystack.config.store import ConfigStore

READERS = 2
readers = st.integers(0, READERS - 1)


def published(record_id, replaces):
    return {
        "kind": "config_published",
        "id": record_id,
        "replaces": replaces,
        "operator": "op",
        "text": "",
        "config": {"sites": {}},
    }


class ConfigMachine(RuleBasedStateMachine):
    """Readers may lag, restart, and hear of versions out of turn."""

    def __init__(self):
        super().__init__()
        self.records = []
        self.first = 0
        self.true_offsets = []
        self.stores = [ConfigStore() for _ in range(READERS)]
        self.seen = [0] * READERS

    def append(self, record):
        self.records.append(json.dumps(record))

    @rule(behind=st.sampled_from((0, 0, -1, 1)), copies=st.integers(1, 2))
    def publish(self, behind, copies):
        replaces = max(0, len(self.true_offsets) - behind)
        if replaces == len(self.true_offsets):
            self.true_offsets.append(len(self.records))
        record = published(f"id-{len(self.records)}", replaces)
        for _ in range(copies):
            self.append(record)

    @rule(reader=readers, records=st.integers(1, 6))
    def read(self, reader, records):
        fold = self.stores[reader].fold
        start = max(fold.next_offset, self.first)
        for offset in range(start, len(self.records))[:records]:
            entry = {"time": 0.0, "record": self.records[offset]}
            self.stores[reader].deliver(entry | {"offset": offset})

    @rule(reader=readers)
    def keep(self, reader):
        record = kept_record(self.stores[reader].fold)
        if record is not None:
            self.append(record)

    @rule(reader=readers, peer=readers)
    def ask_peer(self, reader, peer):
        known = self.stores[reader].config.version
        told = self.stores[peer].in_force(known)
        self.stores[reader].take_from_peer(told)

    @rule(reader=readers, peer=readers)
    def restart_from_peer(self, reader, peer):
        told = self.stores[peer].in_force()
        self.stores[reader] = ConfigStore()
        self.stores[reader].take_from_peer(told)
        self.seen[reader] = 0

    @rule(records=st.integers(1, 3))
    def expire(self, records):
        self.first = min(len(self.records), self.first + records)

    @rule()
    def read_anew_to_the_end(self):
        store = ConfigStore()
        for offset in range(self.first, len(self.records)):
            entry = {"time": 0.0, "record": self.records[offset]}
            store.deliver(entry | {"offset": offset})
        if store.fold.based and len(self.records) > self.first:
            assert store.config.version == len(self.true_offsets)

    @invariant()
    def versions_agree_and_never_fall(self):
        for number, store in enumerate(self.stores):
            told = store.in_force()
            assert told["version"] >= self.seen[number]
            self.seen[number] = told["version"]
            if told["version"]:
                true_offset = self.true_offsets[told["version"] - 1]
                assert told["offset"] == true_offset


ConfigMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=30
)
TestConfigMachine = ConfigMachine.TestCase
