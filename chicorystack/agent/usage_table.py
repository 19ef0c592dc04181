"""An agent's memory of what runs used, for routers that can't report it.

A router says with each call up to which of its runs the keeper has settled;
those are forgotten. What is left is what a keeper asks for after the router
is gone.
"""

import contextlib
from collections import defaultdict
from collections.abc import Iterator

from chicorystack import defaults
from chicorystack.budget.closures import AgedUsage
from chicorystack.budget.messages import Usage, holder_of_use, number_of_use
from chicorystack.calls.messages import CallHeader


class Run:
    """A run at the target.

    Attributes:
        call: The call.
        tokens: Tokens to bill; 0 until they are known.
    """

    def __init__(self, call: CallHeader):
        self.call = call
        self.tokens = 0


class _Finished:
    """Finished runs of one holder and shard, by number of the run."""

    def __init__(self):
        self.run_by_number: dict[int, tuple[int, Usage, float]] = {}
        self.forgotten_epoch = 0


class UsageTable:
    """Runs at this target, running and finished, by shard and holder."""

    def __init__(self, clock):
        self._clock = clock
        self._running: set[Run] = set()
        self._finished: defaultdict[tuple[int, str], _Finished] = defaultdict(
            _Finished
        )
        self._count = 0

    @contextlib.contextmanager
    def running(self, call: CallHeader) -> Iterator[Run]:
        """Counts a run as running; keeps the tokens that it notes."""
        self._forget_settled(call)
        run = Run(call)
        self._running.add(run)
        try:
            yield run
        finally:
            self._running.remove(run)
            if run.tokens:
                self._keep(run)

    def count_running(self, shard: int, epoch: int, holders: set[str]) -> int:
        """Counts runs that holders paid under epochs up to one."""
        return sum(
            1
            for run in self._running
            if run.call["reserved"]
            and run.call["shard"] == shard
            and run.call["epoch"] <= epoch
            and holder_of_use(run.call["use"]) in holders
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
            AgedUsage(usage, now - ended)
            for finished in self._of(shard, holders)
            for run_epoch, usage, ended in finished.run_by_number.values()
            if run_epoch <= epoch
        ]

    def _of(self, shard: int, holders: set[str]) -> Iterator[_Finished]:
        for holder in sorted(holders):
            if (shard, holder) in self._finished:
                yield self._finished[shard, holder]

    def _keep(self, run: Run) -> None:
        call = run.call
        tokens = min(run.tokens, call["reserved"])
        usage = Usage(call["budget"], call["key"], tokens, call["use"])
        finished = self._finished[call["shard"], holder_of_use(call["use"])]
        number = number_of_use(call["use"])
        if number not in finished.run_by_number:
            self._count += 1
        ended = self._clock.seconds()
        finished.run_by_number[number] = (call["epoch"], usage, ended)
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
        epochs = [epoch for epoch, _, _ in finished.run_by_number.values()]
        finished.forgotten_epoch = max(epochs)
        self._count -= len(finished.run_by_number)
        finished.run_by_number = {}
