"""Runs calls of a plain service; those not repeatable at most once."""

from twisted.internet import defer
from twisted.web import server

from chicorystack.agent.answers import send_answer
from chicorystack.agent.target_client import TargetClient, TargetFailedError
from chicorystack.agent.usage_table import AgentUsage
from chicorystack.calls.messages import CallHeader
from chicorystack.calls.run_table import KeptAnswer, RunTable, body_hash
from chicorystack.errors import ApiError
from chicorystack.observe.decisions import decisions
from chicorystack.observe.logs import part_logger

log = part_logger("service-calls")


class ServiceCalls:
    """Calls of one plain service.

    Attributes:
        in_flight: Calls given to the service and not finished.
    """

    def __init__(
        self, clock, target: TargetClient, runs: RunTable, usage: AgentUsage
    ):
        self._clock = clock
        self._target = target
        self._runs = runs
        self._usage = usage
        self.in_flight = 0

    async def serve_repeatable(
        self, request: server.Request, call: CallHeader
    ) -> None:
        """Runs a call that may be repeated."""
        self._usage.begin(call)
        answer = await self._run(call, _body(request))
        send_answer(request, call, answer, self.in_flight)

    async def serve_once(
        self, request: server.Request, call: CallHeader
    ) -> None:
        """Runs a call, or gives the answer of its earlier run.

        A call with `refuse` never starts a run: where the key is unknown, it
        leaves a tombstone that keeps every later copy from running.
        """
        body = _body(request)
        content = body_hash(call["operation"], body)
        if call.get("refuse"):
            refused = self._runs.refuse(call, content)
            begun = False
            decision = "tombstone" if refused else "known; not refused"
        else:
            begun = self._begin(call, content)
            decision = "run" if begun else "not run again; kept answer"
        decisions.record(call["key"], "run-table", decision, call["use"])
        if begun:
            # Detached: the run goes on when the router or its caller goes.
            defer.ensureDeferred(self._execute_once(call, body))
        answer = await self._answer_in_time(call)
        send_answer(request, call, answer, self.in_flight)

    def _begin(self, call: CallHeader, content: str) -> bool:
        """Marks a call and its use as started; False where it is known."""
        self._usage.begin(call)
        try:
            started = self._runs.begin(call, content)
        except ApiError:
            self._usage.end(call, 0)
            raise
        if not started:
            self._usage.end(call, 0)
        return started

    async def _answer_in_time(self, call: CallHeader) -> KeptAnswer:
        answering = self._runs.answer(call["key"])
        answering.addTimeout(call["timeout_ms"] / 1000, self._clock)
        try:
            return await answering
        except defer.TimeoutError as error:
            raise ApiError(
                "deadline_exceeded", "the call still runs", "unknown"
            ) from error

    async def _execute_once(self, call: CallHeader, body: bytes) -> None:
        answer = None
        try:
            answer = await self._run(call, body)
        except ApiError as error:
            log.warning("outcome of key {} is unknown: {}", call["key"], error)
        self._runs.finish(call["key"], answer)

    async def _run(self, call: CallHeader, body: bytes) -> KeptAnswer:
        self.in_flight += 1
        used = 0
        try:
            status, answer = await self._target.call(
                call["operation"], body, call["key"]
            )
            used = call["cost_tokens"]
        except TargetFailedError as error:
            raise ApiError("target_failed", str(error)) from error
        finally:
            self.in_flight -= 1
            self._usage.end(call, used)
        return KeptAnswer(status, answer, call["cost_tokens"], call["use"])


def _body(request: server.Request) -> bytes:
    request.content.seek(0)
    return request.content.read()
