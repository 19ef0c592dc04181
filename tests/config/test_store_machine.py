"""Stateful test of readers, publishers and peers with an expiring log."""

import json

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chicorystack.config.snapshots import build_snapshot
from chicorystack.config.store import ConfigStore

READERS = 2
readers = st.integers(0, READERS - 1)


def publication(record_id, replaces):
    return {
        "kind": "config_published",
        "id": record_id,
        "replaces": replaces,
        "operator": "op",
        "text": "",
        "config": {"sites": {}},
    }


class ConfigMachine(RuleBasedStateMachine):
    """Readers may lag, restart, and get versions from peers out of order."""

    def __init__(self):
        super().__init__()
        self.records = []
        self.first_offset = 0
        self.expected_offsets = []
        self.stores = [ConfigStore() for _ in range(READERS)]
        self.last_versions = [0] * READERS

    def append(self, record):
        self.records.append(json.dumps(record))

    @rule(behind=st.sampled_from((0, 0, -1, 1)), copies=st.integers(1, 2))
    def publish(self, behind, copies):
        replaces = max(0, len(self.expected_offsets) - behind)
        if replaces == len(self.expected_offsets):
            self.expected_offsets.append(len(self.records))
        record = publication(f"id-{len(self.records)}", replaces)
        for _ in range(copies):
            self.append(record)

    @rule(reader=readers, records=st.integers(1, 6))
    def read(self, reader, records):
        log_state = self.stores[reader].log_state
        start = max(log_state.next_offset, self.first_offset)
        for offset in range(start, len(self.records))[:records]:
            entry = {"time": 0.0, "record": self.records[offset]}
            self.stores[reader].deliver(entry | {"offset": offset})

    @rule(reader=readers)
    def append_snapshot(self, reader):
        record = build_snapshot(self.stores[reader].log_state)
        if record is not None:
            self.append(record)

    @rule(reader=readers, peer=readers)
    def poll_peer(self, reader, peer):
        known = self.stores[reader].config.version
        reply = self.stores[peer].in_force(known)
        self.stores[reader].update_from_peer(reply)

    @rule(reader=readers, peer=readers)
    def restart_from_peer(self, reader, peer):
        reply = self.stores[peer].in_force()
        self.stores[reader] = ConfigStore()
        self.stores[reader].update_from_peer(reply)
        self.last_versions[reader] = 0

    @rule(records=st.integers(1, 3))
    def expire(self, records):
        self.first_offset = min(len(self.records), self.first_offset + records)

    @rule()
    def read_from_the_start(self):
        store = ConfigStore()
        for offset in range(self.first_offset, len(self.records)):
            entry = {"time": 0.0, "record": self.records[offset]}
            store.deliver(entry | {"offset": offset})
        if (
            store.log_state.is_complete
            and len(self.records) > self.first_offset
        ):
            assert store.config.version == len(self.expected_offsets)

    @invariant()
    def versions_agree_and_never_decrease(self):
        for reader, store in enumerate(self.stores):
            reply = store.in_force()
            assert reply["version"] >= self.last_versions[reader]
            self.last_versions[reader] = reply["version"]
            if reply["version"]:
                expected_offset = self.expected_offsets[reply["version"] - 1]
                assert reply["offset"] == expected_offset


ConfigMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=30
)
TestConfigMachine = ConfigMachine.TestCase
