"""The router process: its components, HTTP interfaces and shutdown."""

from twisted.internet import reactor, task

from chicorystack import defaults
from chicorystack.budget.keeper.client import BudgetClient, KeeperLocator
from chicorystack.budget.keeper.messages import (
    CustomerQuery,
    Exchange,
    HolderQuery,
)
from chicorystack.budget.keeper.service import KeeperService
from chicorystack.calls.messages import Empty, LoadReport
from chicorystack.config.messages import ConfigInForce, ConfigQuery
from chicorystack.config.model import Service
from chicorystack.config.peers import live_routers
from chicorystack.config.source import RouterConfigSource
from chicorystack.config.store import ConfigStore
from chicorystack.infrastructure.log_client import LogClient
from chicorystack.infrastructure.messages import Vm
from chicorystack.infrastructure.vm_list import VmListPoller
from chicorystack.lifecycle import run_until_stopped
from chicorystack.membership.announcer import AgentReady
from chicorystack.membership.availability import TargetAvailability
from chicorystack.membership.reports import ReportPoller
from chicorystack.membership.routers import LiveRouters, RouterLeaving
from chicorystack.membership.service_readiness import ServiceReadiness
from chicorystack.observe.endpoints import (
    ProcessStatus,
    Readiness,
    TargetStatus,
    make_status,
    put_observe_endpoints,
)
from chicorystack.observe.logs import part_logger, setup_logs
from chicorystack.observe.metrics import start_metrics
from chicorystack.quarantine.router_quarantine import RouterQuarantine
from chicorystack.quarantine.strikes import StrikesMessage, StrikeTable
from chicorystack.router.admission import Admission
from chicorystack.router.attempts import Attempt
from chicorystack.router.auth import CustomerDirectory
from chicorystack.router.dispatcher import Dispatcher
from chicorystack.router.drain import Drain
from chicorystack.router.forwarder import Forwarder
from chicorystack.router.owner_attempts import OwnerAttempts
from chicorystack.router.policies import RoutingPolicy
from chicorystack.router.resources import caller_tree
from chicorystack.router.settler import Settler
from chicorystack.routing.targets import TargetTable
from chicorystack.settings.command_line import run_program
from chicorystack.settings.loader import settings_command
from chicorystack.settings.types import RouterSettings
from chicorystack.signals import ProcessSignals
from chicorystack.web.client import JsonClient
from chicorystack.web.server import (
    JsonEndpoint,
    ResourceTree,
    fleet_authorizer,
    listen,
)

log = part_logger("router")


