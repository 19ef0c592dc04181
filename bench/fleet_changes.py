"""Measures changes to a running fleet on one of the examples.

    python -m bench.fleet_changes brandvagt

starts all targets of the example and a router in each data centre. It measures
the time until a published configuration is in force at every process and then,
under a small load, a rolling restart of all routers and agents, and the engines
lost to a prompt that crashes them. It prints one JSON object.
"""

import itertools
import json
import signal
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import TypedDict

from bench.fleet import Fleet, running_fleet, send, wait_until
from bench.steady_calls import SteadyCalls
from chicorystack.standin.engine import CRASH_MARK

EXAMPLES = Path(__file__).parent.parent / "examples"
PUBLICATIONS = 5
POLL_S = 0.02
STOP_TIMEOUT_S = 30.0
RESTARTED_AT_ONCE = 3
RESENDS = 12
ENGINE_CALL = {"prompt": "zone", "max_tokens": 40}


class RollingRestart(TypedDict):
    """Results of the rolling restart.

    Attributes:
        processes: Routers and agents restarted.
        seconds: Duration of the restart.
        calls: Calls sent during the restart.
        cut: Calls without a complete response.
        refused: Number of refused calls, by status and message.
        late_arrivals: Calls that agents received although they had announced
            their shutdown long before.
    """

    processes: int
    seconds: float
    calls: int
    cut: int
    refused: dict[str, int]
    late_arrivals: int


class Quarantine(TypedDict):
    """Results of sending a prompt that crashes engines.

    Attributes:
        sent: Number of times that the prompt was sent.
        quarantined: Number of times that it was refused as quarantined.
        engines_lost: Engines that crashed.
        innocent_calls: Other calls in the same time.
        innocent_refused: Other calls that were refused as quarantined.
        innocent_cut: Other calls whose response was missing or incomplete.
    """

    sent: int
    quarantined: int
    engines_lost: int
    innocent_calls: int
    innocent_refused: int
    innocent_cut: int


