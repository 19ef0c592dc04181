"""Configuration of the gateway: routes, services, customers and limits."""

import enum
from collections.abc import Iterator
from typing import NamedTuple


class CallKind(enum.Enum):
    """Whether calls may be run again, and whether responses are streams."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """One of the services that a route's calls are split over.

    Attributes:
        service: Name of the service.
        weight: Its share of the calls, relative to the others' weights.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """How calls of one host and path prefix are routed.

    Attributes:
        name: Name of the route.
        host: Host name that callers use, compared without regard to case.
        path_prefix: Prefix of the path; begins and ends with a slash.
        kind: Kind of its calls.
        services: Services that may run its calls.
        timeout_s: Longest time that a caller may be kept waiting.
        objective_s: Service-level objective for the response time.
        gap_objective_s: Service-level objective for the time between two
            events of a stream; 0 for none.
        max_attempts: Maximum number of attempts for one call; attempts that
            certainly did not run it are not counted.
        priority: Priority, 0 the most urgent; a customer's overrides it. None
            to let the target choose.
        public: Whether callers need no API key.
        resumable: Whether another target may resume an interrupted stream.
        uses_prompts: Whether calls list the parts of their prompt.
        regions: Regions in which its calls may run; empty for any.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    gap_objective_s: float
    max_attempts: int
    priority: int | None
    public: bool
    resumable: bool
    uses_prompts: bool
    regions: frozenset[str] = frozenset()

    @property
    def retryable(self) -> bool:
        """Whether a call that may already have run may be run again."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


class ModelEngine(NamedTuple):
    """Properties of targets that run a language model.

    Attributes:
        memory_tokens: Capacity of a target's KV cache, in tokens.
        max_tokens_per_event: Most tokens that one event of a stream carries.
    """

    memory_tokens: int
    max_tokens_per_event: int


class ServiceSpec(NamedTuple):
    """Configuration of one service.

    Attributes:
        name: Its name.
        max_connections: Most connections that one target accepts in total.
        engine: Properties of its language model; None for other services.
        cold_start_s: Time after a target's start in which it is cold; 0 for
            none.
        cold_per_s: Calls a second that a cold target accepts from all routers
            together; 0 for any rate.
        health_path: Path at which its targets report their health; empty for
            none.
    """

    name: str
    max_connections: int
    engine: ModelEngine | None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    health_path: str = ""


class CustomerSpec(NamedTuple):
    """Configuration of one customer.

    Attributes:
        name: Its name, as sent to targets.
        priority: Priority of its calls; None to use the route's.
        prepaid: Tokens that it may use in total; None for no limit.
        regions: Regions in which its calls may run; empty for any.
    """

    name: str
    priority: int | None
    prepaid: int | None
    regions: frozenset[str] = frozenset()


class CallerLimits(NamedTuple):
    """Limits on callers' requests and connections.

    Attributes:
        max_header_bytes: Most bytes of request line and headers.
        max_body_bytes: Most bytes of a request body.
        header_timeout_s: Longest time in which the headers may arrive.
        idle_timeout_s: Longest time that a connection may be idle.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class GatewayConfig(NamedTuple):
    """One version of the complete configuration.

    Attributes:
        version: Its version; 0 before any has been loaded.
        routes_by_host: Routes of each host, the longest prefix first.
        service_by_name: Services.
        customer_by_name: Customers.
        customer_by_key: Names of customers by API key.
        limits: Limits on callers.
    """

    version: int = 0
    routes_by_host: dict[str, tuple[Route, ...]] = {}
    service_by_name: dict[str, ServiceSpec] = {}
    customer_by_name: dict[str, CustomerSpec] = {}
    customer_by_key: dict[str, str] = {}
    limits: CallerLimits = CallerLimits()

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, if any."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def most_urgent_priority(self) -> int | None:
        """Returns the most urgent priority of routes that use prompts.

        Returns:
            The priority; None if no such route has one.
        """
        priorities = (
            route.priority
            for route in self.routes()
            if route.uses_prompts and route.priority is not None
        )
        return min(priorities, default=None)

    def max_tokens_per_event(self, service: str) -> int:
        """Returns the most tokens that one event of a service carries."""
        spec = self.service_by_name.get(service)
        if spec is None or spec.engine is None:
            return 1
        return spec.engine.max_tokens_per_event

    def routes(self) -> Iterator[Route]:
        """Yields all routes."""
        for routes in self.routes_by_host.values():
            yield from routes


def index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Returns routes by host, the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(found, key=_prefix_length, reverse=True))
        for host, found in by_host.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
