"""Open-loop load generator with seeded arrivals and latency histograms.

Each call is sent at its planned time, whether or not earlier calls have
completed, and its latency is measured from that time.
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
# Time from the deadline of a call until it is aborted.
GRACE_S = 1.0
CONNECT_TIMEOUT_S = 2.0


class LoadCallKind(NamedTuple):
    """A kind of call.

    Attributes:
        service: Service to call.
        operation: Operation to call.
        weight: Relative frequency of this kind.
        timeout_ms: Time limit for the complete response, in milliseconds.
        max_tokens: Token limit of the request; 0 for plain services.
    """

    service: str
    operation: str
    weight: int
    timeout_ms: int
    max_tokens: int = 0


BRANDVAGT_KINDS = (
    LoadCallKind("fault-model", "summary", 45, 3_000, 40),
    LoadCallKind("fault-model", "guidance", 25, 5_000, 63),
    LoadCallKind("booking", "book", 10, 2_000),
    LoadCallKind("booking", "status", 20, 2_000),
)
CEDARLINE_KINDS = (
    LoadCallKind("inscription-model", "wording", 40, 2_000, 16),
    LoadCallKind("inscription-model", "dedication", 30, 5_000, 63),
    LoadCallKind("proofs", "order", 10, 2_000),
    LoadCallKind("proofs", "lookup", 20, 2_000),
)


class LoadCustomer(NamedTuple):
    """A customer that sends calls.

    Attributes:
        name: Name of the customer.
        secret: Secret key of the customer.
        rate: Calls per second.
    """

    name: str
    secret: str
    rate: float


class PlannedCall(NamedTuple):
    """One call of a load plan.

    Attributes:
        start_s: Time to send it, in seconds after the start of the load.
        number: Position in the plan.
        customer: Customer that sends it.
        kind: Kind of call.
        prompt: Text of the prompt or job.
    """

    start_s: float
    number: int
    customer: LoadCustomer
    kind: LoadCallKind
    prompt: str


class Percentiles(TypedDict):
    """Percentiles in milliseconds."""

    p50: float
    p95: float
    p99: float


class KindReport(TypedDict):
    """Results of a group of calls.

    Attributes:
        sent: Calls sent.
        in_time: Calls with a correct response before the deadline.
        late: Calls with a correct response after the deadline.
        wrong: Calls with a complete but incorrect response.
        cut: Calls with an incomplete response or none.
        refused_by_code: Refused calls, by error code.
        false_refusals: Calls refused because their budget was exhausted or
            unreachable, although the budgets of a load are ample.
        first_byte_ms: Time to the first byte of the response body. The total
            of all calls includes only streams.
        gap_ms: Time between chunks of a response; recorded by kind only.
        refusal_ms: Time to a refusal.
    """

    sent: int
    in_time: int
    late: int
    wrong: int
    cut: int
    refused_by_code: dict[str, int]
    false_refusals: int
    first_byte_ms: Percentiles
    gap_ms: Percentiles
    refusal_ms: Percentiles


class LoadReport(TypedDict):
    """Results of one load.

    Attributes:
        seed: Seed of the plan.
        calls: Calls sent.
        in_time_share: Share of the calls with a correct response in time.
        worst_send_delay_ms: Longest delay between a call's planned time and
            its sending.
        total: Results of all calls.
        report_by_kind: Results by kind.
        report_by_customer: Results by customer.
    """

    seed: int
    calls: int
    in_time_share: float
    worst_send_delay_ms: float
    total: KindReport
    report_by_kind: dict[str, KindReport]
    report_by_customer: dict[str, KindReport]


class CallStats:
    """Counters and histograms of a group of calls."""

    def __init__(self):
        self.count_by_result: Counter[str] = Counter()
        self.count_by_code: Counter[str] = Counter()
        self.first_byte = _histogram()
        self.gap = _histogram()
        self.refusal = _histogram()

    def report(self) -> KindReport:
        """Returns the results as a report."""
        count = self.count_by_result
        false_refusals = sum(
            self.count_by_code[code] for code in FALSE_REFUSAL_CODES
        )
        return KindReport(
            sent=count.total(),
            in_time=count["in_time"],
            late=count["late"],
            wrong=count["wrong"],
            cut=count["cut"],
            refused_by_code=dict(self.count_by_code),
            false_refusals=false_refusals,
            first_byte_ms=_percentiles_ms(self.first_byte),
            gap_ms=_percentiles_ms(self.gap),
            refusal_ms=_percentiles_ms(self.refusal),
        )


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_MICROS, SIGNIFICANT_DIGITS)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Records a duration, limited to the range of the histogram."""
    micros = int(seconds * MICROS)
    histogram.record_value(min(MAX_MICROS, max(1, micros)))


def _percentiles_ms(histogram: HdrHistogram) -> Percentiles:
    p50, p95, p99 = (
        round(histogram.get_value_at_percentile(percentile) / 1000, 1)
        for percentile in (50, 95, 99)
    )
    return Percentiles(p50=p50, p95=p95, p99=p99)


def plan_calls(
    seed: int,
    kinds: tuple[LoadCallKind, ...],
    customers: list[LoadCustomer],
    seconds: float,
    prompts: int = 0,
) -> list[PlannedCall]:
    """Returns the calls of all customers, sorted by start time.

    The calls of each customer arrive as a Poisson process.

    Args:
        seed: Seed of times, kinds and prompts.
        kinds: Kinds to choose from.
        customers: Customers with their call rates.
        seconds: Length of the load.
        prompts: Number of long prompt prefixes that calls share; 0 for none.
    """
    arrivals = sorted(
        arrival
        for customer in customers
        for arrival in _arrivals(seed, kinds, customer, seconds, prompts)
    )
    return [
        PlannedCall(start_s, number, customer, kind, f"{prompt} {number}")
        for number, (start_s, customer, kind, prompt) in enumerate(arrivals)
    ]


