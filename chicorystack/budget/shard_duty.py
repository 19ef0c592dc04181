"""A router's duty for one shard: follows it, claims it, answers holders."""

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget.closures import (
    CLOSURES_STREAM,
    epoch_closed,
)
from chicorystack.budget.keeper import ShardKeeper
from chicorystack.budget.ledger import ShardLedger
from chicorystack.budget.messages import (
    BudgetsReply,
    CustomerReply,
    Exchange,
    ExchangeReply,
    HolderQuery,
    KeeperClaimed,
    shard_stream,
)
from chicorystack.budget.settlement import (
    EpochSettlement,
    HolderProbe,
    Peers,
)
from chicorystack.budget.shard_journal import (
    ClosureFollower,
    Refresher,
    ShardJournal,
)
from chicorystack.budget.shard_writer import ShardWriter
from chicorystack.budget.sharing import SharingPolicy
from chicorystack.budget.snapshot import LedgerReader, snapshot_records
from chicorystack.errors import ApiError
from chicorystack.infrastructure.log_client import (
    AppendPacer,
    LogClient,
    LogFollower,
)
from chicorystack.observe.decisions import decisions
from chicorystack.observe.logs import part_logger
from chicorystack.observe.metrics import metrics
from chicorystack.util import new_id

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
        pacer: AppendPacer,
        closures: ClosureFollower,
        peers: Peers,
        shard: int,
        router: str,
        url: str,
        policy: SharingPolicy,
        log_retention_s: float,
    ):
        self._clock = reactor
        self._snapshot_interval_s = (
            log_retention_s / defaults.SNAPSHOT_RETENTION_DIVISOR
        )
        self._snapshot_at = 0.0
        self._router = router
        self._url = url
        self._policy = policy
        self._closures = closures
        self._peers = peers
        self._stream = shard_stream(shard)
        self._follower = LogFollower(
            reactor, log_client, self._stream, self._deliver
        )
        self._journal = ShardJournal(
            log_client, pacer, self._follower, closures.follower
        )
        self._refresher = Refresher(reactor, log_client, self._follower)
        self._writer: ShardWriter | None = None
        self._settlement: EpochSettlement | None = None
        self._probe: HolderProbe | None = None
        self._settling = False
        self._claiming = False
        self._claim_at = 0.0
        self._claims_lost = 0
        self.ledger = ShardLedger(shard)
        self._reader = LedgerReader(self.ledger)
        self.keeper: ShardKeeper | None = None
        self._follower.start()

    def stop(self) -> None:
        """Gives the duty up."""
        self._follower.stop()
        self.keeper = None

    async def claim(self) -> None:
        """Claims the shard where no claim of this process is in force."""
        if self.keeper or self._clock.seconds() < self._claim_at:
            return
        await self._claim()

    async def settle(self) -> None:
        """Goes on settling older epochs; begins an epoch where that helps."""
        if self.keeper is None or self._settling or self._claiming:
            return
        self._settling = True
        try:
            await self._settle(self.keeper)
        except ApiError as error:
            log.info("shard {}: {}", self.ledger.shard, error)
        finally:
            self._settling = False

    async def _settle(self, keeper: ShardKeeper) -> None:
        if self._settlement.needed:
            await self._settlement.step()
            return
        await self._probe.step()
        await self._keep()
        if self.keeper is not keeper or not self._holds_for_gone(keeper):
            return
        if self._clock.seconds() >= self._claim_at:
            await self._claim()

    async def _keep(self) -> None:
        """Appends a snapshot before older records expire."""
        if self._clock.seconds() < self._snapshot_at:
            return
        self._snapshot_at += self._snapshot_interval_s
        read_to = self._follower.next_offset
        for record in snapshot_records(self.ledger, read_to):
            await self._journal.append_and_read(
                self._stream, lambda record=record: record
            )
        closed = self._closures.ledger.closed_by_shard.get(self.ledger.shard)
        if closed is not None:
            again = epoch_closed(self.ledger.shard, closed)
            await self._journal.append_and_read(CLOSURES_STREAM, lambda: again)
        log.info("shard {}: snapshot up to {}", self.ledger.shard, read_to)

    def _holds_for_gone(self, keeper: ShardKeeper) -> bool:
        gone = set(self.ledger.stale_holders(self._peers.listed))
        gone |= self._probe.replaced
        return any(keeper.holds_tokens(holder) for holder in gone)

    async def exchange(self, message: Exchange) -> ExchangeReply:
        """Answers a holder, once its bills and commitments are in the log.

        Raises:
            ApiError: `not_keeper` where this router does not keep the shard.
        """
        keeper = self._require_keeper()
        if message["epoch"] != keeper.epoch:
            return _reply(keeper, accepted=False)
        if keeper.is_void(message):
            return _reply(keeper, accepted=False, void=True)
        if not keeper.update_held(message):
            raise ApiError("conflict", "a later exchange has been seen")
        if self._lacking(keeper, message):
            await self._refresher.refresh()
            self._require_same(keeper)
            await self._recall(keeper, message)
            self._require_same(keeper)
        await self._writer.write(message)
        self._require_same(keeper)
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
            settling=[
                budget
                for budget in message["wanted"]
                if keeper.unsettled_by_budget.get(budget)
            ],
        )

    def _lacking(self, keeper: ShardKeeper, message: Exchange) -> list[str]:
        return [
            budget
            for budget, wanted in message["wanted"].items()
            if keeper.remaining(budget) < wanted
        ]

    async def _recall(self, keeper: ShardKeeper, message: Exchange) -> None:
        """Has other holders give back what this one lacks, where they can."""
        # First half of what they hold, then all.
        for divisor in (2, 0):
            asked = False
            for budget in self._lacking(keeper, message):
                asked |= self._ask_back(keeper, message, budget, divisor)
            if not asked:
                return
            give_up_at = self._clock.seconds() + defaults.RECALL_WAIT_S
            while self._clock.seconds() < give_up_at:
                await task.deferLater(self._clock, defaults.RECALL_CHECK_S)
                if not self._lacking(keeper, message):
                    return

    def _ask_back(
        self, keeper: ShardKeeper, message: Exchange, budget: str, divisor: int
    ) -> bool:
        """Asks other holders; tells whether they could hold enough."""
        others = keeper.other_holders(budget, message["holder"])
        others = others[: defaults.RECALL_MAX_HOLDERS]
        held = sum(keeper.held(budget, other) for other in others)
        if keeper.remaining(budget) + held < message["wanted"][budget]:
            return False
        for other in others:
            keep = keeper.held(budget, other) // divisor if divisor else 0
            query = HolderQuery(
                shard=self.ledger.shard, epoch=keeper.epoch, keep={budget: keep}
            )
            router = self.ledger.router_by_holder.get(other, "")
            defer.ensureDeferred(self._peers.tell_router(router, query))
        return bool(others)

    def _grant(self, keeper: ShardKeeper, message: Exchange) -> dict[str, int]:
        if not keeper.is_latest_exchange(message):
            # The holder no longer waits for this answer.
            return {}
        holder = message["holder"]
        granted = {
            budget: keeper.grant(holder, budget, wanted)
            for budget, wanted in message["wanted"].items()
        }
        for budget in message["low"]:
            granted[budget] = keeper.grant(holder, budget, 0)
        return granted

    async def customer(self, name: str) -> CustomerReply:
        """Returns what tells a customer's secret key.

        Raises:
            ApiError: `not_keeper`, or `unauthorized` for an unknown customer.
        """
        self._require_keeper()
        if name not in self.ledger.customer_by_name:
            await self._refresher.refresh()
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
        reason = self._settlement.waits_for
        names = [
            name
            for name in self.ledger.budget_by_id
            if name.startswith(f"{customer}/")
        ]
        return BudgetsReply(
            customer=customer,
            epoch=keeper.epoch,
            budgets=[keeper.view(name, reason) for name in names],
        )

    def _require_keeper(self) -> ShardKeeper:
        if self.keeper is None or not self.keeper.is_current:
            raise ApiError("not_keeper", "this router does not keep the shard")
        return self.keeper

    def _require_same(self, keeper: ShardKeeper) -> None:
        if self._require_keeper() is not keeper:
            raise ApiError("not_keeper", "the shard's epoch has ended")

    def _deliver(self, entry) -> None:
        self._reader.deliver(entry)
        if self.keeper is None or self.keeper.is_current:
            return
        self.keeper = None
        self.ledger.on_bill(None)
        if not self._claiming:
            log.info("shard {} has a newer keeper", self.ledger.shard)
            metrics.count("keeper.losses")
            decisions.record_notable(
                self._stream,
                "keeper",
                "duty lost",
                f"epoch {self.ledger.epoch} stands in the log",
            )
            self._lose_claim()

    def _lose_claim(self) -> None:
        """Waits longer with each lost claim, so that keepers don't race."""
        delay_s = min(
            defaults.CLAIM_RETRY_INITIAL_S * 2**self._claims_lost,
            defaults.CLAIM_RETRY_MAX_S,
        )
        self._claims_lost += 1
        self._claim_at = self._clock.seconds() + delay_s

    async def _claim(self) -> None:
        ready = self._follower.caught_up and self._closures.follower.caught_up
        if self._claiming or not ready or not self._reader.based:
            return
        self._claiming = True
        try:
            await self._append_claim()
        finally:
            self._claiming = False

    async def _append_claim(self) -> None:
        record = KeeperClaimed(
            kind="keeper_claimed",
            id=new_id(),
            epoch=self.ledger.epoch + 1,
            router=self._router,
            url=self._url,
            closures_offset=self._closures.follower.next_offset,
        )
        await self._journal.append_and_read(self._stream, lambda: record)
        claim = self.ledger.claim
        if claim is None or claim["id"] != record["id"]:
            self._lose_claim()
            return
        self._take_up(record["epoch"])

    def _take_up(self, epoch: int) -> None:
        keeper = ShardKeeper(self.ledger, epoch, self._policy)
        self.keeper = keeper
        self._writer = ShardWriter(self._journal, keeper)
        self._settlement = EpochSettlement(
            self._clock,
            keeper,
            self._writer,
            self._closures.ledger,
            self._journal,
            self._peers,
        )
        self._probe = HolderProbe(self._clock, keeper, self._peers)
        # The age of what the stream still has, by the log's own clock.
        age_s = self._reader.time - self._reader.kept_since
        wait_s = max(0.0, self._snapshot_interval_s - age_s)
        self._snapshot_at = self._clock.seconds() + wait_s
        self._claims_lost = 0
        self._claim_at = self._clock.seconds() + defaults.SETTLE_EPOCH_MIN_S
        metrics.count("keeper.claims")
        decisions.record_notable(
            self._stream,
            "keeper",
            f"keeps it in epoch {epoch}",
            "its claim was the first of the epoch in the log",
        )
        log.info("keeps shard {} in epoch {}", self.ledger.shard, epoch)


def _note_grants(message: Exchange, granted: dict[str, int]) -> None:
    metrics.count("keeper.exchanges")
    for budget, tokens in granted.items():
        metrics.count("keeper.granted", tokens)
        subject = f"budget:{budget}"
        wanted = message["wanted"].get(budget, 0)
        cause = f"wanted {wanted}"
        if tokens:
            decision = f"granted {tokens} to {message['holder']}"
            decisions.record(subject, "keeper", decision, cause)
        elif wanted:
            decision = f"refused {message['holder']}"
            decisions.record_notable(subject, "keeper", decision, cause)


def _reply(
    keeper: ShardKeeper,
    accepted: bool,
    void: bool = False,
    granted: dict[str, int] | None = None,
    refunded: list[str] | None = None,
    remaining: dict[str, int] | None = None,
    settling: list[str] | None = None,
) -> ExchangeReply:
    return ExchangeReply(
        epoch=keeper.epoch,
        accepted=accepted,
        void=void,
        granted=granted or {},
        refunded=refunded or [],
        remaining=remaining or {},
        settling=settling or [],
    )
