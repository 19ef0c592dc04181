"""`make platform-soak`: random faults on real routers on the platform.

Callers keep their connections until they are closed, while routers are killed,
stopped, frozen and restarted, engines fail, crash on a part of prompts and come
back, the store fails and the configuration changes. Faults are drawn from one
seed and overlap. Afterwards the audit compares what callers and engines saw
with what the platform promises.
"""

import http.client
import json
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import fire

from bench.fleet import LOOPBACK, interrupts, wait_until
from bench.platform_fleet import (
    STREAM_HOST,
    PlatformFleet,
    default_config,
    running_platform_fleet,
)
from chicorystack.platform.standin.engine import SIGNATURE, TOKENS_PER_EVENT

ROUTERS = ("router-1", "router-2", "router-3")
STREAM_ENGINES = ("i-llm-1", "i-llm-2", "i-llm-3", "i-llm-4")
# They keep their counts for the audit, so they are never killed.
PLAIN_ENGINES = ("i-app-1", "i-app-2")
CALLERS = 6
CALL_TIMEOUT_S = 6.0
PAUSE_S = (0.0, 0.05)
PROMPT_TOKENS = 20
EVENTS = 10
PREPAID_BY_KEY = {"key-a": 40_000, "key-b": 4_000, "key-last": 1_000_000}
FAULT_DURATION_S = (0.3, 2.5)
FAULT_GAP_S = (0.1, 0.8)
CRASHING_PART = "bad"
CRASHING_CALLS_PART = 0.02
RECOVERY_S = 20.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Answer(NamedTuple):
    """One request and what its caller saw.

    Attributes:
        id: ID of the request.
        path: Its path.
        key: API key of its caller.
        status: HTTP status; 0 if the response was cut off or missing.
        problem: What is wrong with a success; empty if nothing is.
        events: Events of a stream that arrived.
    """

    id: str
    path: str
    key: str
    status: int
    problem: str
    events: int


class Caller(threading.Thread):
    """Sends requests to one router over connections that it keeps."""

    def __init__(self, fleet: PlatformFleet, number: int, seed: int):
        super().__init__(daemon=True)
        self._fleet = fleet
        self._number = number
        self._random = random.Random(f"{seed}/{number}")
        self._connection: http.client.HTTPConnection | None = None
        self.stopping = False
        self.answers: list[Answer] = []

    def run(self) -> None:
        """Sends requests until it is told to stop."""
        while not self.stopping:
            self.answers.append(self._call(len(self.answers)))
            time.sleep(self._random.uniform(*PAUSE_S))

    def _call(self, count: int) -> Answer:
        request_id = f"c{self._number}-{count}"
        key = self._random.choice(["key-a", "key-a", "key-b"])
        path = self._random.choice(["/ask/1", "/ask/1", "/book/1", "/status/1"])
        headers = _headers(request_id, key)
        if path == "/ask/1":
            crashing = self._random.random() < CRASHING_CALLS_PART
            topic = CRASHING_PART if crashing else "topic"
            headers |= _stream_headers(f"shared:9,{topic}:5,{request_id}:6")
        try:
            response, body = self._exchange(path, headers)
        except (OSError, http.client.HTTPException) as error:
            self._close()
            partial = getattr(error, "partial", b"")
            events = _event_ids(partial)
            return Answer(request_id, path, key, 0, "", len(events))
        problem = _problem(request_id, path, response, body)
        events = len(_event_ids(body)) if path == "/ask/1" else 0
        return Answer(request_id, path, key, response.status, problem, events)

    def _exchange(
        self, path: str, headers: dict[str, str]
    ) -> tuple[http.client.HTTPResponse, bytes]:
        if self._connection is None:
            router = ROUTERS[self._number % len(ROUTERS)]
            port = self._fleet.ports_by_router[router].callers
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


def _headers(request_id: str, key: str) -> dict[str, str]:
    return {
        "Host": STREAM_HOST,
        "X-Chicorystack-Request-Attempt-Id": request_id,
        "X-Chicorystack-Deadline-Ms": "4000",
        "Authorization": f"Bearer {key}",
    }


def _stream_headers(parts: str) -> dict[str, str]:
    output = EVENTS * TOKENS_PER_EVENT
    return {
        "X-Chicorystack-Token-Usage": f"{PROMPT_TOKENS},{output}",
        "X-Chicorystack-Prompt-Prefix": parts,
    }


def _event_ids(body: bytes) -> list[int]:
    """Returns the IDs of the whole events of a stream."""
    *events, _ = body.split(b"\n\n")
    return [int(event.split(b"\n")[0].partition(b":")[2]) for event in events]