def _arrivals(
    seed: int,
    kinds: tuple[LoadCallKind, ...],
    customer: LoadCustomer,
    seconds: float,
    prompts: int,
) -> Iterator[tuple[float, LoadCustomer, LoadCallKind, str]]:
    rng = random.Random(f"{seed}/{customer.name}")
    weights = [kind.weight for kind in kinds]
    start_s = rng.expovariate(customer.rate)
    while start_s < seconds:
        kind = rng.choices(kinds, weights)[0]
        prefix = f"panel {rng.randrange(prompts)} " * 20 if prompts else ""
        yield start_s, customer, kind, f"{prefix}{customer.name}"
        start_s += rng.expovariate(customer.rate)


class ResponseReader(protocol.Protocol):
    """Reads a response body and records when its chunks arrive."""

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
        """Stores a chunk and records its time."""
        now = self._clock.seconds()
        if self.first_at is None:
            self.first_at = now
        else:
            record_seconds(self._gap, now - self._last_at)
        self._last_at = now
        self.chunks.append(data)

    def connectionLost(self, reason) -> None:
        """Fires `finished` with whether the body is complete."""
        if not self.finished.called:
            self.finished.callback(bool(reason.check(ResponseDone)))


class Load:
    """Sends the calls of a plan to routers and checks the responses.

    Attributes:
        stats: Statistics of all calls.
        stats_by_kind: Statistics by kind.
        stats_by_customer: Statistics by customer.
    """

    def __init__(self, clock, ports: list[int]):
        self._clock = clock
        self._ports = ports
        pool = client.HTTPConnectionPool(clock, persistent=True)
        pool.maxPersistentPerHost = 512
        self._http = client.Agent(
            clock, connectTimeout=CONNECT_TIMEOUT_S, pool=pool
        )
        self.stats = CallStats()
        self.stats_by_kind: dict[str, CallStats] = {}
        self.stats_by_customer: dict[str, CallStats] = {}
        self._worst_send_delay_s = 0.0

    async def run(self, seed: int, plan: list[PlannedCall]) -> LoadReport:
        """Sends all calls, waits for their end and returns the report."""
        start = self._clock.seconds()
        running = []
        for call in plan:
            planned_at = start + call.start_s
            delay = planned_at - self._clock.seconds()
            if delay > 0:
                await task.deferLater(self._clock, delay)
            lag = self._clock.seconds() - planned_at
            self._worst_send_delay_s = max(self._worst_send_delay_s, lag)
            running.append(defer.ensureDeferred(self._call(call, planned_at)))
        await defer.gatherResults(running)
        return self._report(seed, len(plan))

    def _report(self, seed: int, calls: int) -> LoadReport:
        total = self.stats.report()
        return LoadReport(
            seed=seed,
            calls=calls,
            in_time_share=round(total["in_time"] / max(1, calls), 5),
            worst_send_delay_ms=round(self._worst_send_delay_s * 1000, 1),
            total=total,
            report_by_kind=_reports(self.stats_by_kind),
            report_by_customer=_reports(self.stats_by_customer),
        )

    def _stats_of(self, call: PlannedCall) -> tuple[CallStats, ...]:
        return (
            self.stats,
            self.stats_by_kind.setdefault(call.kind.operation, CallStats()),
            self.stats_by_customer.setdefault(call.customer.name, CallStats()),
        )

    async def _call(self, call: PlannedCall, planned_at: float) -> None:
        groups = self._stats_of(call)
        reader = ResponseReader(self._clock, groups[1].gap)
        exchange = defer.ensureDeferred(self._send_and_check(call, reader))
        timeout_s = call.kind.timeout_ms / 1000 + GRACE_S
        exchange.addTimeout(timeout_s, self._clock)
        code = ""
        try:
            result, code = await exchange
        except Exception:
            result = "cut"
        now = self._clock.seconds()
        if (
            result == "in_time"
            and now - planned_at > call.kind.timeout_ms / 1000
        ):
            result = "late"
        for stats in groups:
            stats.count_by_result[result] += 1
            if code:
                stats.count_by_code[code] += 1
            if result == "refused":
                record_seconds(stats.refusal, now - planned_at)
            elif reader.first_at is not None and (
                call.kind.max_tokens or stats is not self.stats
            ):
                record_seconds(stats.first_byte, reader.first_at - planned_at)

    async def _send_and_check(
        self, call: PlannedCall, reader: ResponseReader
    ) -> tuple[str, str]:
        """Returns the result and, if the call was refused, the error code."""
        response = await self._send(call)
        response.deliverBody(reader)
        complete = await reader.finished
        body = b"".join(reader.chunks)
        if response.code != 200:
            reply = msgspec.json.decode(body, type=ErrorReply)
            return "refused", reply["error"]["code"]
        if not complete:
            return "cut", ""
        return ("in_time" if is_correct(call, body) else "wrong"), ""

    async def _send(self, call: PlannedCall):
        """Sends the call to a router, or to the next if it can't connect."""
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


def _reports(stats_by_name: dict[str, CallStats]) -> dict[str, KindReport]:
    names = sorted(stats_by_name)
    return {name: stats_by_name[name].report() for name in names}


def _url(port: int, kind: LoadCallKind) -> bytes:
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
    """Returns whether a body is exactly the expected response to a call."""
    if not call.kind.max_tokens:
        response = msgspec.json.decode(body, type=dict[str, object])
        return response.get("echo") == _message(call)
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
