"""Codecs for the platform's headers, including forged and odd spellings."""

import pytest

from chicorystack.decoding import MAX_WHOLE_NUMBER
from chicorystack.gateway.attempt import ResponseProgress
from chicorystack.gateway.caller_http import RawRequest
from chicorystack.gateway.messages import Call
from chicorystack.gateway.model import CallKind, Route, WeightedService
from chicorystack.gateway.targets import TargetEntry
from chicorystack.platform.headers import (
    PlatformCallerCodec,
    PlatformTargetCodec,
)
from chicorystack.web.exchange import Address

ROUTE = Route(
    "r", "h", "/a/", CallKind.STREAM, (WeightedService("s", 1),),
    5.0, 0.8, 0.3, 2, 1, False, True, True,
)  # fmt: skip
TARGET = TargetEntry("i-1", 1, "s", Address("10.0.0.1", 80), "z", 8, True)


def decode(*headers, target=b"/a/b?c=d"):
    raw = RawRequest(b"POST", target, list(headers), b"{}", 7.0)
    return PlatformCallerCodec().decode_request(raw)


def encode(
    request, left_s=1.5, last_event_id=None, priority=0, customer="alpha"
):
    call = Call(request, ROUTE, "s", customer, priority, 12.0, 3, "content")
    if last_event_id is None:
        last_event_id = request.last_event_id
    http_request = PlatformTargetCodec().encode_request(
        call, TARGET, left_s, last_event_id
    )
    return {
        name.lower(): value for name, value in http_request.headers
    }, http_request


def test_request_headers_are_decoded():
    request = decode(
        (b"Host", b"H.example:8080"),
        (b"X-Chicorystack-Request-Attempt-Id", b"abc"),
        (b"X-Chicorystack-Deadline-Ms", b"4000"),
        (b"X-Chicorystack-Token-Usage", b"1460,80"),
        (b"X-Chicorystack-Prompt-Prefix", b"5c1e:800, 91bd:410"),
        (b"Last-Event-Id", b"12"),
        (b"Authorization", b"bearer  secret "),
    )
    assert (request.id, request.host, request.path) == (
        "abc", "H.example", "/a/b",
    )  # fmt: skip
    assert request.target == b"/a/b?c=d"
    assert request.timeout_s == 4.0
    assert request.token_limits == (1460, 80)
    assert request.prompt_parts == (("5c1e", 800), ("91bd", 410))
    assert (request.last_event_id, request.api_key) == ("12", "secret")


@pytest.mark.parametrize(
    "name",
    [
        b"X-Chicorystack-Tenant",
        b"x-CHICORYSTACK-tenant",
        b"X_Chicorystack_Tenant",
        b"X-Chicorystack_Expect-Instance",
        b"X-Chicorystack-Request-Priority",
        b"X-Chicorystack-Kv-Hold",
        b"X-Chicorystack-Pin-Ms",
        b"X-Chicorystack-Kv-Backup",
        b"Kv-From",
        b"kv_fetch",
        b"Transfer-Encoding",
        b"Connection",
        b"Keep-Alive",
    ],
)
def test_system_and_hop_by_hop_headers_are_removed(name):
    assert decode((b"Host", b"h"), (name, b"forged")).headers == [
        (b"Host", b"h")
    ]


def test_connection_header_cannot_remove_protected_headers():
    request = decode(
        (b"Connection", b"close, X-Own, x-chicorystack-model, Host"),
        (b"Host", b"h"),
        (b"X-Own", b"1"),
        (b"X-Chicorystack-Model", b"m"),
    )
    assert request.headers == [(b"Host", b"h"), (b"X-Chicorystack-Model", b"m")]


def test_customer_is_sent_in_place_of_the_api_key():
    request = decode((b"Host", b"h"), (b"Authorization", b"Bearer k"))
    headers, _ = encode(request)
    assert b"authorization" not in headers
    assert headers[b"x-chicorystack-tenant"] == b"alpha"
    assert headers[b"x-chicorystack-expect-instance"] == b"i-1"
    assert headers[b"x-chicorystack-deadline-ms"] == b"1500"
    assert headers[b"x-chicorystack-request-priority"] == b"0"


