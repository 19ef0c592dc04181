"""Runs calls of a model engine and streams their answers."""

from collections.abc import Callable

import msgspec
from twisted.internet import defer
from twisted.web import server

from chicorystack.agent.answers import set_answer_header
from chicorystack.agent.target_client import (
    StreamReader,
    TargetClient,
    TargetFailedError,
)
from chicorystack.agent.usage_table import AgentUsage
from chicorystack.calls.kept_streams import KeptStreams
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
from chicorystack.calls.run_table import KeptAnswer, body_hash
from chicorystack.errors import ApiError
from chicorystack.observe.decisions import decisions
from chicorystack.observe.logs import part_logger
from chicorystack.web.server import read_body

log = part_logger("generations")
encoder = msgspec.json.Encoder()


class Generations:
    """Generations of one engine.

    Attributes:
        in_flight: Generations given to the engine and not finished.
    """

    def __init__(
        self, target: TargetClient, usage: AgentUsage, kept: KeptStreams
    ):
        self._target = target
        self._usage = usage
        self._kept = kept
        self.in_flight = 0

    async def serve(self, request: server.Request, call: CallHeader) -> None:
        """Streams an answer with an end record, kept or newly generated."""
        body = read_body(request, GenerateBody)
        content = body_hash(call["operation"], msgspec.json.encode(body))
        answer = self._kept.find(call, content)
        if answer is not None:
            decisions.record(
                call["key"], "kept", "not run again; kept answer", answer.use
            )
            self._begin_answer(request, call, answer.use)
            request.write(_rest(answer.body, call))
            _finish(request, answer.tokens)
            return
        chunks: list[bytes] = []
        # The rest of an answer that another target began is not kept.
        keep = call.get("keep_answer") and not call.get("resume_tokens")

        def pass_on(data: bytes) -> None:
            request.write(data)
            if keep:
                chunks.append(data)

        try:
            used = await self._generate(request, call, body, pass_on)
        except TargetFailedError as error:
            _break_off(request, error)
            return
        if keep:
            answer = KeptAnswer(200, b"".join(chunks), used, call["use"])
            self._kept.keep(call, content, answer)
        _finish(request, used)

    async def _generate(
        self,
        request: server.Request,
        call: CallHeader,
        body: GenerateBody,
        pass_on: Callable[[bytes], None],
    ) -> int:
        """Runs a generation and returns the tokens that it used."""
        engine_request = EngineRequest(
            prompt=body["prompt"],
            max_tokens=call["max_tokens"],
            priority=call["priority"],
        )
        if "resume_tokens" in call:
            engine_request["resume_tokens"] = call["resume_tokens"]
        readers: list[StreamReader] = []

        def start(reader: StreamReader) -> None:
            self._begin_answer(request, call, call["use"])
            readers.append(reader)
            # A slow router slows the engine's stream down.
            request.registerProducer(reader.transport, True)
            gone = request.notifyFinish()
            gone.addErrback(lambda _: reader.transport.loseConnection())

        self._usage.begin(call, request.transport.abortConnection)
        self.in_flight += 1
        used = 0
        try:
            usage = await self._target.generate(engine_request, start, pass_on)
            tokens = usage["prompt_tokens"] + usage["completion_tokens"]
            used = tokens + call["cost_tokens"]
        except (TargetFailedError, defer.CancelledError):
            used = _used_until_cut(call, readers)
            raise
        finally:
            self.in_flight -= 1
            self._usage.end(call, used)
            if not request._disconnected:
                request.unregisterProducer()
        return used

    def _begin_answer(
        self, request: server.Request, call: CallHeader, use: str
    ) -> None:
        header = AnswerHeader(
            key=call["key"], use=use, in_flight=self.in_flight
        )
        set_answer_header(request, header)
        request.setHeader(b"content-type", EVENT_STREAM.encode())


def _rest(body: bytes, call: CallHeader) -> bytes:
    """Returns a kept answer without the events that the caller has."""
    begun = call.get("resume_tokens", 0)
    return body.split(EVENT_END, begun)[-1]


def _finish(request: server.Request, tokens: int) -> None:
    """Ends an answer with the record that tells it whole."""
    end = EndRecord(outcome="done", tokens=tokens)
    request.write(END_EVENT_PREFIX + encoder.encode(end) + EVENT_END)
    request.finish()


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
        # Without a last chunk, but with all events before.
        request.transport.loseConnection()
        return
    raise ApiError("target_failed", str(error)) from error
