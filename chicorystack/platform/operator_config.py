"""The operator's configuration as the product's GatewayConfig."""

from collections.abc import Iterable

import msgspec

from chicorystack.gateway.model import (
    CallerLimits,
    CallKind,
    CustomerSpec,
    GatewayConfig,
    ModelEngine,
    Route,
    ServiceSpec,
    WeightedService,
    index_routes,
)
from chicorystack.store.keyed_log import KeyedRecord, Partition, StoreError

PARTITION = Partition("keyed.op")
KEY = "config"
KIND_BY_WORD = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.NON_IDEMPOTENT,
    "streaming": CallKind.STREAM,
}


class _Split(msgspec.Struct):
    """A part of a route's calls."""

    Service: str
    Weight: float


class _Route(msgspec.Struct):
    """A route.

    Attributes:
        Kind: What may be repeated.
        TimeoutMs: Longest time that a caller may wait.
        SloMs: Time within which an answer has its full worth.
        Service: The only service, or
        WeightedServices: services with their parts.
        AuthExempt: Whether callers need no key.
        Sticky: Whether calls say which parts their prompt has.
        StreamResume: Whether a broken stream may go on at another target.
        TargetGapMs: Longest pause between events that is still on time.
    """

    Name: str
    Host: str
    PathPrefix: str
    Kind: str
    TimeoutMs: float
    SloMs: float = 0.0
    Priority: int | None = None
    Service: str | None = None
    WeightedServices: list[_Split] = []
    MaxAttempts: int = 1
    AuthExempt: bool = False
    Sticky: bool = False
    StreamResume: bool = False
    TargetGapMs: float = 0.0


class _Engine(msgspec.Struct):
    """What targets of a service are, where they run a language model.

    Attributes:
        KvCapacity: Tokens that a target's memory holds.
        Stride: Most tokens in one event of a stream.
    """

    KvCapacity: int = 0
    Stride: int = 1


class _Service(msgspec.Struct):
    """A service.

    Attributes:
        MaxConnections: Connections that one target takes from all callers.
    """

    Name: str
    MaxConnections: int = 0
    Engine: _Engine | None = None


class _Limits(msgspec.Struct):
    """Bounds on callers."""

    MaxHeaderBytes: int = 16_384
    MaxBodyBytes: int = 4_194_304
    HeaderTimeoutMs: float = 3_000.0
    IdleTimeoutMs: float = 15_000.0


class _Tenant(msgspec.Struct):
    """A customer.

    Attributes:
        ApiKeys: Its secret keys.
        Priority: Rank of its calls, before the route's.
        Prepaid: Tokens that it may use in all.
    """

    Name: str
    ApiKeys: list[str] = []
    Priority: int | None = None
    Prepaid: int | None = None


class _Config(msgspec.Struct):
    """The configuration, whole."""

    Version: int
    Routes: list[_Route] = []
    Services: list[_Service] = []
    Limits: _Limits = msgspec.field(default_factory=_Limits)
    Tenants: list[_Tenant] = []


_decoder = msgspec.json.Decoder(_Config)


def newest_config(records: Iterable[KeyedRecord]) -> GatewayConfig | None:
    """Returns the configuration that the records bring, if any.

    Raises:
        StoreError: If it cannot be read.
    """
    found = None
    for record in records:
        if record.key == KEY and record.value:
            found = record.value
    return None if found is None else decode_config(found)


def decode_config(value: bytes) -> GatewayConfig:
    """Decodes a configuration; raises StoreError."""
    try:
        config = _decoder.decode(value)
        routes = [_route(route) for route in config.Routes]
    except (msgspec.DecodeError, KeyError) as error:
        raise StoreError(f"configuration: {error}") from error
    return GatewayConfig(
        version=config.Version,
        routes_by_host=index_routes(routes),
        service_by_name={s.Name: _service(s) for s in config.Services},
        customer_by_name={
            t.Name: CustomerSpec(t.Name, t.Priority, t.Prepaid)
            for t in config.Tenants
        },
        customer_by_key={
            key: tenant.Name
            for tenant in config.Tenants
            for key in tenant.ApiKeys
        },
        limits=_limits(config.Limits),
    )


def _route(route: _Route) -> Route:
    splits = [(split.Service, split.Weight) for split in route.WeightedServices]
    if not splits and route.Service is not None:
        splits = [(route.Service, 1.0)]
    return Route(
        name=route.Name,
        host=route.Host,
        path_prefix=route.PathPrefix,
        kind=KIND_BY_WORD[route.Kind],
        services=tuple(WeightedService(*split) for split in splits),
        timeout_s=route.TimeoutMs / 1000,
        objective_s=route.SloMs / 1000,
        gap_objective_s=route.TargetGapMs / 1000,
        max_attempts=route.MaxAttempts,
        priority=route.Priority,
        public=route.AuthExempt,
        resumable=route.StreamResume,
        uses_prompts=route.Sticky,
    )


def _service(service: _Service) -> ServiceSpec:
    engine = service.Engine
    return ServiceSpec(
        name=service.Name,
        max_connections=service.MaxConnections,
        engine=engine and ModelEngine(engine.KvCapacity, engine.Stride),
    )


def _limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=limits.MaxHeaderBytes,
        max_body_bytes=limits.MaxBodyBytes,
        header_timeout_s=limits.HeaderTimeoutMs / 1000,
        idle_timeout_s=limits.IdleTimeoutMs / 1000,
    )
