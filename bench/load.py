"""Open-loop load on a fleet: arrivals fixed by seed, latencies by kind.

Each call is sent at its intended time whether or not earlier ones have been
answered, and its latency counts from that time.
"""

import random
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple, TypedDict

import msgspec
from hdrh.histogram import HdrHistogram
from twisted.internet import defer, error, protocol, task
from twisted.web import client, http_headers
from twisted.web.client import ResponseDone

from chicorystack.calls.messages import (
    END_EVENT_PREFIX,
    EVENT_END,
    EngineRequest,
)
from chicorystack.defaults import LOOPBACK
from chicorystack.errors import ErrorReply
from chicorystack.standin.engine import generate_words
from chicorystack.web.client import BytesProducer

MICROS = 1_000_000
MAX_MICROS = 120 * MICROS
SIGNIFICANT_DIGITS = 3
FALSE_REFUSAL_CODES = ("budget_exhausted", "budget_unreachable")
# How long past its deadline a caller waits before it gives up, in seconds.
GRACE_S = 1.0
CONNECT_TIMEOUT_S = 2.0


class Kind(NamedTuple):
    """One kind of call.

    Attributes:
        service: Service to call.
        operation: Operation to call.
        weight: Share among all calls, relative to the other kinds.
        timeout_ms: Time until the answer has to be whole.
        max_tokens: Most tokens to generate; 0 for plain services.
    """

    service: str
    operation: str
    weight: int
    timeout_ms: int
    max_tokens: int = 0


BRANDVAGT_KINDS = (
    Kind("fault-model", "summary", 45, 3_000, 40),
    Kind("fault-model", "guidance", 25, 5_000, 63),
    Kind("booking", "book", 10, 2_000),
    Kind("booking", "status", 20, 2_000),
)
CEDARLINE_KINDS = (
    Kind("inscription-model", "wording", 40, 2_000, 16),
    Kind("inscription-model", "dedication", 30, 5_000, 63),
    Kind("proofs", "order", 10, 2_000),
    Kind("proofs", "lookup", 20, 2_000),
)


class LoadCustomer(NamedTuple):
    """A customer that sends calls.

    Attributes:
        name: Its name.
        secret: Its secret key.
        rate: Calls a second.
    """

    name: str
    secret: str
    rate: float


class PlannedCall(NamedTuple):
    """One call of a plan.

    Attributes:
        at: Seconds after the start of the load.
        number: Position in the plan.
        customer: Who sends it.
        kind: Its kind.
        prompt: Its text.
    """

    at: float
    number: int
    customer: LoadCustomer
    kind: Kind
    prompt: str


class Latencies(TypedDict):
    """Percentiles in milliseconds."""

    p50: float
    p95: float
    p99: float


class KindReport(TypedDict):
    """What became of the calls of one kind.

    Attributes:
        sent: Calls sent.
        in_time: Answered correctly before the deadline.
        late: Answered correctly after it.
        wrong: Answered by other bytes than expected.
        cut: Broken off or never answered.
        refused_by_code: Refusals, by code.
        false_refusals: Refusals that name the budget.
        first_byte_ms: Time to the first byte of the answer; for all kinds
            together that of streams alone.
        gap_ms: Time between chunks of a stream.
        refusal_ms: Time to a refusal.
    """

    sent: int
    in_time: int
    late: int
    wrong: int
    cut: int
    refused_by_code: dict[str, int]
    false_refusals: int
    first_byte_ms: Latencies
    gap_ms: Latencies
    refusal_ms: Latencies


class LoadReport(TypedDict):
    """The report of one load.

    Attributes:
        seed: Seed of the plan.
        calls: Calls sent.
        in_time_share: Part of them answered correctly and in time.
        worst_send_delay_ms: Most that the load program itself lagged.
        total: All calls.
        report_by_kind: Calls by kind.
        report_by_customer: Calls by customer.
    """

    seed: int
    calls: int
    in_time_share: float
    worst_send_delay_ms: float
    total: KindReport
    report_by_kind: dict[str, KindReport]
    report_by_customer: dict[str, KindReport]


