"""The keeper duty of a router: follows shards, claims them, answers holders."""

from collections.abc import Callable, Iterable

from twisted.internet import defer

from chicorystack.budget.keeper import ShardKeeper
from chicorystack.budget.ledger import ShardLedger
from chicorystack.budget.messages import (
    BudgetsReply,
    CustomerQuery,
    CustomerReply,
    Exchange,
    ExchangeReply,
    KeeperClaimed,
    LedgerBatch,
    Usage,
    shard_stream,
)
from chicorystack.budget.sharing import FractionSharing, SharingPolicy
from chicorystack.errors import ApiError
from chicorystack.observe.decisions import decisions
from chicorystack.observe.logs import part_logger
from chicorystack.observe.metrics import metrics
from chicorystack.platform.log_client import LogClient, LogFollower
from chicorystack.util import new_id, rendezvous_order

log = part_logger("keeper")


class ShardDuty:
    """The keeper duty for one shard at this router.

    Attributes:
        ledger: The shard's state.
        keeper: The decisions of this epoch; None while another is keeper.
    """

    def __init__(
        self,
        reactor,
        log_client: LogClient,
        shard: int,
        router: str,
        url: str,
        policy: SharingPolicy,
    ):
        self._log_client = log_client
        self._router = router
        self._url = url
        self._policy = policy
        self._stream = shard_stream(shard)
        self._follower = LogFollower(
            reactor, log_client, self._stream, self._deliver
        )
        self._claiming = False
        self._pending_committed: dict[str, int] = {}
        self._pending_bills: dict[str, Usage] = {}
        self._flushing: defer.Deferred | None = None
        self.ledger = ShardLedger(shard)
        self.keeper: ShardKeeper | None = None
        self._follower.start()

    def stop(self) -> None:
        """Gives the duty up."""
        self._follower.stop()
        self.keeper = None

    async def claim(self) -> None:
        """Claims the shard where no claim of this process is in force."""
        if self._claiming or self.keeper or not self._follower.caught_up:
            return
        self._claiming = True
        try:
            await self._append_claim()
        finally:
            self._claiming = False

    async def exchange(self, message: Exchange) -> ExchangeReply:
        """Answers a holder, once its bills and commitments are in the log.

        Raises:
            ApiError: `not_keeper` where this router does not keep the shard.
        """
        keeper = self._require_keeper()
        if message["epoch"] != keeper.epoch:
            return _reply(keeper, accepted=False)
        if not keeper.take_statement(message):
            raise ApiError("conflict", "a later exchange has been seen")
        await self._commit(keeper, message)
        granted = self._grant(keeper, message)
        _note_grants(message, granted)
        return _reply(
            keeper,
            accepted=True,
            granted=granted,
            refunded=keeper.refunds(message["usage"]),
            remaining={
                budget: keeper.remaining(budget) for budget in message["wanted"]
            },
        )

    def _grant(self, keeper: ShardKeeper, message: Exchange) -> dict[str, int]:
        if not keeper.is_newest(message):
            # The holder no longer waits for this answer.
            return {}
        return {
            budget: keeper.grant(message["holder"], budget, wanted)
            for budget, wanted in message["wanted"].items()
        }

    def customer(self, name: str) -> CustomerReply:
        """Returns what tells a customer's secret key.

        Raises:
            ApiError: `not_keeper`, or `unauthorized` for an unknown customer.
        """
        self._require_keeper()
        record = self.ledger.customer_by_name.get(name)
        if record is None:
            raise ApiError("unauthorized", "unknown customer or wrong key")
        return CustomerReply(
            customer=name,
            key_salt=record["key_salt"],
            key_hash=record["key_hash"],
        )

    def budgets(self, customer: str) -> BudgetsReply:
        """Returns the budgets of a customer."""
        keeper = self._require_keeper()
        names = [
            name
            for name in self.ledger.budget_by_id
            if name.startswith(f"{customer}/")
        ]
        return BudgetsReply(
            customer=customer,
            epoch=keeper.epoch,
            budgets=[keeper.view(name) for name in names],
        )

    def _require_keeper(self) -> ShardKeeper:
        if self.keeper is None or not self.keeper.in_force:
            raise ApiError("not_keeper", "this router does not keep the shard")
        return self.keeper

    def _deliver(self, entry) -> None:
        self.ledger.apply(entry)
        if self.keeper is not None and not self.keeper.in_force:
            log.info("shard {} has a newer keeper", self.ledger.shard)
            metrics.count("keeper.losses")
            decisions.record_notable(
                self._stream,
                "keeper",
                "duty lost",
                f"epoch {self.ledger.epoch} stands in the log",
            )
            self.keeper = None

    async def _append_claim(self) -> None:
        record = KeeperClaimed(
            kind="keeper_claimed",
            id=new_id(),
            epoch=self.ledger.epoch + 1,
            router=self._router,
            url=self._url,
        )
        offset = await self._log_client.append_until_acknowledged(
            self._stream, record
        )
        await self._follower.delivered_up_to(offset)
        claim = self.ledger.claim
        if claim is None or claim["id"] != record["id"]:
            return
        self.keeper = ShardKeeper(self.ledger, record["epoch"], self._policy)
        metrics.count("keeper.claims")
        decisions.record_notable(
            self._stream,
            "keeper",
            f"keeps it in epoch {record['epoch']}",
            f"claim at offset {offset}",
        )
        log.info(
            "keeps shard {} in epoch {}", self.ledger.shard, claim["epoch"]
        )

    async def _commit(self, keeper: ShardKeeper, message: Exchange) -> None:
        """Appends the bills and commitments that a message calls for."""
        for run in keeper.new_bills(message["usage"]):
            self._pending_bills.setdefault(run.key, run)
        for budget, wanted in message["wanted"].items():
            if keeper.free(budget) >= wanted:
                continue
            bound = keeper.commit_target(message["holder"], budget, wanted)
            if bound > self.ledger.budget(budget).committed:
                pending = self._pending_committed.get(budget, 0)
                self._pending_committed[budget] = max(bound, pending)
        while self._pending_bills or self._pending_committed or self._flushing:
            await self._flush(keeper)
        self._require_keeper()

    async def _flush(self, keeper: ShardKeeper) -> None:
        """Appends all that is pending; one append at a time."""
        if self._flushing is not None:
            waiting: defer.Deferred = defer.Deferred()
            self._flushing.addBoth(_fire_later, waiting)
            await waiting
            return
        self._flushing = defer.Deferred()
        committed, self._pending_committed = self._pending_committed, {}
        bills, self._pending_bills = self._pending_bills, {}
        record = LedgerBatch(
            kind="ledger_batch",
            id=new_id(),
            epoch=keeper.epoch,
            committed=committed,
            bills=list(bills.values()),
        )
        try:
            offset = await self._log_client.append_until_acknowledged(
                self._stream, record
            )
            await self._follower.delivered_up_to(offset)
        finally:
            done, self._flushing = self._flushing, None
            done.callback(None)


