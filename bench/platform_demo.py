"""`make platform-demo`: calls through routers on stand-ins of the platform.

The last line of the output is a JSON object with the fields of `bench.demo`.
"""

import sys
from pathlib import Path

from bench.demo import Summary, print_now, run_demo
from bench.fleet import wait_until
from bench.platform_fleet import (
    BUDGET_TOKENS,
    POOR_BUDGET_TOKENS,
    POOR_KEY,
    PlatformFleet,
    default_config,
    running_platform_fleet,
)

ROUTERS = ("router-1", "router-2")
SERVICE_BY_ENGINE = {
    "i-llm-1": "llm",
    "i-llm-2": "llm",
    "i-app-1": "app",
}
EVENTS = 10


def start(fleet: PlatformFleet) -> None:
    """Starts engines and routers, and publishes a configuration."""
    for name, service in SERVICE_BY_ENGINE.items():
        print_now(f"starting engine {name} of {service}")
        fleet.start_engine(name, service)
    for name in ROUTERS:
        print_now(f"starting {name}")
        fleet.start_router(name)
    fleet.publish(default_config())
    fleet.wait_until_ready()


def run_calls(fleet: PlatformFleet) -> tuple[bool, int]:
    """Makes the demo's calls and prints their results.

    Returns:
        Whether all calls returned what was expected, and the number of calls
        refused for lack of budget.
    """
    stream = fleet.request_stream("router-1", "ask-1")
    complete = stream.body.count(b"\n\n") == EVENTS
    print_now(
        f"  stream                       {stream.status}, complete: {complete}"
    )
    fleet.set_engine_faults("i-llm-1", break_after=3)
    streams = [
        fleet.request_stream("router-2", f"ask-broken-{n}") for n in range(4)
    ]
    complete &= all(reply.body.count(b"\n\n") == EVENTS for reply in streams)
    print_now(f"  streams, one engine failing  complete: {complete}")
    fleet.set_engine_faults("i-llm-1")
    booking = fleet.call("router-1", "/book/7", "book-1")
    status = fleet.call("router-2", "/status/7", "status-1", method="GET")
    print_now(
        f"  booking, job status          {booking.status}, {status.status}"
    )
    over_budget = fleet.request_stream(
        "router-1", "ask-poor", key=POOR_KEY, tokens="80,40"
    )
    print_now(f"  call beyond the budget       {over_budget.status}")
    ok = complete and booking.status == status.status == 200
    return ok, int(over_budget.status == 402)


def count_spent(fleet: PlatformFleet) -> int:
    """Returns the tokens counted by the engines themselves."""
    return sum(
        fleet.get_counts(name)["tokens"]
        for name, service in SERVICE_BY_ENGINE.items()
        if service == "llm"
    )


def count_billed(fleet: PlatformFleet) -> int:
    """Returns the tokens that the routers report as used."""
    return sum(
        event.get("tokens", 0)
        for router in ROUTERS
        for event in fleet.read_events(router)
        if event["part"] == "request"
    )


def run(fleet: PlatformFleet) -> Summary:
    """Runs the demo on a fleet."""
    start(fleet)
    calls_ok, refused = run_calls(fleet)
    bookings = fleet.get_counts("i-app-1")["runs_by_id"].get("book-1", 0)
    spent = count_spent(fleet)
    wait_until("all tokens are billed", lambda: count_billed(fleet) >= spent)
    billed = count_billed(fleet)
    ok = calls_ok and refused == 1 and bookings == 1 and spent == billed
    return Summary(
        spent=spent,
        billed=billed,
        budget=BUDGET_TOKENS + POOR_BUDGET_TOKENS,
        bookings_run=bookings,
        refused=refused,
        ok=ok,
    )


def run_in(directory: Path) -> Summary:
    """Runs this demo with its logs in a directory."""
    with running_platform_fleet(directory) as fleet:
        return run(fleet)


def main() -> int:
    """Runs the demo and returns its exit code."""
    return run_demo("chicory-platform-", run_in)


if __name__ == "__main__":
    sys.exit(main())
