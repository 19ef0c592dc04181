"""One gateway router with all its parts."""

import random
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget.boot_clock import BootClock
from chicorystack.budget.grant_client import GrantClient
from chicorystack.budget.grant_records import Holder
from chicorystack.gateway.attempt import TargetDialect
from chicorystack.gateway.caller_http import (
    CallerDialect,
    GatewaySite,
    listen_for_callers,
)
from chicorystack.gateway.crashes import CrashWatch, StrikeShare
from chicorystack.gateway.dispatcher import Dispatcher
from chicorystack.gateway.loads import TargetLoads
from chicorystack.gateway.loan_http import HttpLoanPeers, LoanPages
from chicorystack.gateway.model import GatewayConfig
from chicorystack.gateway.peers import RouterDirectory
from chicorystack.gateway.placement import (
    ByRoute,
    LeastLoaded,
    PrefixAffinity,
)
from chicorystack.gateway.settings import GatewaySettings
from chicorystack.gateway.status_http import (
    MetricsPage,
    ReadinessPage,
    listen_quietly,
)
from chicorystack.gateway.target_pool import TargetPool
from chicorystack.gateway.targets import (
    StoreContact,
    TargetEntry,
    TargetRegistry,
)
from chicorystack.observe.events import emit
from chicorystack.quarantine.strikes import StrikeTable
from chicorystack.routing.retry_budget import RetryBudget
from chicorystack.store.follower import Follower, Pace, Update
from chicorystack.store.keyed_log import KeyedLog, Partition, StoreError
from chicorystack.util import new_id

GRANTS_TOPIC = "keyed.grants"
ROUTERS_TOPIC = "keyed.routers"
STRIKES_TOPIC = "keyed.strikes"


class Dialect(NamedTuple):
    """How a router speaks to the world around it.

    Attributes:
        callers: Callers' requests.
        targets: Targets' requests and answers.
        config_partition: Where the operator keeps the configuration.
        read_config: Returns the configuration that an update brings, if any;
            raises StoreError where it cannot be read.
        targets_partition: Where targets register.
        read_targets: Returns entries by id; None for one that is not there.
    """

    callers: CallerDialect
    targets: TargetDialect
    config_partition: Partition
    read_config: Callable[[Update], GatewayConfig | None]
    targets_partition: Partition
    read_targets: Callable[[Update], list[tuple[str, TargetEntry | None]]]