def _problem(
    request_id: str, path: str, response: http.client.HTTPResponse, body: bytes
) -> str:
    """Returns what is wrong with a successful response."""
    if response.status != 200:
        return ""
    found = response.headers["X-Chicorystack-Request-Attempt-Id"]
    if found != request_id:
        return f"the response is that of {found}"
    if response.headers["X-Chicorystack-Response-Seal"] != SIGNATURE.decode():
        return "the response is not signed"
    if path == "/ask/1" and _event_ids(body) != list(range(1, EVENTS + 1)):
        return f"the events are {_event_ids(body)}"
    if path != "/ask/1" and "engine" not in json.loads(body):
        return "the body is not an engine's"
    return ""


class Soak:
    """Runs callers and faults on one fleet."""

    def __init__(self, fleet: PlatformFleet, seed: int):
        self._fleet = fleet
        self._random = random.Random(seed)
        self._seed = seed
        self._version = 1
        self._born_by_engine = dict.fromkeys(STREAM_ENGINES, 1)
        # Faults that have begun, with the time and the step that ends each.
        self._ends: list[tuple[float, str]] = []
        self.faults: Counter[str] = Counter()

    def start(self) -> None:
        """Starts all processes and waits until the routers are ready."""
        for name in STREAM_ENGINES:
            self._fleet.start_engine(name, "llm")
            self._fleet.set_engine_faults(name, crash_on_part=CRASHING_PART)
        for name in PLAIN_ENGINES:
            self._fleet.start_engine(name, "app")
        for name in ROUTERS:
            self._fleet.start_router(name)
        self._fleet.publish(self._config())
        self._fleet.wait_until_ready()

    def _config(self) -> dict:
        tenants = [
            {"Name": f"tenant-{key}", "ApiKeys": [key], "Prepaid": prepaid}
            for key, prepaid in PREPAID_BY_KEY.items()
        ]
        return default_config(self._version) | {"Tenants": tenants}

    def run(self, seconds: float) -> list[Answer]:
        """Injects faults under load; returns what the callers saw."""
        callers = [Caller(self._fleet, n, self._seed) for n in range(CALLERS)]
        for caller in callers:
            caller.start()
        end_at = time.monotonic() + seconds
        while time.monotonic() < end_at:
            self._begin_fault()
            self._end_faults(time.monotonic())
            time.sleep(self._random.uniform(*FAULT_GAP_S))
        self._end_faults(float("inf"))
        for caller in callers:
            caller.stopping = True
        for caller in callers:
            caller.join(3 * CALL_TIMEOUT_S)
        return [answer for caller in callers for answer in caller.answers]

    def _begin_fault(self) -> None:
        fault = self._random.choice(
            ["kill", "stop", "freeze", "engine", "store", "plain", "config"]
        )
        self.faults[fault] += 1
        getattr(self, f"_begin_{fault}")()

    def _schedule_end(self, step: str) -> None:
        duration_s = self._random.uniform(*FAULT_DURATION_S)
        self._ends.append((time.monotonic() + duration_s, step))

    def _end_faults(self, now: float) -> None:
        due = [step for at, step in self._ends if at <= now]
        self._ends = [end for end in self._ends if end[0] > now]
        for step in due:
            action, _, name = step.partition(" ")
            getattr(self, f"_end_{action}")(name)

    def _begin_kill(self) -> None:
        self._signal_router(signal.SIGKILL)

    def _begin_stop(self) -> None:
        self._signal_router(signal.SIGTERM)

    def _signal_router(self, number: int) -> None:
        name = self._random.choice(ROUTERS)
        if self._fleet.is_running(name):
            self._fleet.signal(name, number)
            self._schedule_end(f"restart {name}")

    def _begin_freeze(self) -> None:
        name = self._random.choice(ROUTERS)
        if self._fleet.is_running(name):
            self._fleet.signal(name, signal.SIGSTOP)
            self._schedule_end(f"wake {name}")

    def _end_wake(self, name: str) -> None:
        if self._fleet.is_running(name):
            self._fleet.signal(name, signal.SIGCONT)

    def _end_restart(self, name: str) -> None:
        """Starts a router again, on its ports, if it has exited by now.

        Otherwise `revive` does so.
        """
        process = self._fleet.process_by_name[name]
        if process.poll() is not None:
            self._fleet.restart_router(name)

    def _begin_engine(self) -> None:
        name = self._random.choice(STREAM_ENGINES)
        if self._fleet.is_running(name):
            self._fleet.signal(name, signal.SIGKILL)

    def _begin_plain(self) -> None:
        fault = self._random.choice(["lose", "fail", "unframed", "shed"])
        name = self._random.choice(PLAIN_ENGINES)
        self._fleet.set_engine_faults(name, **{fault: True})
        self._schedule_end(f"heal {name}")

    def _end_heal(self, name: str) -> None:
        self._fleet.set_engine_faults(name)

    def _begin_store(self) -> None:
        kinds = ["none", "refuse", "silent", "lost"]
        self._fleet.set_store_faults(
            reads=self._random.choice(kinds[:3]),
            appends=self._random.choice(kinds),
        )
        self._schedule_end("store")

    def _end_store(self, _name: str) -> None:
        self._fleet.set_store_faults()

    def _begin_config(self) -> None:
        self._version += self._random.randint(1, 3)
        self._fleet.publish(self._config())

    def revive(self) -> None:
        """Starts everything that is down again; waits until it is ready."""
        self._fleet.set_store_faults()
        for name in PLAIN_ENGINES:
            self._fleet.set_engine_faults(name)
        for name in ROUTERS:
            self._fleet.signal(name, signal.SIGCONT)
        for name in STREAM_ENGINES:
            if not self._fleet.is_running(name):
                self._born_by_engine[name] += 1
                born = self._born_by_engine[name]
                self._fleet.start_engine(name, "llm", born=born)
        for name in ROUTERS:
            # One that is stopping still exits.
            self._wait_for_exit_or_readiness(name)
        self._fleet.wait_until_ready()

    def _wait_for_exit_or_readiness(self, name: str) -> None:
        wait_until(
            f"{name} is ready or gone",
            lambda: (
                not self._fleet.is_running(name) or self._fleet.is_ready(name)
            ),
            RECOVERY_S,
        )
        if not self._fleet.is_running(name):
            self._fleet.restart_router(name)


