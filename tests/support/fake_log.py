"""A keyed log in memory, on a driven clock, with the faults of a real one."""

from collections import defaultdict, deque

from twisted.internet import defer

from chicorystack.store.keyed_log import (
    ConflictError,
    HistoryGoneError,
    KeyedRecord,
    ReadResult,
    StoreError,
)

ANSWER_S = 0.005
LATE_S = 4.0


class FakeLog:
    """Answers each call after a short time; `faults` decide how.

    Attributes:
        faults: What happens to the next appends, in order: `refused`,
            `lost` (done, no answer), `never` (not done, no answer) or `late`
            (no answer; done seconds later if its condition still holds).
        down: Whether nothing is answered or done.
        first: First offset that is still there, by partition.
    """

    def __init__(self, clock):
        self.clock = clock
        self.faults = deque()
        self.down = False
        self.records = defaultdict(list)
        self.first = defaultdict(int)
        self.calls = 0

    async def _answer(self, seconds=ANSWER_S):
        self.calls += 1
        waiting = defer.Deferred()
        self.clock.callLater(seconds, waiting.callback, None)
        await waiting
        if self.down:
            raise StoreError("down")

    async def read_newest(self, partition):
        await self._answer()
        found = {r.key: r for r in self.records[partition]}
        live = [r for r in found.values() if r.value]
        return ReadResult(live, len(self.records[partition]))

    async def read(self, partition, start, wait_s):
        await self._answer()
        if start < self.first[partition]:
            raise HistoryGoneError("gone")
        records = self.records[partition][start:]
        return ReadResult(list(records), start + len(records))

    async def append(self, partition, records, expected_end=None):
        fault = self.faults.popleft() if self.faults else None
        await self._answer()
        if fault == "refused":
            raise StoreError("refused")
        if fault == "never":
            raise StoreError("no answer", maybe_done=True)
        if fault == "late":
            self.clock.callLater(
                LATE_S, self._append_late, partition, records, expected_end
            )
            raise StoreError("no answer", maybe_done=True)
        offset = self._append(partition, records, expected_end)
        if fault == "lost":
            raise StoreError("no answer", maybe_done=True)
        return offset

    def _append(self, partition, records, expected_end):
        log = self.records[partition]
        if expected_end is not None and expected_end != len(log):
            raise ConflictError(len(log))
        offset = len(log)
        for place, record in enumerate(records, offset):
            log.append(KeyedRecord(record.key, record.value, place))
        return offset

    def _append_late(self, partition, records, expected_end):
        try:
            self._append(partition, records, expected_end)
        except ConflictError:
            return

    def forget_history(self):
        for partition, log in self.records.items():
            self.first[partition] = len(log)
