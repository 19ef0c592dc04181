"""Runs calls of a model engine and streams their answers."""

import msgspec
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

    def __init__(self, target: TargetClient):
        self._target = target
        self.in_flight = 0

    async def serve(self, request: server.Request, call: CallHeader) -> None:
        """Runs a generation and streams its answer with an end record."""
        body = read_body(request, GenerateBody)
        engine_request = EngineRequest(
            prompt=body["prompt"],
            max_tokens=call["max_tokens"],
            priority=call["priority"],
        )
        if "resume_tokens" in call:
            engine_request["resume_tokens"] = call["resume_tokens"]

        def start(reader: StreamReader) -> None:
            self._begin_answer(request, call)
            # A slow router slows the engine's stream down.
            request.registerProducer(reader.transport, True)
            gone = request.notifyFinish()
            gone.addErrback(lambda _: reader.transport.loseConnection())

        self.in_flight += 1
        try:
            usage = await self._target.generate(
                engine_request, start, request.write
            )
        except TargetFailedError as error:
            _break_off(request, error)
            return
        finally:
            self.in_flight -= 1
            if not request._disconnected:
                request.unregisterProducer()
        tokens = usage["prompt_tokens"] + usage["completion_tokens"]
        end = EndRecord(outcome="done", tokens=tokens + call["cost_tokens"])
        request.write(END_EVENT_PREFIX + encoder.encode(end) + EVENT_END)
        request.finish()

    def _begin_answer(self, request: server.Request, call: CallHeader) -> None:
        header = AnswerHeader(
            key=call["key"], use=call["use"], in_flight=self.in_flight
        )
        set_answer_header(request, header)
        request.setHeader(b"content-type", EVENT_STREAM.encode())


def _break_off(request: server.Request, error: TargetFailedError) -> None:
    """Ends an answer so that it can't be taken for a whole one."""
    if request.startedWriting:
        log.warning("answer broken off: {}", error)
        request.transport.abortConnection()
        return
    raise ApiError("target_failed", str(error)) from error
