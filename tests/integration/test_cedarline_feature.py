"""Cedarline's example, by real processes, in the users' words."""

from itertools import count
from typing import NamedTuple

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bench.fleet import Fleet, Reply, running_fleet, send, wait_until
from tests.conftest import EXAMPLES

scenarios("../features/cedarline.feature")

SITE = "bc-coast"
MORE_THAN_ENOUGH = 120
numbers = count(1)


class Customer(NamedTuple):
    """A customer with its secret key."""

    name: str
    key: str


class Book:
    """What one scenario has seen."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.answers: list[Reply] = []
        self.customers: list[Customer] = []

    def add_customer(self, tokens: int) -> None:
        name = f"family-{next(numbers)}"
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
        self.answers.append(reply)
        return reply

    def billed(self, customer: Customer) -> int:
        (view,) = self.fleet.ctl("budget", customer.name)["budgets"]
        return view["billed"]

    def counts(self, service: str) -> list[dict]:
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


@given("a Cedarline fleet with two routers", target_fixture="book")
def book(cedarline_fleet):
    return Book(cedarline_fleet)


@given(parsers.parse("a customer with {tokens:d} tokens"))
@given(parsers.parse("another customer with {tokens:d} tokens"))
def customer(book, tokens):
    book.add_customer(tokens)


@when("a family asks router 1 for a dedication")
def ask_dedication(book):
    message = {"prompt": "In memory of Ann, who fed the ducks here"}
    book.call(book.customers[0], 1, "inscription-model/dedication", message)


@when(parsers.parse('staff place the order "{order}" through router {n:d}'))
def place_order(book, order, n):
    path, message = "proofs/order", {"order": order}
    book.call(book.customers[0], n, path, message, order)


@when(
    parsers.parse(
        'the other customer places the order "{order}" through router {n:d}'
    )
)
def other_places_order(book, order, n):
    path, message = "proofs/order", {"order": order}
    book.call(book.customers[1], n, path, message, order)


@when("the other customer looks proofs up until refused")
def look_up_until_refused(book):
    for _ in range(MORE_THAN_ENOUGH):
        reply = book.call(book.customers[1], 1, "proofs/lookup", {"proof": 1})
        if reply.status != 200:
            return


@then("the answer is a whole stream")
def whole_stream(book):
    (reply,) = book.answers
    assert reply.status == 200
    assert b"event: end\ndata: " in reply.body


@then("the bill equals what the engines counted")
def bill_equals_count(book):
    counted = sum(c["tokens"] for c in book.counts("inscription-model"))
    wait_until("billed", lambda: book.billed(book.customers[0]) == counted)


@then("both answers are the same")
def same_answers(book):
    first, second = book.answers
    assert (first.status, second.status) == (200, 200)
    assert first.body == second.body


@then("the answers differ")
def other_answers(book):
    first, second = book.answers
    assert (first.status, second.status) == (200, 200)
    assert first.body != second.body


@then(parsers.parse('the order "{order}" ran once'))
def ran_once(book, order):
    runs = [c["runs_by_key"] for c in book.counts("proofs")]
    assert [n for by_key in runs for n in by_key.values()] == [1]


@then(parsers.parse("{number:d} look-ups were answered"))
def answered(book, number):
    assert [reply.status for reply in book.answers].count(200) == number


@then(parsers.parse('the refusal is "{code}"'))
def refusal(book, code):
    assert book.answers[-1].json()["error"]["code"] == code
