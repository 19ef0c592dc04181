"""Configuration of the gateway: routes, services, customers and limits."""

import enum
from collections.abc import Iterator
from typing import NamedTuple


class CallKind(enum.Enum):
    """What may be repeated, and how an answer comes."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """One of the services that a route's calls are split over.

    Attributes:
        service: Name of the service.
        weight: Its part, relative to the others' weights.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Where calls of one host and path prefix go, and on which terms.

    Attributes:
        name: Name of the route.
        host: Host name that callers give, in lower case.
        path_prefix: Prefix of the path; begins and ends with a slash.
        kind: What may be repeated.
        services: Services that may run its calls.
        timeout_s: Longest time that a caller may be kept waiting.
        objective_s: Time within which an answer has its full worth.
        gap_objective_s: Longest pause between events that is still on time.
        max_attempts: Most targets that may run one call.
        priority: Rank, 0 the most urgent; a customer's goes before it.
        public: Whether callers need no key.
        resumable: Whether another target may go on with a broken stream.
        uses_prompts: Whether calls say which parts their prompt has.
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

    @property
    def repeatable(self) -> bool:
        """Whether a call that may have run may be run again."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


class ModelEngine(NamedTuple):
    """What a service's targets are, where they run a language model.

    Attributes:
        memory_tokens: Tokens that a target's memory holds.
        tokens_per_event: Most tokens that one event of a stream carries.
    """

    memory_tokens: int
    tokens_per_event: int


class ServiceSpec(NamedTuple):
    """One service.

    Attributes:
        name: Its name.
        max_connections: Connections that one target takes from all callers.
        engine: What its targets are, for language models.
    """

    name: str
    max_connections: int
    engine: ModelEngine | None


class CustomerSpec(NamedTuple):
    """One customer.

    Attributes:
        name: Its name, as targets are told.
        priority: Rank of its calls; None to go by the route's.
        prepaid: Tokens that it may use in all; None for no bound.
    """

    name: str
    priority: int | None
    prepaid: int | None


class CallerLimits(NamedTuple):
    """What a caller may send, and how slowly.

    Attributes:
        header_bytes: Most bytes of request line and headers.
        body_bytes: Most bytes of a body.
        header_s: Time for the headers to arrive.
        idle_s: Time that a connection may stay idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


class GatewayConfig(NamedTuple):
    """One version of the configuration, whole.

    Attributes:
        version: Its version; 0 before any is known.
        routes_by_host: Routes of each host, the longest prefix first.
        service_by_name: Services.
        customer_by_name: Customers.
        customer_by_key: Names of customers by secret key.
        limits: Bounds on callers.
    """

    version: int = 0
    routes_by_host: dict[str, tuple[Route, ...]] = {}
    service_by_name: dict[str, ServiceSpec] = {}
    customer_by_name: dict[str, CustomerSpec] = {}
    customer_by_key: dict[str, str] = {}
    limits: CallerLimits = CallerLimits()

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

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