class RouterProcess:
    """One router with all its components."""

    def __init__(self, settings: RouterSettings):
        self._settings = settings
        self._client = JsonClient(reactor, settings.fleet_token)
        self._log_client = LogClient(reactor, self._client, settings.log_url)
        self._store = ConfigStore()
        self._vm_list = VmListPoller(
            reactor, self._client, settings.vm_list_url
        )
        self._routers = LiveRouters(reactor, self._vms)
        self._config = RouterConfigSource(
            reactor,
            settings,
            self._client,
            self._log_client,
            self._store,
            self._vms,
        )
        self._create_target_routing()
        self._create_budgets()
        self._create_dispatcher()
        self._drain = Drain(
            reactor,
            settings.name,
            self._client,
            self._routers,
            self._dispatcher,
            self._keeper,
            self._budgets,
        )
        self._store.on_change(lambda _: self._update_targets())
        self._vm_list.on_change(self._update_targets)
        self._vm_list.on_change(self._config.handle_vm_list)
        self._listen()

    def _create_target_routing(self) -> None:
        """Creates the components that track targets and choose among them."""
        availability = TargetAvailability(reactor)
        self._targets = TargetTable(
            self._settings.data_centre, self._settings.name, availability
        )
        self._reports = ReportPoller(
            reactor, self._client, availability, self._agent_urls
        )
        self._services = ServiceReadiness(reactor, self._has_target)
        self._policy = RoutingPolicy(reactor, self._settings, self._targets)
        self._strikes = StrikeTable(reactor)
        self._quarantine = RouterQuarantine(
            self._client, self._strikes, self._reports, self._peer_urls
        )

    def _create_budgets(self) -> None:
        """Creates the keeper service and the client for budgets."""
        settings = self._settings
        self._keeper = KeeperService(
            reactor,
            self._log_client,
            self._client,
            settings.name,
            f"http://{settings.address}:{settings.control_port}",
            self._routers.url_by_name,
            lambda: self._vm_list.vm_by_name,
            log_retention_s=settings.log_retention_s,
        )
        self._review_loop = task.LoopingCall(self._review_shards)
        locator = KeeperLocator(
            reactor, self._client, self._routers.url_by_name
        )
        self._budgets = BudgetClient(reactor, locator, settings.name)
        self._customers = CustomerDirectory(reactor, self._budgets)

    def _create_dispatcher(self) -> None:
        """Creates the components that deliver calls."""
        admission = Admission(
            reactor,
            self._settings.site,
            self._customers,
            self._budgets,
            self._targets.has_target,
            self._strikes,
        )
        settler = Settler(reactor, self._client, self._targets, self._budgets)
        forwarder = Forwarder(
            reactor, self._settings.fleet_token, self._policy.record_response
        )
        attempt = Attempt(
            reactor, self._targets, forwarder, self._quarantine, settler
        )
        self._dispatcher = Dispatcher(
            reactor,
            self._store,
            admission,
            settler,
            self._policy.make_attempts(attempt),
            OwnerAttempts(reactor, self._targets, attempt),
        )

    def _listen(self) -> None:
        """Opens the ports for callers and for the fleet."""
        settings = self._settings
        callers = caller_tree(
            self._dispatcher, self._store, self._customers, self._budgets
        )
        self._caller_port = listen(
            reactor, callers, settings.address, settings.port
        )
        control = self._control_tree()
        listen(reactor, control, settings.address, settings.control_port)

    def start(self) -> None:
        """Starts the pollers, the budget client and the keeper service."""
        self._config.start()
        self._vm_list.start()
        self._reports.on_report(self._handle_report)
        self._reports.on_poll_failure(self._policy.record_poll_failure)
        self._reports.start()
        self._budgets.start()
        self._keeper.start()
        self._review_loop.start(defaults.SHARD_REVIEW_INTERVAL_S)
        log.info("serving site {}", self._settings.site)

    async def drain(self) -> None:
        """Shuts down once all calls have ended and all tokens are returned."""
        await self._drain.run(self._caller_port, reactor.stop)

    def _control_tree(self) -> ResourceTree:
        authorize = fleet_authorizer(self._settings.fleet_token)
        keeper = self._keeper
        root = ResourceTree()
        put_observe_endpoints(root, authorize, self._readiness, self._status)
        endpoints = [
            ("config", ConfigQuery, self._handle_config_query),
            ("strikes", StrikesMessage, self._quarantine.handle_strikes),
            ("leaving", RouterLeaving, self._handle_router_leaving),
            ("agent-ready", AgentReady, self._handle_agent_ready),
            ("keeper/exchange", Exchange, keeper.handle_exchange),
            ("keeper/customer", CustomerQuery, keeper.handle_customer),
            ("holder", HolderQuery, self._budgets.handle_holder_query),
            ("keeper/budgets", CustomerQuery, keeper.handle_budgets),
        ]
        for path, message_type, handler in endpoints:
            root.put(path, JsonEndpoint(message_type, handler, authorize))
        return root

    def _readiness(self) -> Readiness:
        version = self._store.config.version
        readiness = Readiness(ready=True, config_version=version)
        if self._drain.started:
            readiness |= {"ready": False, "reason": "draining"}
        elif version == 0:
            readiness |= {"ready": False, "reason": "no configuration yet"}
        elif not self._vm_list.loaded:
            readiness |= {"ready": False, "reason": "no VM list yet"}
        elif pending := self._services.pending_services():
            reason = f"waiting for targets of {', '.join(pending)}"
            readiness |= {"ready": False, "reason": reason}
        return readiness

    def _status(self) -> ProcessStatus:
        status = make_status(
            self._settings.name,
            "router",
            self._readiness(),
            self._dispatcher.in_flight,
        )
        status["epoch_by_shard"] = self._keeper.epoch_by_shard()
        status["evacuated"] = sorted(self._targets.evacuated)
        status["targets"] = [
            TargetStatus(
                target=target.name,
                leaving=not self._targets.accepts_calls(target.name),
                in_flight=target.in_flight,
            )
            for target in self._targets.target_by_name.values()
        ]
        return status

    async def _handle_config_query(self, query: ConfigQuery) -> ConfigInForce:
        return self._store.in_force(query.get("known", 0))

    def _vms(self) -> list[Vm]:
        return list(self._vm_list.vm_by_name.values())

    def _peer_urls(self) -> list[str]:
        """Returns control URLs of the site's other live routers."""
        return [
            f"http://{vm['address']}:{vm['port']}"
            for vm in live_routers(self._vms())
            if vm["site"] == self._settings.site
            and vm["name"] != self._settings.name
        ]

    async def _handle_router_leaving(self, notice: RouterLeaving) -> Empty:
        self._routers.mark_leaving(notice["name"])
        return Empty()

    async def _handle_agent_ready(self, notice: AgentReady) -> Empty:
        """Requests a load report from an agent that has become ready."""
        await self._reports.poll_target(notice["target"])
        return Empty()

    def _review_shards(self) -> None:
        if self._store.config.version and not self._drain.started:
            self._keeper.claim_shards(self._store.config.shard_count)

    def _update_targets(self) -> None:
        self._targets.update(
            self._store.config, self._settings.site, self._vm_list.vm_by_name
        )
        self._services.update(service.name for service in self._site_services())
        self._reports.poll()

    def _site_services(self) -> list[Service]:
        """Returns the services of this router's site."""
        site = self._store.config.site_by_name.get(self._settings.site)
        return list(site.service_by_name.values()) if site else []

    def _has_target(self, name: str) -> bool:
        service = self._store.config.service(self._settings.site, name)
        return service is not None and self._targets.has_target(service)

    def _agent_urls(self) -> dict[str, str]:
        """Returns the URLs of the agents to poll, by target."""
        return {
            target.name: target.url
            for service in self._site_services()
            for target in self._targets.polled_targets(service)
        }

    def _handle_report(self, report: LoadReport) -> None:
        self._config.peer_poller.handle_peer_version(report["config_version"])
        self._policy.record_report(report)


def run(settings: RouterSettings, signals: ProcessSignals) -> None:
    """Runs a router until it is stopped."""
    setup_logs(settings.name, settings.log_level)
    start_metrics(reactor, settings.statsd, settings.name)
    process = RouterProcess(settings)
    run_until_stopped(reactor, signals, process.start, process.drain)


def main(signals: ProcessSignals) -> None:
    """Runs chicory-router.

    Args:
        signals: Its signals; the handlers are installed.
    """
    command = settings_command(
        RouterSettings, lambda settings: run(settings, signals)
    )
    run_program(command, "chicory-router")
