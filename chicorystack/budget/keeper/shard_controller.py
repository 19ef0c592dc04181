"""Runs the keeper role for one shard on one router.

Follows the shard's stream, claims the shard, answers its holders and runs its
periodic maintenance.
"""

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget.keeper.closures import (
    CLOSURES_STREAM,
    epoch_closed,
)
from chicorystack.budget.keeper.keeper import ShardKeeper
from chicorystack.budget.keeper.ledger import ShardLedger
from chicorystack.budget.keeper.messages import (
    BudgetsReply,
    CustomerReply,
    Exchange,
    ExchangeReply,
    HolderQuery,
    KeeperClaimed,
    shard_stream,
)
from chicorystack.budget.keeper.settlement import (
    EpochSettlement,
    HolderProbe,
    Peers,
)
from chicorystack.budget.keeper.shard_journal import (
    ClosureFollower,
    ShardJournal,
    StreamRefresher,
)
from chicorystack.budget.keeper.shard_writer import ShardWriter
from chicorystack.budget.keeper.sharing import SharingPolicy
from chicorystack.budget.keeper.snapshot import LedgerReader, snapshot_records
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


class ShardController:
    """Follows one shard and is its keeper while this router's claim holds.

    Attributes:
        ledger: The shard's state.
        keeper: Token accounting of the claimed epoch; None while this router
            is not the keeper.
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
        self._next_snapshot_at = 0.0
        self._router = router
        self._url = url
        self._policy = policy
        self._closures = closures
        self._peers = peers
        self._stream = shard_stream(shard)
        self._follower = LogFollower(
            reactor, log_client, self._stream, self._apply_entry
        )
        self._journal = ShardJournal(
            log_client, pacer, self._follower, closures.follower
        )
        self._stream_refresher = StreamRefresher(
            reactor, log_client, self._follower
        )
        self._writer: ShardWriter | None = None
        self._settlement: EpochSettlement | None = None
        self._holder_probe: HolderProbe | None = None
        self._maintenance_running = False
        self._claiming = False
        self._next_claim_at = 0.0
        self._lost_claims = 0
        self.ledger = ShardLedger(shard)
        self._reader = LedgerReader(self.ledger)
        self.keeper: ShardKeeper | None = None
        self._follower.start()

    def stop(self) -> None:
        """Stops following the shard and resigns as its keeper."""
        self._follower.stop()
        self.keeper = None

    async def claim(self) -> None:
        """Claims the shard unless this router is its keeper or must wait."""
        if self.keeper or self._clock.seconds() < self._next_claim_at:
            return
        await self._claim()

    async def run_maintenance(self) -> None:
        """Settles older epochs, writes snapshots and renews the epoch.

        A new epoch is claimed if holders that are gone or replaced still hold
        tokens of the current one, so that these can be settled.
        """
        if self.keeper is None or self._maintenance_running or self._claiming:
            return
        self._maintenance_running = True
        try:
            await self._run_maintenance(self.keeper)
        except ApiError as error:
            log.info(
                "shard {}: maintenance interrupted: {}",
                self.ledger.shard,
                error,
            )
        finally:
            self._maintenance_running = False

    async def _run_maintenance(self, keeper: ShardKeeper) -> None:
        if self._settlement.needed:
            await self._settlement.advance()
            return
        await self._holder_probe.probe_silent_holders()
        await self._write_snapshot_if_due()
        if self.keeper is not keeper or not self._has_stale_holdings(keeper):
            return
        if self._clock.seconds() >= self._next_claim_at:
            await self._claim()

    async def _write_snapshot_if_due(self) -> None:
        """Appends a snapshot if one is due, before older records expire."""
        if self._clock.seconds() < self._next_snapshot_at:
            return
        self._next_snapshot_at += self._snapshot_interval_s
        read_to = self._follower.next_offset
        for record in snapshot_records(self.ledger, read_to):
            await self._journal.append_and_read(
                self._stream, lambda record=record: record
            )
        closed = self._closures.ledger.closed_by_shard.get(self.ledger.shard)
        if closed is not None:
            # The record that closed the older epochs must not expire either.
            repeated = epoch_closed(self.ledger.shard, closed)
            await self._journal.append_and_read(
                CLOSURES_STREAM, lambda: repeated
            )
        log.info(
            "shard {}: wrote a snapshot of the records before offset {}",
            self.ledger.shard,
            read_to,
        )

    def _has_stale_holdings(self, keeper: ShardKeeper) -> bool:
        stale = set(self.ledger.stale_holders(self._peers.is_listed))
        stale |= self._holder_probe.replaced
        return any(keeper.holds_tokens(holder) for holder in stale)

    async def exchange(self, message: Exchange) -> ExchangeReply:
        """Answers a holder once its bills and commitments are in the log.

        Raises:
            ApiError: `not_keeper` if this router is not the shard's keeper,
                or `conflict` if a later exchange of the holder has been seen.
        """
        keeper = self._require_keeper()
        if message["epoch"] != keeper.epoch:
            return _reply(keeper, accepted=False)
        if keeper.is_void(message):
            return _reply(keeper, accepted=False, void=True)
        if not keeper.update_held(message):
            raise ApiError("conflict", "a later exchange has been seen")
        if self._unaffordable_budgets(keeper, message):
            await self._stream_refresher.refresh()
            self._require_unchanged(keeper)
            await self._recall_tokens(keeper, message)
            self._require_unchanged(keeper)
        await self._writer.write_exchange(message)
        self._require_unchanged(keeper)
        granted = self._grant_tokens(keeper, message)
        _record_grants(message, granted)
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

    def _unaffordable_budgets(
        self, keeper: ShardKeeper, message: Exchange
    ) -> list[str]:
        return [
            budget
            for budget, wanted in message["wanted"].items()
            if keeper.remaining(budget) < wanted
        ]

    async def _recall_tokens(
        self, keeper: ShardKeeper, message: Exchange
    ) -> None:
        """Asks other holders to return tokens that this holder's call needs.

        Returns once there are enough tokens, or none can be expected.
        """
        # Holders are asked for half of their tokens first, then for all.
        for divisor in (2, 0):
            asked = False
            for budget in self._unaffordable_budgets(keeper, message):
                asked |= self._request_return(keeper, message, budget, divisor)
            if not asked:
                return
            deadline = self._clock.seconds() + defaults.RECALL_TIMEOUT_S
            while self._clock.seconds() < deadline:
                await task.deferLater(
                    self._clock, defaults.RECALL_CHECK_INTERVAL_S
                )
                if not self._unaffordable_budgets(keeper, message):
                    return

    def _request_return(
        self, keeper: ShardKeeper, message: Exchange, budget: str, divisor: int
    ) -> bool:
        """Asks a budget's other holders to return tokens.

        Returns:
            False, without asking, if they hold too few tokens or none.
        """
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
            defer.ensureDeferred(self._peers.notify_router(router, query))
        return bool(others)

    def _grant_tokens(
        self, keeper: ShardKeeper, message: Exchange
    ) -> dict[str, int]:
        if not keeper.is_latest_exchange(message):
            # The holder does not wait for this reply any more.
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
        """Returns the salted hash that verifies a customer's secret key.

        Raises:
            ApiError: `not_keeper`, or `unauthorized` for an unknown customer.
        """
        self._require_keeper()
        if name not in self.ledger.customer_by_name:
            await self._stream_refresher.refresh()
        record = self.ledger.customer_by_name.get(name)
        if record is None:
            raise ApiError("unauthorized", "unknown customer or wrong key")
        return CustomerReply(
            customer=name,
            key_salt=record["key_salt"],
            key_hash=record["key_hash"],
        )

    def budgets(self, customer: str) -> BudgetsReply:
        """Returns the budgets of a customer.

        Raises:
            ApiError: `not_keeper` if this router is not the shard's keeper.
        """
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
            raise ApiError(
                "not_keeper", "this router is not the shard's keeper"
            )
        return self.keeper

    def _require_unchanged(self, keeper: ShardKeeper) -> None:
        if self._require_keeper() is not keeper:
            raise ApiError("not_keeper", "the shard's epoch has ended")

    def _apply_entry(self, entry) -> None:
        self._reader.deliver(entry)
        if self.keeper is None or self.keeper.is_current:
            return
        self.keeper = None
        self.ledger.on_bill(None)
        if not self._claiming:
            log.info("shard {}: lost to a newer keeper", self.ledger.shard)
            metrics.count("keeper.losses")
            decisions.record_notable(
                self._stream,
                "keeper",
                "duty lost",
                f"the log has the newer epoch {self.ledger.epoch}",
            )
            self._back_off_claims()

    def _back_off_claims(self) -> None:
        """Delays the next claim, doubling with each loss in a row.

        Without the backoff, routers could keep claiming against each other.
        """
        delay_s = min(
            defaults.CLAIM_RETRY_INITIAL_S * 2**self._lost_claims,
            defaults.CLAIM_RETRY_MAX_S,
        )
        self._lost_claims += 1
        self._next_claim_at = self._clock.seconds() + delay_s

    async def _claim(self) -> None:
        ready = self._follower.caught_up and self._closures.follower.caught_up
        if self._claiming or not ready or not self._reader.has_base:
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
            self._back_off_claims()
            return
        self._start_epoch(record["epoch"])

    def _start_epoch(self, epoch: int) -> None:
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
        self._holder_probe = HolderProbe(self._clock, keeper, self._peers)
        # Age of the oldest entries needed for a replay, by the log's clock.
        age_s = self._reader.time - self._reader.base_time
        wait_s = max(0.0, self._snapshot_interval_s - age_s)
        self._next_snapshot_at = self._clock.seconds() + wait_s
        self._lost_claims = 0
        self._next_claim_at = (
            self._clock.seconds() + defaults.SETTLE_EPOCH_MIN_INTERVAL_S
        )
        metrics.count("keeper.claims")
        decisions.record_notable(
            self._stream,
            "keeper",
            f"keeps it in epoch {epoch}",
            "its claim is the first of this epoch in the log",
        )
        log.info(
            "shard {}: became keeper in epoch {}", self.ledger.shard, epoch
        )


def _record_grants(message: Exchange, granted: dict[str, int]) -> None:
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
