"""Ids of runs are unique across a router's shards."""

from twisted.internet.task import Clock

from chicorystack.budget.keeper.client import BudgetClient
from chicorystack.budget.keeper.wallet import BudgetWallet


def test_runs_of_different_shards_have_different_ids():
    client = BudgetClient(Clock(), None, "router-1")
    uses = set()
    for shard in (0, 1, 11):
        wallet = client.wallet(shard)
        wallet.wallet_by_budget["c/b"] = BudgetWallet(free=10)
        uses.add(wallet.reserve("c/b", 10).use)
    assert len(uses) == 3
