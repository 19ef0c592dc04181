"""Main program of an agent: setup, drain and shutdown."""

from twisted.internet import defer, reactor, task

from chicorystack import defaults
from chicorystack.agent.call_resource import CallResource
from chicorystack.agent.closures import AgentRegistration, EpochFence
from chicorystack.agent.generations import Generations
from chicorystack.agent.leaving import LeavingState
from chicorystack.agent.service_calls import ServiceCalls
from chicorystack.agent.target_client import TargetClient
from chicorystack.agent.usage_table import AgentUsage
from chicorystack.budget.keeper.closures import ClosingQuery
from chicorystack.calls.answer_cache import AnswerCache
from chicorystack.calls.messages import Empty, EngineLoad
from chicorystack.calls.run_journal import RunJournal, append_interval_s
from chicorystack.calls.run_table import RunTable
from chicorystack.calls.usage_table import SettleRequest
from chicorystack.config.model import FleetConfig
from chicorystack.config.peers import (
    PeerPoller,
    config_peer_urls,
    live_routers,
)
from chicorystack.config.store import ConfigStore
from chicorystack.errors import ApiError
from chicorystack.infrastructure.log_client import LogClient
from chicorystack.infrastructure.vm_list import VmListPoller
from chicorystack.lifecycle import run_until_stopped
from chicorystack.membership.announcer import ReadyAnnouncer
from chicorystack.observe.endpoints import (
    ProcessStatus,
    Readiness,
    make_status,
    put_observe_endpoints,
)
from chicorystack.observe.logs import part_logger, setup_logs
from chicorystack.observe.metrics import start_metrics
from chicorystack.quarantine.probe import TargetProbe
from chicorystack.quarantine.strikes import StrikeTable
from chicorystack.quarantine.target_monitor import (
    MonitoredTarget,
    TargetMonitor,
)
from chicorystack.settings.command_line import run_program
from chicorystack.settings.loader import settings_command
from chicorystack.settings.types import AgentSettings
from chicorystack.signals import ProcessSignals
from chicorystack.web.client import (
    JsonClient,
    UnreachableError,
)
from chicorystack.web.server import (
    JsonEndpoint,
    ResourceTree,
    fleet_authorizer,
    listen,
)

log = part_logger("agent")