def _note_grants(message: Exchange, granted: dict[str, int]) -> None:
    metrics.count("keeper.exchanges")
    for budget, tokens in granted.items():
        metrics.count("keeper.granted", tokens)
        subject = f"budget:{budget}"
        cause = f"wanted {message['wanted'][budget]}"
        if tokens:
            decision = f"granted {tokens} to {message['holder']}"
            decisions.record(subject, "keeper", decision, cause)
        else:
            decision = f"refused {message['holder']}"
            decisions.record_notable(subject, "keeper", decision, cause)


def _fire_later(result, waiting: defer.Deferred):
    if not waiting.called:
        waiting.callback(None)
    return result


def _reply(
    keeper: ShardKeeper,
    accepted: bool,
    granted: dict[str, int] | None = None,
    refunded: list[str] | None = None,
    remaining: dict[str, int] | None = None,
) -> ExchangeReply:
    return ExchangeReply(
        epoch=keeper.epoch,
        accepted=accepted,
        granted=granted or {},
        refunded=refunded or [],
        remaining=remaining or {},
    )


class KeeperService:
    """All shards that this router keeps.

    Attributes:
        duty_by_shard: The duties that this router has taken up.
    """

    def __init__(
        self,
        reactor,
        log_client: LogClient,
        router: str,
        url: str,
        live_routers: Callable[[], Iterable[str]],
    ):
        self._reactor = reactor
        self._log_client = log_client
        self._router = router
        self._url = url
        self._live_routers = live_routers
        self._policy = FractionSharing()
        self.duty_by_shard: dict[int, ShardDuty] = {}

    def review(self, shard_count: int) -> None:
        """Takes up the shards that fall to this router and drops others."""
        routers = list(self._live_routers())
        for shard in range(shard_count):
            order = rendezvous_order(f"shard-{shard}", routers)
            mine = bool(order) and order[0] == self._router
            self._review_shard(shard, mine)

    def _review_shard(self, shard: int, mine: bool) -> None:
        duty = self.duty_by_shard.get(shard)
        if not mine:
            return
        if duty is None:
            duty = ShardDuty(
                self._reactor,
                self._log_client,
                shard,
                self._router,
                self._url,
                self._policy,
            )
            self.duty_by_shard[shard] = duty
        claiming = defer.ensureDeferred(duty.claim())
        claiming.addErrback(_log_failure, shard)

    def epoch_by_shard(self) -> dict[str, int]:
        """Returns the shards that this router keeps, with their epochs."""
        return {
            str(shard): duty.keeper.epoch
            for shard, duty in self.duty_by_shard.items()
            if duty.keeper is not None and duty.keeper.in_force
        }

    def stop(self) -> None:
        """Gives up all duties."""
        for duty in self.duty_by_shard.values():
            duty.stop()
        self.duty_by_shard = {}

    async def handle_exchange(self, message: Exchange) -> ExchangeReply:
        """Answers a holder of a shard that this router keeps."""
        return await self._duty(message["shard"]).exchange(message)

    async def handle_customer(self, query: CustomerQuery) -> CustomerReply:
        """Returns a customer of a shard that this router keeps."""
        return self._duty(query["shard"]).customer(query["customer"])

    async def handle_budgets(self, query: CustomerQuery) -> BudgetsReply:
        """Returns a customer's budgets."""
        return self._duty(query["shard"]).budgets(query["customer"])

    def _duty(self, shard: int) -> ShardDuty:
        duty = self.duty_by_shard.get(shard)
        if duty is None:
            raise ApiError("not_keeper", "this router does not keep the shard")
        return duty


def _log_failure(failure, shard: int) -> None:
    if failure.check(defer.CancelledError):
        return
    log.error("shard {} could not be claimed: {}", shard, failure.value)
