"""Runs calls of a plain service, non-idempotent ones at most once."""

from typing import Protocol

from twisted.internet import defer
from twisted.web import server

from chicorystack import defaults
from chicorystack.agent.answers import send_answer
from chicorystack.agent.target_client import TargetClient, TargetFailedError
from chicorystack.agent.usage_table import AgentUsage
from chicorystack.calls.messages import CallHeader
from chicorystack.calls.run_journal import NotOwnerError
from chicorystack.calls.run_records import (
    JournalState,
    RunUpdate,
    run_from_update,
    update_for_result,
)
from chicorystack.calls.run_table import (
    CachedAnswer,
    RunTable,
    compute_body_hash,
)
from chicorystack.errors import ApiError
from chicorystack.observe.decisions import decisions
from chicorystack.observe.logs import part_logger

log = part_logger("service-calls")


class Journal(Protocol):
    """Durable storage of intents, results and tombstones."""

    def ready(self) -> "defer.Deferred[None]":
        """Returns a Deferred that fires once this process owns the keys."""

    def append(self, update: RunUpdate) -> "defer.Deferred[None]":
        """Returns a Deferred that fires once the update is in effect.

        It fails with NotOwnerError if another process owns the keys.
        """


class ServiceCalls:
    """Calls of one plain service.

    Attributes:
        in_flight: Calls sent to the service that have not finished.
    """

    def __init__(
        self,
        clock,
        target: TargetClient,
        runs: RunTable,
        usage: AgentUsage,
        journal: Journal,
    ):
        self._clock = clock
        self._target = target
        self._runs = runs
        self._usage = usage
        self._journal = journal
        self.in_flight = 0

    async def serve_repeatable(
        self, request: server.Request, call: CallHeader
    ) -> None:
        """Runs an idempotent call."""
        self._usage.begin(call)
        self.in_flight += 1
        try:
            answer = await self._call_target(call, _read_body(request))
        finally:
            self.in_flight -= 1
        send_answer(request, call, answer, self.in_flight)

    async def serve_once(
        self, request: server.Request, call: CallHeader
    ) -> None:
        """Runs a call, or returns the answer of its earlier run.

        A call with `refuse` never starts a run. If its key is unknown, it
        records a tombstone, so that no later copy of the call runs.
        """
        deadline = self._clock.seconds() + call["timeout_ms"] / 1000
        await self._await_until(self._journal.ready(), deadline)
        body = _read_body(request)
        body_hash = compute_body_hash(call["operation"], body)
        if call.get("refuse"):
            decision = self._begin_tombstone(call, body_hash)
        elif self._begin_run(call, body_hash):
            decision = "run"
            # Detached: the run continues if the router or caller disconnects.
            defer.ensureDeferred(
                self._execute_once(call, body_hash, body, deadline)
            )
        else:
            decision = "not run again; kept answer"
        decisions.record(call["key"], "run-table", decision, call["use"])
        answer = await self._await_until(
            self._runs.wait_for_answer(call["key"]), deadline
        )
        send_answer(request, call, answer, self.in_flight)

    def restore_runs(self, state: JournalState) -> None:
        """Restores the runs of earlier owners from the journal's state."""
        now = self._clock.seconds()
        uncertain_s = state.uncertain_until - state.claimed_at
        if uncertain_s > 0:
            log.warning(
                "runs of the previous owner are uncertain for {} s", uncertain_s
            )
        self._runs.uncertain_until = now + uncertain_s
        for key, timed_update in state.update_by_key.items():
            age_s = state.claimed_at - timed_update.time
            expires_at = now + defaults.KEY_WINDOW_S - age_s
            self._runs.restore(
                key, run_from_update(timed_update.update, expires_at)
            )

    def _begin_run(self, call: CallHeader, body_hash: str) -> bool:
        """Records that a run has started; returns False if its key is known."""
        self._usage.check_not_closed(call)
        started = self._runs.begin(call, body_hash)
        if started:
            self._usage.begin(call)
        return started

    def _begin_tombstone(self, call: CallHeader, body_hash: str) -> str:
        if not self._runs.begin_refusal(call, body_hash):
            return "known; not refused"
        defer.ensureDeferred(self._record_tombstone(call["key"], body_hash))
        return "tombstone"

    async def _record_tombstone(self, key: str, body_hash: str) -> None:
        update = RunUpdate(key=key, body_hash=body_hash, state="not_run")
        try:
            await self._journal.append(update)
        except NotOwnerError as error:
            log.warning(
                "the tombstone of key {} was not recorded: {}", key, error
            )
            return
        self._runs.confirm_refusal(key)

    async def _await_until(self, waiter: defer.Deferred, deadline: float):
        left_s = max(0.0, deadline - self._clock.seconds())
        waiter.addTimeout(left_s, self._clock)
        try:
            return await waiter
        except defer.TimeoutError as error:
            raise ApiError(
                "deadline_exceeded",
                "the outcome was not known before the deadline",
                "unknown",
                defaults.RETRY_AFTER_MS,
            ) from error
        except NotOwnerError as error:
            raise ApiError(
                "outcome_unknown",
                str(error),
                "unknown",
                defaults.RETRY_AFTER_MS,
            ) from error

    async def _execute_once(
        self, call: CallHeader, body_hash: str, body: bytes, deadline: float
    ) -> None:
        self.in_flight += 1
        try:
            await self._execute_journaled(call, body_hash, body, deadline)
        finally:
            self.in_flight -= 1

    async def _execute_journaled(
        self, call: CallHeader, body_hash: str, body: bytes, deadline: float
    ) -> None:
        """Records the intent in the log, runs the call, records the result."""
        key = call["key"]
        intent = RunUpdate(key=key, body_hash=body_hash, state="running")
        try:
            await self._journal.append(intent)
        except NotOwnerError:
            self._usage.end(call, 0)
            self._runs.finish(key, None)
            return
        if self._clock.seconds() >= deadline:
            self._usage.end(call, 0)
            self._runs.cancel_unsent(key)
            await self._record_tombstone(key, body_hash)
            return
        answer = None
        try:
            answer = await self._call_target(call, body)
        except ApiError as error:
            log.warning("the outcome of key {} is unknown: {}", key, error)
        self._runs.finish(key, answer)
        appending = self._journal.append(
            update_for_result(key, body_hash, answer)
        )
        appending.addErrback(lambda failure: failure.trap(NotOwnerError))

    async def _call_target(self, call: CallHeader, body: bytes) -> CachedAnswer:
        used = 0
        try:
            status, answer = await self._target.call(
                call["operation"], body, call["key"]
            )
            used = call["cost_tokens"]
        except TargetFailedError as error:
            raise ApiError("target_failed", str(error)) from error
        finally:
            self._usage.end(call, used)
        return CachedAnswer(status, answer, call["cost_tokens"], call["use"])


def _read_body(request: server.Request) -> bytes:
    request.content.seek(0)
    return request.content.read()
