"""Callers of the soak on the platform, and what they check of each answer.

A caller keeps its connection to one router until it is closed. A stream that
breaks off is taken up again, at any router.
"""

import http.client
import json
import random
import threading
import time
from typing import NamedTuple

from bench.fleet import LOOPBACK
from bench.platform_fleet import STREAM_HOST, PlatformFleet
from chicorystack.platform.standin.engine import SIGNATURE, TOKENS_PER_EVENT

CALL_TIMEOUT_S = 6.0
PAUSE_S = (0.0, 0.05)
PROMPT_TOKENS = 20
EVENTS = 10
MAX_TAKE_UPS = 2
CRASHING_PART = "bad"
CRASHING_CALLS_PART = 0.02
STREAM_PATH = "/ask/1"
PATHS = (STREAM_PATH, STREAM_PATH, "/book/1", "/status/1")
KEYS = ("key-a", "key-a", "key-b")


class StreamEvent(NamedTuple):
    """One whole event of a stream.

    Attributes:
        id: Its ID.
        version: Version of the engine that made it.
    """

    id: int
    version: str


class Answer(NamedTuple):
    """One request and what its caller saw.

    Attributes:
        id: ID of the request.
        path: Its path.
        key: API key of its caller.
        status: HTTP status; 0 if the response was cut off or missing.
        problem: What is wrong with the answer; empty if nothing is.
        events: Events of a stream that arrived.
        resumes: ID of the request whose stream it takes up; empty for none.
    """

    id: str
    path: str
    key: str
    status: int
    problem: str
    events: tuple[StreamEvent, ...] = ()
    resumes: str = ""


class Caller(threading.Thread):
    """Sends requests to one router over connections that it keeps."""

    def __init__(
        self, fleet: PlatformFleet, number: int, seed: int, crashing: bool
    ):
        """Prepares a caller.

        Args:
            fleet: The routers.
            number: Number of the caller; selects its router.
            seed: Seed of its random choices.
            crashing: Whether some of its streams crash engines.
        """
        super().__init__(daemon=True)
        self._fleet = fleet
        self._number = number
        self._crashing = crashing
        self._random = random.Random(f"{seed}/{number}")
        routers = sorted(fleet.ports_by_router)
        self._router = routers[number % len(routers)]
        self._connection: http.client.HTTPConnection | None = None
        self.stopping = False
        self.answers: list[Answer] = []

    def run(self) -> None:
        """Sends requests until it is told to stop."""
        while not self.stopping:
            answer = self._call(f"c{self._number}-{len(self.answers)}")
            self.answers.append(answer)
            if answer.path == STREAM_PATH and answer.events:
                self._finish_stream(answer)
            time.sleep(self._random.uniform(*PAUSE_S))

    def _call(self, request_id: str) -> Answer:
        key = self._random.choice(KEYS)
        path = self._random.choice(PATHS)
        headers = _headers(request_id, key)
        if path == STREAM_PATH:
            headers |= stream_headers(self._prompt_parts(request_id))
        return self._send(Answer(request_id, path, key, 0, ""), headers)

    def _prompt_parts(self, request_id: str) -> str:
        crashes = self._crashing and self._random.random() < CRASHING_CALLS_PART
        topic = CRASHING_PART if crashes else "topic"
        return f"shared:9,{topic}:5,{request_id}:6"

    def _finish_stream(self, begun: Answer) -> None:
        """Takes a stream up again, a few times, until it is whole."""
        events = list(begun.events)
        for number in range(MAX_TAKE_UPS):
            if events[-1].id == EVENTS:
                return
            self._close()
            self._router = self._choose_router()
            request_id = f"{begun.id}-again-{number}"
            headers = _headers(request_id, begun.key)
            headers |= stream_headers(self._prompt_parts(request_id))
            headers |= {
                "Resumes": begun.id,
                "Last-Event-Id": str(events[-1].id),
            }
            blank = Answer(
                request_id, begun.path, begun.key, 0, "", (), begun.id
            )
            answer = self._send(blank, headers)
            events += answer.events
            problem = answer.problem or stream_problem(events)
            self.answers.append(answer._replace(problem=problem))

    def _choose_router(self) -> str:
        """Returns a router that runs, as the platform's balancer would."""
        routers = sorted(self._fleet.ports_by_router)
        running = [r for r in routers if self._fleet.is_running(r)]
        return self._random.choice(running or routers)

    def _send(self, blank: Answer, headers: dict[str, str]) -> Answer:
        """Sends a request; returns the answer with what arrived."""
        try:
            response, body = self._exchange(blank.path, headers)
        except (OSError, http.client.HTTPException) as error:
            self._close()
            events = _events(getattr(error, "partial", b""))
            problem = stream_problem(events, whole=False)
            return blank._replace(events=events, problem=problem)
        events = _events(body) if blank.path == STREAM_PATH else ()
        problem = ""
        if response.status == 200:
            problem = _problem(blank, response, body, events)
        return blank._replace(
            status=response.status, events=events, problem=problem
        )

    def _exchange(
        self, path: str, headers: dict[str, str]
    ) -> tuple[http.client.HTTPResponse, bytes]:
        if self._connection is None:
            port = self._fleet.ports_by_router[self._router].callers
            self._connection = http.client.HTTPConnection(
                LOOPBACK, port, timeout=CALL_TIMEOUT_S
            )
        method = "GET" if path.startswith("/status") else "POST"
        body = None if method == "GET" else json.dumps({"job": headers})
        self._connection.request(method, path, body, headers)
        response = self._connection.getresponse()
        whole = response.read()
        if response.will_close:
            self._close()
        return response, whole

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def stream_headers(parts: str) -> dict[str, str]:
    """Returns the headers of a request for a stream with these prompt parts."""
    output = EVENTS * TOKENS_PER_EVENT
    return {
        "X-Chicorystack-Token-Usage": f"{PROMPT_TOKENS},{output}",
        "X-Chicorystack-Prompt-Prefix": parts,
    }


