"""All shards that a router keeps."""

from collections.abc import Callable

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget.closures import ClosingQuery, ClosingReply
from chicorystack.budget.messages import (
    BudgetsReply,
    CustomerQuery,
    CustomerReply,
    Exchange,
    ExchangeReply,
    HolderQuery,
    HolderReply,
)
from chicorystack.budget.shard_duty import ShardDuty
from chicorystack.budget.shard_journal import ClosureFollower
from chicorystack.budget.sharing import MixedSharing, SharingPolicy
from chicorystack.errors import ApiError
from chicorystack.infrastructure.log_client import AppendPacer, LogClient
from chicorystack.infrastructure.messages import Vm
from chicorystack.observe.logs import part_logger
from chicorystack.util import rendezvous_order
from chicorystack.web.client import JsonClient, UnreachableError

log = part_logger("keeper")


class ListedPeers:
    """Routers and agents as the platform's VM list has them."""

    def __init__(self, client: JsonClient, vms: Callable[[], dict[str, Vm]]):
        self._client = client
        self._vms = vms

    def listed(self, name: str) -> bool:
        """Tells whether the platform lists a VM; no list tells nothing."""
        vm_by_name = self._vms()
        return not vm_by_name or name in vm_by_name

    async def ask_agent(
        self, target: str, query: ClosingQuery
    ) -> ClosingReply | None:
        """Asks a target's agent; None where no answer came."""
        return await self._post(target, "close-epochs", query, ClosingReply)

    async def tell_router(self, router: str, query: HolderQuery) -> str | None:
        """Tells a router the epoch; returns the holder that it is now."""
        reply = await self._post(router, "holder", query, HolderReply)
        return None if reply is None else reply["holder"]

    async def _post(self, name: str, path: str, message, reply_type):
        vm = self._vms().get(name)
        if vm is None:
            return None
        url = f"http://{vm['address']}:{vm['port']}/{path}"
        try:
            return await self._client.post(url, message, reply_type)
        except (UnreachableError, ApiError) as error:
            log.info("{} does not answer: {}", name, error)
            return None


class KeeperService:
    """All shards that this router keeps.

    Attributes:
        duty_by_shard: The duties that this router has taken up.
    """

    def __init__(
        self,
        reactor,
        log_client: LogClient,
        client: JsonClient,
        router: str,
        url: str,
        live_routers: Callable[[], dict[str, str]],
        vms: Callable[[], dict[str, Vm]],
        policy: SharingPolicy | None = None,
        log_retention_s: float = defaults.LOG_RETENTION_S,
    ):
        self._reactor = reactor
        self._log_client = log_client
        self._router = router
        self._url = url
        self._live_routers = live_routers
        self._pacer = AppendPacer(reactor, lambda: len(live_routers()))
        self._peers = ListedPeers(client, vms)
        self._log_retention_s = log_retention_s
        self._policy = policy or MixedSharing()
        self._closures = ClosureFollower(reactor, log_client)
        self._settle_loop = task.LoopingCall(self._settle_all)
        self._settle_loop.clock = reactor
        self.duty_by_shard: dict[int, ShardDuty] = {}

    def start(self) -> None:
        """Begins to follow the closures and to settle."""
        self._closures.follower.start()
        self._settle_loop.start(defaults.SETTLE_INTERVAL_S, now=False)

    def review(self, shard_count: int) -> None:
        """Takes up the shards that fall to this router."""
        routers = self._live_routers()
        for shard in range(shard_count):
            order = rendezvous_order(f"shard-{shard}", routers)
            if order and order[0] == self._router:
                self._take_up(shard)

    def _take_up(self, shard: int) -> None:
        if shard not in self.duty_by_shard:
            self.duty_by_shard[shard] = ShardDuty(
                self._reactor,
                self._log_client,
                self._pacer,
                self._closures,
                self._peers,
                shard,
                self._router,
                self._url,
                self._policy,
                self._log_retention_s,
            )
        claiming = defer.ensureDeferred(self.duty_by_shard[shard].claim())
        claiming.addErrback(_log_failure, shard)

    def _settle_all(self) -> None:
        for shard, duty in self.duty_by_shard.items():
            settling = defer.ensureDeferred(duty.settle())
            settling.addErrback(_log_failure, shard)

    def epoch_by_shard(self) -> dict[str, int]:
        """Returns the shards that this router keeps, with their epochs."""
        return {
            str(shard): duty.keeper.epoch
            for shard, duty in self.duty_by_shard.items()
            if duty.keeper is not None and duty.keeper.is_current
        }

    def stop(self) -> None:
        """Gives up all duties."""
        if self._settle_loop.running:
            self._settle_loop.stop()
        for duty in self.duty_by_shard.values():
            duty.stop()
        self.duty_by_shard = {}

    async def handle_exchange(self, message: Exchange) -> ExchangeReply:
        """Answers a holder of a shard that this router keeps."""
        return await self._duty(message["shard"]).exchange(message)

    async def handle_customer(self, query: CustomerQuery) -> CustomerReply:
        """Returns a customer of a shard that this router keeps."""
        return await self._duty(query["shard"]).customer(query["customer"])

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
    log.error("duty for shard {} failed: {}", shard, failure.value)
