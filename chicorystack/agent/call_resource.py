"""HTTP resource of an agent that admits and serves calls from routers."""

from collections.abc import Callable

import msgspec
from twisted.web import resource, server

from chicorystack.agent.closures import EpochFence
from chicorystack.agent.generations import Generations
from chicorystack.agent.leaving import LeavingState
from chicorystack.agent.service_calls import ServiceCalls
from chicorystack.calls.messages import (
    CALL_HEADER,
    KEY_HEADER,
    CallHeader,
    Empty,
    EngineLoad,
    LoadReport,
)
from chicorystack.config.model import Service
from chicorystack.config.store import ConfigStore
from chicorystack.decoding import JsonDecoder
from chicorystack.errors import ApiError
from chicorystack.observe.decisions import decisions
from chicorystack.observe.metrics import metrics
from chicorystack.quarantine.target_monitor import TargetMonitor
from chicorystack.settings.types import AgentSettings
from chicorystack.web.server import (
    Authorizer,
    get_header,
    refuse_method,
    run_handler,
)

call_decoder = JsonDecoder(CallHeader)


class CallResource(resource.Resource):
    """Serves calls from routers at `/run`.

    Attributes:
        leaving: Whether and why the target is leaving.
    """

    isLeaf = True

    def __init__(
        self,
        settings: AgentSettings,
        store: ConfigStore,
        generations: Generations,
        service_calls: ServiceCalls,
        epochs: EpochFence,
        authorize: Authorizer,
        handle_peer_version: Callable[[int], None],
        leaving: LeavingState,
        monitor: TargetMonitor,
    ):
        super().__init__()
        self._settings = settings
        self._store = store
        self._generations = generations
        self._service_calls = service_calls
        self._epochs = epochs
        self._authorize = authorize
        self._handle_peer_version = handle_peer_version
        self.leaving = leaving
        self._monitor = monitor
        self._target_load = EngineLoad(running=0, queued=0)

    @property
    def draining(self) -> bool:
        """Whether new calls are refused."""
        return bool(self.leaving)

    @property
    def ready(self) -> bool:
        """Whether new calls are accepted."""
        return (
            not self.draining
            and not self._monitor.target_down
            and self._epochs.ready
            and self._find_service() is not None
        )

    @property
    def in_flight(self) -> int:
        """Number of calls sent to the target that have not finished."""
        return self._generations.in_flight + self._service_calls.in_flight

    def render(self, request: server.Request) -> int:
        """Handles one call."""
        if request.method != b"POST":
            return refuse_method(request, "POST")
        return run_handler(request, self._handle_call(request))

    async def load(self, _message: Empty) -> LoadReport:
        """Returns the load and state of the target."""
        return LoadReport(
            target=self._settings.name,
            ready=self.ready,
            in_flight=self.in_flight,
            running=self._target_load["running"],
            queued=self._target_load["queued"],
            config_version=self._store.config.version,
            leaving=self.draining,
            late_arrivals=self.leaving.late_arrivals,
            strikes=self._monitor.strikes(),
        )

    def update_target_load(self, load: EngineLoad) -> None:
        """Stores the load that the target reports."""
        self._target_load = load

    def _find_service(self) -> Service | None:
        settings = self._settings
        return self._store.config.service(settings.site, settings.service)

    async def _handle_call(self, request: server.Request) -> None:
        self._authorize(request)
        call = _decode_call(request)
        # Set on refusals too, so that a router can detect that it received the
        # response to another call.
        request.setHeader(KEY_HEADER, call["key"])
        self._handle_peer_version(call.get("config_version", 0))
        metrics.count("gate.received")
        try:
            await self._admit_and_serve(request, call)
        except ApiError as error:
            metrics.count(f"gate.refused.{error.code}")
            decisions.record_notable(call["key"], "gate", "refused", str(error))
            raise

    async def _admit_and_serve(
        self, request: server.Request, call: CallHeader
    ) -> None:
        self._monitor.merge_strikes(call.get("strikes", []))
        service = self._find_service()
        if service is None:
            raise ApiError(
                "not_ready", "the agent has no configuration of its service yet"
            )
        if self.draining and not call.get("refuse"):
            raise self.leaving.refuse_call()
        if call["repeatable"] and self.in_flight >= service.max_in_flight:
            raise ApiError("overloaded", "the target is at its call limit")
        self._epochs.check(call)
        decisions.record(call["key"], "gate", "let through", call["use"])
        if service.kind == "engine":
            await self._generations.serve(request, call)
        elif call["repeatable"]:
            await self._service_calls.serve_repeatable(request, call)
        else:
            await self._service_calls.serve_once(request, call)


def _decode_call(request: server.Request) -> CallHeader:
    try:
        return call_decoder.decode(get_header(request, CALL_HEADER) or "")
    except msgspec.DecodeError as error:
        raise ApiError("bad_request", f"{CALL_HEADER}: {error}") from error
