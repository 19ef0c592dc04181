"""`make chaos`: random faults on a real fleet under load, then an audit.

Callers call through both routers and retry a failed call with the same
idempotency key, as real callers do. Meanwhile processes are killed, frozen and
restarted, data centres are cut off from each other and the log service fails,
all drawn from one seed. After the faults have ended, the audit checks that the
responses to the callers, the calls executed by the stand-ins and the bills in
the log agree.
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
import msgspec

from bench.fleet import (
    Fleet,
    FleetError,
    Reply,
    interrupts,
    running_fleet,
    send,
    wait_until,
)
from chicorystack.budget.keeper.ledger import ShardLedger
from chicorystack.budget.keeper.messages import Usage, shard_stream
from chicorystack.calls.messages import EngineRequest
from chicorystack.infrastructure.messages import LogEntry, ReadPage
from chicorystack.standin.engine import generate_words
from chicorystack.util import key_hash

EXAMPLE = Path(__file__).parent.parent / "examples" / "brandvagt.yaml"
SITE = "dk-east"
DATA_CENTRES = ("dk-east-1", "dk-east-2")
ENGINES = ("fault-model-1", "fault-model-2")
SERVICES = ("booking-1", "booking-2", "booking-3")
CUSTOMERS = ("alpha", "beta", "gamma")
# The budget of the last customer covers only a part of its calls.
BUDGET_BY_CUSTOMER = {"alpha": 200_000, "beta": 200_000, "gamma": 2_000}
CALLERS = 6
MAX_ATTEMPTS = 4
CALL_TIMEOUT_S = 8.0
FAULT_DURATION_S = (0.5, 3.0)
PAUSE_S = (0.2, 1.0)
SETTLE_S = 20.0
OPERATIONS = ("summary", "book", "status")


class Call(NamedTuple):
    """One call from the caller's point of view.

    Attributes:
        customer: Customer that made the call.
        key: Idempotency key of the call.
        operation: Operation that was called.
        outcome: `done`, the outcome in the last error response, or `lost` if
            the last attempt had no complete response.
        valid: Whether a successful response is the expected one; True without
            such a response.
        refused: Whether the last error response says that the budget is
            exhausted.
    """

    customer: str
    key: str
    operation: str
    outcome: str
    valid: bool
    refused: bool


class Caller(threading.Thread):
    """Makes one call after another until the run sets `stopped`."""

    def __init__(self, number: int, seed: int, run: "ChaosRun"):
        super().__init__(daemon=True)
        self._number = number
        self._random = random.Random(seed * 1000 + number)
        self._chaos = run
        self.calls: list[Call] = []

    def run(self) -> None:
        """Makes random calls and stores their outcomes."""
        while not self._chaos.stopped.is_set():
            customer = self._random.choice(CUSTOMERS)
            operation = self._random.choice(OPERATIONS)
            key = f"{operation}-{self._number}-{len(self.calls)}"
            self.calls.append(self._call(customer, operation, key))

    def _call(self, customer: str, operation: str, key: str) -> Call:
        outcome, valid, refused = "lost", True, False
        for _ in range(MAX_ATTEMPTS):
            reply = self._send(customer, operation, key)
            if reply is None or is_stream_cut(reply):
                outcome = "lost"
            elif reply.status == 200:
                return Call(
                    customer, key, operation, "done",
                    is_expected_response(reply, operation, key), False,
                )  # fmt: skip
            else:
                error = reply.json()["error"]
                outcome = error.get("outcome", "rejected")
                refused = error["code"] == "budget_exhausted"
                if outcome == "not_run" or refused:
                    break
            time.sleep(self._random.uniform(0.0, 0.2))
        return Call(customer, key, operation, outcome, valid, refused)

    def _send(self, customer: str, operation: str, key: str) -> Reply | None:
        router = self._random.choice(list(self._chaos.fleet.router_by_name))
        port = self._chaos.fleet.router_by_name[router].port
        headers = {
            "Authorization": f"Bearer {self._chaos.key_by_customer[customer]}",
            "Idempotency-Key": key,
        }
        path, message = request_for(operation, key)
        try:
            return send(port, "POST", path, message, headers, CALL_TIMEOUT_S)
        except (OSError, http.client.HTTPException):
            return None


def request_for(operation: str, key: str) -> tuple[str, dict[str, object]]:
    """Returns the URL path and the body of a call."""
    if operation == "summary":
        message = {"prompt": f"panel {key}", "max_tokens": 30}
        return "/v1/services/fault-model/summary", message
    return f"/v1/services/booking/{operation}", {"job": key}


def is_stream_cut(reply: Reply) -> bool:
    """Returns whether a response is a stream without its end event."""
    streamed = reply.headers.get("content-type") == "text/event-stream"
    return streamed and b"event: end\n" not in reply.body


def is_expected_response(reply: Reply, operation: str, key: str) -> bool:
    """Returns whether a response is complete and belongs to the call."""
    if operation != "summary":
        return reply.json()["echo"] == {"job": key}
    _, message = request_for(operation, key)
    request = EngineRequest(
        prompt=message["prompt"],
        max_tokens=message["max_tokens"],
        priority="high",
    )
    return stream_text(reply.body) == "".join(generate_words(request))


def stream_text(body: bytes) -> str:
    """Returns the text of a stream's events."""
    prefix = 'data: {"text"'
    lines = body.decode().splitlines()
    texts = [line for line in lines if line.startswith(prefix)]
    return "".join(json.loads(line[6:])["text"] for line in texts)