def find_faults(fleet: PlatformFleet, answers: list[Answer]) -> Iterator[str]:
    """Yields each promise that was broken."""
    runs: Counter[str] = Counter()
    for name in PLAIN_ENGINES:
        runs.update(fleet.get_counts(name)["runs_by_id"])
    used: Counter[str] = Counter()
    for answer in answers:
        if answer.problem:
            yield f"{answer.id}: {answer.problem}"
        if answer.path == "/ask/1" and answer.events:
            output = answer.events * TOKENS_PER_EVENT
            used[answer.key] += PROMPT_TOKENS + output
        if answer.path != "/book/1":
            continue
        count = runs[answer.id]
        if count > 1:
            yield f"{answer.id}: run {count} times"
        if answer.status in NOT_RUN_STATUSES and count:
            yield f"{answer.id}: refused with {answer.status}, but run"
        if answer.status == 200 and not count:
            yield f"{answer.id}: answered, but not run"
    for key, tokens in used.items():
        if tokens > PREPAID_BY_KEY[key]:
            yield f"{key}: used {tokens} of {PREPAID_BY_KEY[key]} tokens"
    yield from _find_unserved(fleet)


def _find_unserved(fleet: PlatformFleet) -> Iterator[str]:
    """Yields the routers that do not serve again after all faults."""
    for router in ROUTERS:
        for number, path in enumerate(("/book/1", "/ask/1")):

            def is_served(router=router, path=path, number=number) -> bool:
                request_id = f"last-{router}-{number}-{time.monotonic()}"
                headers = _stream_headers("shared:9,topic:5,last:6")
                reply = fleet.call(
                    router,
                    path,
                    request_id,
                    headers if path == "/ask/1" else None,
                    key="key-last",
                )
                return reply.status == 200

            try:
                wait_until(f"{router} serves {path}", is_served, RECOVERY_S)
            except Exception as error:
                yield str(error)


def soak(seed: int = 1, seconds: float = 10.0) -> int:
    """Runs one seed; returns 0 if all promises were kept.

    Args:
        seed: Seed of all random choices.
        seconds: Time during which faults are injected.
    """
    interrupts.install()
    directory = Path(tempfile.mkdtemp(prefix="chicory-soak-"))
    with running_platform_fleet(directory) as fleet:
        run = Soak(fleet, seed)
        run.start()
        answers = run.run(seconds)
        run.revive()
        faults = list(find_faults(fleet, answers))
    statuses = Counter(f"{a.path} {a.status}" for a in answers)
    for fault in faults[:20]:
        print(f"FAULT {fault}")
    summary = {
        "seed": seed,
        "answers": dict(sorted(statuses.items())),
        "faults_injected": dict(run.faults),
        "broken_promises": len(faults),
    }
    print(json.dumps(summary), flush=True)
    if faults:
        print(
            f"reproduce with: python -m bench.platform_soak --seed={seed} "
            f"--seconds={seconds}; logs: {directory}"
        )
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(fire.Fire(soak, serialize=lambda _result: None))
