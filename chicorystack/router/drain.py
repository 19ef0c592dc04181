"""Graceful shutdown: finishes all calls and returns unused tokens."""

from collections.abc import Callable

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget.keeper.client import BudgetClient
from chicorystack.budget.keeper.service import KeeperService
from chicorystack.calls.messages import Empty
from chicorystack.errors import ApiError
from chicorystack.membership.routers import LiveRouters, RouterLeaving
from chicorystack.observe.decisions import VM_SUBJECT, decisions
from chicorystack.observe.logs import part_logger
from chicorystack.router.dispatcher import Dispatcher
from chicorystack.util import rendezvous_order
from chicorystack.web.client import JsonClient, UnreachableError

log = part_logger("drain")


class Drain:
    """The steps of a router's graceful shutdown.

    Attributes:
        started: Whether the shutdown has started. If so, the router is not
            ready.
    """

    def __init__(
        self,
        reactor,
        name: str,
        client: JsonClient,
        routers: LiveRouters,
        dispatcher: Dispatcher,
        keeper: KeeperService,
        budgets: BudgetClient,
    ):
        self._reactor = reactor
        self._name = name
        self._client = client
        self._routers = routers
        self._dispatcher = dispatcher
        self._keeper = keeper
        self._budgets = budgets
        self.started = False

    async def run(self, caller_port, stop: Callable[[], None]) -> None:
        """Drains, then stops.

        The router first reports that it is not ready, and keeps serving until
        the platform's load balancer has noticed.

        Args:
            caller_port: The listening port for callers.
            stop: Called when the shutdown is complete.
        """
        if self.started:
            return
        log.info("draining: {} calls in flight", self._dispatcher.in_flight)
        decisions.record_notable(VM_SUBJECT, "drain", "drains", "SIGTERM")
        self.started = True
        caller_port.factory.closing = True
        await self._notify_successors()
        await task.deferLater(self._reactor, defaults.BALANCER_DETECTION_S)
        caller_port.stopListening()
        while self._dispatcher.in_flight:
            await task.deferLater(
                self._reactor, defaults.DRAIN_CHECK_INTERVAL_S
            )
        await caller_port.factory.wait_for_requests(self._reactor)
        await caller_port.factory.close_connections(self._reactor)
        await self._budgets.release_unused()
        log.info("drained")
        stop()

    async def _notify_successors(self) -> None:
        """Notifies the routers that will keep this router's shards.

        This router acts as keeper until it has read a newer claim.
        """
        self._routers.mark_leaving(self._name)
        url_by_name = self._routers.url_by_name()
        successors = {
            rendezvous_order(f"shard-{shard}", url_by_name)[0]
            for shard, controller in self._keeper.controller_by_shard.items()
            if controller.keeper is not None and url_by_name
        }
        notifications = [
            self._notify_leaving(url_by_name[successor])
            for successor in successors
        ]
        await defer.gatherResults(map(defer.ensureDeferred, notifications))

    async def _notify_leaving(self, url: str) -> None:
        try:
            await self._client.post(
                f"{url}/leaving", RouterLeaving(name=self._name), Empty
            )
        except (UnreachableError, ApiError) as error:
            log.warning("could not notify {} of the shutdown: {}", url, error)
