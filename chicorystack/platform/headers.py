"""Codecs between the platform's HTTP headers and the gateway's messages."""

import math
import re

from chicorystack import defaults
from chicorystack.decoding import MAX_AMOUNT, parse_whole_number
from chicorystack.gateway.caller_http import InvalidRequestError, RawRequest
from chicorystack.gateway.messages import (
    Call,
    CallerRequest,
    LoadSample,
    PromptPart,
    ResponseHead,
    TokenLimits,
)
from chicorystack.gateway.targets import TargetEntry
from chicorystack.web.exchange import Headers, HttpRequest

REQUEST_ID = b"x-chicorystack-request-attempt-id"
DEADLINE_MS = b"x-chicorystack-deadline-ms"
LAST_EVENT_ID = b"last-event-id"
# ID of the request that brought the first event of a stream.
RESUMES = b"resumes"
MODEL = b"x-chicorystack-model"
# Tokens of the prompt and most tokens of the response.
TOKEN_LIMITS = b"x-chicorystack-token-usage"
PROMPT_PARTS = b"x-chicorystack-prompt-prefix"
CUSTOMER = b"x-chicorystack-tenant"
EXPECT_TARGET = b"x-chicorystack-expect-instance"
PRIORITY = b"x-chicorystack-request-priority"
SIGNATURE = b"x-chicorystack-response-seal"
NOT_RUN = b"x-chicorystack-not-executed"
LOAD = b"x-chicorystack-engine-load"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
# Requests a second that the target accepts from all routers together.
RATE_LIMIT = b"server-limit"
# Milliseconds for which the target stays cold.
COLD_MS = b"x-chicorystack-cold-ms"
LOWEST_PRIORITY = 9
MISDIRECTED_STATUS = 421
OVERLOADED_STATUS = 503

# Headers that only this system may set; they are removed from callers'
# requests.
SYSTEM_HEADERS = frozenset(
    {
        CUSTOMER,
        EXPECT_TARGET,
        PRIORITY,
        DEADLINE_MS,
        b"x-chicorystack-expect-version",
        b"x-chicorystack-kv-hold",
        b"x-chicorystack-pin-ms",
        b"x-chicorystack-kv-backup",
        b"x-chicorystack-engine-id",
        SIGNATURE,
        NOT_RUN,
        LOAD,
        b"kv-from",
        b"kv-fetch",
        b"wait-ms",
    }
)
# Hop-by-hop headers, and headers that are set anew for each request to a
# target.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Headers that mark the end of a body.
DELIMITERS = frozenset({b"content-length", b"transfer-encoding"})
# Prefixes of headers that are forwarded even if the sender lists them in
# `Connection`.
PROTECTED_PREFIXES = (b"x-chicorystack-", b"host", b"last-event-id")
AUTHORIZATION = b"authorization"
# What the request line and headers to a target may not have (RFC 9110).
NOT_TARGET = re.compile(rb"[^!-~]")
NOT_TOKEN = re.compile(rb"[^-!#$%&'*+.^_`|~0-9A-Za-z]")
NOT_VALUE = re.compile(rb"[\x00\n\v\f\r]")
BEARER_TOKEN = re.compile(rb"bearer +(\S+) *$", re.IGNORECASE)


class PlatformCallerCodec:
    """Decodes callers' requests. Implements CallerCodec."""

    def decode_request(self, raw: RawRequest) -> CallerRequest:
        """See CallerCodec."""
        _check_request(raw)
        value_by_name = {name.lower(): value for name, value in raw.headers}
        path = raw.target.partition(b"?")[0]
        return CallerRequest(
            id=_decode_text(value_by_name.get(REQUEST_ID)),
            method=raw.method,
            target=raw.target,
            host=_decode_text(value_by_name.get(b"host")).partition(":")[0],
            path=path.decode("latin-1"),
            headers=_headers_to_forward(raw.headers, value_by_name),
            body=raw.body,
            api_key=_decode_api_key(value_by_name.get(AUTHORIZATION)),
            timeout_s=_decode_timeout_s(value_by_name.get(DEADLINE_MS)),
            token_limits=_decode_token_limits(value_by_name.get(TOKEN_LIMITS)),
            prompt_parts=_decode_prompt_parts(value_by_name.get(PROMPT_PARTS)),
            last_event_id=_decode_text(value_by_name.get(LAST_EVENT_ID)),
            received_at=raw.received_at,
            resumes=_decode_text(value_by_name.get(RESUMES)),
        )