class ExampleFleet:
    """The running fleet of one example."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        (self.site,) = fleet.config.site_by_name.values()
        self.engines = next(
            service
            for service in self.site.service_by_name.values()
            if service.kind == "engine"
        )
        self.operation = next(iter(self.engines.operation_by_name))

    @property
    def path(self) -> str:
        """URL path of the engines' first operation."""
        return f"{self.engines.name}/{self.operation}"

    def start(self) -> str:
        """Starts the fleet and returns the secret key of a new customer."""
        self.fleet.start_platform()
        for number, data_centre in enumerate(self.site.data_centres, 1):
            self.fleet.start_router(
                f"router-{number}", self.site.name, data_centre
            )
        for service in self.site.service_by_name.values():
            for name in service.target_by_name:
                self.fleet.start_target(service, name)
        self.fleet.ctl("publish", str(self.fleet.config_path))
        self.fleet.wait_until_ready()
        key = self.fleet.ctl("create_customer", "alpha")["key"]
        self.fleet.ctl("top_up", "alpha", "100000000")
        return key

    def versions_in_force(self) -> set[int]:
        """Returns the configuration versions in force at any process."""
        ports = [
            (router.control_port, "/readyz")
            for router in self.fleet.router_by_name.values()
        ]
        ports += [
            (target.agent_port, "/load")
            for target in self.fleet.target_by_name.values()
        ]
        return {
            self.fleet.get_json(port, path)["config_version"]
            for port, path in ports
        }

    def publication_seconds(self) -> float:
        """Publishes the configuration.

        Returns the time in seconds until it is in force at every process.
        """
        version = self.fleet.ctl("publish", str(self.fleet.config_path))
        published_at = time.monotonic()
        while self.versions_in_force() != {version["version"]}:
            time.sleep(POLL_S)
        return time.monotonic() - published_at

    def restart_all(self, load: SteadyCalls) -> RollingRestart:
        """Restarts all agents, a few at a time, then the routers one by one."""
        started = time.monotonic()
        agent_batches = list(
            batches(self.fleet.target_by_name, RESTARTED_AT_ONCE)
        )
        late = sum(self._restart_batch(names) for names in agent_batches)
        routers = list(self.fleet.router_by_name)
        for router in routers:
            self._restart_batch([router])
        return RollingRestart(
            processes=len(self.fleet.target_by_name) + len(routers),
            seconds=round(time.monotonic() - started, 1),
            calls=len(load.results),
            cut=sum(answer.status == 0 for answer in load.results),
            refused=count_refusals(load),
            late_arrivals=late,
        )

    def _restart_batch(self, names: list[str]) -> int:
        for name in names:
            self.fleet.signal(name, signal.SIGTERM)
        late = 0
        for name in names:
            process = self.fleet.process_by_name[name]
            while process.poll() is None:
                late += self._late_arrivals(name)
                time.sleep(POLL_S)
        for name in names:
            self._start_process(name)
        self.fleet.wait_until_ready()
        return late

    def _late_arrivals(self, name: str) -> int:
        target = self.fleet.target_by_name.get(name)
        if target is None:
            return 0
        try:
            report = self.fleet.get_json(target.agent_port, "/load")
        except OSError:
            return 0
        return report["late_arrivals"]

    def _start_process(self, name: str) -> None:
        if name in self.fleet.router_by_name:
            data_centre = self.fleet.data_centre_by_name[name]
            self.fleet.start_router(name, self.site.name, data_centre)
            return
        target = self.fleet.target_by_name[name]
        service = self.site.service_by_name[target.service]
        self.fleet.start_agent(service, target)

    def send_crashing_prompt(self, load: SteadyCalls, key: str) -> Quarantine:
        """Sends a prompt that crashes engines through all routers in turn."""
        replies = []
        for number in range(RESENDS):
            name = f"router-{1 + number % len(self.fleet.router_by_name)}"
            reply = send(
                self.fleet.router_by_name[name].port,
                "POST",
                f"/v1/services/{self.path}",
                ENGINE_CALL | {"prompt": CRASH_MARK},
                {"Authorization": f"Bearer {key}"},
            )
            replies.append(reply.status)
        completed = len(load.results)
        wait_until(
            "50 more calls complete",
            lambda: len(load.results) > completed + 50,
        )
        return Quarantine(
            sent=RESENDS,
            quarantined=replies.count(422),
            engines_lost=self._engines_lost(),
            innocent_calls=len(load.results),
            innocent_refused=sum(
                answer.status == 422 for answer in load.results
            ),
            innocent_cut=sum(answer.status == 0 for answer in load.results),
        )

    def _engines_lost(self) -> int:
        processes = self.fleet.process_by_name.items()
        return sum(
            name.endswith("-target") and process.poll() is not None
            for name, process in processes
        )


def batches(names, size: int) -> Iterator[list[str]]:
    """Yields names in batches of at most the given size."""
    iterator = iter(names)
    while batch := list(itertools.islice(iterator, size)):
        yield batch


def count_refusals(load: SteadyCalls) -> dict[str, int]:
    """Returns the number of refused calls by status and message."""
    reasons = [
        f"{answer.status} {answer.text}"
        for answer in load.results
        if answer.status not in (0, 200)
    ]
    return {reason: reasons.count(reason) for reason in sorted(set(reasons))}


def main() -> None:
    """Measures the example given on the command line."""
    path = EXAMPLES / f"{sys.argv[1]}.yaml"
    with (
        tempfile.TemporaryDirectory() as directory,
        running_fleet(path, Path(directory)) as fleet,
    ):
        example = ExampleFleet(fleet)
        key = example.start()
        seconds = sorted(
            round(example.publication_seconds(), 2) for _ in range(PUBLICATIONS)
        )
        with SteadyCalls(fleet, key, example.path, ENGINE_CALL) as load:
            rolling_restart = example.restart_all(load)
        with SteadyCalls(fleet, key, example.path, ENGINE_CALL) as load:
            quarantine = example.send_crashing_prompt(load, key)
    result = {"publication_seconds": seconds}
    result |= {"rolling_restart": rolling_restart, "quarantine": quarantine}
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
