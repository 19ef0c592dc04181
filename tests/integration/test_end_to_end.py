"""Calls, refusals and invalid requests, end to end by real processes."""

import pytest

from bench.fleet import FleetError, send


@pytest.fixture(scope="module")
def key(brandvagt_fleet):
    secret = brandvagt_fleet.ctl("create_customer", "alpha")["key"]
    brandvagt_fleet.ctl("top_up", "alpha", "5000")
    return secret


def send_call(fleet, router, path, message, key, **headers):
    headers |= {"Authorization": f"Bearer {key}"}
    port = fleet.router_by_name[router].port
    return send(port, "POST", f"/v1/services/{path}", message, headers)


def test_stream_ends_with_an_end_event(brandvagt_fleet, key):
    reply = send_call(brandvagt_fleet, "router-1", "fault-model/summary",
                      {"prompt": "zone 3", "max_tokens": 9}, key)  # fmt: skip
    assert reply.status == 200
    assert reply.body.count(b'data: {"text"') == 9
    assert b"event: end\ndata: " in reply.body


def test_booking_runs_once_through_two_routers(brandvagt_fleet, key):
    answers = [
        send_call(
            brandvagt_fleet,
            router,
            "booking/book",
            {"job": "1"},
            key,
            **{"Idempotency-Key": "once"},
        )  # fmt: skip
        for router in ("router-1", "router-2", "router-1")
    ]
    assert {answer.status for answer in answers} == {200}
    assert len({answer.body for answer in answers}) == 1


def test_call_beyond_the_budget_is_refused(brandvagt_fleet):
    poor_secret = brandvagt_fleet.ctl("create_customer", "poor")["key"]
    brandvagt_fleet.ctl("top_up", "poor", "3")
    reply = send_call(brandvagt_fleet, "router-1", "fault-model/summary",
                      {"prompt": "zone 3"}, poor_secret)  # fmt: skip
    assert reply.status == 402
    error = reply.json()["error"]
    assert error["code"] == "budget_exhausted"
    assert error["retry_after_ms"] > 0
    assert "retry-after" in reply.headers


@pytest.mark.parametrize(
    ("path", "message", "status", "code"),
    [
        ("fault-model/summary", {"prompt": 7}, 400, "bad_request"),
        ("fault-model/summary", [], 400, "bad_request"),
        ("fault-model/none", {"prompt": "x"}, 404, "unknown_service"),
        ("none/summary", {"prompt": "x"}, 404, "unknown_service"),
        ("booking/book", {}, 400, "key_required"),
        ("booking", {}, 404, "unknown_path"),
        ("fault-model/summary", {"prompt": "x" * 300_000}, 413,
         "body_too_large"),
    ],
)  # fmt: skip
def test_bad_request_gets_its_error_code(
    brandvagt_fleet, key, path, message, status, code
):
    reply = send_call(brandvagt_fleet, "router-1", path, message, key)
    assert reply.status == status
    assert reply.json()["error"]["code"] == code


@pytest.mark.parametrize(
    "presented_key", ["", "nonsense", "ck.alpha.wrong", "ck.nobody.wrong"]
)
def test_wrong_customer_key_is_refused(brandvagt_fleet, key, presented_key):
    reply = send_call(
        brandvagt_fleet, "router-1", "booking/status", {}, presented_key
    )
    assert reply.status == 401
    assert reply.json()["error"]["code"] == "unauthorized"


def test_control_port_requires_the_fleet_token(brandvagt_fleet):
    port = brandvagt_fleet.router_by_name["router-1"].control_port
    assert send(port, "GET", "/config").status == 403


def test_publication_that_replaces_an_old_version_is_refused(brandvagt_fleet):
    with pytest.raises(FleetError, match="replaced by another publication"):
        brandvagt_fleet.ctl(
            "publish", str(brandvagt_fleet.config_path), "--replaces=0"
        )


def test_publication_that_moves_keys_is_refused(brandvagt_fleet, tmp_path):
    text = brandvagt_fleet.config_path.read_text()
    config_path = tmp_path / "fewer.yaml"
    last_target = "          booking-3:\n            data_centre: dk-east-3\n"
    config_path.write_text(text.replace(last_target, ""))
    with pytest.raises(FleetError, match="targets of booking may not change"):
        brandvagt_fleet.ctl("publish", str(config_path))
    assert brandvagt_fleet.ctl("show")["replaces"] == 0
