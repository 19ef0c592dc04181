"""`make demo`: calls through a fleet of real processes, in under a minute."""

import http.client
import json
import shutil
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import TypedDict

from bench.fleet import (
    Fleet,
    FleetError,
    Reply,
    interrupts,
    running_fleet,
    send,
)
from chicorystack.defaults import LOOPBACK

EXAMPLE = Path(__file__).parent.parent / "examples" / "brandvagt.yaml"
SITE = "dk-east"
CUSTOMER = "nordsikring"
POOR_CUSTOMER = "smaasikring"
BUDGET_TOKENS = 20_000
POOR_BUDGET_TOKENS = 20
ROUTERS = {"router-1": "dk-east-1", "router-2": "dk-east-2"}
TARGETS = ("fault-model-1", "fault-model-2", "booking-1", "booking-2")
TARGETS += ("booking-3",)
BILLING_WAIT_S = 10.0
EXIT_INTERRUPTED = 130


class Summary(TypedDict):
    """The last line of the demo's output.

    Attributes:
        spent: Tokens used, as counted by the stand-ins.
        billed: Tokens billed by the keepers.
        budget: Tokens topped up.
        bookings_run: Bookings executed by the service stand-ins.
        refused: Calls refused for lack of budget.
        ok: Whether all figures are as expected.
    """

    spent: int
    billed: int
    budget: int
    bookings_run: int
    refused: int
    ok: bool


def print_now(text: str) -> None:
    """Prints a line and flushes the output."""
    print(text, flush=True)


def stream(port: int, path: str, message: object, key: str) -> str:
    """Calls a streaming operation and prints its tokens as they arrive.

    Returns the body without its blank lines.
    """
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=30)
    headers = {"Authorization": f"Bearer {key}"}
    connection.request("POST", path, json.dumps(message), headers)
    response = connection.getresponse()
    lines = []
    while line := response.readline().decode().strip("\n"):
        if line.startswith('data: {"text"'):
            print(json.loads(line[6:])["text"], end="", flush=True)
        lines.append(line)
        response.readline()
    rest = response.read().decode()
    print(flush=True)
    connection.close()
    return "\n".join(lines) + rest


def start(fleet: Fleet) -> None:
    """Starts stand-ins, routers and agents, and publishes the example.

    Waits until all routers and agents are ready.
    """
    print_now("starting the log service and the VM list")
    fleet.start_platform()
    services = fleet.config.site_by_name[SITE].service_by_name
    for name, data_centre in ROUTERS.items():
        print_now(f"starting {name} in {data_centre}")
        fleet.start_router(name, SITE, data_centre)
    for name in TARGETS:
        print_now(f"starting target {name} and its agent")
        fleet.start_target(services[name.rpartition("-")[0]], name)
    print_now(f"publishing {EXAMPLE.name}")
    fleet.ctl("publish", str(EXAMPLE))
    fleet.wait_until_ready()


def create_customer(fleet: Fleet, name: str, tokens: int) -> str:
    """Creates a customer with a budget and returns its secret key."""
    key = fleet.ctl("create_customer", name)["key"]
    fleet.ctl("top_up", name, str(tokens))
    print_now(f"created customer {name} with {tokens} tokens")
    return key


class Calls:
    """Makes the demo's calls to one fleet."""

    def __init__(self, fleet: Fleet):
        self._ports = [
            fleet.router_by_name[name].port for name in sorted(ROUTERS)
        ]

    def summary(self, key: str) -> bool:
        """Streams a fault summary through the first router.

        Returns whether the stream is complete.
        """
        print_now("fault summary, streamed:")
        message = {"prompt": "panel 7, zone 3: loop open", "max_tokens": 40}
        text = stream(
            self._ports[0], "/v1/services/fault-model/summary", message, key
        )
        return "event: end" in text

    def book(self, router: int, key: str) -> Reply:
        """Books a callout with a fixed idempotency key."""
        return self._call(router, "booking/book", key, {"job": "7"}, "book-7")

    def status(self, key: str) -> Reply:
        """Looks up a job's status."""
        return self._call(1, "booking/status", key, {"job": "7"})

    def over_budget(self, key: str) -> Reply:
        """Makes a call that costs more than the budget."""
        message = {"prompt": "panel 9", "max_tokens": 200}
        return self._call(0, "fault-model/summary", key, message)

    def _call(
        self,
        router: int,
        path: str,
        key: str,
        message: object,
        idempotency_key: str | None = None,
    ) -> Reply:
        headers = {"Authorization": f"Bearer {key}"}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        url = f"/v1/services/{path}"
        return send(self._ports[router], "POST", url, message, headers)


