"""Starts and stops a small fleet of real processes on this machine."""

import contextlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from subprocess import PIPE
from typing import NamedTuple, TypedDict

from bench.fault_proxy import NO_FAULTS
from bench.interrupts import Interrupts
from chicorystack.config.model import FleetConfig, Service, build_config
from chicorystack.config.parser import parse_config
from chicorystack.defaults import LOOPBACK

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.05
FLEET_TOKEN = "development-token"
BIN = Path(sys.executable).parent
LISTEN_PORTS = (10_000, 32_000)
given_ports: set[int] = set()
interrupts = Interrupts()


class FleetError(Exception):
    """A process of the fleet did not start or answer."""


class Reply(NamedTuple):
    """An HTTP answer.

    Attributes:
        status: HTTP status.
        body: Whole body.
        headers: Headers with lower-case names.
    """

    status: int
    body: bytes
    headers: dict[str, str]

    def json(self):
        """Returns the decoded body."""
        return json.loads(self.body)


class Ports(TypedDict):
    """Ports of the platform's stand-ins.

    Attributes:
        log: The log service.
        vm_list: The VM list as operators see it.
        proxy: Control port of the fault proxy; 0 where there is none.
    """

    log: int
    vm_list: int
    proxy: int


def free_port(count: int = 1) -> int:
    """Returns a TCP port that nothing listens on and nobody was given.

    It lies below the ports of outgoing connections, which could otherwise
    take it before its process listens.

    Args:
        count: Ports in a row that are wanted; the first is returned.
    """
    while True:
        first = random.SystemRandom().randrange(*LISTEN_PORTS)
        ports = range(first, first + count)
        if given_ports.isdisjoint(ports) and all(map(_is_free, ports)):
            given_ports.update(ports)
            return first


def _is_free(port: int) -> bool:
    with contextlib.suppress(OSError), socket.socket() as probe:
        probe.bind((LOOPBACK, port))
        return True
    return False


def send(
    port: int,
    method: str,
    path: str,
    message: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> Reply:
    """Sends one HTTP request and reads the whole answer."""
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=timeout_s)
    body = None if message is None else json.dumps(message)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return Reply(response.status, response.read(), names)
    finally:
        connection.close()


def wait_until(
    what: str, condition, timeout_s: float = START_TIMEOUT_S
) -> None:
    """Waits until a condition holds; raises FleetError where it never does."""
    give_up_at = time.monotonic() + timeout_s
    while time.monotonic() < give_up_at:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if condition():
                return
        time.sleep(POLL_S)
    raise FleetError(f"waited in vain: {what}")


class Router(NamedTuple):
    """A running router."""

    name: str
    port: int
    control_port: int


class Target(NamedTuple):
    """A running target with its agent."""

    name: str
    service: str
    port: int
    agent_port: int


