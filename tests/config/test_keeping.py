"""The version in force outlives the log's retention, with few appends."""

import itertools

import pytest
from twisted.internet.task import Clock

from chicorystack.config.fold import ConfigFold
from chicorystack.config.keeping import KeepSchedule, kept_record
from tests.config.test_store import entry, kept_entry

RETENTION_S = 3_600.0


def run_schedules(clock, schedules, until_s):
    """Drives schedules that see each other's appends; returns their times."""
    appended_at = []
    while clock.seconds() < until_s:
        clock.advance(10.0)
        due = [schedule for schedule in schedules if schedule.due()]
        if due:
            appended_at.append(clock.seconds())
            for schedule in schedules:
                schedule.note_carried(seen_live=True)
    return appended_at


@pytest.mark.parametrize("ranks", [(0, 1, 2), (1, 2), (7,), (30,)])
def test_version_is_stated_again_within_half_the_retention(ranks):
    clock = Clock()
    schedules = [
        KeepSchedule(clock, RETENTION_S, lambda rank=rank: rank)
        for rank in ranks
    ]
    times = [0.0, *run_schedules(clock, schedules, 10 * RETENTION_S)]
    gaps = [later - sooner for sooner, later in itertools.pairwise(times)]
    assert max(gaps) <= RETENTION_S / 2 + 10.0
    assert len(gaps) <= 41


def test_reader_of_an_expired_stream_starts_at_a_kept_record():
    writer = ConfigFold()
    writer.apply(entry(0, "a", 0))
    writer.apply(entry(1, "b", 1))
    kept = kept_entry(2, kept_record(writer))
    reader = ConfigFold()
    reader.apply(kept)
    reader.apply(entry(3, "late", 0))
    assert reader.version == 2
    reader.apply(entry(4, "c", 2))
    assert (reader.version, reader.winner_of(3)) == (3, "c")


def test_kept_record_of_a_writer_that_lagged_is_no_start():
    writer = ConfigFold()
    writer.apply(entry(0, "a", 0))
    # Offset 1 made version 2, unseen by the writer, and has expired.
    kept = kept_entry(2, kept_record(writer))
    reader = ConfigFold()
    reader.apply(kept)
    reader.apply(entry(3, "loser", 1))
    assert reader.version == 0


def test_publication_judged_before_the_kept_record_is_not_judged_again():
    writer, reader = ConfigFold(), ConfigFold()
    entries = [entry(0, "a", 0), entry(1, "too early", 2), entry(2, "b", 1)]
    for each in entries:
        writer.apply(each)
    for each in [*entries[1:], kept_entry(3, kept_record(writer))]:
        reader.apply(each)
    assert reader.latest == writer.latest
