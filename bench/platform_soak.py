"""`make platform-soak`: random faults on real routers on the platform.

Callers keep their connections until they are closed, while routers are killed,
stopped, frozen and restarted, engines of three versions fail, crash on a part
of prompts and come back, the store fails and the configuration changes. Faults
are drawn from one seed and overlap. Afterwards the audit compares what callers
and engines saw with what the platform promises, and one engine limits the rate
of calls.
"""

import json
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import fire

from bench.fleet import interrupts, wait_until
from bench.platform_callers import (
    CALL_TIMEOUT_S,
    CRASHING_PART,
    PROMPT_TOKENS,
    STREAM_PATH,
    Answer,
    Caller,
    stream_headers,
)
from bench.platform_fleet import (
    PlatformFleet,
    default_config,
    running_platform_fleet,
)
from chicorystack.platform.standin.engine import TOKENS_PER_EVENT

ROUTERS = 3
CALLERS_PER_ROUTER = 2
VERSIONS = ("v1", "v1.1", "v1.2")
STREAM_ENGINES = tuple(f"i-llm-{number}" for number in range(1, 7))
# They keep their counts for the audit, so they are never killed.
PLAIN_ENGINES = ("i-app-1", "i-app-2")
PREPAID_BY_KEY = {"key-a": 40_000, "key-b": 4_000, "key-last": 1_000_000}
FAULT_DURATION_S = (0.3, 2.5)
FAULT_GAP_S = (0.1, 0.8)
RECOVERY_S = 20.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A target's limit, and what it may get over it, by the users' pages.
LIMIT_PER_S = 2.0
LIMIT_GRACE_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK_CALLS = 5


