"""Runs calls of a model engine and streams their answers."""

import msgspec
from twisted.internet import defer
from twisted.web import server

from chicorystack.agent.answers import set_answer_header
from chicorystack.agent.target_client import (
    StreamReader,
    TargetClient,
    TargetFailedError,
)
from chicorystack.calls.messages import (
    END_EVENT_PREFIX,
    EVENT_END,
    EVENT_STREAM,
    AnswerHeader,
    CallHeader,
    EndRecord,
    EngineRequest,
    GenerateBody,
)
from chicorystack.calls.usage_table import UsageTable
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
        readers: list[StreamReader] = []

        def start(reader: StreamReader) -> None:
            self._begin_answer(request, call)
            readers.append(reader)
            gone = request.notifyFinish()
            gone.addErrback(lambda _: reader.transport.abortConnection())

        self._usage.begin(call["use"], request.transport.abortConnection)
        self.in_flight += 1
        used = 0
        try:
            usage = await self._target.generate(
                engine_request, start, request.write
            )
            tokens = usage["prompt_tokens"] + usage["completion_tokens"]
            used = tokens + call["cost_tokens"]
        except TargetFailedError as error:
            used = _used_until_cut(call, readers)
            _break_off(request, error)
            return
        except defer.CancelledError:
            used = _used_until_cut(call, readers)
            raise
        finally:
            self.in_flight -= 1
            self._usage.end(call["use"], used)
        end = EndRecord(outcome="done", tokens=used)
        request.write(END_EVENT_PREFIX + encoder.encode(end) + EVENT_END)
        request.finish()

    def _begin_answer(self, request: server.Request, call: CallHeader) -> None:
        header = AnswerHeader(
            key=call["key"], use=call["use"], in_flight=self.in_flight
        )
        set_answer_header(request, header)
        request.setHeader(b"content-type", EVENT_STREAM.encode())


def _used_until_cut(call: CallHeader, readers: list[StreamReader]) -> int:
    """Returns what a generation used that broke off or was cancelled.

    The engine tells its prompt tokens only at the end; their upper bound,
    which the reservation holds, stands for them.
    """
    if not readers:
        return 0
    prompt_bound = call["reserved"] - call["cost_tokens"] - call["max_tokens"]
    return prompt_bound + readers[-1].events + call["cost_tokens"]


def _break_off(request: server.Request, error: TargetFailedError) -> None:
    """Ends an answer so that it can't be taken for a whole one."""
    if request.startedWriting:
        log.warning("answer broken off: {}", error)
        request.transport.abortConnection()
        return
    raise ApiError("target_failed", str(error)) from error
