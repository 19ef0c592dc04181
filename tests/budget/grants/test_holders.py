"""Many routers whose calls of one customer are rare and larger than a share.

Split over all routers, the tokens for an outage are less than one call at each
router; a few holders in each data centre have enough for all.
"""

import pytest
from hypothesis.stateful import run_state_machine_as_test
from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget.grants.client import GrantClient
from chicorystack.budget.grants.holders import (
    DataCentreHolders,
    EachRouterHolds,
    RouterPlace,
)
from chicorystack.budget.grants.loans import LoanError
from chicorystack.budget.grants.records import Holder
from tests.budget.grants import machine as grant_machine
from tests.budget.grants.machine import GrantMachine, VmClock
from tests.budget.grants.test_machine import SEARCH
from tests.support.fake_log import FakeLog
from tests.support.router_peers import RouterPeers

DATA_CENTRES = ("a", "b", "c")
ROUTERS_PER_DATA_CENTRE = 8
CALL_TOKENS = 10_000
CALLS_PER_S = 4
PREPAID = 3_000_000
OUTAGE_S = 8.0
STEP_S = 0.05


def all_places():
    return frozenset(
        RouterPlace(f"{data_centre}-{number}", data_centre)
        for data_centre in DATA_CENTRES
        for number in range(ROUTERS_PER_DATA_CENTRE)
    )


def holders_at(place, places):
    others = frozenset(places - {place})
    return DataCentreHolders(place, lambda: others)


class Peers(RouterPeers):
    """Carries messages between routers that are not silent."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    def names(self):
        return [
            name for name in self._fleet.client_by_name if name != self._name
        ]

    async def reach(self, router):
        await task.deferLater(self._fleet.clock, 0.002)
        if router in self._fleet.silent:
            await task.deferLater(self._fleet.clock, defaults.PEER_TIMEOUT_S)
            raise LoanError("no answer")
        return self._fleet.client_by_name[router]


class Fleet:
    """All routers; the calls arrive at one after another."""

    def __init__(self, holders=holders_at):
        self.clock = task.Clock()
        self.log = FakeLog(self.clock)
        self.silent = set()
        self.client_by_name = {}
        self.served = 0
        self.refused = 0
        places = all_places()
        for place in sorted(places):
            client = GrantClient(
                self.clock, self.log, "keyed.grants",
                Holder(place.router, f"{place.router}#1"), lambda: len(places),
                VmClock(self.clock), Peers(self, place.router),
                holders(place, places),
            )  # fmt: skip
            client.set_prepaid({"alpha": PREPAID})
            client.start(1.0)
            self.client_by_name[place.router] = client
        self._turns = 0

    def run(self, seconds):
        for step in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S / 10)
            self.clock.pump([STEP_S / 10] * 9)
            if step % round(1 / STEP_S / CALLS_PER_S) == 0:
                self._call()

    def _call(self):
        self._turns += 1
        names = sorted(self.client_by_name)
        # A step that is prime to the number of routers visits each of them.
        client = self.client_by_name[names[self._turns * 7 % len(names)]]
        deadline = self.clock.seconds() + 0.6
        reserving = defer.ensureDeferred(
            client.reserve("alpha", CALL_TOKENS, deadline)
        )
        reserving.addCallbacks(self._settle, self._count_refusal, [client])

    def _settle(self, reservation, client):
        self.served += 1
        client.settle(reservation, reservation.tokens)

    def _count_refusal(self, _failure):
        self.refused += 1

    def part_refused_in_an_outage(self):
        self.run(20.0)
        assert not self.refused
        self.log.down = True
        self.run(OUTAGE_S)
        self.log.down = False
        served_before = round(20.0 * CALLS_PER_S)
        return self.refused / (self.served + self.refused - served_before)


def test_holders_serve_all_routers_through_an_outage():
    assert Fleet().part_refused_in_an_outage() < 0.1


def test_same_outage_refuses_many_calls_if_each_router_holds_a_part():
    fleet = Fleet(lambda _place, places: EachRouterHolds(lambda: len(places)))
    assert fleet.part_refused_in_an_outage() > 0.3


def test_calls_go_on_if_a_holder_does_not_answer():
    fleet = Fleet()
    fleet.run(10.0)
    client = fleet.client_by_name["a-0"]
    near = client._borrower._holders.near("alpha")
    fleet.silent = {near[0]}
    fleet.run(10.0)
    assert not fleet.refused


def test_routers_in_a_calm_need_few_calls_to_the_store():
    fleet = Fleet()
    fleet.run(10.0)
    before = fleet.log.calls
    fleet.run(10.0)
    calls_per_s = (fleet.log.calls - before) / 10.0
    assert calls_per_s < len(fleet.client_by_name)


@pytest.mark.parametrize("customer", ["alpha", "beta", "gamma"])
def test_all_routers_choose_the_same_holders(customer):
    places = all_places()
    found = {holders_at(place, places).all(customer) for place in places}
    assert len(found) == 1
    (names,) = found
    for data_centre in DATA_CENTRES:
        near = [name for name in names if name.startswith(data_centre)]
        assert len(near) == defaults.HOLDERS_PER_DATA_CENTRE


def test_holders_change_little_when_a_router_leaves():
    places = all_places()
    own = min(places)
    before = holders_at(own, places).all("alpha")
    holders = [place for place in places if place.router in before]
    gone = max(holders)
    assert gone != own
    after = holders_at(own, places - {gone}).all("alpha")
    assert len(before - after) == 1


def test_single_router_of_a_data_centre_is_a_holder():
    own = RouterPlace("d-0", "d")
    holders = holders_at(own, all_places() | {own})
    assert holders.is_holder("alpha")
    assert holders.near("alpha") == []


def test_router_that_knows_no_others_is_the_holder():
    holders = DataCentreHolders(RouterPlace("a-0", "a"), frozenset)
    assert holders.is_holder("alpha")
    assert holders.count("alpha") == 1


def test_budget_is_kept_under_random_faults_with_few_holders(monkeypatch):
    places = frozenset(RouterPlace(r, "a") for r in grant_machine.ROUTERS)

    class HolderClient(GrantClient):
        """A client of a fleet with one holder of each customer."""

        def __init__(self, clock, log, topic, holder, *others):
            own = RouterPlace(holder.router, "a")
            holders = holders_at(own, places)
            super().__init__(clock, log, topic, holder, *others, holders)

    monkeypatch.setattr(defaults, "HOLDERS_PER_DATA_CENTRE", 1)
    monkeypatch.setattr(grant_machine, "GrantClient", HolderClient)
    run_state_machine_as_test(GrantMachine, settings=SEARCH)