class PlatformTargetCodec:
    """Encodes requests and decodes responses. Implements TargetCodec."""

    def encode_request(
        self, call: Call, target: TargetEntry, left_s: float, last_event_id: str
    ) -> HttpRequest:
        """Returns the HTTP request that sends a call to a target."""
        request = call.request
        headers = [*request.headers]
        if last_event_id != request.last_event_id:
            headers = [
                pair for pair in headers if _header_name(pair) != LAST_EVENT_ID
            ]
            headers.append((LAST_EVENT_ID, last_event_id.encode()))
        left_ms = max(1, int(left_s * 1000))
        headers.append((DEADLINE_MS, str(left_ms).encode()))
        headers.append((EXPECT_TARGET, target.id.encode()))
        if call.customer:
            headers.append((CUSTOMER, call.customer.encode()))
        if call.priority is not None:
            priority = min(max(call.priority, 0), LOWEST_PRIORITY)
            headers.append((PRIORITY, str(priority).encode()))
        return HttpRequest(
            request.method, request.target, headers, request.body
        )

    def encode_health_request(
        self, target: TargetEntry, path: str
    ) -> HttpRequest:
        """Returns the request that reads a target's health."""
        headers = [
            (b"host", str(target.address).encode()),
            (EXPECT_TARGET, target.id.encode()),
        ]
        return HttpRequest(b"GET", path.encode(), headers, b"")

    def decode_head(self, status: int, headers: Headers) -> ResponseHead:
        """Decodes the head of a response."""
        value_by_name = dict(headers)
        dropped = _hop_by_hop_names(headers)
        content = value_by_name.get(b"content-type", b"")
        return ResponseHead(
            status=status,
            headers=[
                (name, value) for name, value in headers if name not in dropped
            ],
            request_id=_decode_text(value_by_name.get(REQUEST_ID)),
            signed=SIGNATURE in value_by_name,
            # A target rejects a request that expects another target's ID
            # without running it.
            not_run=NOT_RUN in value_by_name or status == MISDIRECTED_STATUS,
            is_stream=content.startswith(b"text/event-stream"),
            encoded=b"content-encoding" in value_by_name,
            closes_connection=b"close"
            in value_by_name.get(b"connection", b"").lower(),
            load=_decode_load(value_by_name.get(LOAD)),
            misdirected=status == MISDIRECTED_STATUS,
            leaving=_decode_text(value_by_name.get(LEAVING)) == "1",
            retry_after_s=_decode_retry_after_s(
                status, value_by_name.get(RETRY_AFTER)
            ),
            calls_per_s=_decode_number(value_by_name.get(RATE_LIMIT)),
            cold_s=_decode_cold_s(value_by_name.get(COLD_MS)),
            delimited=bool(DELIMITERS & value_by_name.keys()),
        )


def _check_request(raw: RawRequest) -> None:
    """Raises InvalidRequestError if a request can't be sent to targets."""
    names = [name for name, _ in raw.headers]
    values = [value for _, value in raw.headers]
    hosts = [name for name in names if name in (b"Host", b"host")]
    if not raw.target or NOT_TARGET.search(raw.target):
        raise InvalidRequestError("the path has bytes that a URL may not have")
    if NOT_TOKEN.search(b"".join(names)) or not all(names):
        raise InvalidRequestError("a header's name is not valid")
    if NOT_VALUE.search(b" ".join(values)):
        raise InvalidRequestError("a header's value has control characters")
    if len(hosts) > 1:
        raise InvalidRequestError("there is more than one host header")
    if raw.method == b"CONNECT" or NOT_TOKEN.search(raw.method):
        raise InvalidRequestError("the method is not supported")


def _header_name(pair: tuple[bytes, bytes]) -> bytes:
    return pair[0].lower()


def _decode_text(value: bytes | None) -> str:
    return "" if value is None else value.decode("latin-1").strip()


def _hop_by_hop_names(headers: Headers) -> frozenset[bytes]:
    """Returns HOP_BY_HOP_HEADERS and the names listed in `Connection`."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    kept = {name for name in named if name.startswith(PROTECTED_PREFIXES)}
    return HOP_BY_HOP_HEADERS | (named - kept)


def _headers_to_forward(
    headers: Headers, value_by_name: dict[bytes, bytes]
) -> Headers:
    """Returns the caller's headers that are forwarded to targets."""
    dropped = _hop_by_hop_names(headers) | SYSTEM_HEADERS
    if _decode_api_key(value_by_name.get(AUTHORIZATION)) is not None:
        dropped |= {AUTHORIZATION}
    return [
        (name, value)
        for name, value in headers
        if name.lower().replace(b"_", b"-") not in dropped
    ]


def _decode_api_key(value: bytes | None) -> str | None:
    match = BEARER_TOKEN.match(value or b"")
    return match.group(1).decode("latin-1") if match else None


def _decode_timeout_s(value: bytes | None) -> float | None:
    try:
        return max(0.0, float(value) / 1000) if value else None
    except ValueError:
        return None


def _decode_token_limits(value: bytes | None) -> TokenLimits | None:
    prompt, _, output = (value or b"").partition(b",")
    limits = [parse_whole_number(text.strip()) for text in (prompt, output)]
    return None if None in limits else TokenLimits(*limits)


def _decode_prompt_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    parts = []
    for item in (value or b"").split(b","):
        part, _, tokens = item.strip().partition(b":")
        number = parse_whole_number(tokens)
        if part and number is not None:
            parts.append(PromptPart(part.decode("latin-1"), number))
    return tuple(parts)


def _decode_retry_after_s(status: int, value: bytes | None) -> float | None:
    """Returns for how long an overloaded target wants no requests.

    A value that is not a number of seconds is ignored, as is a negative one.
    """
    if status != OVERLOADED_STATUS or value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    if not 0 < seconds < math.inf:
        return None
    return min(seconds, defaults.TARGET_PAUSE_MAX_S)


def _decode_number(value: bytes | None) -> float | None:
    """Returns a number; None if it is missing or is not a number of at least 0.

    A rate beyond MAX_AMOUNT is no limit.
    """
    try:
        number = math.inf if value is None else float(value)
    except ValueError:
        return None
    return number if 0 <= number <= MAX_AMOUNT else None


def _decode_cold_s(value: bytes | None) -> float | None:
    milliseconds = _decode_number(value)
    return None if milliseconds is None else milliseconds / 1000


def _decode_load(value: bytes | None) -> LoadSample | None:
    """Returns a load of three figures, or of four if it states the pace."""
    fields = [item.strip() for item in (value or b"").split(b",")]
    counts = [parse_whole_number(field) for field in fields[:3]]
    if len(fields) not in (3, 4) or None in counts:
        return None
    pace = _decode_pace(fields[3]) if len(fields) == 4 else None
    return LoadSample(*counts, pace)


def _decode_pace(value: bytes) -> float | None:
    """Returns a pace; None if it is not a number that makes sense."""
    try:
        pace = float(value)
    except ValueError:
        return None
    return pace if 0 < pace < math.inf else None
