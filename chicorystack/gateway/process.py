"""Gateway router process: builds its components, starts and stops them."""

import random
from collections.abc import Callable
from typing import NamedTuple

from twisted.web import resource

from chicorystack import defaults
from chicorystack.budget.grants.boot_clock import BootClock
from chicorystack.budget.grants.client import GrantClient
from chicorystack.budget.grants.holders import DataCentreHolders, RouterPlace
from chicorystack.budget.grants.records import Holder
from chicorystack.evacuation.evacuations import Evacuations
from chicorystack.evacuation.exchange import Connectivity
from chicorystack.evacuation.messages import EvacuationStatement
from chicorystack.evacuation.statement_order import ReadPosition
from chicorystack.gateway.attempt import TargetCodec
from chicorystack.gateway.call_predictions import CallPredictions
from chicorystack.gateway.caller_http import (
    CallerCodec,
    GatewaySite,
    listen_for_callers,
)
from chicorystack.gateway.crashes import CrashDetector, StrikeReplicator
from chicorystack.gateway.dispatcher import Dispatcher
from chicorystack.gateway.drain import Drain, stop_times
from chicorystack.gateway.evacuation_http import (
    HttpEvacuationPeers,
    add_evacuation_resource,
)
from chicorystack.gateway.health_reader import HealthReader, HealthSchedule
from chicorystack.gateway.least_predicted import LeastPredicted
from chicorystack.gateway.link import LinkMeter
from chicorystack.gateway.loads import TargetLoads
from chicorystack.gateway.loan_http import HttpRouterPeers, add_token_resources
from chicorystack.gateway.loop_delay import LoopDelayMeter
from chicorystack.gateway.model import GatewayConfig, ServiceSpec
from chicorystack.gateway.overload import Load, OverloadControl
from chicorystack.gateway.overload_http import (
    HttpDataCentrePeers,
    add_overload_resource,
)
from chicorystack.gateway.peer_http import PeerClient
from chicorystack.gateway.peers import PeerRouter, RouterDirectory
from chicorystack.gateway.placement import (
    LeastLoaded,
    PrefixAffinity,
    PromptAware,
)
from chicorystack.gateway.rate_limit_http import (
    HttpRatePeers,
    add_rate_limit_resources,
)
from chicorystack.gateway.service_capacity import capacity_factory
from chicorystack.gateway.settings import GatewaySettings
from chicorystack.gateway.status_http import (
    MetricsResource,
    ReadinessResource,
    serve_resource,
)
from chicorystack.gateway.stream_http import (
    HttpStreamPeers,
    add_stream_resources,
)
from chicorystack.gateway.target_pool import TargetPool
from chicorystack.gateway.targets import (
    StoreStatus,
    TargetEntry,
    TargetRegistry,
)
from chicorystack.gateway.turns import ServiceQueues
from chicorystack.observe.events import emit
from chicorystack.observe.unreadable import unreadable_records
from chicorystack.quarantine.strikes import StrikeTable
from chicorystack.rate_limits.cold_limits import ColdLimits
from chicorystack.rate_limits.limiter import RateLimiter
from chicorystack.rate_limits.shares import Coordinator
from chicorystack.rate_limits.statements import LimitTable
from chicorystack.rate_limits.warm_up import WarmUp
from chicorystack.routing.retry_budget import RetryBudget
from chicorystack.store.follower import Follower, PollTiming, Update
from chicorystack.store.keyed_log import KeyedLog, Partition, StoreError
from chicorystack.streams.registry_reader import RegistryReads
from chicorystack.streams.stream_origins import StreamOrigins
from chicorystack.util import new_id

GRANTS_TOPIC = "keyed.grants"
ROUTERS_TOPIC = "keyed.routers"
STRIKES_TOPIC = "keyed.strikes"


class PlatformAdapter(NamedTuple):
    """Codecs and store partitions of the platform that a router runs on.

    Attributes:
        caller_codec: Codec for callers' requests.
        target_codec: Codec for requests to targets and their responses.
        config_partition: Partition with the operator's configuration.
        decode_config: Returns the configuration in an update, if any; raises
            StoreError if it cannot be decoded or used.
        decode_evacuations: Returns the statements on evacuated data centres in
            an update of that partition.
        targets_partition: Partition in which targets register.
        decode_targets: Returns the target entries in an update by ID; None for
            one that was deleted or cannot be decoded.
    """

    caller_codec: CallerCodec
    target_codec: TargetCodec
    config_partition: Partition
    decode_config: Callable[[Update], GatewayConfig | None]
    decode_evacuations: Callable[[Update], list[EvacuationStatement]]
    targets_partition: Partition
    decode_targets: Callable[[Update], list[tuple[str, TargetEntry | None]]]


