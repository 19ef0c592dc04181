"""Runs calls of a plain service; those not repeatable at most once."""

from twisted.internet import defer
from twisted.web import server

from chicorystack.agent.answers import send_answer
from chicorystack.agent.target_client import TargetClient, TargetFailedError
from chicorystack.agent.usage_table import UsageTable
from chicorystack.calls.messages import CallHeader
from chicorystack.calls.run_table import KeptAnswer, RunTable
from chicorystack.errors import ApiError
from chicorystack.observe.decisions import decisions
from chicorystack.observe.logs import part_logger

log = part_logger("service-calls")


class ServiceCalls:
    """Calls of one plain service.

    Attributes:
        in_flight: Calls given to the service and not finished.
    """

    def __init__(self, target: TargetClient, runs: RunTable, usage: UsageTable):
        self._target = target
        self._usage = usage
        self._runs = runs
        self.in_flight = 0

    async def serve_repeatable(
        self, request: server.Request, call: CallHeader
    ) -> None:
        """Runs a call that may be repeated."""
        answer = await self._run(request, call)
        send_answer(request, call, answer, self.in_flight)

    async def serve_once(
        self, request: server.Request, call: CallHeader
    ) -> None:
        """Runs a call, or gives the answer of its earlier run."""
        begun = self._runs.begin(call)
        decision = "run" if begun else "not run again; kept answer"
        decisions.record(call["key"], "run-table", decision, call["use"])
        if begun:
            # Detached: the run goes on when the router or its caller goes.
            defer.ensureDeferred(self._execute_once(request, call))
        answer = await self._runs.answer(call)
        send_answer(request, call, answer, self.in_flight)

    async def _execute_once(
        self, request: server.Request, call: CallHeader
    ) -> None:
        try:
            answer = await self._run(request, call)
        except ApiError as error:
            log.warning("outcome of key {} is unknown: {}", call["key"], error)
            unknown = ApiError("outcome_unknown", str(error), "unknown")
            self._runs.finish(call, unknown)
            return
        self._runs.finish(call, answer)

    async def _run(
        self, request: server.Request, call: CallHeader
    ) -> KeptAnswer:
        request.content.seek(0)
        self.in_flight += 1
        try:
            with self._usage.running(call) as run:
                status, body = await self._target.call(
                    call["operation"], request.content.read(), call["key"]
                )
                run.tokens = call["cost_tokens"]
        except TargetFailedError as error:
            raise ApiError("target_failed", str(error)) from error
        finally:
            self.in_flight -= 1
        return KeptAnswer(status, body, call["cost_tokens"], call["use"])