def run_calls(fleet: Fleet, key: str, poor_key: str) -> tuple[bool, int]:
    """Makes the demo's calls and prints their results.

    Returns:
        Whether all calls returned what was expected, and the number of calls
        refused for lack of budget.
    """
    calls = Calls(fleet)
    rows = []
    complete = calls.summary(key)
    rows.append(("fault summary", "complete" if complete else "INCOMPLETE"))
    first = calls.book(0, key)
    again = calls.book(1, key)
    same = first.status == 200 and first.body == again.body
    rows.append(("booking", f"{first.status} {first.json()['reference']}"))
    rows.append(("booking via other router", "same" if same else "DIFFERENT"))
    status = calls.status(key)
    rows.append(("job status", str(status.status)))
    over_budget = calls.over_budget(poor_key)
    error = over_budget.json()["error"]
    retry_ms = error.get("retry_after_ms")
    rows.append(
        (
            "call beyond the budget",
            f"{over_budget.status} {error['code']}, retry after {retry_ms} ms",
        )
    )
    for name, result in rows:
        print_now(f"  {name:<28} {result}")
    refused = int(over_budget.status == 402)
    return complete and same and status.status == 200, refused


def count_spent(fleet: Fleet) -> tuple[int, int]:
    """Returns the tokens and bookings counted by the stand-ins themselves."""
    spent = bookings = 0
    for target in fleet.target_by_name.values():
        counts = send(target.port, "GET", "/counts").json()
        if "tokens" in counts:
            spent += counts["tokens"]
            continue
        services = fleet.config.site_by_name[SITE].service_by_name
        operations = services[target.service].operation_by_name
        for name, runs in counts["runs_by_operation"].items():
            spent += runs * operations[name].cost_tokens
        bookings += counts["runs_by_operation"].get("book", 0)
    return spent, bookings


def count_billed(fleet: Fleet, expected: int) -> int:
    """Returns the tokens billed.

    Waits up to `BILLING_WAIT_S` until they match the expected number, as the
    last usage reports arrive after the calls.
    """
    deadline = time.monotonic() + BILLING_WAIT_S
    while True:
        billed = sum(
            view["billed"]
            for customer in (CUSTOMER, POOR_CUSTOMER)
            for view in fleet.ctl("budget", customer)["budgets"]
        )
        if billed == expected or time.monotonic() > deadline:
            return billed
        time.sleep(0.2)


def run(fleet: Fleet) -> Summary:
    """Runs the demo on a fleet."""
    start(fleet)
    key = create_customer(fleet, CUSTOMER, BUDGET_TOKENS)
    poor_key = create_customer(fleet, POOR_CUSTOMER, POOR_BUDGET_TOKENS)
    calls_ok, refused = run_calls(fleet, key, poor_key)
    spent, bookings = count_spent(fleet)
    billed = count_billed(fleet, spent)
    ok = calls_ok and refused == 1 and bookings == 1 and spent == billed
    return Summary(
        spent=spent,
        billed=billed,
        budget=BUDGET_TOKENS + POOR_BUDGET_TOKENS,
        bookings_run=bookings,
        refused=refused,
        ok=ok,
    )


def run_demo(prefix: str, run_in: Callable[[Path], Summary]) -> int:
    """Runs a demo with its logs in a new directory; returns the exit code.

    The directory is kept if the demo fails or is interrupted.
    """
    interrupts.install()
    directory = Path(tempfile.mkdtemp(prefix=prefix))
    try:
        summary = run_in(directory)
    except (FleetError, OSError) as error:
        print_now(f"demo failed: {error}; logs are in {directory}")
        return 1
    except KeyboardInterrupt:
        print_now("demo interrupted; all processes have been stopped")
        return EXIT_INTERRUPTED
    if summary["ok"]:
        shutil.rmtree(directory)
    else:
        print_now(f"unexpected figures; logs are in {directory}")
    print_now(json.dumps(summary))
    return 0 if summary["ok"] else 1


def run_in(directory: Path) -> Summary:
    """Runs this demo with its logs in a directory."""
    with running_fleet(EXAMPLE, directory) as fleet:
        return run(fleet)


def main() -> int:
    """Runs the demo and returns its exit code."""
    return run_demo("chicory-demo-", run_in)


if __name__ == "__main__":
    sys.exit(main())