class GatewayProcess:
    """A router from its start to its stop."""

    def __init__(
        self,
        reactor,
        settings: GatewaySettings,
        log: KeyedLog,
        dialect: Dialect,
    ):
        self._reactor = reactor
        self._settings = settings
        self._dialect = dialect
        self._config = GatewayConfig()
        self._draining = False
        self._config_follower = Follower(
            reactor,
            log,
            dialect.config_partition,
            Pace(defaults.CONFIG_READ_WAIT_S),
            self._take_config,
        )
        self._targets_follower = Follower(
            reactor,
            log,
            dialect.targets_partition,
            Pace(0.0, defaults.TARGETS_READ_PAUSE_S),
            self._take_targets,
        )
        self._routers = RouterDirectory(
            reactor, log, ROUTERS_TOPIC, settings.name, settings.peers
        )
        self._grants = GrantClient(
            reactor,
            log,
            GRANTS_TOPIC,
            Holder(settings.name, new_id()),
            self._routers.count,
            BootClock(),
            HttpLoanPeers(reactor, lambda: self._routers.address_by_name),
        )
        self._registry = TargetRegistry(reactor, self._store_contact)
        loads = TargetLoads(reactor)
        placer = ByRoute(
            PrefixAffinity(loads), LeastLoaded(settings.data_centre, loads)
        )
        self._retries = RetryBudget(
            reactor, settings.retries, self._routers.count
        )
        strikes = StrikeTable(reactor)
        self._strike_share = StrikeShare(
            reactor, log, STRIKES_TOPIC, settings.name, strikes
        )
        crashes = CrashWatch(reactor, strikes, self._strike_share.write)
        self._dispatcher = Dispatcher(
            reactor,
            lambda: self._config,
            dialect.targets,
            TargetPool(reactor, self._registry, loads, placer, crashes),
            self._grants,
            self._retries,
            strikes,
        )
        self._site = GatewaySite(
            reactor, dialect.callers, self._dispatcher.serve
        )
        self._port = None

    def start(self) -> None:
        """Opens the ports and begins to follow the store."""
        settings = self._settings
        self._port = listen_for_callers(
            self._reactor, self._site, settings.callers
        )
        listen_quietly(
            self._reactor, ReadinessPage(self._is_ready), settings.readiness
        )
        listen_quietly(self._reactor, MetricsPage(), settings.metrics)
        listen_quietly(
            self._reactor, LoanPages(self._grants.lender), settings.peers
        )
        self._config_follower.start()
        self._targets_follower.start()
        self._routers.start()
        self._grants.start(random.uniform(0, defaults.GRANT_REVIEW_S))
        self._strike_share.start()
        emit("gateway", "started", callers=str(settings.callers))

    def reload(self, settings: GatewaySettings) -> None:
        """Takes over changed settings; addresses stay until a restart."""
        if settings == self._settings:
            return
        emit("gateway", "reloaded", before=self._settings, now=settings)
        self._settings = settings
        self._retries.set_bounds(settings.retries)

    async def drain(self) -> None:
        """Finishes what is under way, then stops the reactor."""
        if self._draining:
            return
        self._draining = True
        self._site.closing = True
        begun_at = self._reactor.seconds()
        emit("gateway", "draining", open=self._dispatcher.open_requests)
        await task.deferLater(self._reactor, defaults.DRAIN_LEAST_S)
        # Whoever still comes is sent elsewhere at once, not cut off later.
        self._port.stopListening()
        latest = begun_at + self._settings.stop_within_s
        await self._wait_until_idle(latest - defaults.DRAIN_RESERVE_S)
        handing_back = defer.ensureDeferred(self._hand_back())
        handing_back.addTimeout(defaults.HAND_BACK_TIMEOUT_S, self._reactor)
        try:
            await handing_back
        except defer.TimeoutError:
            emit("gateway", "not_handed_back")
        await self._site.close_connections(self._reactor)
        emit("gateway", "stopped", open=self._dispatcher.open_requests)
        self._reactor.stop()

    async def _wait_until_idle(self, latest: float) -> None:
        """Waits for requests under way, while idle connections are closed."""
        while self._dispatcher.open_requests or self._site.open_channels:
            self._site.close_idle()
            if self._reactor.seconds() >= latest:
                return
            await task.deferLater(self._reactor, defaults.DRAIN_CHECK_S)

    async def _hand_back(self) -> None:
        await self._grants.give_back()
        await self._routers.leave()

    def _is_ready(self) -> bool:
        return (
            bool(self._config.version)
            and self._registry.loaded
            and not self._draining
        )

    def _store_contact(self) -> StoreContact:
        follower = self._targets_follower
        return StoreContact(follower.reached_at, follower.regained_at)

    def _take_config(self, update: Update) -> None:
        try:
            config = self._dialect.read_config(update)
        except StoreError as error:
            emit("config", "unreadable", reason=str(error))
            return
        if config is None or config.version <= self._config.version:
            return
        emit(
            "config",
            "in_force",
            version=config.version,
            before=self._config.version,
            routes=sum(1 for _ in config.routes()),
        )
        self._config = config
        self._site.set_limits(config.limits.body_bytes, config.limits.idle_s)
        self._grants.set_prepaid(
            {
                customer.name: customer.prepaid
                for customer in config.customer_by_name.values()
                if customer.prepaid is not None
            }
        )

    def _take_targets(self, update: Update) -> None:
        entries = self._dialect.read_targets(update)
        self._registry.apply(entries, update.whole)
