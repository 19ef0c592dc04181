"""Stand-in for a model engine: streams tokens and reports its load."""

import os
from collections.abc import Iterator
from typing import TypedDict

import msgspec
from twisted.internet import defer, task
from twisted.web import resource, server

from chicorystack.calls.messages import (
    EVENT_STREAM,
    Empty,
    EngineLoad,
    EngineRequest,
    EngineUsage,
)
from chicorystack.standin.slots import PrioritySlots
from chicorystack.util import stable_hash
from chicorystack.web.server import (
    JsonEndpoint,
    ResourceTree,
    allow_all,
    read_body,
    run_handler,
)

BYTES_PER_TOKEN = 4
# A prompt with this text crashes every engine that runs it.
CRASH_MARK = "CRASH-ENGINE"
CRASH_EXIT_CODE = 70
WORDS = ("panel", "zone", "loop", "detector", "reset", "silence", "check")
encoder = msgspec.json.Encoder()


class EngineCounts(TypedDict):
    """Counts of generations.

    Attributes:
        runs: Generations that completed.
        tokens: Prompt tokens and response tokens of completed generations.
        cancelled: Generations that were cancelled.
    """

    runs: int
    tokens: int
    cancelled: int


class EngineFaults(TypedDict):
    """Faults that a test injects.

    Attributes:
        slowdown: Factor by which all delays are multiplied.
        break_after: Number of the token after which streams are reset; 0 for
            never.
    """

    slowdown: float
    break_after: int


class Engine(resource.Resource):
    """Serves `/generate` with a number of slots and a priority queue."""

    isLeaf = True

    def __init__(
        self,
        clock,
        slots: int,
        first_token_s: float,
        gap_s: float,
        answer_tokens: int = 0,
    ):
        super().__init__()
        self._answer_tokens = answer_tokens
        self._clock = clock
        self._slots = PrioritySlots(slots)
        self._first_token_s = first_token_s
        self._gap_s = gap_s
        self._faults = EngineFaults(slowdown=1.0, break_after=0)
        self._counts = EngineCounts(runs=0, tokens=0, cancelled=0)
        self._load = EngineLoad(running=0, queued=0)

    def render_POST(self, request: server.Request) -> int:
        """Runs one generation."""
        return run_handler(request, self._generate(request))

    async def load(self, _message: Empty) -> EngineLoad:
        """Returns the current load."""
        return self._load

    async def counts(self, _message: Empty) -> EngineCounts:
        """Returns the counts of generations."""
        return self._counts

    async def set_faults(self, faults: EngineFaults) -> Empty:
        """Sets the faults to inject from now on."""
        self._faults = faults
        return Empty()

    async def _generate(self, request: server.Request) -> None:
        message = read_body(request, EngineRequest)
        self._load["queued"] += 1
        try:
            await self._slots.acquire(message["priority"])
        finally:
            self._load["queued"] -= 1
        self._load["running"] += 1
        try:
            await self._stream(request, message)
        except defer.CancelledError:
            self._counts["cancelled"] += 1
            raise
        finally:
            self._load["running"] -= 1
            self._slots.release()

    async def _stream(
        self, request: server.Request, message: EngineRequest
    ) -> None:
        request.setHeader(b"content-type", EVENT_STREAM.encode())
        due_at = await self._pause_after(
            self._clock.seconds(), self._first_token_s
        )
        if CRASH_MARK in message["prompt"]:
            os._exit(CRASH_EXIT_CODE)
        generated = message.get("resume_tokens", 0)
        for index, word in enumerate(
            generate_words(message, self._answer_tokens)
        ):
            if index < generated:
                continue
            request.write(b"data: " + encoder.encode({"text": word}) + b"\n\n")
            if index + 1 == self._faults["break_after"]:
                request.transport.abortConnection()
                return
            due_at = await self._pause_after(due_at, self._gap_s)
        usage = EngineUsage(
            done=True,
            prompt_tokens=count_prompt_tokens(message["prompt"]),
            completion_tokens=answer_length(message, self._answer_tokens),
        )
        request.write(b"data: " + encoder.encode(usage) + b"\n\n")
        request.finish()
        self._counts["runs"] += 1
        self._counts["tokens"] += (
            usage["prompt_tokens"] + usage["completion_tokens"]
        )

    async def _pause_after(self, due_at: float, seconds: float) -> float:
        """Pauses until `due_at` plus the time, multiplied by the slowdown.

        Returns the scheduled end of the pause. The next pause starts from it,
        so that delays of single tokens do not add up over a stream.
        """
        due_at += seconds * self._faults["slowdown"]
        delay = max(0.0, due_at - self._clock.seconds())
        await task.deferLater(self._clock, delay)
        return due_at


def count_prompt_tokens(prompt: str) -> int:
    """Returns the number of tokens of a prompt."""
    return -(-len(prompt.encode()) // BYTES_PER_TOKEN)


def answer_length(message: EngineRequest, fixed: int = 0) -> int:
    """Returns the response's length in tokens; the same for equal prompts."""
    length = fixed or 8 + stable_hash(message["prompt"]) % 56
    return min(length, message["max_tokens"])


def generate_words(message: EngineRequest, fixed: int = 0) -> Iterator[str]:
    """Yields the words of the response; the same for equal prompts."""
    seed = stable_hash(message["prompt"])
    for index in range(answer_length(message, fixed)):
        yield WORDS[(seed + index) % len(WORDS)] + " "


def engine_tree(engine: Engine) -> ResourceTree:
    """Returns the HTTP interface of the stand-in."""
    root = ResourceTree()
    root.put("generate", engine)
    endpoints = [
        ("load", Empty, engine.load),
        ("counts", Empty, engine.counts),
        ("faults", EngineFaults, engine.set_faults),
    ]
    for path, message_type, handler in endpoints:
        root.put(path, JsonEndpoint(message_type, handler, allow_all))
    return root
