"""An agent's in-memory tables of the tokens that runs used.

A router queries by run id after an answer was interrupted. The keeper of a
shard queries by holder after a router was lost. Each call of a router states
which of its runs the keeper has settled; their entries are deleted.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.budget.keeper.closures import AgedUsage
from chicorystack.budget.keeper.messages import (
    Usage,
    holder_of_use,
    number_of_use,
)
from chicorystack.calls.messages import CallHeader
from chicorystack.calls.usage_table import UsageTable


class _FinishedRun(NamedTuple):
    """A run that has ended and has not been settled.

    Attributes:
        call: The call.
        tokens: Tokens used in all parts of the run.
        ended: Time on the clock at which it ended.
    """

    call: CallHeader
    tokens: int
    ended: float


class _FinishedRuns:
    """Finished runs of one holder and shard.

    Attributes:
        run_by_number: The runs, by run number.
        evicted_epoch: Newest epoch of the runs evicted last; 0 for none.
    """

    def __init__(self):
        self.run_by_number: dict[int, _FinishedRun] = {}
        self.evicted_epoch = 0


class HolderUsage:
    """Running and finished runs at this target, by shard and holder.

    Methods that take `epoch` and `holders` select the runs that these holders
    paid for under that epoch or an earlier one.
    """

    def __init__(self, clock):
        self._clock = clock
        self._running_by_run_id: dict[str, CallHeader] = {}
        self._finished_runs: defaultdict[tuple[int, str], _FinishedRuns] = (
            defaultdict(_FinishedRuns)
        )
        self._run_count = 0

    def begin(self, call: CallHeader) -> None:
        """Records that a run has started."""
        self._delete_settled(call)
        self._running_by_run_id[call["use"]] = call

    def end(self, call: CallHeader, tokens: int) -> None:
        """Records the tokens used by a run, or by a further part of it."""
        self._running_by_run_id.pop(call["use"], None)
        if tokens:
            self._add_finished(call, tokens)

    def count_running(self, shard: int, epoch: int, holders: set[str]) -> int:
        """Returns the number of the holders' running calls up to `epoch`."""
        return sum(
            1
            for call in self._running_by_run_id.values()
            if call["reserved"]
            and call["shard"] == shard
            and call["epoch"] <= epoch
            and holder_of_use(call["use"]) in holders
        )

    def has_evicted(self, shard: int, epoch: int, holders: set[str]) -> bool:
        """Returns whether finished runs of these holders were evicted."""
        return any(
            0 < finished.evicted_epoch <= epoch
            for finished in self._finished_runs_of(shard, holders)
        )

    def finished(
        self, shard: int, epoch: int, holders: set[str]
    ) -> list[AgedUsage]:
        """Returns the usage of the holders' finished runs up to `epoch`."""
        now = self._clock.seconds()
        return [
            AgedUsage(_usage_of_run(run), run.call["reserved"], now - run.ended)
            for finished in self._finished_runs_of(shard, holders)
            for run in finished.run_by_number.values()
            if run.call["epoch"] <= epoch
        ]

    def _finished_runs_of(
        self, shard: int, holders: set[str]
    ) -> Iterator[_FinishedRuns]:
        for holder in sorted(holders):
            if (shard, holder) in self._finished_runs:
                yield self._finished_runs[shard, holder]

    def _add_finished(self, call: CallHeader, tokens: int) -> None:
        finished = self._finished_runs[
            call["shard"], holder_of_use(call["use"])
        ]
        number = number_of_use(call["use"])
        earlier = finished.run_by_number.get(number)
        if earlier is None:
            self._run_count += 1
        else:
            tokens += earlier.tokens
        tokens = min(tokens, call["reserved"])
        run = _FinishedRun(call, tokens, self._clock.seconds())
        finished.run_by_number[number] = run
        if self._run_count > defaults.USAGE_TABLE_MAX_ENTRIES:
            self._evict_holder()

    def _delete_settled(self, call: CallHeader) -> None:
        """Deletes the runs that the call's router reports as settled."""
        key = call["shard"], holder_of_use(call["use"])
        if key not in self._finished_runs:
            return
        runs = self._finished_runs[key].run_by_number
        below = call["settled_below"]
        for number in [number for number in runs if number < below]:
            del runs[number]
            self._run_count -= 1

    def _evict_holder(self) -> None:
        """Evicts one holder's runs, which can no longer be settled."""
        key = next(
            key
            for key, finished in self._finished_runs.items()
            if finished.run_by_number
        )
        finished = self._finished_runs[key]
        runs = finished.run_by_number.values()
        finished.evicted_epoch = max(run.call["epoch"] for run in runs)
        self._run_count -= len(finished.run_by_number)
        finished.run_by_number = {}


class AgentUsage:
    """Updates both usage tables of an agent together.

    Attributes:
        by_run: Usage by run, for its router.
        by_holder: Usage by holder, for keepers.
    """

    def __init__(self, clock):
        self.by_run = UsageTable(clock)
        self.by_holder = HolderUsage(clock)

    def begin(
        self, call: CallHeader, cancel: Callable[[], None] | None = None
    ) -> None:
        """Records that a run has started; raises as UsageTable.begin does."""
        self.by_run.begin(call["use"], cancel)
        self.by_holder.begin(call)

    def check_not_closed(self, call: CallHeader) -> None:
        """Raises ApiError if the run's router has closed the run."""
        self.by_run.check_not_closed(call["use"])

    def end(self, call: CallHeader, tokens: int) -> None:
        """Records that a run has ended, and the tokens used."""
        self.by_holder.end(call, tokens)
        self.by_run.end(call["use"], tokens)


def _usage_of_run(run: _FinishedRun) -> Usage:
    call = run.call
    return Usage(call["budget"], call["key"], run.tokens, call["use"])
