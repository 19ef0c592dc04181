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
from chicorystack.calls.answer_cache import AnswerCache
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
from chicorystack.calls.run_table import CachedAnswer, compute_body_hash
from chicorystack.errors import ApiError
from chicorystack.observe.decisions import decisions
from chicorystack.observe.logs import part_logger
from chicorystack.web.server import read_body

log = part_logger("generations")
encoder = msgspec.json.Encoder()


class Generations:
    """Serves the generations of one engine.

    Attributes:
        in_flight: Generations sent to the engine that have not finished.
    """

    def __init__(
        self, target: TargetClient, usage: AgentUsage, cache: AnswerCache
    ):
        self._target = target
        self._usage = usage
        self._cache = cache
        self.in_flight = 0

    async def serve(self, request: server.Request, call: CallHeader) -> None:
        """Streams a cached or new answer, followed by its end record."""
        body = read_body(request, GenerateBody)
        body_hash = compute_body_hash(
            call["operation"], msgspec.json.encode(body)
        )
        answer = self._cache.find(call, body_hash)
        if answer is not None:
            decisions.record(
                call["key"], "kept", "not run again; kept answer", answer.use
            )
            self._begin_answer(request, call, answer.use)
            request.write(_remaining_events(answer.body, call))
            _send_end_record(request, answer.tokens)
            return
        chunks: list[bytes] = []
        # A resumed answer is incomplete here, so it is not cached.
        keep = call.get("keep_answer") and not call.get("resume_tokens")

        def forward(data: bytes) -> None:
            request.write(data)
            if keep:
                chunks.append(data)

        try:
            used = await self._generate(request, call, body, forward)
        except TargetFailedError as error:
            _abort_answer(request, error)
            return
        if keep:
            answer = CachedAnswer(200, b"".join(chunks), used, call["use"])
            self._cache.store(call, body_hash, answer)
        _send_end_record(request, used)

    async def _generate(
        self,
        request: server.Request,
        call: CallHeader,
        body: GenerateBody,
        forward: Callable[[bytes], None],
    ) -> int:
        """Runs a generation; returns the tokens used."""
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
            # Back-pressure: a slow router pauses the engine's stream.
            request.registerProducer(reader.transport, True)
            finished = request.notifyFinish()
            finished.addErrback(lambda _: reader.transport.loseConnection())

        self._usage.begin(call, request.transport.abortConnection)
        self.in_flight += 1
        used = 0
        try:
            usage = await self._target.generate(engine_request, start, forward)
            tokens = usage["prompt_tokens"] + usage["completion_tokens"]
            used = tokens + call["cost_tokens"]
        except (TargetFailedError, defer.CancelledError):
            used = _interrupted_usage(call, readers)
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


def _remaining_events(body: bytes, call: CallHeader) -> bytes:
    """Returns a cached answer without the events that the caller has."""
    seen_event_count = call.get("resume_tokens", 0)
    return body.split(EVENT_END, seen_event_count)[-1]


def _send_end_record(request: server.Request, tokens: int) -> None:
    """Ends an answer with the end record that marks it as complete."""
    end = EndRecord(outcome="done", tokens=tokens)
    request.write(END_EVENT_PREFIX + encoder.encode(end) + EVENT_END)
    request.finish()


def _interrupted_usage(call: CallHeader, readers: list[StreamReader]) -> int:
    """Returns the tokens used by an interrupted or cancelled generation.

    The engine reports its prompt tokens only at the end, so their upper bound
    from the reservation is used.
    """
    if not readers:
        return 0
    prompt_bound = call["reserved"] - call["cost_tokens"] - call["max_tokens"]
    return prompt_bound + readers[-1].event_count + call["cost_tokens"]


def _abort_answer(request: server.Request, error: TargetFailedError) -> None:
    """Ends an answer so that it can't be mistaken for a complete one."""
    if request.startedWriting:
        log.warning("answer interrupted: {}", error)
        # Flushes the pending events, but sends no terminating chunk.
        request.transport.loseConnection()
        return
    raise ApiError("target_failed", str(error)) from error
