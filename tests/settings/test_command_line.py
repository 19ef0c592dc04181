"""Every command-line error is reported in one line with exit code 2."""

import os
import subprocess
from concurrent.futures import ThreadPoolExecutor

import pytest

from bench.fleet import BIN, free_port
from chicorystack import __version__

PROGRAMS = ("chicory-router", "chicory-agent", "chicory-ctl", "chicory-standin")
CTL = {
    "CHICORY_LOG_URL": "http://127.0.0.1:9",
    "CHICORY_VM_LIST_URL": "http://127.0.0.1:9/vms",
    "CHICORY_FLEET_TOKEN": "a-fleet-token",
    "CHICORY_OPERATOR": "op",
}
ROUTER = CTL | {
    "CHICORY_NAME": "r",
    "CHICORY_SITE": "s",
    "CHICORY_DATA_CENTRE": "d",
}
AGENT = ROUTER | {
    "CHICORY_SERVICE": "v",
    "CHICORY_TARGET_URL": "http://127.0.0.1:9",
}


def run(program, *arguments, environment=CTL):
    return subprocess.run(
        [str(BIN / program), *arguments],
        env=os.environ | environment,
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )


INVALID_COMMANDS = [
    ("chicory-router", ["--bogus=1"], ROUTER, "unknown argument: --bogus"),
    ("chicory-router", ["word"], ROUTER, "unknown argument: word"),
    ("chicory-router", [], CTL, "--name (or CHICORY_NAME) is required"),
    ("chicory-router", ["--port=x"], ROUTER, "TCP port from 1 to 65535"),
    ("chicory-router", ["--log_level=LOUD"], ROUTER, "one of TRACE"),
    ("chicory-router", ["--statsd=1.2.3.999:1"], ROUTER, "IP:port"),
    ("chicory-router", [], ROUTER | {"CHICORY_PROT": "1"}, "CHICORY_PROT"),
    ("chicory-agent", [], ROUTER, "--service (or CHICORY_SERVICE)"),
    ("chicory-agent", ["--address=h"], AGENT, "IP address"),
    ("chicory-agent", ["--address=203.0.113.1"], AGENT, "can't listen on"),
    ("chicory-standin", ["log"], CTL, "missing argument: port"),
    ("chicory-standin", ["log", "--port=x"], CTL, "TCP port"),
    ("chicory-ctl", ["bogus"], CTL, "unknown argument: bogus"),
    ("chicory-ctl", ["show", "--bogus"], CTL, "unknown argument: --bogus"),
    ("chicory-ctl", ["--operator"], CTL, "--operator"),
    ("chicory-ctl", ["top_up", "alpha"], CTL, "missing argument: tokens"),
    ("chicory-ctl", ["top_up", "alpha", "1e3"], CTL, "whole number"),
    ("chicory-ctl", ["top_up", "alpha", "True"], CTL, "whole number"),
    ("chicory-ctl", ["top_up", "alpha", "0"], CTL, "above 0"),
    ("chicory-ctl", ["top_up", "A b", "5"], CTL, "invalid name"),
    ("chicory-ctl", ["publish", "/nowhere.yaml"], CTL, "/nowhere.yaml"),
    ("chicory-ctl", ["check", "/"], CTL, "directory"),
    ("chicory-ctl", ["publish", "x", "--replaces=y"], CTL, "whole number"),
    ("chicory-ctl", ["status"], CTL, "not reachable: http://127.0.0.1:9"),
    ("chicory-ctl", ["status"], CTL | {"CHICORY_LOG_URL": "x"}, "URL"),
]


@pytest.fixture(scope="module")
def results():
    """Results of all invalid commands, run by a few processes at a time."""

    def run_command(command):
        program, arguments, environment, _ = command
        return run(program, *arguments, environment=environment)

    with ThreadPoolExecutor(4) as pool:
        return list(pool.map(run_command, INVALID_COMMANDS))


@pytest.mark.parametrize("number", range(len(INVALID_COMMANDS)))
def test_error_is_one_line(results, number):
    program, _, _, message = INVALID_COMMANDS[number]
    result = results[number]
    assert result.returncode == 2
    assert len(result.stderr.splitlines()) == 1, result.stderr
    assert result.stderr.startswith(f"{program}: ")
    assert message in result.stderr
    assert result.stdout == ""


def test_error_for_a_port_in_use_is_one_line():
    port = free_port()
    with subprocess.Popen(
        [str(BIN / "chicory-standin"), "log", f"--port={port}"],
        stderr=subprocess.PIPE,
        text=True,
    ) as holder:
        holder.stderr.readline()
        result = run("chicory-standin", "log", f"--port={port}")
        holder.kill()
    assert result.returncode == 2
    assert len(result.stderr.splitlines()) == 1
    assert f"can't listen on 127.0.0.1:{port}" in result.stderr


@pytest.mark.parametrize("program", PROGRAMS)
def test_version_and_help(program):
    assert run(program, "--version").stdout == f"{__version__}\n"
    result = run(program, "--help")
    assert result.returncode == 0
    assert result.stdout.startswith("NAME\n")
    assert result.stderr == ""


@pytest.mark.parametrize(
    ("program", "environment"),
    [
        ("chicory-router", ROUTER),
        ("chicory-agent", AGENT),
        ("chicory-ctl", CTL),
    ],
)
def test_check_flag_only_checks_the_settings(program, environment):
    result = run(program, "--check", environment=environment)
    assert (result.returncode, result.stdout) == (0, "settings are valid\n")
