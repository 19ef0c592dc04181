"""Fuzz tests: any input gets a typed error, never an internal failure."""

import json

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from loguru import logger
from twisted.internet import task

from chicorystack.agent.call_resource import CallResource
from chicorystack.agent.closures import EpochFence
from chicorystack.agent.leaving import LeavingState
from chicorystack.agent.usage_table import HolderUsage
from chicorystack.budget.keeper.client import BudgetClient
from chicorystack.budget.keeper.closures import ClosingQuery
from chicorystack.budget.keeper.messages import (
    BudgetsReply,
    CustomerQuery,
    CustomerReply,
    Exchange,
    HolderQuery,
)
from chicorystack.budget.keeper.service import KeeperService
from chicorystack.budget.keeper.wallet import Reservation, ShardWallet
from chicorystack.calls.messages import CALL_HEADER, LoadReport
from chicorystack.config.messages import ConfigInForce, ConfigQuery
from chicorystack.config.model import build_config
from chicorystack.config.parser import parse_config
from chicorystack.config.store import ConfigStore
from chicorystack.errors import STATUS_BY_CODE
from chicorystack.membership.reports import ReportPoller
from chicorystack.membership.routers import RouterLeaving
from chicorystack.observe.endpoints import (
    Readiness,
    make_status,
    put_observe_endpoints,
)
from chicorystack.quarantine.router_quarantine import RouterQuarantine
from chicorystack.quarantine.strikes import StrikesMessage, StrikeTable
from chicorystack.quarantine.target_monitor import TargetMonitor
from chicorystack.router.admission import (
    BUDGET_HEADER,
    KEY_HEADER,
    TIMEOUT_HEADER,
    Admission,
)
from chicorystack.router.auth import CustomerDirectory
from chicorystack.router.dispatcher import Dispatcher
from chicorystack.router.forwarder import DeliveredResponse
from chicorystack.router.resources import caller_tree
from chicorystack.util import secret_hash
from chicorystack.web.server import (
    FLEET_TOKEN_HEADER,
    JsonEndpoint,
    ResourceTree,
    fleet_authorizer,
    send_json,
)
from tests.conftest import EXAMPLES
from tests.support.raw_http import InMemoryHttpServer, build_request

TOKEN = "a-fleet-token"
SALT = "00" * 16
SECRET = "s3cr3t"


class FakeBudgets:
    """Accepts every customer name and every reservation of tokens."""

    def __init__(self):
        self.shard_wallet = ShardWallet(0, "holder")

    async def customer(self, _shard, name):
        return CustomerReply(
            customer=name, key_salt=SALT, key_hash=secret_hash(SECRET, SALT)
        )

    async def budgets(self, _shard, customer):
        return BudgetsReply(customer=customer, epoch=1, budgets=[])

    async def reserve(self, shard, budget, tokens, _deadline):
        return Reservation(shard, budget, 1, tokens, "holder:1")

    def wallet(self, _shard):
        return self.shard_wallet


class FakeAttempts:
    """Responds to every call immediately."""

    async def run(self, caller, _call, reservation):
        send_json(caller, 200, {"ok": True})
        return DeliveredResponse(reservation.tokens, reservation.use)


class FakeService:
    """Serves every call immediately, in place of an agent's service."""

    in_flight = 0

    async def serve(self, caller, _call):
        send_json(caller, 200, {"ok": True})

    serve_repeatable = serve_once = serve


def make_store():
    example = EXAMPLES / "brandvagt.yaml"
    spec = parse_config(example.read_text(), str(example))
    store = ConfigStore()
    store.config = build_config(spec, 1)
    return store


def caller_server():
    clock, store, budgets = task.Clock(), make_store(), FakeBudgets()
    customers = CustomerDirectory(clock, budgets)
    admission = Admission(
        clock,
        "dk-east",
        customers,
        budgets,
        has_target=lambda _: True,
        strikes=StrikeTable(clock),
    )
    attempts = FakeAttempts()
    dispatcher = Dispatcher(
        clock, store, admission, budgets, attempts, attempts
    )
    return InMemoryHttpServer(
        caller_tree(dispatcher, store, customers, budgets)
    )


class AgentSettingsStub:
    name, site, service = "booking-1", "dk-east", "booking"


def control_server():
    authorize = fleet_authorizer(TOKEN)
    store = make_store()
    clock = task.Clock()
    keeper = KeeperService(clock, None, None, "r", "u", dict, dict)
    epochs = EpochFence(HolderUsage(clock))
    epochs.ready = True
    holders = BudgetClient(clock, None, "r")
    service = FakeService()
    strikes = StrikeTable(task.Clock())
    call_resource = CallResource(
        AgentSettingsStub,
        store,
        service,
        service,
        epochs,
        authorize,
        lambda _: None,
        LeavingState(clock),
        TargetMonitor("booking-1", strikes, probe=None),
    )
    quarantine = RouterQuarantine(
        None, strikes, ReportPoller(task.Clock(), None, None, dict), list
    )

    async def handle_leaving(_notice):
        return {}

    async def handle_config(query) -> ConfigInForce:
        return store.in_force(query.get("known", 0))

    async def handle_report(_report):
        return {}

    ready = Readiness(ready=True, config_version=1)
    root = ResourceTree()
    put_observe_endpoints(
        root,
        authorize,
        lambda: ready,
        lambda: make_status("r", "router", ready, 0),
    )
    root.put("run", call_resource)
    for path, kind, handler in (
        ("config", ConfigQuery, handle_config),
        ("report", LoadReport, handle_report),
        ("strikes", StrikesMessage, quarantine.handle_strikes),
        ("leaving", RouterLeaving, handle_leaving),
        ("keeper/exchange", Exchange, keeper.handle_exchange),
        ("keeper/customer", CustomerQuery, keeper.handle_customer),
        ("keeper/budgets", CustomerQuery, keeper.handle_budgets),
        ("holder", HolderQuery, holders.handle_holder_query),
        ("close-epochs", ClosingQuery, epochs.close),
    ):
        root.put(path, JsonEndpoint(kind, handler, authorize))
    return InMemoryHttpServer(root)


