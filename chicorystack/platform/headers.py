"""The platform's headers as the product's messages, and the other way."""

import re

from chicorystack.gateway.caller_http import RawRequest
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

ATTEMPT_ID = b"x-chicorystack-request-attempt-id"
DEADLINE_MS = b"x-chicorystack-deadline-ms"
LAST_EVENT = b"last-event-id"
MODEL = b"x-chicorystack-model"
# Tokens of the prompt, and most tokens of the answer.
TOKENS = b"x-chicorystack-token-usage"
PROMPT = b"x-chicorystack-prompt-prefix"
TENANT = b"x-chicorystack-tenant"
EXPECT_TARGET = b"x-chicorystack-expect-instance"
PRIORITY = b"x-chicorystack-request-priority"
SIGNATURE = b"x-chicorystack-response-seal"
NOT_RUN = b"x-chicorystack-not-executed"
LOAD = b"x-chicorystack-engine-load"
LEAST_URGENT = 9
MISDIRECTED = 421

# Headers that only the system sets; a caller's own are dropped.
SYSTEM_HEADERS = frozenset(
    {
        TENANT,
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
# Headers that concern one connection only, or are set anew for each target.
CONNECTION_HEADERS = frozenset(
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
# Headers that a caller may not have dropped by naming them in `Connection`.
PROTECTED_PREFIXES = (b"x-chicorystack-", b"host", b"last-event-id")
AUTHORIZATION = b"authorization"
BEARER = re.compile(rb"bearer +(\S+) *$", re.IGNORECASE)


class PlatformCallers:
    """Codec for callers' requests; see CallerCodec."""

    def decode_request(self, raw: RawRequest) -> CallerRequest:
        """Decodes a request."""
        by_name = {name.lower(): value for name, value in raw.headers}
        path = raw.target.partition(b"?")[0]
        return CallerRequest(
            id=_text(by_name.get(ATTEMPT_ID)),
            method=raw.method,
            target=raw.target,
            host=_text(by_name.get(b"host")).partition(":")[0],
            path=path.decode("latin-1"),
            headers=_forwarded(raw.headers, by_name),
            body=raw.body,
            api_key=_key(by_name.get(AUTHORIZATION)),
            timeout_s=_timeout_s(by_name.get(DEADLINE_MS)),
            token_limits=_token_bounds(by_name.get(TOKENS)),
            prompt_parts=_prompt(by_name.get(PROMPT)),
            last_event_id=_text(by_name.get(LAST_EVENT)),
            received_at=raw.received_at,
        )


class PlatformTargets:
    """Codec for targets; see TargetCodec."""

    def encode_request(
        self, call: Call, target: TargetEntry, left_s: float, last_event_id: str
    ) -> HttpRequest:
        """Returns the request for a target."""
        request = call.request
        headers = [*request.headers]
        if last_event_id != request.last_event_id:
            headers = [pair for pair in headers if _name(pair) != LAST_EVENT]
            headers.append((LAST_EVENT, last_event_id.encode()))
        left_ms = max(1, int(left_s * 1000))
        headers.append((DEADLINE_MS, str(left_ms).encode()))
        headers.append((EXPECT_TARGET, target.id.encode()))
        if call.customer:
            headers.append((TENANT, call.customer.encode()))
        if call.priority is not None:
            priority = min(max(call.priority, 0), LEAST_URGENT)
            headers.append((PRIORITY, str(priority).encode()))
        return HttpRequest(
            request.method, request.target, headers, request.body
        )

    def decode_head(self, status: int, headers: Headers) -> ResponseHead:
        """Decodes the head of a target's answer."""
        by_name = dict(headers)
        dropped = _connection_names(headers)
        content = by_name.get(b"content-type", b"")
        return ResponseHead(
            status=status,
            headers=[
                (name, value)
                for name, value in headers
                if name == b"content-length" or name not in dropped
            ],
            request_id=_text(by_name.get(ATTEMPT_ID)),
            signed=SIGNATURE in by_name,
            # A target with another name than expected has not run it.
            not_run=NOT_RUN in by_name or status == MISDIRECTED,
            is_stream=content.startswith(b"text/event-stream"),
            encoded=b"content-encoding" in by_name,
            closes_connection=b"close"
            in by_name.get(b"connection", b"").lower(),
            load=_load(by_name.get(LOAD)),
        )


def _name(pair: tuple[bytes, bytes]) -> bytes:
    return pair[0].lower()


def _text(value: bytes | None) -> str:
    return "" if value is None else value.decode("latin-1").strip()


def _connection_names(headers: Headers) -> frozenset[bytes]:
    """Returns names of headers that concern one connection only."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    kept = {name for name in named if name.startswith(PROTECTED_PREFIXES)}
    return CONNECTION_HEADERS | (named - kept)


def _forwarded(headers: Headers, by_name: dict[bytes, bytes]) -> Headers:
    """Returns the headers of a caller that targets get."""
    dropped = _connection_names(headers) | SYSTEM_HEADERS
    if _key(by_name.get(AUTHORIZATION)) is not None:
        dropped |= {AUTHORIZATION}
    return [
        (name, value)
        for name, value in headers
        if name.lower().replace(b"_", b"-") not in dropped
    ]


def _key(value: bytes | None) -> str | None:
    match = BEARER.match(value or b"")
    return match.group(1).decode("latin-1") if match else None


def _timeout_s(value: bytes | None) -> float | None:
    try:
        return max(0.0, float(value) / 1000) if value else None
    except ValueError:
        return None


def _token_bounds(value: bytes | None) -> TokenLimits | None:
    prompt, _, output = (value or b"").partition(b",")
    prompt, output = prompt.strip(), output.strip()
    if not prompt.isdigit() or not output.isdigit():
        return None
    return TokenLimits(int(prompt), int(output))


def _prompt(value: bytes | None) -> tuple[PromptPart, ...]:
    parts = []
    for item in (value or b"").split(b","):
        part, _, tokens = item.strip().partition(b":")
        if part and tokens.isdigit():
            parts.append(PromptPart(part.decode("latin-1"), int(tokens)))
    return tuple(parts)


def _load(value: bytes | None) -> LoadSample | None:
    numbers = [item.strip() for item in (value or b"").split(b",")]
    if len(numbers) != 3 or not all(map(bytes.isdigit, numbers)):
        return None
    return LoadSample(*map(int, numbers))
