"""Starts a router: settings, followers, interfaces, orderly stop."""

import signal
from typing import TypedDict

from twisted.internet import defer, reactor, task

from chicorystack import defaults
from chicorystack.budget.client import BudgetClient, KeeperLocator
from chicorystack.budget.keeper_service import KeeperService
from chicorystack.budget.messages import (
    CustomerQuery,
    Exchange,
    HolderQuery,
)
from chicorystack.calls.messages import Empty
from chicorystack.config.messages import CONFIG_STREAM, ConfigInForce
from chicorystack.config.store import ConfigStore
from chicorystack.observe.logs import part_logger, setup_logs
from chicorystack.platform.log_client import LogClient, LogFollower
from chicorystack.platform.vm_list import VmListPoller
from chicorystack.router.admission import Admission
from chicorystack.router.attempts import (
    Attempt,
    OwnerAttempts,
    RepeatableAttempts,
)
from chicorystack.router.auth import CustomerDirectory
from chicorystack.router.dispatcher import Dispatcher
from chicorystack.router.forwarder import Forwarder
from chicorystack.router.resources import caller_tree
from chicorystack.routing.targets import TargetTable
from chicorystack.settings.loader import run_program, settings_command
from chicorystack.settings.types import RouterSettings
from chicorystack.web.client import JsonClient
from chicorystack.web.server import (
    JsonEndpoint,
    Tree,
    fleet_authorizer,
    listen,
    open_to_all,
)

log = part_logger("router")


class Readiness(TypedDict):
    """Whether a router can serve calls.

    Attributes:
        ready: Whether it has a configuration and the VM list, and stays.
        config_version: Version in force here.
    """

    ready: bool
    config_version: int


class RouterProcess:
    """One router with all its parts."""

    def __init__(self, settings: RouterSettings):
        self._settings = settings
        self._client = JsonClient(reactor, settings.fleet_token)
        self._store = ConfigStore()
        self._vm_list = VmListPoller(
            reactor, self._client, settings.vm_list_url
        )
        self._targets = TargetTable(settings.data_centre)
        self._draining = False
        log_client = LogClient(reactor, self._client, settings.log_url)
        self._config_follower = LogFollower(
            reactor, log_client, CONFIG_STREAM, self._store.deliver
        )
        own_url = f"http://{settings.address}:{settings.control_port}"
        self._keeper = KeeperService(
            reactor,
            log_client,
            self._client,
            settings.name,
            own_url,
            self._live_routers,
            lambda: self._vm_list.vm_by_name,
        )
        self._review_loop = task.LoopingCall(self._review_shards)
        locator = KeeperLocator(reactor, self._client, self._live_routers)
        self._budgets = BudgetClient(reactor, locator, settings.name)
        customers = CustomerDirectory(reactor, self._budgets)
        admission = Admission(reactor, settings.site, customers, self._budgets)
        attempt = Attempt(
            reactor, self._targets, Forwarder(reactor, settings.fleet_token)
        )
        self._dispatcher = Dispatcher(
            reactor,
            self._store,
            admission,
            self._budgets,
            RepeatableAttempts(reactor, self._targets, attempt),
            OwnerAttempts(self._targets, attempt),
        )
        self._store.on_change(lambda _: self._update_targets())
        self._vm_list.on_change(self._update_targets)
        self._caller_port = listen(
            reactor,
            caller_tree(
                self._dispatcher, self._store, customers, self._budgets
            ),
            settings.address,
            settings.port,
        )
        listen(
            reactor,
            self._control_tree(),
            settings.address,
            settings.control_port,
        )

    def start(self) -> None:
        """Begins to follow the platform and to serve."""
        self._config_follower.start()
        self._vm_list.start()
        self._budgets.start()
        self._keeper.start()
        self._review_loop.start(defaults.SHARD_REVIEW_S)
        log.info("serves site {}", self._settings.site)

    async def drain(self) -> None:
        """Refuses new connections, finishes calls in flight, then stops."""
        log.info("drains: {} calls in flight", self._dispatcher.in_flight)
        self._draining = True
        self._caller_port.stopListening()
        while self._dispatcher.in_flight:
            await task.deferLater(reactor, defaults.DRAIN_CHECK_S)
        await self._budgets.hand_back()
        reactor.stop()

    def _control_tree(self) -> Tree:
        authorize = fleet_authorizer(self._settings.fleet_token)
        keeper = self._keeper
        root = Tree()
        root.put("healthz", JsonEndpoint(Empty, self._health, open_to_all))
        root.put("readyz", JsonEndpoint(Empty, self._readiness, open_to_all))
        endpoints = [
            ("config", Empty, self._config),
            ("keeper/exchange", Exchange, keeper.handle_exchange),
            ("keeper/customer", CustomerQuery, keeper.handle_customer),
            ("holder", HolderQuery, self._budgets.handle_holder),
            ("keeper/budgets", CustomerQuery, keeper.handle_budgets),
        ]
        for path, message_type, handler in endpoints:
            root.put(path, JsonEndpoint(message_type, handler, authorize))
        return root

    async def _health(self, _message: Empty) -> Empty:
        return Empty()

    async def _readiness(self, _message: Empty) -> Readiness:
        version = self._store.config.version
        ready = version > 0 and self._vm_list.loaded and not self._draining
        return Readiness(ready=ready, config_version=version)

    async def _config(self, _message: Empty) -> ConfigInForce:
        return self._store.in_force()

    def _live_routers(self) -> dict[str, str]:
        """Returns control URLs of live routers by name."""
        return {
            name: f"http://{vm['address']}:{vm['port']}"
            for name, vm in self._vm_list.vm_by_name.items()
            if vm["role"] == "router" and vm["state"] == "live"
        }

    def _review_shards(self) -> None:
        if self._store.config.version and not self._draining:
            self._keeper.review(self._store.config.shard_count)

    def _update_targets(self) -> None:
        self._targets.update(
            self._store.config, self._settings.site, self._vm_list.vm_by_name
        )


def run(settings: RouterSettings) -> None:
    """Runs a router until it is told to stop."""
    setup_logs(settings.name, settings.log_level)
    process = RouterProcess(settings)
    process.start()
    signal.signal(
        signal.SIGTERM,
        lambda *_: reactor.callFromThread(
            defer.ensureDeferred, process.drain()
        ),
    )
    reactor.run()


def main() -> None:
    """Entry point of chicory-router."""
    run_program(settings_command(RouterSettings, run), "chicory-router")