def test_resumed_stream_sends_the_last_received_event_id():
    request = decode((b"Host", b"h"), (b"Last-Event-ID", b"3"))
    headers, http_request = encode(request, last_event_id="9")
    assert headers[b"last-event-id"] == b"9"
    names = [name.lower() for name, _ in http_request.headers]
    assert names.count(b"last-event-id") == 1


@pytest.mark.parametrize("value", [b"", b"1460", b"a,b", b"1,-2"])
def test_invalid_token_limits_are_none(value):
    assert decode((b"X-Chicorystack-Token-Usage", value)).token_limits is None


def test_response_head_is_decoded():
    head = PlatformTargetCodec().decode_head(
        503,
        [
            (b"connection", b"close, x-hop"),
            (b"x-hop", b"1"),
            (b"x-chicorystack-not-executed", b"1"),
            (b"x-chicorystack-engine-load", b"3,0,8"),
            (b"x-chicorystack-request-attempt-id", b"abc"),
            (b"content-length", b"0"),
        ],
    )
    assert head.not_run
    assert head.closes_connection
    assert head.load == (3, 0, 8, None)
    assert head.request_id == "abc"
    assert not head.signed
    names = [name for name, _ in head.headers]
    assert b"x-hop" not in names
    assert b"connection" not in names


@pytest.mark.parametrize(
    ("value", "rate"),
    [(b"2", 2.0), (b" 0.25 ", 0.25), (b"0", 0.0), (b"inf", None),
     (b"nan", None), (b"-1", None), (b"many", None), (b"", None)],
)  # fmt: skip
def test_rate_limit_is_a_number_that_makes_sense(value, rate):
    head = PlatformTargetCodec().decode_head(200, [(b"server-limit", value)])
    assert head.calls_per_s == rate


def test_misdirected_request_counts_as_not_run():
    assert PlatformTargetCodec().decode_head(421, []).not_run


@pytest.mark.parametrize(
    ("value", "load"),
    [(b"3,1,8,250", (3, 1, 8, 250.0)), (b"3,1,8, 87.5", (3, 1, 8, 87.5)),
     (b"3,1,8,0", (3, 1, 8, None)), (b"3,1,8,nan", (3, 1, 8, None)),
     (b"3,1,8,", (3, 1, 8, None)), (b"3,1", None), (b"3,1,8,100,7", None),
     (b"3,-1,8,100", None)],
)  # fmt: skip
def test_load_may_state_a_pace_that_makes_sense(value, load):
    header = (b"x-chicorystack-engine-load", value)
    head = PlatformTargetCodec().decode_head(200, [header])
    assert head.load == load


@pytest.mark.parametrize(
    ("value", "cold_s"), [(b"2500", 2.5), (b"0", 0.0), (b"-1", None)]
)
def test_time_for_which_a_target_stays_cold_is_decoded(value, cold_s):
    """Guards against a cold target whose own statement is not read."""
    head = PlatformTargetCodec().decode_head(
        200, [(b"x-chicorystack-cold-ms", value)]
    )
    assert head.cold_s == cold_s
    assert PlatformTargetCodec().decode_head(200, []).cold_s is None


@pytest.mark.parametrize("last_event_id", ["\xb2", "9" * 5000])
def test_last_event_id_that_is_no_usable_number_raises_no_error(last_event_id):
    """Guards against a call that keeps its tokens, and has no response."""
    ResponseProgress(None, last_event_id)


ENDLESS = b"9" * 5000


@pytest.mark.parametrize("value", [ENDLESS + b",1", b"1," + ENDLESS])
def test_endless_token_limits_count_as_large_ones(value):
    """Guards against a request that is closed on, or served without limits."""
    limits = decode((b"X-Chicorystack-Token-Usage", value)).token_limits
    assert limits.total > MAX_WHOLE_NUMBER


def test_endless_prompt_part_is_decoded():
    """Guards against a request that is closed on."""
    request = decode((b"X-Chicorystack-Prompt-Prefix", b"5c1e:" + ENDLESS))
    assert request.prompt_parts == (("5c1e", MAX_WHOLE_NUMBER),)


def test_endless_load_of_a_target_is_decoded():
    """Guards against a response that is broken off by its target's load."""
    headers = [(b"x-chicorystack-engine-load", b"1,2," + ENDLESS)]
    head = PlatformTargetCodec().decode_head(200, headers)
    assert head.load.slots == MAX_WHOLE_NUMBER