class Soak:
    """Runs callers and faults on one fleet."""

    def __init__(self, fleet: PlatformFleet, seed: int, routers: int):
        self._fleet = fleet
        self._routers = [f"router-{n}" for n in range(1, routers + 1)]
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
            self._start_stream_engine(name)
        for name in PLAIN_ENGINES:
            self._fleet.start_engine(name, "app")
        for name in self._routers:
            self._fleet.start_router(name)
        self._fleet.publish(self._config())
        self._fleet.wait_until_ready()

    def _start_stream_engine(self, name: str) -> None:
        position = STREAM_ENGINES.index(name)
        self._fleet.start_engine(
            name,
            "llm",
            born=self._born_by_engine[name],
            version=VERSIONS[position % len(VERSIONS)],
        )
        self._fleet.set_engine_faults(name, crash_on_part=CRASHING_PART)

    def _config(self) -> dict:
        tenants = [
            {"Name": f"tenant-{key}", "ApiKeys": [key], "Prepaid": prepaid}
            for key, prepaid in PREPAID_BY_KEY.items()
        ]
        return default_config(self._version) | {"Tenants": tenants}

    def run(self, seconds: float) -> list[Answer]:
        """Injects faults under load; returns what the callers saw."""
        callers = self._start_callers(crashing=True)
        end_at = time.monotonic() + seconds
        while time.monotonic() < end_at:
            self._begin_fault()
            self._end_faults(time.monotonic())
            time.sleep(self._random.uniform(*FAULT_GAP_S))
        self._end_faults(float("inf"))
        return _stop_callers(callers)

    def _start_callers(self, crashing: bool) -> list[Caller]:
        count = CALLERS_PER_ROUTER * len(self._routers)
        callers = [
            Caller(self._fleet, number, self._seed, crashing)
            for number in range(count)
        ]
        for caller in callers:
            caller.start()
        return callers

    def run_limited(self) -> Iterator[str]:
        """Lets a plain engine limit the rate of calls, without other faults.

        Yields:
            Each promise that was broken.
        """
        name = PLAIN_ENGINES[0]
        self._fleet.set_engine_faults(name, limit=str(LIMIT_PER_S))
        callers = self._start_callers(crashing=False)
        time.sleep(LIMIT_GRACE_S)
        counted_from = time.time()
        time.sleep(2 * LIMIT_WINDOW_S)
        answers = _stop_callers(callers)
        arrivals = self._fleet.get_counts(name)["arrivals"]
        self._fleet.set_engine_faults(name)
        allowed = (
            LIMIT_FACTOR * LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_SLACK_CALLS
        )
        counted = [at for at in arrivals if at >= counted_from]
        for start in counted:
            count = sum(start <= at < start + LIMIT_WINDOW_S for at in counted)
            if count > allowed:
                yield f"{name}: {count} calls in a window, {allowed} allowed"
        for answer in answers:
            if answer.problem:
                yield f"{answer.id}: {answer.problem}"

    def _begin_fault(self) -> None:
        fault = self._random.choice(
            [
                "kill",
                "stop",
                "freeze",
                "engine",
                "engine",
                "store",
                "plain",
                "config",
            ]
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
        name = self._random.choice(self._routers)
        if self._fleet.is_running(name):
            self._fleet.signal(name, number)
            self._schedule_end(f"restart {name}")

    def _begin_freeze(self) -> None:
        name = self._random.choice(self._routers)
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
        """Kills an engine, or starts one again that is down."""
        name = self._random.choice(STREAM_ENGINES)
        if self._fleet.is_running(name):
            self._fleet.signal(name, signal.SIGKILL)
            self._schedule_end(f"engine {name}")
        else:
            self._end_engine(name)

    def _end_engine(self, name: str) -> None:
        if not self._fleet.is_running(name):
            self._born_by_engine[name] += 1
            self._start_stream_engine(name)

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
        for name in self._routers:
            self._fleet.signal(name, signal.SIGCONT)
        for name in STREAM_ENGINES:
            self._end_engine(name)
        for name in self._routers:
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
        if answer.path == STREAM_PATH and answer.events:
            output = len(answer.events) * TOKENS_PER_EVENT
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
    for router in fleet.ports_by_router:
        for number, path in enumerate(("/book/1", STREAM_PATH)):

            def is_served(router=router, path=path, number=number) -> bool:
                request_id = f"last-{router}-{number}-{time.monotonic()}"
                headers = stream_headers("shared:9,topic:5,last:6")
                reply = fleet.call(
                    router,
                    path,
                    request_id,
                    headers if path == STREAM_PATH else None,
                    key="key-last",
                )
                return reply.status == 200

            try:
                wait_until(f"{router} serves {path}", is_served, RECOVERY_S)
            except Exception as error:
                yield str(error)


def _stop_callers(callers: list[Caller]) -> list[Answer]:
    """Stops callers and returns what they saw."""
    for caller in callers:
        caller.stopping = True
    for caller in callers:
        caller.join(3 * CALL_TIMEOUT_S)
    return [answer for caller in callers for answer in caller.answers]


def _count_resumed(answers: list[Answer]) -> str:
    """Returns how many taken-up streams went on, and of how many."""
    resumed = [answer for answer in answers if answer.resumes]
    gone_on = sum(1 for answer in resumed if answer.events)
    return f"{gone_on} of {len(resumed)}"


def soak(seed: int = 1, seconds: float = 10.0, routers: int = ROUTERS) -> int:
    """Runs one seed; returns 0 if all promises were kept.

    Args:
        seed: Seed of all random choices.
        seconds: Time during which faults are injected.
        routers: Number of routers.
    """
    interrupts.install()
    directory = Path(tempfile.mkdtemp(prefix="chicory-soak-"))
    with running_platform_fleet(directory) as fleet:
        run = Soak(fleet, seed, routers)
        run.start()
        answers = run.run(seconds)
        run.revive()
        faults = [*find_faults(fleet, answers), *run.run_limited()]
    statuses = Counter(f"{a.path} {a.status}" for a in answers)
    for fault in faults[:20]:
        print(f"FAULT {fault}")
    summary = {
        "seed": seed,
        "answers": dict(sorted(statuses.items())),
        "resumed": _count_resumed(answers),
        "faults_injected": dict(run.faults),
        "broken_promises": len(faults),
    }
    print(json.dumps(summary), flush=True)
    if faults:
        print(
            f"reproduce with: python -m bench.platform_soak --seed={seed} "
            f"--seconds={seconds} --routers={routers}; logs: {directory}"
        )
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(fire.Fire(soak, serialize=lambda _result: None))