def stream_problem(events: list[StreamEvent], whole: bool = False) -> str:
    """Returns what is wrong with the events of one stream."""
    ids = [event.id for event in events]
    first = ids[0] if ids else 1
    if ids != list(range(first, first + len(ids))):
        return f"the events are {ids}"
    if whole and ids[-1:] != [EVENTS]:
        return f"the stream ends after {ids[-1:]}"
    if len({event.version for event in events}) > 1:
        return f"the events are of several versions: {events}"
    return ""


def _headers(request_id: str, key: str) -> dict[str, str]:
    return {
        "Host": STREAM_HOST,
        "X-Chicorystack-Request-Attempt-Id": request_id,
        "X-Chicorystack-Deadline-Ms": "4000",
        "Authorization": f"Bearer {key}",
    }


def _events(body: bytes) -> tuple[StreamEvent, ...]:
    """Returns the whole events of a stream."""
    *events, _ = body.split(b"\n\n")
    return tuple(_event(event.decode()) for event in events)


def _event(text: str) -> StreamEvent:
    id_line, data_line = text.split("\n")
    version = data_line.split(" ")[-1]
    return StreamEvent(int(id_line.partition(":")[2]), version)


def _problem(
    request: Answer,
    response: http.client.HTTPResponse,
    body: bytes,
    events: tuple[StreamEvent, ...],
) -> str:
    """Returns what is wrong with a successful response."""
    found = response.headers["X-Chicorystack-Request-Attempt-Id"]
    if found != request.id:
        return f"the response is that of {found}"
    if response.headers["X-Chicorystack-Response-Seal"] != SIGNATURE.decode():
        return "the response is not signed"
    if request.path != STREAM_PATH:
        return "" if "engine" in json.loads(body) else "not an engine's body"
    if not request.resumes and events[:1] and events[0].id != 1:
        return f"the stream begins with event {events[0].id}"
    return stream_problem(list(events), whole=True)
