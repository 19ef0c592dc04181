"""Which run of a target a connection leads to, by what the registry said.

A target may start again under its ID with another version, and a router may
read that late. A connection leads to the process that accepted it: if the
registry shows a run in a read that began after the connection was opened, the
connection leads to that run. No time needs to be short for this.
"""

import math

from chicorystack import defaults
from chicorystack.gateway.targets import TargetEntry, TargetRegistry
from chicorystack.streams.messages import TargetRun
from chicorystack.streams.registry_reader import RegistryReader


def run_of(entry: TargetEntry) -> TargetRun:
    """Returns the run that an entry states."""
    return TargetRun(entry.id, entry.started_ms, entry.version)


class RunHistory:
    """Runs of targets, with those that have ended or were replaced."""

    def __init__(self, registry: TargetRegistry, reader: RegistryReader):
        self._registry = registry
        self._reader = reader
        # When the last read began that showed a run which has gone since, as
        # clock time in seconds; runs in the order in which they have gone.
        self._shown_at_by_run: dict[TargetRun, float] = {}
        self._last_gone_by_target: dict[str, TargetRun] = {}
        registry.on_missing(self._record_missing)
        registry.on_removed(self._record_gone)

    def has_answered(self, run: TargetRun, connected_at: float) -> bool | None:
        """Returns whether a target's connection led to a run of its version.

        Args:
            run: The run that the registry had shown before.
            connected_at: Clock time at which the connection had been opened,
                in seconds.

        Returns:
            None if the registry has not been read since, or has not shown the
            run yet; False if another run has followed that may have answered.
        """
        if self._shown_at_by_run.get(run, -math.inf) >= connected_at:
            return True
        if run.target in self._registry.disputed_by_id:
            return False
        is_read_since = self._reader.reads.began_at >= connected_at
        current = self._registry.entry_by_id.get(run.target)
        last_gone = self._last_gone_by_target.get(run.target)
        if current is None:
            if last_gone is None:
                return None
            is_same = last_gone == run
        elif current.started_ms < run.started_ms:
            return None
        else:
            is_same = run_of(current) == run or (
                last_gone == run and current.version == run.version
            )
        if not is_same:
            return False
        return True if is_read_since else None

    def _record_missing(self, entry: TargetEntry) -> None:
        self._shown_at_by_run.setdefault(
            run_of(entry), self._reader.reads.began_at
        )

    def _record_gone(self, entry: TargetEntry) -> None:
        self._record_missing(entry)
        self._last_gone_by_target[entry.id] = run_of(entry)
        for by_key in (self._shown_at_by_run, self._last_gone_by_target):
            if len(by_key) > defaults.MAX_REMOVED_TARGETS:
                del by_key[next(iter(by_key))]
