"""Runs the Cedarline feature, in the users' terms, on real processes."""

from itertools import count
from typing import NamedTuple

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bench.fleet import Fleet, Reply, running_fleet, send, wait_until
from tests.conftest import EXAMPLES

scenarios("../features/cedarline.feature")

SITE = "bc-coast"
# More than the 100 look-ups that the scenario's budget covers.
LOOKUP_ATTEMPTS = 120
customer_numbers = count(1)


class Customer(NamedTuple):
    """A customer with its secret key."""

    name: str
    key: str


class ScenarioState:
    """Customers of one scenario and the replies to its calls, in order."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.replies: list[Reply] = []
        self.customers: list[Customer] = []

    def add_customer(self, tokens: int) -> None:
        name = f"family-{next(customer_numbers)}"
        key = self.fleet.ctl("create_customer", name)["key"]
        self.fleet.ctl("top_up", name, str(tokens))
        self.customers.append(Customer(name, key))

    def call(self, customer, router, path, message, call_key=None) -> Reply:
        headers = {"Authorization": f"Bearer {customer.key}"}
        if call_key:
            headers["Idempotency-Key"] = call_key
        port = self.fleet.router_by_name[f"router-{router}"].port
        url = f"/v1/services/{path}"
        reply = send(port, "POST", url, message, headers)
        self.replies.append(reply)
        return reply

    def billed_tokens(self, customer: Customer) -> int:
        (view,) = self.fleet.ctl("budget", customer.name)["budgets"]
        return view["billed"]

    def get_counts(self, service: str) -> list[dict]:
        return [
            send(target.port, "GET", "/counts").json()
            for target in self.fleet.target_by_name.values()
            if target.service == service
        ]


@pytest.fixture(scope="module")
def cedarline_fleet(tmp_path_factory):
    directory = tmp_path_factory.mktemp("cedarline")
    example = EXAMPLES / "cedarline.yaml"
    with running_fleet(example, directory) as fleet:
        fleet.start_platform()
        services = fleet.config.site_by_name[SITE].service_by_name
        for number in (1, 2):
            fleet.start_router(f"router-{number}", SITE, f"bc-coast-{number}")
        fleet.start_target(services["inscription-model"], "inscription-model-1")
        for number in (1, 2, 3):
            fleet.start_target(services["proofs"], f"proofs-{number}")
        fleet.ctl("publish", str(example))
        fleet.wait_until_ready()
        yield fleet


@given("a Cedarline fleet with two routers", target_fixture="state")
def state(cedarline_fleet):
    return ScenarioState(cedarline_fleet)


@given(parsers.parse("a customer with {tokens:d} tokens"))
@given(parsers.parse("another customer with {tokens:d} tokens"))
def add_customer(state, tokens):
    state.add_customer(tokens)


@when("a family asks router 1 for a dedication")
def request_dedication(state):
    message = {"prompt": "In memory of Ann, who fed the ducks here"}
    state.call(state.customers[0], 1, "inscription-model/dedication", message)


@when(
    parsers.parse('staff place the order "{order}" through router {router:d}')
)
def place_order(state, order, router):
    path, message = "proofs/order", {"order": order}
    state.call(state.customers[0], router, path, message, order)


@when(
    parsers.parse(
        'the other customer places the order "{order}" '
        "through router {router:d}"
    )
)
def place_order_of_other_customer(state, order, router):
    path, message = "proofs/order", {"order": order}
    state.call(state.customers[1], router, path, message, order)


@when("the other customer looks up proofs until refused")
def look_up_until_refused(state):
    for _ in range(LOOKUP_ATTEMPTS):
        reply = state.call(state.customers[1], 1, "proofs/lookup", {"proof": 1})
        if reply.status != 200:
            return


@then("the answer is a complete stream")
def check_stream_is_complete(state):
    (reply,) = state.replies
    assert reply.status == 200
    assert b"event: end\ndata: " in reply.body


@then("the bill equals what the engines counted")
def check_bill_equals_count(state):
    counted = sum(c["tokens"] for c in state.get_counts("inscription-model"))
    wait_until(
        "all tokens are billed",
        lambda: state.billed_tokens(state.customers[0]) == counted,
    )


@then("both answers are the same")
def check_answers_are_equal(state):
    first, second = state.replies
    assert (first.status, second.status) == (200, 200)
    assert first.body == second.body


@then("the answers differ")
def check_answers_differ(state):
    first, second = state.replies
    assert (first.status, second.status) == (200, 200)
    assert first.body != second.body


@then(parsers.parse('the order "{order}" ran once'))
def check_order_ran_once(state, order):
    runs = [c["runs_by_key"] for c in state.get_counts("proofs")]
    assert [n for by_key in runs for n in by_key.values()] == [1]


@then(parsers.parse("{number:d} look-ups were answered"))
def check_lookup_count(state, number):
    assert [reply.status for reply in state.replies].count(200) == number


@then(parsers.parse('the refusal is "{code}"'))
def check_refusal_code(state, code):
    assert state.replies[-1].json()["error"]["code"] == code