class GatewayProcess:
    """A gateway router process."""

    def __init__(
        self,
        reactor,
        settings: GatewaySettings,
        log: KeyedLog,
        adapter: PlatformAdapter,
    ):
        self._reactor = reactor
        self._settings = settings
        self._adapter = adapter
        self._config = GatewayConfig()
        self._config_follower = Follower(
            reactor,
            log,
            adapter.config_partition,
            PollTiming(defaults.CONFIG_READ_WAIT_S, newest_only=True),
            self._apply_config,
        )
        self._targets_follower = Follower(
            reactor,
            log,
            adapter.targets_partition,
            PollTiming(0.0, defaults.TARGETS_READ_PAUSE_S),
            self._apply_targets,
        )
        self._routers = RouterDirectory(
            reactor,
            log,
            ROUTERS_TOPIC,
            settings.name,
            PeerRouter(settings.data_centre, settings.peer_address),
        )
        peers = PeerClient(reactor, lambda: self._routers.peer_by_name)
        process_id = new_id()
        own_place = RouterPlace(settings.name, settings.data_centre)
        router_peers = HttpRouterPeers(peers, own_place)
        self._grants = self._create_grants(log, router_peers, process_id)
        self._registry = TargetRegistry(reactor, self._store_status)
        self._limiter = RateLimiter(
            reactor,
            Coordinator(settings.name, process_id),
            HttpRatePeers(peers),
            LimitTable(self._registry.is_registered),
            ColdLimits(
                reactor,
                self._registry,
                self._find_service,
                settings.cold_bounds,
            ),
            self._routers.count,
        )
        self._evacuations = Evacuations(
            reactor,
            HttpEvacuationPeers(peers),
            self._connectivity,
            settings.region_by_data_centre,
        )
        self._evacuations.on_restored(self._limiter.cold.record_return)
        self._origins = StreamOrigins(
            reactor,
            self._registry,
            self._registry_reads,
            self._targets_follower.read_soon,
            HttpStreamPeers(peers, router_peers.witness_candidates),
        )
        self._retries = RetryBudget(
            reactor, settings.retry_bounds, self._routers.count
        )
        self._strikes = StrikeTable(reactor, defaults.MAX_SHARED_STRIKES)
        self._strike_replicator = StrikeReplicator(
            reactor, log, STRIKES_TOPIC, settings.name, self._strikes
        )
        pool = self._create_target_pool()
        self._health_reader = HealthReader(
            reactor,
            self._registry,
            self._find_service,
            HealthSchedule(reactor, self._routers.count),
            adapter.target_codec,
            self._limiter,
            pool.connections,
            pool.accepts_requests,
        )
        self._dispatcher = Dispatcher(
            reactor,
            lambda: self._config,
            adapter.target_codec,
            pool,
            self._grants,
            self._retries,
            self._origins,
            self._create_queues(pool),
        )
        self._link = LinkMeter(reactor, settings.link_bytes_per_s)
        self._loop_delay = LoopDelayMeter(reactor)
        self._site = GatewaySite(
            reactor, adapter.caller_codec, self._dispatcher.serve, self._link
        )
        self._site.set_memory(settings.memory_bytes)
        self._overload = OverloadControl(
            reactor,
            self._measure_load,
            HttpDataCentrePeers(peers, settings.data_centre),
            self._update_site,
        )
        self._drain = Drain(
            reactor,
            self._site,
            self._dispatcher,
            self._return_tokens_and_deregister,
        )
        self._port = None

    def _create_grants(
        self, log: KeyedLog, router_peers: HttpRouterPeers, process_id: str
    ) -> GrantClient:
        settings = self._settings
        own_place = RouterPlace(settings.name, settings.data_centre)
        return GrantClient(
            self._reactor,
            log,
            GRANTS_TOPIC,
            Holder(settings.name, process_id),
            self._routers.count,
            BootClock(),
            router_peers,
            DataCentreHolders(own_place, lambda: self._routers.places),
        )

    def _create_target_pool(self) -> TargetPool:
        loads = TargetLoads(self._reactor)
        data_centre = self._settings.data_centre
        predictions = CallPredictions(self._reactor, lambda: self._config)
        unpredicted = PromptAware(
            PrefixAffinity(loads), LeastLoaded(data_centre, loads)
        )
        crash_detector = CrashDetector(
            self._reactor, self._strikes, self._strike_replicator.publish
        )
        return TargetPool(
            self._reactor,
            self._registry,
            loads,
            LeastPredicted(data_centre, predictions, unpredicted),
            predictions,
            crash_detector,
            self._limiter,
            self._evacuations,
            WarmUp(
                self._reactor,
                self._settings.name,
                self._limiter.cold,
                self._routers.count,
            ),
        )

    def _create_queues(self, pool: TargetPool) -> ServiceQueues:
        make_capacity = capacity_factory(
            self._reactor, lambda: self._config, pool
        )
        queues = ServiceQueues(self._reactor, make_capacity, self._is_scheduled)
        pool.on_load(queues.record_load)
        self._registry.on_removed(queues.forget_target)
        return queues

    def start(self) -> None:
        """Opens the ports and starts following the store."""
        settings = self._settings
        self._port = listen_for_callers(
            self._reactor, self._site, settings.caller_address
        )
        serve_resource(
            self._reactor,
            ReadinessResource(self._is_ready),
            settings.readiness_address,
        )
        serve_resource(
            self._reactor, MetricsResource(), settings.metrics_address
        )
        serve_resource(
            self._reactor,
            self._peer_resources(),
            settings.peer_address,
        )
        self._config_follower.start()
        self._targets_follower.start()
        self._routers.start()
        self._grants.start(random.uniform(0, defaults.GRANT_REVIEW_INTERVAL_S))
        self._strike_replicator.start()
        self._limiter.start()
        if settings.evacuates:
            self._evacuations.start()
        self._health_reader.start()
        self._loop_delay.start()
        self._overload.start()
        emit("gateway", "started", callers=str(settings.caller_address))

    def reload(self, settings: GatewaySettings) -> None:
        """Applies changed settings.

        Changed addresses take effect only after a restart.
        """
        if settings == self._settings:
            return
        emit("gateway", "reloaded", before=self._settings, now=settings)
        if settings.evacuates and not self._settings.evacuates:
            self._evacuations.start()
        self._settings = settings
        self._retries.set_bounds(settings.retry_bounds)
        self._limiter.cold.bounds = settings.cold_bounds
        self._link.set_capacity(settings.link_bytes_per_s)
        self._evacuations.regions.replace(settings.region_by_data_centre)
        self._site.set_memory(settings.memory_bytes)

    async def drain(self, stopped_at: float | None = None) -> None:
        """Finishes requests in progress, then stops the reactor.

        Args:
            stopped_at: Clock time of the SIGTERM, in seconds; None for now.
        """
        if self._drain.started:
            return
        self._drain.started = True
        self._update_site()
        if stopped_at is None:
            stopped_at = self._reactor.seconds()
        times = stop_times(stopped_at, self._settings.grace_period_s)
        await self._drain.run(self._port, stopped_at, times)
        self._reactor.stop()

    async def _return_tokens_and_deregister(self) -> None:
        await self._grants.give_back()
        await self._routers.deregister()

    def _is_ready(self) -> bool:
        return (
            bool(self._config.version)
            and self._registry.loaded
            and (self._evacuations.ready or not self._settings.evacuates)
            and not self._drain.started
            and not self._overload.out_of_rotation
        )

    def _measure_load(self) -> Load:
        return Load(self._link.utilization(), self._loop_delay.delay_s)

    def _update_site(self) -> None:
        """Closes callers' connections while they should move elsewhere."""
        self._site.closing = (
            self._drain.started or self._overload.out_of_rotation
        )

    def _peer_resources(self) -> resource.Resource:
        root, api = resource.Resource(), resource.Resource()
        root.putChild(b"v1", api)
        add_token_resources(api, self._grants)
        add_overload_resource(api, self._overload.report)
        add_rate_limit_resources(api, self._limiter)
        add_stream_resources(api, self._origins)
        add_evacuation_resource(api, self._evacuations.exchange)
        return root

    def _is_scheduled(self, service: str) -> bool:
        spec = self._find_service(service)
        runs_model = spec is not None and spec.engine is not None
        return runs_model or defaults.SCHEDULE_PLAIN_SERVICES

    def _find_service(self, name: str) -> ServiceSpec | None:
        return self._config.service_by_name.get(name)

    def _store_status(self) -> StoreStatus:
        follower = self._targets_follower
        return StoreStatus(follower.last_response_at, follower.recovered_at)

    def _connectivity(self) -> Connectivity:
        return Connectivity(*self._store_status(), self._routers.loaded)

    def _registry_reads(self) -> RegistryReads:
        follower = self._targets_follower
        return RegistryReads(
            follower.loaded_at,
            follower.read_began_at,
            follower.loaded_from,
            follower.read_to,
        )

    def _apply_config(self, update: Update) -> None:
        self._evacuations.apply_update(
            self._adapter.decode_evacuations(update),
            ReadPosition(update.era, update.end),
            update.is_snapshot,
        )
        try:
            config = self._adapter.decode_config(update)
        except StoreError as error:
            unreadable_records.report("config", "", error)
            return
        if config is None:
            return
        unreadable_records.forget("config", "")
        if config.version <= self._config.version:
            return
        emit(
            "config",
            "in_force",
            version=config.version,
            before=self._config.version,
            routes=sum(1 for _ in config.routes()),
        )
        self._config = config
        self._site.set_limits(
            config.limits.max_body_bytes, config.limits.idle_timeout_s
        )
        self._grants.set_prepaid(
            {
                customer.name: customer.prepaid
                for customer in config.customer_by_name.values()
                if customer.prepaid is not None
            }
        )

    def _apply_targets(self, update: Update) -> None:
        entries = self._adapter.decode_targets(update)
        self._registry.apply(entries, update.is_snapshot)