class ChaosRun:
    """One run: a fleet, its callers and the injected faults.

    Attributes:
        fleet: The fleet.
        key_by_customer: Secret keys of the customers.
        stopped: Event that stops the callers.
        fault_counts: Number of injected faults by kind.
    """

    def __init__(self, fleet: Fleet, seed: int):
        self.fleet = fleet
        self.key_by_customer: dict[str, str] = {}
        self.stopped = threading.Event()
        self.fault_counts: Counter[str] = Counter()
        self._seed = seed
        self._random = random.Random(seed)
        self._inject_by_kind = {
            "kill_router": self._kill_router,
            "freeze_router": self._freeze_router,
            "freeze_agent": self._freeze_agent,
            "kill_agent": self._kill_agent,
            "cut_data_centres": self._cut_data_centres,
            "log_down": self._log_down,
            "log_loses_answers": self._log_loses_answers,
            "top_up": self._top_up,
        }

    def start(self) -> None:
        """Starts the fleet and creates customers."""
        fleet = self.fleet
        fleet.start_platform()
        fleet.start_proxy()
        services = fleet.config.site_by_name[SITE].service_by_name
        for number, data_centre in enumerate(DATA_CENTRES, 1):
            fleet.start_router(f"router-{number}", SITE, data_centre)
        for name in ENGINES + SERVICES:
            service = services[name.rpartition("-")[0]]
            fleet.start_target(service, name)
        fleet.ctl("publish", str(fleet.config_path))
        fleet.wait_until_ready()
        for customer, tokens in BUDGET_BY_CUSTOMER.items():
            key = fleet.ctl("create_customer", customer)["key"]
            self.key_by_customer[customer] = key
            fleet.ctl("top_up", customer, str(tokens))

    def load(self, seconds: float, kinds: tuple[str, ...]) -> list[Call]:
        """Runs the callers and injects faults.

        Args:
            seconds: Time during which faults are injected.
            kinds: Kinds of faults to draw from; all if empty.

        Returns:
            All calls of all callers.
        """
        callers = [
            Caller(number, self._seed, self) for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            kind = self._random.choice(kinds or tuple(self._inject_by_kind))
            self.fault_counts[kind] += 1
            self._inject_by_kind[kind]()
            time.sleep(self._random.uniform(*PAUSE_S))
        self.stopped.set()
        for caller in callers:
            caller.join()
        return [call for caller in callers for call in caller.calls]

    def _wait_during_fault(self) -> None:
        time.sleep(self._random.uniform(*FAULT_DURATION_S))

    def _kill_router(self) -> None:
        """Kills a router and starts a new VM of the same name later."""
        name = self._random.choice(list(self.fleet.router_by_name))
        data_centre = self.fleet.data_centre_by_name[name]
        self.fleet.kill(name)
        self.fleet.remove_vm(name)
        self._wait_during_fault()
        router = self.fleet.start_router(name, SITE, data_centre)
        self._wait_for_port(router.control_port)

    def _kill_agent(self) -> None:
        name = self._random.choice(ENGINES + SERVICES)
        self.fleet.kill(name)
        self._wait_during_fault()
        target = self.fleet.target_by_name[name]
        services = self.fleet.config.site_by_name[SITE].service_by_name
        self.fleet.start_agent(services[target.service], target)

    def _freeze_router(self) -> None:
        self._freeze(self._random.choice(list(self.fleet.router_by_name)))

    def _freeze_agent(self) -> None:
        self._freeze(self._random.choice(ENGINES + SERVICES))

    def _freeze(self, name: str) -> None:
        self.fleet.signal(name, signal.SIGSTOP)
        self._wait_during_fault()
        self.fleet.signal(name, signal.SIGCONT)

    def _cut_data_centres(self) -> None:
        self.fleet.cut_data_centres(*DATA_CENTRES, "both")
        self._wait_during_fault()
        self.fleet.cut_data_centres(*DATA_CENTRES, "none")

    def _log_down(self) -> None:
        self._set_log_faults(down=True)
        self._wait_during_fault()
        self._set_log_faults()

    def _log_loses_answers(self) -> None:
        self._set_log_faults(lose_answers=3)
        self._wait_during_fault()

    def _set_log_faults(self, **faults: object) -> None:
        message = {"down": False, "delay_s": 0.0, "lose_answers": 0}
        port = self.fleet.ports["log"]
        send(port, "POST", "/faults", message | faults)

    def _top_up(self) -> None:
        self.fleet.ctl("top_up", "gamma", "500")

    def _wait_for_port(self, port: int) -> None:
        self.fleet.wait_for_response(port, "/healthz")


class Audit:
    """Compares the calls, the stand-ins' counters and the log after a run."""

    def __init__(self, fleet: Fleet, calls: list[Call]):
        self._fleet = fleet
        self._calls = calls

    def disagreements(self) -> Iterator[str]:
        """Yields a description of each disagreement."""
        yield from self._response_disagreements()
        yield from self._execution_disagreements()
        yield from self._billing_disagreements()

    def _response_disagreements(self) -> Iterator[str]:
        for call in self._calls:
            if not call.valid:
                yield f"{call.key} of {call.customer}: unexpected response body"

    def _execution_disagreements(self) -> Iterator[str]:
        """Compares bookings with the executions that the services counted."""
        runs: Counter[str] = Counter()
        for name in SERVICES:
            port = self._fleet.target_by_name[name].port
            runs.update(send(port, "GET", "/counts").json()["runs_by_key"])
        for call in self._calls:
            if call.operation != "book":
                continue
            count = runs[key_hash(call.customer, call.key)]
            if count > 1:
                yield f"{call.key} of {call.customer}: executed {count} times"
            if call.outcome == "done" and count != 1:
                yield (
                    f"{call.key} of {call.customer}: "
                    f"answered, but executed {count} times"
                )
            if call.outcome == "not_run" and count:
                yield (
                    f"{call.key} of {call.customer}: "
                    f"'not run', but executed {count} times"
                )

    def _billing_disagreements(self) -> Iterator[str]:
        """Compares answered calls and budgets with the bills in the log."""
        billed_keys = {bill.key for bill in read_bills(self._fleet)}
        for call in self._calls:
            hashed_key = key_hash(call.customer, call.key)
            if call.outcome == "done" and hashed_key not in billed_keys:
                yield f"{call.key} of {call.customer}: answered, but not billed"
        for customer in CUSTOMERS:
            for budget in self._fleet.ctl("budget", customer)["budgets"]:
                if budget["billed"] > budget["topped_up"]:
                    yield f"overspend: {budget}"


def read_bills(fleet: Fleet) -> list[Usage]:
    """Returns the bills in the log."""
    bills: list[Usage] = []
    for shard in range(fleet.config.shard_count):
        ledger = ShardLedger(shard)
        ledger.on_bill(bills.append)
        for entry in read_stream(fleet, shard_stream(shard)):
            ledger.apply(entry)
    return bills


def read_stream(fleet: Fleet, stream: str) -> Iterator[LogEntry]:
    """Yields the entries of a log stream."""
    offset = 0
    while True:
        path = f"/read?stream={stream}&from_offset={offset}"
        reply = send(fleet.ports["log"], "GET", f"{path}&limit=500&wait_ms=0")
        page = msgspec.json.decode(reply.body, type=ReadPage)
        yield from page["entries"]
        offset = page["next_offset"]
        if offset >= page["end_offset"]:
            return


def wait_for_bills(fleet: Fleet, calls: list[Call]) -> None:
    """Waits until all answered calls are billed.

    If some are still not billed after `SETTLE_S`, prints a message and returns;
    the audit then reports these calls.
    """
    answered_keys = {
        key_hash(call.customer, call.key)
        for call in calls
        if call.outcome == "done"
    }
    try:
        wait_until(
            "all answered calls are billed",
            lambda: answered_keys <= {bill.key for bill in read_bills(fleet)},
            SETTLE_S,
        )
    except FleetError as error:
        print(error, flush=True)


def run(
    seed: int = 1, seconds: float = 30.0, faults: str | tuple[str, ...] = ""
) -> int:
    """Injects faults under load and audits the bills.

    Args:
        seed: Seed of all random choices.
        seconds: Time during which faults are injected.
        faults: Kinds of faults, separated by commas; all if empty.
    """
    interrupts.install()
    directory = Path(tempfile.mkdtemp(prefix="chicory-chaos-"))
    # fire parses a text with commas as a tuple.
    kinds = (faults,) if isinstance(faults, str) and faults else tuple(faults)
    with running_fleet(EXAMPLE, directory) as fleet:
        chaos = ChaosRun(fleet, seed)
        chaos.start()
        calls = chaos.load(seconds, kinds)
        wait_for_bills(fleet, calls)
        disagreements = list(Audit(fleet, calls).disagreements())
    outcomes = Counter(f"{call.operation} {call.outcome}" for call in calls)
    for name, number in sorted(outcomes.items()):
        print(f"  {name:<24} {number}")
    for disagreement in disagreements[:20]:
        print(f"FAULT {disagreement}")
    summary = {
        "seed": seed,
        "calls": len(calls),
        "faults_ordered": dict(chaos.fault_counts),
        "disagreements": len(disagreements),
        "ok": not disagreements,
    }
    print(json.dumps(summary), flush=True)
    if disagreements:
        flags = f"--seed={seed} --seconds={seconds} --faults={','.join(kinds)}"
        print(
            f"reproduce with: python -m bench.chaos {flags}; logs: {directory}"
        )
    return 0 if not disagreements else 1


if __name__ == "__main__":
    sys.exit(fire.Fire(run, serialize=lambda _result: None))
