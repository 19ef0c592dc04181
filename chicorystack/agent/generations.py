"""Runs calls of a model engine and streams their answers."""

import msgspec
from twisted.web import server

from chicorystack.agent.answers import set_answer_header
from chicorystack.agent.target_client import (
    StreamReader,
    TargetClient,
    TargetFailedError,
)
from chicorystack.agent.usage_table import UsageTable
from chicorystack.calls.messages import (
    END_EVENT_PREFIX,
    EVENT_END,
    EVENT_STREAM,
    AnswerHeader,
    CallHeader,
    EndRecord,
    EngineRequest,
    EngineUsage,
    GenerateBody,
)
from chicorystack.errors import ApiError
from chicorystack.observe.logs import part_logger
from chicorystack.web.server import read_body

log = part_logger("generations")
encoder = msgspec.json.Encoder()


class Generations:
    """Generations of one engine.

    Attributes:
        in_flight: Generations given to the engine and not finished.
    """

    def __init__(self, target: TargetClient, usage: UsageTable):
        self._target = target
        self._usage = usage
        self.in_flight = 0

    async def serve(self, request: server.Request, call: CallHeader) -> None:
        """Runs a generation and streams its answer with an end record."""
        body = read_body(request, GenerateBody)
        engine_request = EngineRequest(
            prompt=body["prompt"],
            max_tokens=call["max_tokens"],
            priority=call["priority"],
        )

        def start(reader: StreamReader) -> None:
            # Where the answer breaks off, the bound is what gets billed.
            run.tokens = call["reserved"]
            self._begin_answer(request, call)
            gone = request.notifyFinish()
            gone.addErrback(lambda _: reader.transport.abortConnection())

        self.in_flight += 1
        try:
            with self._usage.running(call) as run:
                usage = await self._target.generate(
                    engine_request, start, request.write
                )
                run.tokens = _tokens_of(usage) + call["cost_tokens"]
        except TargetFailedError as error:
            _break_off(request, error)
            return
        finally:
            self.in_flight -= 1
        end = EndRecord(outcome="done", tokens=run.tokens)
        request.write(END_EVENT_PREFIX + encoder.encode(end) + EVENT_END)
        request.finish()

    def _begin_answer(self, request: server.Request, call: CallHeader) -> None:
        header = AnswerHeader(
            key=call["key"], use=call["use"], in_flight=self.in_flight
        )
        set_answer_header(request, header)
        request.setHeader(b"content-type", EVENT_STREAM.encode())


def _tokens_of(usage: EngineUsage) -> int:
    return usage["prompt_tokens"] + usage["completion_tokens"]


def _break_off(request: server.Request, error: TargetFailedError) -> None:
    """Ends an answer so that it can't be taken for a whole one."""
    if request.startedWriting:
        log.warning("answer broken off: {}", error)
        request.transport.abortConnection()
        return
    raise ApiError("target_failed", str(error)) from error
