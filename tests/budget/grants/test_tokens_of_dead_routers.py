"""A router that dies takes few of its customers' tokens with it."""

import msgspec
import pytest

from chicorystack.budget.grants.records import GrantRecord, split_key
from tests.budget.grants.machine import CUSTOMERS, ROUTERS, GrantMachine

# Most tokens, as a part of a budget, that deaths of single routers may cost.
MAX_LOST_PART = 0.04
PREPAID = 500_000
CALL_TOKENS = 1_000


class Fleet(GrantMachine):
    """Routers on a fake clock, with calls at a steady rate."""

    def __init__(self):
        super().__init__()
        self.set_up()
        for customer in CUSTOMERS:
            self.top_up(customer, PREPAID - self.prepaid[customer])

    def serve_calls(self, seconds):
        """Makes each router admit two calls a second of each customer."""
        for _ in range(round(seconds * 2)):
            for router in ROUTERS:
                for customer in CUSTOMERS:
                    self.call(router, customer, CALL_TOKENS, 1)
                    self.finish(router, 1.0)
            self.wait(0.25)

    def lost_part(self):
        """Returns the largest part of a customer's budget that is lost."""
        records = {}
        for partition, log in self.log.records.items():
            if partition.topic == "keyed.grants":
                records |= {r.key: r.value for r in log if r.value}
        lost = dict.fromkeys(CUSTOMERS, 0)
        for key, value in records.items():
            record = msgspec.json.decode(value, type=GrantRecord)
            unused = record.get("lost", 0) - record.get("lost_spent", 0)
            lost[split_key(key)[0]] += unused
        return max(lost.values()) / PREPAID


# Guards against budgets that run out early because routers lost power: what
# each of them had been granted counted as used.
def test_power_losses_of_single_routers_cost_few_tokens():
    fleet = Fleet()
    for router in ("router-1", "router-2", "router-1"):
        fleet.serve_calls(4.0)
        fleet.kill(router, power=True)
    fleet.serve_calls(4.0)
    assert fleet.lost_part() <= MAX_LOST_PART


# Guards against the same loss late in an outage of the store, when routers can
# have used most of what they hold.
@pytest.mark.parametrize("power", [True, False])
def test_death_late_in_an_outage_costs_few_tokens(power):
    fleet = Fleet()
    fleet.serve_calls(6.0)
    fleet.set_store_down(True)
    fleet.serve_calls(6.0)
    fleet.kill("router-1", power=power)
    fleet.wait(3.0)
    fleet.set_store_down(False)
    fleet.serve_calls(4.0)
    assert fleet.lost_part() <= MAX_LOST_PART
