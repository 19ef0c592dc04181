"""Snapshots keep the version in force readable beyond the log's retention."""

import itertools

import pytest
from twisted.internet.task import Clock

from chicorystack.config.log_state import ConfigLogState
from chicorystack.config.snapshots import SnapshotSchedule, build_snapshot
from tests.config.test_store import entry, snapshot_entry

RETENTION_S = 3_600.0


def run_schedules(clock, schedules, until_s):
    """Runs schedules that see each other's appends; returns append times."""
    appended_at = []
    while clock.seconds() < until_s:
        clock.advance(10.0)
        due = [schedule for schedule in schedules if schedule.is_due()]
        if due:
            appended_at.append(clock.seconds())
            for schedule in schedules:
                schedule.handle_record(live=True)
    return appended_at


@pytest.mark.parametrize("ranks", [(0, 1, 2), (1, 2), (7,), (30,)])
def test_snapshot_is_appended_within_half_the_retention(ranks):
    clock = Clock()
    schedules = [
        SnapshotSchedule(clock, RETENTION_S, lambda rank=rank: rank)
        for rank in ranks
    ]
    append_times = [0.0, *run_schedules(clock, schedules, 10 * RETENTION_S)]
    gaps = [
        later - earlier for earlier, later in itertools.pairwise(append_times)
    ]
    assert max(gaps) <= RETENTION_S / 2 + 10.0
    assert len(gaps) <= 41


def test_reader_of_an_expired_stream_starts_at_a_snapshot():
    writer = ConfigLogState()
    writer.apply(entry(0, "a", 0))
    writer.apply(entry(1, "b", 1))
    snapshot = snapshot_entry(2, build_snapshot(writer))
    reader = ConfigLogState()
    reader.apply(snapshot)
    reader.apply(entry(3, "late", 0))
    assert reader.version == 2
    reader.apply(entry(4, "c", 2))
    assert (reader.version, reader.publication_id(3)) == (3, "c")


def test_snapshot_of_a_lagging_writer_is_not_a_starting_point():
    writer = ConfigLogState()
    writer.apply(entry(0, "a", 0))
    # The record at offset 1 created version 2. The writer had not read it,
    # and it has expired.
    snapshot = snapshot_entry(2, build_snapshot(writer))
    reader = ConfigLogState()
    reader.apply(snapshot)
    reader.apply(entry(3, "loser", 1))
    assert reader.version == 0


def test_publication_covered_by_a_snapshot_is_not_applied_again():
    writer, reader = ConfigLogState(), ConfigLogState()
    entries = [entry(0, "a", 0), entry(1, "too early", 2), entry(2, "b", 1)]
    for each in entries:
        writer.apply(each)
    for each in [*entries[1:], snapshot_entry(3, build_snapshot(writer))]:
        reader.apply(each)
    assert reader.latest == writer.latest
