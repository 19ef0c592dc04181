"""The whole path by real processes: calls, refusals and bad input."""

import pytest

from bench.fleet import FleetError, send


@pytest.fixture(scope="module")
def key(brandvagt_fleet):
    secret = brandvagt_fleet.ctl("create_customer", "alpha")["key"]
    brandvagt_fleet.ctl("top_up", "alpha", "5000")
    return secret


def call(fleet, router, path, message, key, **headers):
    headers |= {"Authorization": f"Bearer {key}"}
    port = fleet.router_by_name[router].port
    return send(port, "POST", f"/v1/services/{path}", message, headers)


def test_stream_ends_with_its_end_record(brandvagt_fleet, key):
    reply = call(brandvagt_fleet, "router-1", "fault-model/summary",
                 {"prompt": "zone 3", "max_tokens": 9}, key)  # fmt: skip
    assert reply.status == 200
    assert reply.body.count(b'data: {"text"') == 9
    assert b"event: end\ndata: " in reply.body


def test_booking_runs_once_through_two_routers(brandvagt_fleet, key):
    answers = [
        call(
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


def test_unpaid_call_is_refused_at_once(brandvagt_fleet):
    poor = brandvagt_fleet.ctl("create_customer", "poor")["key"]
    brandvagt_fleet.ctl("top_up", "poor", "3")
    reply = call(brandvagt_fleet, "router-1", "fault-model/summary",
                 {"prompt": "zone 3"}, poor)  # fmt: skip
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
def test_bad_request_gets_a_stable_code(
    brandvagt_fleet, key, path, message, status, code
):
    reply = call(brandvagt_fleet, "router-1", path, message, key)
    assert reply.status == status
    assert reply.json()["error"]["code"] == code


@pytest.mark.parametrize(
    "shown", ["", "nonsense", "ck.alpha.wrong", "ck.nobody.wrong"]
)
def test_wrong_customer_key_is_refused(brandvagt_fleet, key, shown):
    reply = call(brandvagt_fleet, "router-1", "booking/status", {}, shown)
    assert reply.status == 401
    assert reply.json()["error"]["code"] == "unauthorized"


def test_control_port_is_not_open_to_callers(brandvagt_fleet):
    port = brandvagt_fleet.router_by_name["router-1"].control_port
    assert send(port, "GET", "/config").status == 403


def test_second_publisher_is_told(brandvagt_fleet):
    with pytest.raises(FleetError, match="replaced by another publication"):
        brandvagt_fleet.ctl(
            "publish", str(brandvagt_fleet.config_path), "--replaces=0"
        )


def test_publication_that_moves_keys_is_refused(brandvagt_fleet, tmp_path):
    text = brandvagt_fleet.config_path.read_text()
    fewer = tmp_path / "fewer.yaml"
    last = "          booking-3:\n            data_centre: dk-east-3\n"
    fewer.write_text(text.replace(last, ""))
    with pytest.raises(FleetError, match="targets of booking may not change"):
        brandvagt_fleet.ctl("publish", str(fewer))
    assert brandvagt_fleet.ctl("show")["replaces"] == 0
