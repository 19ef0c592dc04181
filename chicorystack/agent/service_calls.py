"""Runs calls of a plain service; those not repeatable at most once."""

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
    RunFold,
    RunNote,
    note_of_result,
    run_of_note,
)
from chicorystack.calls.run_table import KeptAnswer, RunTable, body_hash
from chicorystack.errors import ApiError
from chicorystack.observe.decisions import decisions
from chicorystack.observe.logs import part_logger

log = part_logger("service-calls")


class Journal(Protocol):
    """Where intents, results and tombstones outlive this process."""

    def ready(self) -> "defer.Deferred[None]":
        """Fires once this process owns the target's keys."""

    def note(self, note: RunNote) -> "defer.Deferred[None]":
        """Fires once the note counts; fails with NotOwnerError."""


class ServiceCalls:
    """Calls of one plain service.

    Attributes:
        in_flight: Calls given to the service and not finished.
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
        """Runs a call that may be repeated."""
        self._usage.begin(call)
        self.in_flight += 1
        try:
            answer = await self._run(call, _body(request))
        finally:
            self.in_flight -= 1
        send_answer(request, call, answer, self.in_flight)

    async def serve_once(
        self, request: server.Request, call: CallHeader
    ) -> None:
        """Runs a call, or gives the answer of its earlier run.

        A call with `refuse` never starts a run: where the key is unknown, it
        leaves a tombstone that keeps every later copy from running.
        """
        deadline = self._clock.seconds() + call["timeout_ms"] / 1000
        await self._in_time(self._journal.ready(), deadline)
        body = _body(request)
        content = body_hash(call["operation"], body)
        if call.get("refuse"):
            decision = self._refuse(call, content)
        elif self._begin(call, content):
            decision = "run"
            # Detached: the run goes on when the router or its caller goes.
            defer.ensureDeferred(
                self._execute_once(call, content, body, deadline)
            )
        else:
            decision = "not run again; kept answer"
        decisions.record(call["key"], "run-table", decision, call["use"])
        answer = await self._in_time(self._runs.answer(call["key"]), deadline)
        send_answer(request, call, answer, self.in_flight)

    def take_over(self, fold: RunFold) -> None:
        """Takes over what the log knows of earlier runs at this target."""
        now = self._clock.seconds()
        doubt_s = fold.doubt_until - fold.claimed_at
        if doubt_s > 0:
            log.warning("runs of the last owner are in doubt for {}s", doubt_s)
        self._runs.doubt_until = now + doubt_s
        for key, timed in fold.note_by_key.items():
            age_s = fold.claimed_at - timed.time
            forget_at = now + defaults.KEY_WINDOW_S - age_s
            self._runs.restore(key, run_of_note(timed.note, forget_at))

    def _begin(self, call: CallHeader, content: str) -> bool:
        """Marks a call and its use as started; False where it is known."""
        self._usage.check_open(call)
        started = self._runs.begin(call, content)
        if started:
            self._usage.begin(call)
        return started

    def _refuse(self, call: CallHeader, content: str) -> str:
        if not self._runs.refuse(call, content):
            return "known; not refused"
        defer.ensureDeferred(self._note_refusal(call["key"], content))
        return "tombstone"

    async def _note_refusal(self, key: str, content: str) -> None:
        note = RunNote(key=key, body_hash=content, state="not_run")
        try:
            await self._journal.note(note)
        except NotOwnerError as error:
            log.warning("the tombstone of {} does not count: {}", key, error)
            return
        self._runs.confirm_refusal(key)

    async def _in_time(self, waiter: defer.Deferred, deadline: float):
        left_s = max(0.0, deadline - self._clock.seconds())
        waiter.addTimeout(left_s, self._clock)
        try:
            return await waiter
        except defer.TimeoutError as error:
            raise ApiError(
                "deadline_exceeded",
                "the owner of the key does not know yet",
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
        self, call: CallHeader, content: str, body: bytes, deadline: float
    ) -> None:
        self.in_flight += 1
        try:
            await self._execute_noted(call, content, body, deadline)
        finally:
            self.in_flight -= 1

    async def _execute_noted(
        self, call: CallHeader, content: str, body: bytes, deadline: float
    ) -> None:
        """Runs a call between its two notes in the log."""
        key = call["key"]
        intent = RunNote(key=key, body_hash=content, state="running")
        try:
            await self._journal.note(intent)
        except NotOwnerError:
            self._usage.end(call, 0)
            self._runs.finish(key, None)
            return
        if self._clock.seconds() >= deadline:
            self._usage.end(call, 0)
            self._runs.withdraw(key)
            await self._note_refusal(key, content)
            return
        answer = None
        try:
            answer = await self._run(call, body)
        except ApiError as error:
            log.warning("outcome of key {} is unknown: {}", key, error)
        self._runs.finish(key, answer)
        noted = self._journal.note(note_of_result(key, content, answer))
        noted.addErrback(lambda failure: failure.trap(NotOwnerError))

    async def _run(self, call: CallHeader, body: bytes) -> KeptAnswer:
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
        return KeptAnswer(status, answer, call["cost_tokens"], call["use"])


def _body(request: server.Request) -> bytes:
    request.content.seek(0)
    return request.content.read()
