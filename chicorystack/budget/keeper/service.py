"""Keeper role of a router: the shards that it is the keeper of."""

from collections.abc import Callable

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget.keeper.closures import ClosingQuery, ClosingReply
from chicorystack.budget.keeper.messages import (
    BudgetsReply,
    CustomerQuery,
    CustomerReply,
    Exchange,
    ExchangeReply,
    HolderQuery,
    HolderReply,
)
from chicorystack.budget.keeper.shard_controller import ShardController
from chicorystack.budget.keeper.shard_journal import ClosureFollower
from chicorystack.budget.keeper.sharing import MixedSharing, SharingPolicy
from chicorystack.errors import ApiError
from chicorystack.infrastructure.log_client import AppendPacer, LogClient
from chicorystack.infrastructure.messages import Vm
from chicorystack.observe.logs import part_logger
from chicorystack.util import rendezvous_order
from chicorystack.web.client import JsonClient, UnreachableError

log = part_logger("keeper")


class HttpPeers:
    """Reaches routers and agents at their addresses in the VM list."""

    def __init__(self, client: JsonClient, vms: Callable[[], dict[str, Vm]]):
        self._client = client
        self._list_vms = vms

    def is_listed(self, name: str) -> bool:
        """Returns whether the platform lists a VM.

        If the VM list is empty, it is not known yet: all VMs count as listed.
        """
        vm_by_name = self._list_vms()
        return not vm_by_name or name in vm_by_name

    async def query_agent(
        self, target: str, query: ClosingQuery
    ) -> ClosingReply | None:
        """Sends a query to a target's agent; None if it does not answer."""
        return await self._post(target, "close-epochs", query, ClosingReply)

    async def notify_router(
        self, router: str, query: HolderQuery
    ) -> str | None:
        """Notifies a router of the epoch; returns its current holder id.

        Returns None if the router does not answer.
        """
        reply = await self._post(router, "holder", query, HolderReply)
        return None if reply is None else reply["holder"]

    async def _post(self, name: str, path: str, message, reply_type):
        vm = self._list_vms().get(name)
        if vm is None:
            return None
        url = f"http://{vm['address']}:{vm['port']}/{path}"
        try:
            return await self._client.post(url, message, reply_type)
        except (UnreachableError, ApiError) as error:
            log.info("request to VM {} failed: {}", name, error)
            return None


class KeeperService:
    """Claims the shards assigned to this router and serves as their keeper.

    Attributes:
        controller_by_shard: Controllers of the shards claimed so far, whether
            this router is their keeper now or not.
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
        self._peers = HttpPeers(client, vms)
        self._log_retention_s = log_retention_s
        self._policy = policy or MixedSharing()
        self._closure_follower = ClosureFollower(reactor, log_client)
        self._maintenance_loop = task.LoopingCall(self._run_maintenance)
        self._maintenance_loop.clock = reactor
        self.controller_by_shard: dict[int, ShardController] = {}

    def start(self) -> None:
        """Starts following the closures and running maintenance."""
        self._closure_follower.follower.start()
        self._maintenance_loop.start(
            defaults.KEEPER_MAINTENANCE_INTERVAL_S, now=False
        )

    def claim_shards(self, shard_count: int) -> None:
        """Claims the shards that rendezvous hashing assigns to this router."""
        routers = self._live_routers()
        for shard in range(shard_count):
            order = rendezvous_order(f"shard-{shard}", routers)
            if order and order[0] == self._router:
                self._claim_shard(shard)

    def _claim_shard(self, shard: int) -> None:
        if shard not in self.controller_by_shard:
            self.controller_by_shard[shard] = ShardController(
                self._reactor,
                self._log_client,
                self._pacer,
                self._closure_follower,
                self._peers,
                shard,
                self._router,
                self._url,
                self._policy,
                self._log_retention_s,
            )
        claiming = defer.ensureDeferred(self.controller_by_shard[shard].claim())
        claiming.addErrback(_log_failure, shard)

    def _run_maintenance(self) -> None:
        for shard, controller in self.controller_by_shard.items():
            running = defer.ensureDeferred(controller.run_maintenance())
            running.addErrback(_log_failure, shard)

    def epoch_by_shard(self) -> dict[str, int]:
        """Returns the epochs of the shards that this router is keeper of."""
        return {
            str(shard): controller.keeper.epoch
            for shard, controller in self.controller_by_shard.items()
            if controller.keeper is not None and controller.keeper.is_current
        }

    def stop(self) -> None:
        """Stops maintenance and resigns as keeper of all shards."""
        if self._maintenance_loop.running:
            self._maintenance_loop.stop()
        for controller in self.controller_by_shard.values():
            controller.stop()
        self.controller_by_shard = {}

    async def handle_exchange(self, message: Exchange) -> ExchangeReply:
        """Answers a holder of a shard that this router is keeper of."""
        return await self._controller(message["shard"]).exchange(message)

    async def handle_customer(self, query: CustomerQuery) -> CustomerReply:
        """Returns a customer of a shard that this router is keeper of."""
        return await self._controller(query["shard"]).customer(
            query["customer"]
        )

    async def handle_budgets(self, query: CustomerQuery) -> BudgetsReply:
        """Returns a customer's budgets."""
        return self._controller(query["shard"]).budgets(query["customer"])

    def _controller(self, shard: int) -> ShardController:
        controller = self.controller_by_shard.get(shard)
        if controller is None:
            raise ApiError(
                "not_keeper", "this router is not the shard's keeper"
            )
        return controller


def _log_failure(failure, shard: int) -> None:
    if failure.check(defer.CancelledError):
        return
    log.error("shard {}: keeper task failed: {}", shard, failure.value)
