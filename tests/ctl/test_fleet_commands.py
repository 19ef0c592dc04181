"""Operators' commands against a running fleet; nothing secret in its logs."""

import os
import re
import subprocess
from pathlib import Path

import pytest

from bench.fleet import BIN, FLEET_TOKEN, FleetError, running_fleet, send
from tests.conftest import EXAMPLES

EXAMPLE = EXAMPLES / "brandvagt.yaml"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Two routers and a booking target that log all they can."""
    directory = tmp_path_factory.mktemp("fleet")
    with (
        pytest.MonkeyPatch.context() as patch,
        running_fleet(EXAMPLE, directory) as fleet,
    ):
        patch.setenv("CHICORY_LOG_LEVEL", "TRACE")
        fleet.start_platform()
        services = fleet.config.site_by_name["dk-east"].service_by_name
        for number in (1, 2):
            fleet.start_router(
                f"router-{number}", "dk-east", f"dk-east-{number}"
            )
        for number in (1, 2, 3):
            fleet.start_target(services["booking"], f"booking-{number}")
        fleet.ctl("publish", str(EXAMPLE))
        fleet.wait_until_ready()
        yield fleet


@pytest.fixture(scope="module")
def secret(fleet):
    key = fleet.ctl("create_customer", "alpha")["key"]
    fleet.ctl("top_up", "alpha", "1000", "--id=t1")
    return key


def book(fleet, router, secret, key):
    headers = {"Authorization": f"Bearer {secret}", "Idempotency-Key": key}
    port = fleet.router_by_name[router].port
    return send(port, "POST", "/v1/services/booking/book", {}, headers)


def people(fleet, *arguments):
    """Runs chicory-ctl as people do and returns its text."""
    result = subprocess.run(
        [str(BIN / "chicory-ctl"), *arguments],
        env=os.environ | fleet.environment,
        capture_output=True,
        text=True,
        timeout=20,
        check=True,
    )
    return result.stdout


def test_explain_tells_where_a_booking_went(fleet, secret):
    # A key that reads as a number stays the text that it is.
    first = book(fleet, "router-1", secret, "007")
    again = book(fleet, "router-2", secret, "007")
    assert (first.status, again.status) == (200, 200)
    story = fleet.ctl("explain", "007", "--customer=alpha")
    steps = [(line["part"], line["decision"]) for line in story["decisions"]]
    assert steps.count(("calls", "answered")) == 2
    assert steps.count(("run-table", "run")) == 1
    assert steps.count(("run-table", "not run again; kept answer")) == 1
    assert story["request"] == first.headers["chicory-request"]
    text = people(fleet, "explain", story["request"])
    assert "not run again; kept answer" in text


def test_explain_tells_why_a_call_was_refused(fleet, secret):
    poor = fleet.ctl("create_customer", "poor")["key"]
    assert book(fleet, "router-1", poor, "k").status == 402
    text = people(fleet, "explain", "k", "--customer=poor")
    assert "refused" in text
    assert "budget_exhausted" in text


def test_wrong_secret_writes_nothing_into_anothers_story(fleet, secret):
    assert book(fleet, "router-1", "ck.alpha.wrong", "k9").status == 401
    story = fleet.ctl("explain", "k9", "--customer=alpha")
    assert story["decisions"] == []


def test_status_shows_keepers_versions_and_silent_vms(fleet, secret):
    vm = {"name": "gone", "role": "agent", "site": "dk-east"}
    fleet.list_vm(vm | {"data_centre": "dk-east-1"}, 9)
    status = fleet.ctl("status")
    fleet.unlist_vm("gone")
    assert status["config_version"] == 1
    assert set(status["keeper_by_shard"].values()) <= {"router-1", "router-2"}
    assert status["violations"] == {}
    by_name = {entry["vm"]["name"]: entry for entry in status["vms"]}
    assert by_name["gone"]["status"] is None
    assert by_name["booking-1"]["status"]["readiness"]["ready"] is True
    assert "router-1" in people(fleet, "status")


def test_audit_shows_changes_and_the_publication_that_lost(fleet, secret):
    assert fleet.ctl("top_up", "alpha", "7", "--id=t7")["added"] is True
    with pytest.raises(FleetError):
        fleet.ctl("publish", str(EXAMPLE), "--replaces=0")
    text = people(fleet, "audit")
    assert "demo: publish configuration: version 0 -> version 1" in text
    assert "version 1 (came second)" in text
    assert "top up alpha/main: 0 tokens -> 1000 tokens" in text
    assert "top up alpha/main: 1000 tokens -> 1007 tokens" in text
    assert "router-1: keep shard-" in text
    assert secret.rpartition(".")[2] not in text
    own = fleet.ctl("audit", "--customer=alpha")
    assert {change["what"] for change in own} == {
        "create alpha",
        "top up alpha/main",
    }


def test_top_up_sent_again_is_told_and_adds_nothing(fleet, secret):
    again = people(fleet, "top_up", "alpha", "1000", "--id=t1")
    assert "counted before under the id t1; nothing added" in again
    with pytest.raises(FleetError, match="t1 stands for another top-up, 1000"):
        fleet.ctl("top_up", "alpha", "2000", "--id=t1")


def test_top_up_whose_answers_are_lost_names_its_id(fleet, secret):
    before = fleet.ctl("budget", "alpha")["budgets"][0]["topped_up"]
    order_lost_answers(fleet, 1_000)
    try:
        with pytest.raises(FleetError, match="may have taken") as caught:
            fleet.ctl("top_up", "alpha", "11")
    finally:
        order_lost_answers(fleet, 0)
    top_up_id = re.search(r"its id is (\S+):", str(caught.value)).group(1)
    again = fleet.ctl("top_up", "alpha", "11", f"--id={top_up_id}")
    assert again["added"] is False
    after = fleet.ctl("budget", "alpha")["budgets"][0]["topped_up"]
    assert after == before + 11


def order_lost_answers(fleet, count):
    faults = {"down": False, "delay_s": 0.0, "lose_answers": count}
    reply = send(fleet.ports["log"], "POST", "/faults", faults)
    assert reply.status == 200


def test_version_that_is_not_there_is_refused(fleet, secret):
    with pytest.raises(FleetError, match="there is no version 9"):
        fleet.ctl("publish", str(EXAMPLE), "--replaces=9")


def test_word_too_many_changes_nothing(fleet, secret):
    before = fleet.ctl("budget", "alpha")["budgets"][0]["topped_up"]
    with pytest.raises(FleetError, match="unknown argument: 5"):
        fleet.ctl("top_up", "alpha", "1000", "main", "t9", "5")
    after = fleet.ctl("budget", "alpha")["budgets"][0]["topped_up"]
    assert after == before


@pytest.mark.parametrize("path", ["/healthz", "/readyz"])
def test_probes_are_open_and_status_is_not(fleet, path):
    ports = [router.control_port for router in fleet.router_by_name.values()]
    ports += [target.agent_port for target in fleet.target_by_name.values()]
    for port in ports:
        assert send(port, "GET", path).status == 200
        assert send(port, "GET", "/status").status == 403
        assert send(port, "GET", "/explain?subjects=x").status == 403


def test_no_log_shows_a_secret(fleet, secret):
    """Runs last: all calls above have left their lines."""
    directory = Path(fleet._log_directory)
    logs = {path.name: path.read_text() for path in directory.glob("*.log")}
    assert "router-1 calls: refused: budget_exhausted" in logs["router-1.log"]
    for hidden in (secret.rpartition(".")[2], FLEET_TOKEN, "Bearer"):
        assert [name for name, text in logs.items() if hidden in text] == []
