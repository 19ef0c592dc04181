"""Shows the whole path on stand-ins of the users' platform, and counts.

Ends with one line of JSON with the same fields as the other demo.
"""

import sys
from pathlib import Path

from bench.demo import Summary, play, say
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
        say(f"starting engine {name} of {service}")
        fleet.start_engine(name, service)
    for name in ROUTERS:
        say(f"starting {name}")
        fleet.start_router(name)
    fleet.publish(default_config())
    fleet.wait_until_ready()


def run_calls(fleet: PlatformFleet) -> tuple[bool, int]:
    """Makes the calls; returns whether all went well and the refusals."""
    streamed = fleet.ask("router-1", "ask-1")
    whole = streamed.body.count(b"\n\n") == EVENTS
    say(f"  stream                       {streamed.status}, whole: {whole}")
    fleet.engine_faults("i-llm-1", break_after=3)
    resumed = [fleet.ask("router-2", f"ask-broken-{n}") for n in range(4)]
    whole &= all(reply.body.count(b"\n\n") == EVENTS for reply in resumed)
    say(f"  streams, one engine breaking whole: {whole}")
    fleet.engine_faults("i-llm-1")
    booking = fleet.call("router-1", "/book/7", "book-1")
    status = fleet.call("router-2", "/status/7", "status-1", method="GET")
    say(f"  booking, job status          {booking.status}, {status.status}")
    unpaid = fleet.ask("router-1", "ask-poor", key=POOR_KEY, tokens="80,40")
    say(f"  call beyond the budget       {unpaid.status}")
    good = whole and booking.status == status.status == 200
    return good, int(unpaid.status == 402)


def count_spent(fleet: PlatformFleet) -> int:
    """Returns the tokens that the engines themselves have counted."""
    return sum(
        fleet.counts(name)["tokens"]
        for name, service in SERVICE_BY_ENGINE.items()
        if service == "llm"
    )


def count_billed(fleet: PlatformFleet) -> int:
    """Returns the tokens that the routers say were used."""
    return sum(
        event.get("tokens", 0)
        for router in ROUTERS
        for event in fleet.events(router)
        if event["part"] == "request"
    )


def run(fleet: PlatformFleet) -> Summary:
    """Runs the demo on a fleet."""
    start(fleet)
    calls_ok, refused = run_calls(fleet)
    bookings = fleet.counts("i-app-1")["runs_by_id"].get("book-1", 0)
    spent = count_spent(fleet)
    wait_until("all is billed", lambda: count_billed(fleet) >= spent)
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
    """Runs this demo with its logs in a folder."""
    with running_platform_fleet(directory) as fleet:
        return run(fleet)


def main() -> int:
    """Runs the demo and returns its exit code."""
    return play("chicory-platform-", run_in)


if __name__ == "__main__":
    sys.exit(main())
