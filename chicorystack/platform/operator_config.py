"""Decodes the operator's configuration and requests of evacuations."""

from collections.abc import Iterable

import msgspec

from chicorystack.config.gateway_check import find_error
from chicorystack.decoding import (
    Amount,
    Count,
    HeaderText,
    Integer,
    JsonDecoder,
    Number,
    PositiveAmount,
    PositiveCount,
)
from chicorystack.evacuation.messages import EvacuationStatement
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
from chicorystack.store.follower import Update
from chicorystack.store.keyed_log import KeyedRecord, Partition, StoreError

PARTITION = Partition("keyed.op")
CONFIG_KEY = "config"
# A record with this prefix and a data centre's name as its key requests the
# evacuation; the same key without a value cancels it.
EVACUATION_KEY_PREFIX = "evacuate/"
KIND_BY_NAME = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.NON_IDEMPOTENT,
    "streaming": CallKind.STREAM,
}


class _WeightedService(msgspec.Struct):
    """One of the services that a route's calls are split over."""

    Service: str
    Weight: Number


class _Route(msgspec.Struct):
    """A route.

    Attributes:
        Kind: Kind of its calls; a key of KIND_BY_NAME.
        TimeoutMs: Longest time that a caller may be kept waiting.
        SloMs: Service-level objective for the response time; 0 for the
            timeout.
        Service: The service that runs all calls, if there is only one.
        WeightedServices: Services that the calls are split over; override
            Service.
        AuthExempt: Whether callers need no API key.
        Sticky: Whether calls list the parts of their prompt.
        StreamResume: Whether another target may resume an interrupted stream.
        TargetGapMs: Service-level objective for the time between two events of
            a stream.
        AllowedRegions: Regions in which its calls may run; empty for any.
    """

    Name: str
    Host: str
    PathPrefix: str
    Kind: str
    TimeoutMs: Number
    SloMs: Amount = 0.0
    Priority: Integer | None = None
    Service: str | None = None
    WeightedServices: list[_WeightedService] = []
    MaxAttempts: Integer = 1
    AuthExempt: bool = False
    Sticky: bool = False
    StreamResume: bool = False
    TargetGapMs: Amount = 0.0
    AllowedRegions: list[str] | None = None


class _Engine(msgspec.Struct):
    """Properties of targets that run a language model.

    Attributes:
        KvCapacity: Capacity of a target's KV cache, in tokens.
        Stride: Most tokens that one event of a stream carries.
    """

    KvCapacity: Count = 0
    Stride: PositiveCount = 1


class _Service(msgspec.Struct):
    """A service.

    Attributes:
        MaxConnections: Most connections that one target accepts in total.
        Engine: Properties of its language model; None for other services.
        ColdStartS: Seconds after its start in which a target is cold; 0 for
            never.
        ColdPerS: Calls a second that a cold target accepts; 0 for any rate.
        HealthPath: Path at which targets report their health; empty for none.
    """

    Name: str
    MaxConnections: Integer = 0
    Engine: _Engine | None = None
    ColdStartS: Number = 0.0
    ColdPerS: Number = 0.0
    HealthPath: str = ""


class _Limits(msgspec.Struct):
    """Limits on callers' requests and connections."""

    MaxHeaderBytes: Count = 16_384
    MaxBodyBytes: Count = 4_194_304
    HeaderTimeoutMs: Amount = 3_000.0
    IdleTimeoutMs: PositiveAmount = 15_000.0


class _Tenant(msgspec.Struct):
    """A customer.

    Attributes:
        ApiKeys: Its API keys.
        Priority: Priority of its calls; None to use the route's.
        Prepaid: Tokens that it may use in total; None for no limit.
        AllowedRegions: Regions in which its calls may run; empty for any.
    """

    Name: HeaderText
    ApiKeys: list[str] = []
    Priority: Integer | None = None
    Prepaid: Count | None = None
    AllowedRegions: list[str] | None = None


