"""A wallet and a keeper agree on all tokens when messages are lost."""

import json

from chicorystack.budget.keeper.keeper import Demand, ShardKeeper
from chicorystack.budget.keeper.ledger import ShardLedger
from chicorystack.budget.keeper.messages import ExchangeReply
from chicorystack.budget.keeper.sharing import FractionSharing
from chicorystack.budget.keeper.wallet import ShardWallet


class Log:
    """A shard's stream whose records are applied as they are appended."""

    def __init__(self, ledger):
        self.ledger = ledger
        self.offset = 0

    def append(self, **record):
        record["id"] = f"r{self.offset}"
        text = json.dumps(record)
        self.ledger.apply({"offset": self.offset, "time": 0.0, "record": text})
        self.offset += 1


def make_keeper(tokens):
    ledger = ShardLedger(0)
    log = Log(ledger)
    log.append(kind="topped_up", customer="c", budget="b", tokens=tokens,
               operator="o")  # fmt: skip
    return log, claim(log)


def claim(log):
    epoch = log.ledger.epoch + 1
    log.append(kind="keeper_claimed", epoch=epoch, router="r", url="u")
    return ShardKeeper(log.ledger, epoch, FractionSharing())


def exchange(log, keeper, wallet, lose_reply=False):
    """Runs one exchange as the keeper service does, without waits."""
    message = wallet.next_exchange()
    if message["epoch"] != keeper.epoch:
        wallet.apply_reply(message, reply(keeper, False, {}, []))
        message = wallet.next_exchange()
    assert keeper.update_held(message)
    demands = [
        Demand(wallet.holder, budget, wanted)
        for budget, wanted in message["wanted"].items()
    ]
    bills = keeper.new_bills(message["usage"])
    log.append(kind="ledger_batch", epoch=keeper.epoch, number=log.offset,
               committed=keeper.required_commitments(demands), bills=bills,
               router_by_holder={wallet.holder: "r"})  # fmt: skip
    granted = {
        budget: keeper.grant(wallet.holder, budget, wanted)
        for budget, wanted in message["wanted"].items()
    }
    answer = reply(keeper, True, granted, keeper.refunds(message["usage"]))
    if lose_reply:
        wallet.handle_failed_exchange(message)
        return
    wallet.apply_reply(message, answer)


def reply(keeper, accepted, granted, refunded):
    return ExchangeReply(epoch=keeper.epoch, accepted=accepted, void=False,
                         granted=granted, refunded=refunded,
                         remaining={}, settling=[])  # fmt: skip


def spend(wallet, key, tokens):
    reservation = wallet.reserve("c/b", tokens)
    assert reservation is not None
    wallet.settle(reservation, key, tokens)


def test_usage_reported_twice_is_billed_once():
    log, keeper = make_keeper(800)
    wallet = ShardWallet(0, "h1")
    wallet.request_tokens("c/b", 50)
    exchange(log, keeper, wallet)
    spend(wallet, "k", 30)
    exchange(log, keeper, wallet, lose_reply=True)
    exchange(log, keeper, wallet)
    assert log.ledger.budget("c/b").billed == 30
    assert wallet.held("c/b").held == 70
    assert keeper.held_by_budget["c/b"]["h1"] == 70


def test_second_run_of_a_key_is_refunded():
    log, keeper = make_keeper(800)
    first, second = ShardWallet(0, "h1"), ShardWallet(0, "h2")
    for wallet in (first, second):
        wallet.request_tokens("c/b", 50)
        exchange(log, keeper, wallet)
        spend(wallet, "k", 30)
        exchange(log, keeper, wallet)
    assert log.ledger.budget("c/b").billed == 30
    held = keeper.held_by_budget["c/b"]
    assert held["h2"] == second.held("c/b").held
    assert second.held("c/b").used == 0


def test_lost_grant_is_granted_again():
    log, keeper = make_keeper(100)
    wallet = ShardWallet(0, "h1")
    wallet.request_tokens("c/b", 100)
    exchange(log, keeper, wallet, lose_reply=True)
    assert keeper.free("c/b") == 0
    exchange(log, keeper, wallet)
    assert wallet.held("c/b").free == 100


def test_new_keeper_takes_over_the_tokens_that_holders_report():
    log, keeper = make_keeper(100)
    wallet, other = ShardWallet(0, "h1"), ShardWallet(0, "h2")
    wallet.request_tokens("c/b", 60)
    exchange(log, keeper, wallet)
    spend(wallet, "k", 10)
    successor = claim(log)
    assert not keeper.is_current
    assert successor.unsettled_by_budget["c/b"] == 60
    exchange(log, successor, wallet)
    assert successor.unsettled_by_budget["c/b"] == 0
    other.request_tokens("c/b", 41)
    exchange(log, successor, other)
    assert other.held("c/b").free == 0
    other.request_tokens("c/b", 40)
    exchange(log, successor, other)
    assert other.held("c/b").free == 40