class Tally:
    """Counts and histograms of some of the calls."""

    def __init__(self):
        self.count_by_result: Counter[str] = Counter()
        self.count_by_code: Counter[str] = Counter()
        self.first_byte = _histogram()
        self.gap = _histogram()
        self.refusal = _histogram()

    def report(self) -> KindReport:
        """Returns the figures."""
        count = self.count_by_result
        false = sum(self.count_by_code[code] for code in FALSE_REFUSAL_CODES)
        return KindReport(
            sent=count.total(),
            in_time=count["in_time"],
            late=count["late"],
            wrong=count["wrong"],
            cut=count["cut"],
            refused_by_code=dict(self.count_by_code),
            false_refusals=false,
            first_byte_ms=_latencies(self.first_byte),
            gap_ms=_latencies(self.gap),
            refusal_ms=_latencies(self.refusal),
        )


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_MICROS, SIGNIFICANT_DIGITS)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Records a time span."""
    micros = int(seconds * MICROS)
    histogram.record_value(min(MAX_MICROS, max(1, micros)))


def _latencies(histogram: HdrHistogram) -> Latencies:
    p50, p95, p99 = (
        round(histogram.get_value_at_percentile(percentile) / 1000, 1)
        for percentile in (50, 95, 99)
    )
    return Latencies(p50=p50, p95=p95, p99=p99)


def plan_calls(
    seed: int,
    kinds: tuple[Kind, ...],
    customers: list[LoadCustomer],
    seconds: float,
    prompts: int = 0,
) -> list[PlannedCall]:
    """Returns Poisson arrivals of all customers, in order of time.

    Args:
        seed: Fixes times, kinds and prompts.
        kinds: Kinds to choose from.
        customers: Who sends, and how often.
        seconds: Length of the load.
        prompts: Number of long prompt prefixes shared by calls; 0 for none.
    """
    arrivals = sorted(
        arrival
        for customer in customers
        for arrival in _arrivals(seed, kinds, customer, seconds, prompts)
    )
    return [
        PlannedCall(at, number, customer, kind, f"{prompt} {number}")
        for number, (at, customer, kind, prompt) in enumerate(arrivals)
    ]


def _arrivals(
    seed: int,
    kinds: tuple[Kind, ...],
    customer: LoadCustomer,
    seconds: float,
    prompts: int,
) -> Iterator[tuple[float, LoadCustomer, Kind, str]]:
    chance = random.Random(f"{seed}/{customer.name}")
    weights = [kind.weight for kind in kinds]
    at = chance.expovariate(customer.rate)
    while at < seconds:
        kind = chance.choices(kinds, weights)[0]
        prefix = f"panel {chance.randrange(prompts)} " * 20 if prompts else ""
        yield at, customer, kind, f"{prefix}{customer.name}"
        at += chance.expovariate(customer.rate)


class AnswerReader(protocol.Protocol):
    """Reads an answer and notes when its parts come."""

    def __init__(self, clock, gap: HdrHistogram):
        self._clock = clock
        self._gap = gap
        self.first_at: float | None = None
        self._last_at = 0.0
        self.chunks: list[bytes] = []
        self.finished: defer.Deferred[bool] = defer.Deferred(self._cancel)

    def _cancel(self, _deferred) -> None:
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Keeps the bytes and the times."""
        now = self._clock.seconds()
        if self.first_at is None:
            self.first_at = now
        else:
            record_seconds(self._gap, now - self._last_at)
        self._last_at = now
        self.chunks.append(data)

    def connectionLost(self, reason) -> None:
        """Tells whether the answer came to its end."""
        if not self.finished.called:
            self.finished.callback(bool(reason.check(ResponseDone)))


