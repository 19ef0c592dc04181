"""Tests that the demo's figures agree and that it leaves no process running."""

import json
import os
import signal
import subprocess
import sys
import uuid
from pathlib import Path

import pytest

MARK = "CHICORY_DEMO_MARK"
STOP_TIMEOUT_S = 20


def start_demo(mark):
    return subprocess.Popen(
        [sys.executable, "-m", "bench.demo"],
        env=os.environ | {MARK: mark},
        stdout=subprocess.PIPE,
        text=True,
    )


def remaining_processes(mark):
    """Returns the processes whose environment carries the mark."""
    variable = f"{MARK}={mark}".encode()
    pids = []
    for entry in Path("/proc").iterdir():
        try:
            if entry.name.isdigit() and variable in (
                entry / "environ"
            ).read_bytes().split(b"\0"):
                pids.append(entry.name)
        except OSError:
            continue
    return pids


def test_figures_agree():
    mark = uuid.uuid4().hex
    demo = start_demo(mark)
    output, _ = demo.communicate(timeout=60)
    summary = json.loads(output.splitlines()[-1])
    assert demo.returncode == 0
    assert summary["ok"] is True
    assert summary["spent"] == summary["billed"] <= summary["budget"]
    assert summary["bookings_run"] == 1
    assert summary["refused"] == 1
    assert not remaining_processes(mark)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_interrupted_demo_leaves_no_process(number):
    mark = uuid.uuid4().hex
    demo = start_demo(mark)
    for line in demo.stdout:
        if line.startswith("publishing"):
            break
    assert remaining_processes(mark)
    demo.send_signal(number)
    demo.communicate(timeout=STOP_TIMEOUT_S)
    assert demo.returncode != 0
    assert not remaining_processes(mark)