class Fleet:
    """Processes of one small fleet.

    Attributes:
        ports: Ports of the platform's stand-ins.
        router_by_name: Routers.
        target_by_name: Targets.
        process_by_name: All processes.

    With a fault proxy, each data centre sees the platform and all VMs
    through routes of its own, named `<data centre>><name>`, so that any pair
    can be cut. `log` and `vm-list` are names too.
    """

    def __init__(self, config_path: Path, log_directory: Path):
        self.config_path = config_path
        text = config_path.read_text()
        self.config: FleetConfig = build_config(
            parse_config(text, str(config_path)), 1
        )
        self.ports = Ports(log=free_port(), vm_list=free_port(), proxy=0)
        self.router_by_name: dict[str, Router] = {}
        self.target_by_name: dict[str, Target] = {}
        self.process_by_name: dict[str, subprocess.Popen] = {}
        self._log_directory = log_directory
        self.data_centre_by_name: dict[str, str] = {}
        self._vm_list_port_by_view: dict[str, int] = {}
        self._route_port_by_name: dict[str, int] = {}

    @property
    def environment(self) -> dict[str, str]:
        """Settings that all programs share, as environment variables."""
        return {
            "CHICORY_LOG_URL": f"http://{LOOPBACK}:{self.ports['log']}",
            "CHICORY_VM_LIST_URL": (
                f"http://{LOOPBACK}:{self.ports['vm_list']}/vms"
            ),
            "CHICORY_FLEET_TOKEN": FLEET_TOKEN,
            "CHICORY_OPERATOR": "demo",
        }

    def start_platform(self, *log_flags: str) -> None:
        """Starts the log service and the VM list."""
        log_port = f"--port={self.ports['log']}"
        self.spawn("log", "chicory-standin", "log", log_port, *log_flags)
        vm_list_port = f"--port={self.ports['vm_list']}"
        self.spawn("vm-list", "chicory-standin", "vm_list", vm_list_port)
        self.wait_for_answer(self.ports["log"], "/counts")
        self.wait_for_answer(self.ports["vm_list"], "/vms")

    def start_proxy(self) -> None:
        """Starts the fault proxy; call it before routers and targets."""
        self.ports["proxy"] = free_port()
        self.spawn_python("proxy", "bench.fault_proxy", self.ports["proxy"])
        self.wait_for_answer(self.ports["proxy"], "/healthz")
        for site in self.config.site_by_name.values():
            for view in site.data_centres:
                self._start_view(view)

    def _start_view(self, view: str) -> None:
        """Starts the VM list as one data centre sees it."""
        port = free_port()
        self._vm_list_port_by_view[view] = port
        name = f"vm-list-{view}"
        self.spawn(name, "chicory-standin", "vm_list", f"--port={port}")
        self.wait_for_answer(port, "/vms")
        self._route(view, "log", self.ports["log"])
        self._route(view, "vm-list", port)

    def _route(self, view: str, name: str, target_port: int) -> int:
        """Returns the port at which a data centre sees another port."""
        route = f"{view}>{name}"
        if route not in self._route_port_by_name:
            self._route_port_by_name[route] = free_port()
        listen_port = self._route_port_by_name[route]
        message = {"name": route, "listen_port": listen_port}
        message["target_port"] = target_port
        send(self.ports["proxy"], "POST", "/routes", message)
        return listen_port

    def order_faults(self, prefix: str, **faults: object) -> None:
        """Orders faults for routes, such as `cut="both"`; none mends them."""
        message = NO_FAULTS | {"prefix": prefix} | faults
        send(self.ports["proxy"], "POST", "/faults", message)

    def cut_data_centres(self, one: str, other: str, cut: str) -> None:
        """Cuts (`both`) or mends (`none`) two data centres' VMs."""
        for view, far in ((one, other), (other, one)):
            for name in self._names_in(far):
                self.order_faults(f"{view}>{name}", cut=cut)

    def _names_in(self, data_centre: str) -> list[str]:
        return [
            name
            for name, place in self.data_centre_by_name.items()
            if place == data_centre
        ]

    def start_router(
        self, name: str, site: str, data_centre: str, *flags: str
    ) -> Router:
        """Starts a router and puts it on the VM list."""
        router = Router(name, free_port(), free_port())
        self.router_by_name[name] = router
        self.spawn(
            name,
            "chicory-router",
            f"--name={name}",
            f"--site={site}",
            f"--data_centre={data_centre}",
            f"--port={router.port}",
            f"--control_port={router.control_port}",
            *flags,
            data_centre=data_centre,
        )
        vm = {"name": name, "role": "router", "site": site}
        vm |= {"data_centre": data_centre, "caller_port": router.port}
        self.list_vm(vm, router.control_port)
        return router

    def start_target(
        self, service: Service, name: str, *standin_flags: str
    ) -> Target:
        """Starts a stand-in target with its agent; puts it on the list."""
        target = Target(name, service.name, free_port(), free_port())
        self.target_by_name[name] = target
        kind = "engine" if service.kind == "engine" else "service"
        self.spawn(
            f"{name}-target",
            "chicory-standin",
            kind,
            f"--port={target.port}",
            *standin_flags,
        )
        self.start_agent(service, target)
        return target

    def start_agent(self, service: Service, target: Target) -> None:
        """Starts the agent of a target."""
        data_centre = service.target_by_name[target.name].data_centre
        self.spawn(
            target.name,
            "chicory-agent",
            f"--name={target.name}",
            f"--site={service.site}",
            f"--data_centre={data_centre}",
            f"--service={service.name}",
            f"--target_url=http://{LOOPBACK}:{target.port}",
            f"--port={target.agent_port}",
            data_centre=data_centre,
        )
        vm = {"name": target.name, "role": "agent", "site": service.site}
        vm |= {"data_centre": data_centre}
        self.list_vm(vm, target.agent_port)

    def list_vm(
        self, vm: dict[str, object], port: int, state: str = "live"
    ) -> None:
        """Puts a VM on the platform's list."""
        name, place = str(vm["name"]), str(vm["data_centre"])
        self.data_centre_by_name[name] = place
        vm = vm | {"address": LOOPBACK, "state": state}
        self._change_list(self.ports["vm_list"], [vm | {"port": port}], [])
        for view, list_port in self._vm_list_port_by_view.items():
            seen_port = port
            if view != place:
                seen_port = self._route(view, name, port)
            self._change_list(list_port, [vm | {"port": seen_port}], [])

    def mark_vm(self, name: str, state: str) -> None:
        """Marks a VM as `leaving` or `live` on the platform's list."""
        for port in (
            self.ports["vm_list"],
            *self._vm_list_port_by_view.values(),
        ):
            listed = send(port, "GET", "/vms").json()["vms"]
            vms = [vm | {"state": state} for vm in listed if vm["name"] == name]
            self._change_list(port, vms, [])

    def unlist_vm(self, name: str) -> None:
        """Takes a VM off the platform's list."""
        for port in (
            self.ports["vm_list"],
            *self._vm_list_port_by_view.values(),
        ):
            self._change_list(port, [], [name])

    def _change_list(
        self, list_port: int, put: list[dict[str, object]], remove: list[str]
    ) -> None:
        message = {"put": put, "remove": remove}
        send(list_port, "POST", "/change", message)

    def view_environment(self, data_centre: str) -> dict[str, str]:
        """Settings of a process as its data centre sees the platform."""
        if not self.ports["proxy"]:
            return self.environment
        log_port = self._route_port_by_name[f"{data_centre}>log"]
        list_port = self._route_port_by_name[f"{data_centre}>vm-list"]
        return self.environment | {
            "CHICORY_LOG_URL": f"http://{LOOPBACK}:{log_port}",
            "CHICORY_VM_LIST_URL": f"http://{LOOPBACK}:{list_port}/vms",
        }

    def ctl(self, *arguments: str) -> object:
        """Runs chicory-ctl and returns its decoded answer."""
        command = [str(BIN / "chicory-ctl"), "--json", *arguments]
        process = self._start("ctl", command, self.environment, PIPE)
        output, errors = process.communicate(timeout=START_TIMEOUT_S)
        if process.returncode != 0:
            raise FleetError(errors.decode().strip())
        return json.loads(output)

    def control(self, port: int, path: str) -> object:
        """Gets a path from a process of the fleet."""
        headers = {"chicory-fleet-token": FLEET_TOKEN}
        reply = send(port, "GET", path, headers=headers)
        return reply.json()

    def wait_until_ready(self) -> None:
        """Waits for all routers and agents."""
        for router in self.router_by_name.values():
            wait_until(
                f"{router.name} is ready",
                lambda port=router.control_port: self.control(port, "/readyz")[
                    "ready"
                ],
            )
        for target in self.target_by_name.values():
            wait_until(
                f"{target.name} is ready",
                lambda port=target.agent_port: self.control(port, "/load")[
                    "ready"
                ],
            )

    def wait_for_answer(self, port: int, path: str) -> None:
        """Waits until a process answers at a path."""
        wait_until(
            f"port {port} answers",
            lambda: send(port, "GET", path).status == 200,
        )

    def spawn(
        self,
        name: str,
        program: str,
        *arguments: str,
        data_centre: str | None = None,
    ) -> None:
        """Starts a process; its output goes to a file of its name."""
        environment = self.environment
        if data_centre is not None:
            environment = self.view_environment(data_centre)
        self._start(name, [str(BIN / program), *arguments], environment)

    def spawn_python(self, name: str, module: str, *arguments: object) -> None:
        """Starts a module of the development tools as a process."""
        words = [str(argument) for argument in arguments]
        self._start(
            name, [sys.executable, "-m", module, *words], self.environment
        )

    def _start(
        self,
        name: str,
        command: list[str],
        environment: dict[str, str],
        output: int | None = None,
    ) -> subprocess.Popen:
        """Starts a process; its output goes to a file of its name."""
        log_path = self._log_directory / f"{name}.log"
        with log_path.open("ab") as log, interrupts.deferred():
            process = subprocess.Popen(
                command,
                env=os.environ | environment,
                stdout=output or log,
                stderr=output or log,
                stdin=subprocess.DEVNULL,
            )
            self.process_by_name[name] = process
        return process

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.process_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process at once and waits for its end."""
        self.process_by_name[name].kill()
        self.process_by_name[name].wait(STOP_TIMEOUT_S)

    def stop(self) -> None:
        """Ends all processes."""
        for process in self.process_by_name.values():
            process.kill()
        for process in self.process_by_name.values():
            process.wait(STOP_TIMEOUT_S)


@contextlib.contextmanager
def running_fleet(config_path: Path, log_directory: Path) -> Iterator[Fleet]:
    """Yields a fleet and ends its processes, whatever happens."""
    fleet = Fleet(config_path, log_directory)
    try:
        yield fleet
    finally:
        with interrupts.deferred():
            fleet.stop()