class Load:
    """Sends a plan to the routers' callers' ports and checks the answers.

    Attributes:
        tally: All calls.
        tally_by_kind: Calls by kind.
        tally_by_customer: Calls by customer.
    """

    def __init__(self, clock, ports: list[int]):
        self._clock = clock
        self._ports = ports
        pool = client.HTTPConnectionPool(clock, persistent=True)
        pool.maxPersistentPerHost = 512
        self._http = client.Agent(
            clock, connectTimeout=CONNECT_TIMEOUT_S, pool=pool
        )
        self.tally = Tally()
        self.tally_by_kind: dict[str, Tally] = {}
        self.tally_by_customer: dict[str, Tally] = {}
        self._worst_send_delay_s = 0.0

    async def run(self, seed: int, plan: list[PlannedCall]) -> LoadReport:
        """Sends all calls and returns the report."""
        start = self._clock.seconds()
        running = []
        for call in plan:
            intended = start + call.at
            delay = intended - self._clock.seconds()
            if delay > 0:
                await task.deferLater(self._clock, delay)
            lag = self._clock.seconds() - intended
            self._worst_send_delay_s = max(self._worst_send_delay_s, lag)
            running.append(defer.ensureDeferred(self._call(call, intended)))
        await defer.gatherResults(running)
        return self._report(seed, len(plan))

    def _report(self, seed: int, calls: int) -> LoadReport:
        total = self.tally.report()
        return LoadReport(
            seed=seed,
            calls=calls,
            in_time_share=round(total["in_time"] / max(1, calls), 5),
            worst_send_delay_ms=round(self._worst_send_delay_s * 1000, 1),
            total=total,
            report_by_kind=_reports(self.tally_by_kind),
            report_by_customer=_reports(self.tally_by_customer),
        )

    def _tallies(self, call: PlannedCall) -> tuple[Tally, ...]:
        return (
            self.tally,
            self.tally_by_kind.setdefault(call.kind.operation, Tally()),
            self.tally_by_customer.setdefault(call.customer.name, Tally()),
        )

    async def _call(self, call: PlannedCall, intended: float) -> None:
        tallies = self._tallies(call)
        reader = AnswerReader(self._clock, tallies[1].gap)
        exchange = defer.ensureDeferred(self._exchange(call, reader))
        give_up_s = call.kind.timeout_ms / 1000 + GRACE_S
        exchange.addTimeout(give_up_s, self._clock)
        code = ""
        try:
            result, code = await exchange
        except Exception:
            result = "cut"
        now = self._clock.seconds()
        if result == "in_time" and now - intended > call.kind.timeout_ms / 1000:
            result = "late"
        for tally in tallies:
            tally.count_by_result[result] += 1
            if code:
                tally.count_by_code[code] += 1
            if result == "refused":
                record_seconds(tally.refusal, now - intended)
            elif reader.first_at is not None and (
                call.kind.max_tokens or tally is not self.tally
            ):
                record_seconds(tally.first_byte, reader.first_at - intended)

    async def _exchange(
        self, call: PlannedCall, reader: AnswerReader
    ) -> tuple[str, str]:
        """Returns result and, where it was refused, the refusal's code."""
        response = await self._send(call)
        response.deliverBody(reader)
        whole = await reader.finished
        body = b"".join(reader.chunks)
        if response.code != 200:
            reply = msgspec.json.decode(body, type=ErrorReply)
            return "refused", reply["error"]["code"]
        if not whole:
            return "cut", ""
        return ("in_time" if is_correct(call, body) else "wrong"), ""

    async def _send(self, call: PlannedCall):
        """Sends to a router; to the next one where it takes no connection."""
        for attempt in range(len(self._ports)):
            port = self._ports[(call.number + attempt) % len(self._ports)]
            try:
                return await self._http.request(
                    b"POST",
                    _url(port, call.kind),
                    _headers(call),
                    BytesProducer(msgspec.json.encode(_message(call))),
                )
            except error.ConnectError:
                continue
        raise error.ConnectError


def _reports(tally_by_name: dict[str, Tally]) -> dict[str, KindReport]:
    names = sorted(tally_by_name)
    return {name: tally_by_name[name].report() for name in names}


def _url(port: int, kind: Kind) -> bytes:
    path = f"/v1/services/{kind.service}/{kind.operation}"
    return f"http://{LOOPBACK}:{port}{path}".encode()


def _headers(call: PlannedCall) -> http_headers.Headers:
    return http_headers.Headers(
        {
            "content-type": ["application/json"],
            "authorization": [f"Bearer {call.customer.secret}"],
            "idempotency-key": [f"{call.customer.name}-{call.number}"],
            "chicory-timeout-ms": [str(call.kind.timeout_ms)],
        }
    )


def _message(call: PlannedCall) -> dict[str, object]:
    if call.kind.max_tokens:
        return {"prompt": call.prompt, "max_tokens": call.kind.max_tokens}
    return {"job": call.prompt}


def is_correct(call: PlannedCall, body: bytes) -> bool:
    """Tells whether an answer is the whole and only answer of its call."""
    if not call.kind.max_tokens:
        answer = msgspec.json.decode(body, type=dict[str, object])
        return answer.get("echo") == _message(call)
    words = generate_words(
        EngineRequest(
            prompt=call.prompt,
            max_tokens=call.kind.max_tokens,
            priority="normal",
        )
    )
    events, found, _ = body.rpartition(END_EVENT_PREFIX)
    texts = [
        msgspec.json.decode(event.removeprefix(b"data: "))["text"]
        for event in events.split(EVENT_END)
        if event
    ]
    return bool(found) and texts == list(words)