@pytest.fixture(scope="module")
def failures():
    """Returns the errors logged; every unexpected exception is logged."""
    messages = []
    handler_id = logger.add(messages.append, level="ERROR", format="{message}")
    yield messages
    logger.remove(handler_id)


def is_valid_reply(reply, method=b"GET"):
    """Checks that an error reply is JSON with a known error code."""
    if reply.status == 200:
        return True
    if method == b"HEAD":
        # A response to HEAD has no body.
        assert reply.status in set(STATUS_BY_CODE.values()) - {500}
        return True
    error = reply.error()
    assert STATUS_BY_CODE[error["code"]] == reply.status
    assert error["code"] != "internal"
    assert "Traceback" not in error["message"]
    return True


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)
message_fields = st.sampled_from(
    ["prompt", "max_tokens", "shard", "holder", "number", "epoch", "held",
     "usage", "wanted", "holders", "customer", "subjects", "known", "target",
     "ready"]
)  # fmt: skip
messages = st.dictionaries(message_fields, json_values, max_size=8)
bodies = st.one_of(
    st.binary(max_size=40),
    json_values.map(lambda value: json.dumps(value).encode()),
    messages.map(lambda value: json.dumps(value).encode()),
    st.just(b"[" * 5000),
)
# Any bytes that do not end a header.
header_values = st.binary(max_size=30).map(
    lambda value: value.translate(None, b"\0\r\n")
)
CALLER_HEADERS = {
    "authorization": f"Bearer ck.alpha.{SECRET}".encode(),
    KEY_HEADER: b"k1",
    TIMEOUT_HEADER: b"5000",
    BUDGET_HEADER: b"main",
}
CONTROL_HEADERS = {
    FLEET_TOKEN_HEADER: TOKEN.encode(),
    CALL_HEADER: b"{}",
}
CALLER_PATHS = [
    b"/v1/services/fault-model/summary",
    b"/v1/services/booking/book",
    b"/v1/services/booking",
    b"/v1/budgets",
]
CONTROL_PATHS = [
    b"/run",
    b"/config?known=x",
    b"/keeper/exchange",
    b"/keeper/customer?shard=0&customer=%ff",
    b"/explain?subjects=a,b",
    b"/report",
    b"/holder",
    b"/close-epochs",
    b"/status",
    b"/readyz",
    b"/strikes",
    b"/leaving",
]
methods = st.sampled_from([b"GET", b"POST", b"PUT", b"HEAD", b"OPTIONS", b"X"])


def headers_of(valid):
    """Strategy: valid headers, some of them replaced, omitted or repeated."""
    pairs = st.sampled_from(sorted(valid)).flatmap(
        lambda name: st.tuples(
            st.just(name.encode()), st.just(valid[name]) | header_values
        )
    )
    all_valid = [(name.encode(), value) for name, value in valid.items()]
    return st.just(all_valid) | st.lists(pairs, max_size=6)


def paths_of(known):
    """Strategy: known paths, unknown services and malformed paths."""
    unknown = st.text(max_size=10).map(
        lambda text: b"/v1/services/" + text.encode("utf-8").hex().encode()
    )
    return st.sampled_from(known) | unknown | st.just(b"/%ff/%00//..")


CALLERS = caller_server()
CONTROL = control_server()


@given(methods, paths_of(CALLER_PATHS), headers_of(CALLER_HEADERS), bodies)
@example(b"GET", b"/v1/budgets", [(b"authorization", b"\xaf")], b"")
@settings(max_examples=300)
def test_caller_interface(failures, method, path, headers, body):
    reply = CALLERS.send(build_request(method, path, headers, body))
    assert is_valid_reply(reply, method)
    assert failures == []


@given(methods, paths_of(CONTROL_PATHS), headers_of(CONTROL_HEADERS), bodies)
@example(b"GET", b"/status", [(b"chicory-fleet-token", b"\xaf")], b"")
@settings(max_examples=300)
def test_control_interface(failures, method, path, headers, body):
    reply = CONTROL.send(build_request(method, path, headers, body))
    assert is_valid_reply(reply, method)
    assert failures == []


@given(st.binary(max_size=200))
def test_arbitrary_bytes(failures, raw):
    reply = CALLERS.send(raw + b"\r\n\r\n")
    assert reply.status == 0 or is_valid_reply(reply)
    assert failures == []


def test_fuzzed_interfaces_serve_valid_requests():
    """Guards against fuzz tests whose valid requests are all refused."""
    headers = [(name.encode(), v) for name, v in CALLER_HEADERS.items()]
    body = b'{"prompt": "x"}'
    reply = CALLERS.send(build_request(b"POST", CALLER_PATHS[0], headers, body))
    assert reply.status == 200
    token = [(FLEET_TOKEN_HEADER.encode(), TOKEN.encode())]
    assert CONTROL.send(build_request(b"GET", b"/status", token)).status == 200