class _Config(msgspec.Struct):
    """The complete configuration."""

    Version: PositiveCount
    Routes: list[_Route] = []
    Services: list[_Service] = []
    Limits: _Limits = msgspec.field(default_factory=_Limits)
    Tenants: list[_Tenant] = []


_decoder = JsonDecoder(_Config)


def find_newest_config(records: Iterable[KeyedRecord]) -> GatewayConfig | None:
    """Returns the newest configuration among the records, if any.

    Raises:
        StoreError: If it cannot be decoded or used.
    """
    newest_value = None
    for record in records:
        if record.key == CONFIG_KEY and record.value:
            newest_value = record.value
    if newest_value is None:
        return None
    config = decode_config(newest_value)
    error = find_error(config)
    if error is not None:
        raise StoreError(f"{error.where}: {error.message}")
    return config


def decode_evacuations(update: Update) -> list[EvacuationStatement]:
    """Returns what the records of an update say about evacuations."""
    return [
        EvacuationStatement(
            data_centre=record.key.removeprefix(EVACUATION_KEY_PREFIX),
            active=bool(record.value),
            era=update.era,
            offset=record.offset,
        )
        for record in update.records
        if record.key.startswith(EVACUATION_KEY_PREFIX)
    ]


def decode_config(value: bytes) -> GatewayConfig:
    """Decodes a configuration; raises StoreError."""
    try:
        config = _decoder.decode(value)
        routes = [_build_route(route) for route in config.Routes]
    except (msgspec.DecodeError, KeyError) as error:
        raise StoreError(f"cannot decode configuration: {error}") from error
    return GatewayConfig(
        version=config.Version,
        routes_by_host=index_routes(routes),
        service_by_name={s.Name: _build_service(s) for s in config.Services},
        customer_by_name={t.Name: _build_customer(t) for t in config.Tenants},
        customer_by_key={
            key: tenant.Name
            for tenant in config.Tenants
            for key in tenant.ApiKeys
        },
        limits=_build_limits(config.Limits),
    )


def _build_route(route: _Route) -> Route:
    splits = [(split.Service, split.Weight) for split in route.WeightedServices]
    if not splits and route.Service is not None:
        splits = [(route.Service, 1.0)]
    return Route(
        name=route.Name,
        host=route.Host,
        path_prefix=route.PathPrefix,
        kind=KIND_BY_NAME[route.Kind],
        services=tuple(WeightedService(*split) for split in splits),
        timeout_s=route.TimeoutMs / 1000,
        objective_s=(route.SloMs or route.TimeoutMs) / 1000,
        gap_objective_s=route.TargetGapMs / 1000,
        max_attempts=route.MaxAttempts,
        priority=route.Priority,
        public=route.AuthExempt,
        resumable=route.StreamResume,
        uses_prompts=route.Sticky,
        regions=frozenset(route.AllowedRegions or ()),
    )


def _build_customer(tenant: _Tenant) -> CustomerSpec:
    return CustomerSpec(
        name=tenant.Name,
        priority=tenant.Priority,
        prepaid=tenant.Prepaid,
        regions=frozenset(tenant.AllowedRegions or ()),
    )


def _build_service(service: _Service) -> ServiceSpec:
    engine = service.Engine
    return ServiceSpec(
        name=service.Name,
        max_connections=service.MaxConnections,
        engine=engine and ModelEngine(engine.KvCapacity, engine.Stride),
        cold_start_s=max(0.0, service.ColdStartS),
        cold_per_s=max(0.0, service.ColdPerS),
        health_path=service.HealthPath,
    )


def _build_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=limits.MaxHeaderBytes,
        max_body_bytes=limits.MaxBodyBytes,
        header_timeout_s=limits.HeaderTimeoutMs / 1000,
        idle_timeout_s=limits.IdleTimeoutMs / 1000,
    )
