"""An agent's memory of what runs used.

A router whose answer was cut asks by the id of the run; the keeper of a shard
asks by holder, after a router is gone. A router says with each call up to
which of its runs the keeper has settled; those are forgotten.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.budget.closures import AgedUsage
from chicorystack.budget.messages import Usage, holder_of_use, number_of_use
from chicorystack.calls.messages import CallHeader
from chicorystack.calls.usage_table import UsageTable


class _FinishedRun(NamedTuple):
    """A run that has ended and is not settled.

    Attributes:
        call: The call.
        tokens: Tokens used, all parts of the run together.
        ended: Time on the clock.
    """

    call: CallHeader
    tokens: int
    ended: float


class _Finished:
    """Finished runs of one holder and shard, by number of the run."""

    def __init__(self):
        self.run_by_number: dict[int, _FinishedRun] = {}
        self.forgotten_epoch = 0


class HolderUsage:
    """Runs at this target, running and finished, by shard and holder."""

    def __init__(self, clock):
        self._clock = clock
        self._running_by_use: dict[str, CallHeader] = {}
        self._finished: defaultdict[tuple[int, str], _Finished] = defaultdict(
            _Finished
        )
        self._count = 0

    def begin(self, call: CallHeader) -> None:
        """Notes that a run begins."""
        self._forget_settled(call)
        self._running_by_use[call["use"]] = call

    def end(self, call: CallHeader, tokens: int) -> None:
        """Notes what a run, or a further part of it, used."""
        self._running_by_use.pop(call["use"], None)
        if tokens:
            self._keep(call, tokens)

    def count_running(self, shard: int, epoch: int, holders: set[str]) -> int:
        """Counts runs that holders paid under epochs up to one."""
        return sum(
            1
            for call in self._running_by_use.values()
            if call["reserved"]
            and call["shard"] == shard
            and call["epoch"] <= epoch
            and holder_of_use(call["use"]) in holders
        )

    def forgotten(self, shard: int, epoch: int, holders: set[str]) -> bool:
        """Tells whether finished runs of such holders were forgotten."""
        return any(
            0 < finished.forgotten_epoch <= epoch
            for finished in self._of(shard, holders)
        )

    def finished(
        self, shard: int, epoch: int, holders: set[str]
    ) -> list[AgedUsage]:
        """Returns the finished runs of such holders."""
        now = self._clock.seconds()
        return [
            AgedUsage(_usage(run), run.call["reserved"], now - run.ended)
            for finished in self._of(shard, holders)
            for run in finished.run_by_number.values()
            if run.call["epoch"] <= epoch
        ]

    def _of(self, shard: int, holders: set[str]) -> Iterator[_Finished]:
        for holder in sorted(holders):
            if (shard, holder) in self._finished:
                yield self._finished[shard, holder]

    def _keep(self, call: CallHeader, tokens: int) -> None:
        finished = self._finished[call["shard"], holder_of_use(call["use"])]
        number = number_of_use(call["use"])
        earlier = finished.run_by_number.get(number)
        if earlier is None:
            self._count += 1
        else:
            tokens += earlier.tokens
        tokens = min(tokens, call["reserved"])
        run = _FinishedRun(call, tokens, self._clock.seconds())
        finished.run_by_number[number] = run
        if self._count > defaults.USAGE_TABLE_MAX_ENTRIES:
            self._forget_holder()

    def _forget_settled(self, call: CallHeader) -> None:
        """Forgets the runs that a call's router says are settled."""
        place = call["shard"], holder_of_use(call["use"])
        if place not in self._finished:
            return
        runs = self._finished[place].run_by_number
        below = call["settled_below"]
        for number in [number for number in runs if number < below]:
            del runs[number]
            self._count -= 1

    def _forget_holder(self) -> None:
        """Makes room; what that holder held can't be settled any more."""
        place = next(
            place
            for place, finished in self._finished.items()
            if finished.run_by_number
        )
        finished = self._finished[place]
        runs = finished.run_by_number.values()
        finished.forgotten_epoch = max(run.call["epoch"] for run in runs)
        self._count -= len(finished.run_by_number)
        finished.run_by_number = {}


class AgentUsage:
    """Both tables of an agent, kept together.

    Attributes:
        by_use: What each run used, for its router.
        by_holder: What holders used, for keepers.
    """

    def __init__(self, clock):
        self.by_use = UsageTable(clock)
        self.by_holder = HolderUsage(clock)

    def begin(
        self, call: CallHeader, cancel: Callable[[], None] | None = None
    ) -> None:
        """Marks a run as started; raises as UsageTable.begin does."""
        self.by_use.begin(call["use"], cancel)
        self.by_holder.begin(call)

    def end(self, call: CallHeader, tokens: int) -> None:
        """Notes what a run used."""
        self.by_holder.end(call, tokens)
        self.by_use.end(call["use"], tokens)


def _usage(run: _FinishedRun) -> Usage:
    call = run.call
    return Usage(call["budget"], call["key"], run.tokens, call["use"])