class AgentProcess:
    """All components of one agent."""

    def __init__(self, settings: AgentSettings):
        self._settings = settings
        self._client = JsonClient(reactor, settings.fleet_token)
        self._store = ConfigStore()
        self._vm_list = VmListPoller(
            reactor, self._client, settings.vm_list_url
        )
        self._config_peers = PeerPoller(
            reactor, self._client, self._store, self._peer_urls, lambda: True
        )
        self._monitor = TargetMonitor(
            settings.name,
            StrikeTable(reactor),
            TargetProbe(reactor, settings.target_url),
        )
        target = MonitoredTarget(
            TargetClient(reactor, settings.target_url),
            self._monitor,
            settings.service,
        )
        authorize = fleet_authorizer(settings.fleet_token)
        usage = AgentUsage(reactor)
        epochs = EpochFence(usage.by_holder)
        self._epochs = epochs
        log_client = LogClient(reactor, self._client, settings.log_url)
        self._registration = AgentRegistration(
            reactor, log_client, settings.name, epochs
        )
        self._journal = RunJournal(reactor, log_client, settings.name)
        self._service_calls = ServiceCalls(
            reactor, target, RunTable(reactor), usage, self._journal
        )
        self._journal.on_active(self._service_calls.restore_runs)
        self._store.on_change(self._start_journal)
        self._call_resource = CallResource(
            settings,
            self._store,
            Generations(target, usage, AnswerCache(reactor)),
            self._service_calls,
            epochs,
            authorize,
            self._config_peers.handle_peer_version,
            LeavingState(reactor),
            self._monitor,
        )
        self._announcer = ReadyAnnouncer(
            reactor,
            self._client,
            settings.name,
            lambda: self._call_resource.ready,
            self._router_urls,
        )
        self._vm_list.on_change(self._apply_vm_list)
        self._load_loop = task.LoopingCall(self._poll_target_load)
        root = ResourceTree()
        root.put("run", self._call_resource)
        root.put(
            "settle",
            JsonEndpoint(SettleRequest, usage.by_run.settle, authorize),
        )
        root.put(
            "load", JsonEndpoint(Empty, self._call_resource.load, authorize)
        )
        root.put(
            "close-epochs",
            JsonEndpoint(ClosingQuery, epochs.close, authorize),
        )
        put_observe_endpoints(root, authorize, self._readiness, self._status)
        self._port = listen(reactor, root, settings.address, settings.port)

    def start(self) -> None:
        """Starts polling, the registration in the log and announcements."""
        self._vm_list.start()
        self._config_peers.start()
        self._registration.start()
        self._announcer.start()
        self._load_loop.start(defaults.LOAD_REPORT_INTERVAL_S)
        log.info("agent of target {} started", self._settings.name)

    async def drain(self) -> None:
        """Refuses new calls, lets those in flight finish, then stops.

        It first waits until every router should know that the target is
        leaving. Calls with `refuse` are still served meanwhile.
        """
        log.info("draining: {} calls in flight", self._call_resource.in_flight)
        self._call_resource.leaving.begin("stop")
        await task.deferLater(reactor, defaults.LEAVE_PROPAGATION_S)
        while self._call_resource.in_flight:
            await task.deferLater(reactor, defaults.DRAIN_CHECK_INTERVAL_S)
        await self._release_keys()
        self._port.stopListening()
        await self._port.factory.wait_for_requests(reactor)
        await self._port.factory.close_connections(reactor)
        reactor.stop()

    def _apply_vm_list(self) -> None:
        vm = self._vm_list.vm_by_name.get(self._settings.name)
        self._call_resource.leaving.update_from_vm_list(
            vm is not None and vm["state"] == "leaving"
        )

    async def _release_keys(self) -> None:
        try:
            await self._journal.release()
        except (UnreachableError, ApiError) as error:
            log.warning("the keys were not released: {}", error)

    def _start_journal(self, config: FleetConfig) -> None:
        settings = self._settings
        service = config.service(settings.site, settings.service)
        if service is not None and service.runs_once:
            self._journal.append_interval_s = append_interval_s(config)
            self._journal.start()

    def _readiness(self) -> Readiness:
        version = self._store.config.version
        readiness = Readiness(ready=True, config_version=version)
        if self._call_resource.draining:
            readiness |= {"ready": False, "reason": "draining"}
        elif version == 0:
            readiness |= {"ready": False, "reason": "no configuration yet"}
        elif not self._epochs.ready:
            reason = "closed epochs are not known yet"
            readiness |= {"ready": False, "reason": reason}
        return readiness

    def _status(self) -> ProcessStatus:
        return make_status(
            self._settings.name,
            "agent",
            self._readiness(),
            self._call_resource.in_flight,
        )

    def _peer_urls(self) -> list[str]:
        vms = list(self._vm_list.vm_by_name.values())
        return config_peer_urls(
            vms, self._settings.name, self._settings.data_centre
        )

    def _router_urls(self) -> list[str]:
        """Returns the control URLs of all live routers of this agent's site."""
        return [
            f"http://{vm['address']}:{vm['port']}"
            for vm in live_routers(self._vm_list.vm_by_name.values())
            if vm["site"] == self._settings.site
        ]

    def _poll_target_load(self):
        return defer.ensureDeferred(self._fetch_target_load())

    async def _fetch_target_load(self) -> None:
        url = f"{self._settings.target_url}/load"
        try:
            load = await self._client.get(url, EngineLoad)
        except UnreachableError as error:
            if not error.sent:
                self._monitor.update_target_state(is_alive=False)
            return
        except ApiError:
            return
        self._monitor.update_target_state(is_alive=True)
        self._call_resource.update_target_load(load)


def run(settings: AgentSettings, signals: ProcessSignals) -> None:
    """Runs an agent until it is stopped."""
    setup_logs(settings.name, settings.log_level)
    start_metrics(reactor, settings.statsd, settings.name)
    process = AgentProcess(settings)
    run_until_stopped(reactor, signals, process.start, process.drain)


def main(signals: ProcessSignals) -> None:
    """Runs chicory-agent.

    Args:
        signals: Its signals; the handlers are installed.
    """
    command = settings_command(
        AgentSettings, lambda settings: run(settings, signals)
    )
    run_program(command, "chicory-agent")
