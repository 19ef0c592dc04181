"""Decodes the platform's settings file into the gateway's settings."""

import math
from pathlib import Path

import msgspec

from chicorystack.decoding import (
    Amount,
    Name,
    Number,
    Port,
    PositiveAmount,
    PositiveCount,
    decode_json,
)
from chicorystack.errors import UserError
from chicorystack.gateway.settings import GatewaySettings
from chicorystack.platform.store import StoreSettings
from chicorystack.rate_limits.pacing import ColdBounds
from chicorystack.routing.retry_budget import RetryBounds
from chicorystack.web.exchange import Address

SETTINGS_VARIABLE = "CHICORYSTACK_SETTINGS"
# Port for other routers, counted from the first of PortRange; the first one
# serves metrics.
PEER_PORT_OFFSET = 1
BYTES_PER_S_PER_MBPS = 1_000_000 / 8
BYTES_PER_MB = 1_000_000


class SettingsError(UserError):
    """The settings file cannot be read or is invalid."""


class _Listen(msgspec.Struct):
    """Addresses to listen on.

    Attributes:
        Front: Address for callers.
        ReadyAddr: Address of the readiness endpoint.
    """

    Front: str
    ReadyAddr: str


class _Limits(msgspec.Struct):
    """Resource limits of this process.

    Attributes:
        MaxFds: Limit on open file descriptors.
        MemoryMb: Memory limit in MB; 0 if unknown.
        LinkMbps: Capacity of the VM's link in each direction, in Mbit/s; 0 if
            unknown.
    """

    MaxFds: PositiveCount
    MemoryMb: Number = 0.0
    LinkMbps: Number = 0.0


class _Bounds(msgspec.Struct):
    """Bounds that the operator sets.

    Attributes:
        RetryBudgetRatio: Retries allowed per call of a service.
        RetryWindowS: Window over which retries are counted, in seconds.
        RetrySlack: Retries allowed per window in addition to the ratio.
        GracePeriodS: Seconds from SIGTERM to SIGKILL.
        DrainMs: Time after which a draining target must get no new calls.
        PassMs: Time within which an event must be forwarded.
        EvacuateMs: Time after which an evacuated data centre must get no new
            calls; None if data centres are not evacuated here.
        ColdOverage: Calls to a cold target in any second, as a multiple of the
            rate that it accepts.
        ColdSlack: Calls to it allowed in any second in addition.
    """

    RetryBudgetRatio: Amount = 0.2
    RetryWindowS: PositiveAmount = 10.0
    RetrySlack: Amount = 0.0
    GracePeriodS: Amount = 8.0
    DrainMs: Amount = 2000.0
    PassMs: Amount = 120.0
    EvacuateMs: Amount | None = None
    ColdOverage: Amount = 1.5
    ColdSlack: Amount = 5.0


class _Platform(msgspec.Struct):
    """Access to the platform.

    Attributes:
        Address: Address of the platform's store.
    """

    Address: str


class _SettingsFile(msgspec.Struct):
    """The fields of the settings file that the router uses.

    Attributes:
        NodeName: Name of this VM.
        NodeIp: IP address of the VM.
        Zone: Data centre of the VM.
        Listen: Addresses to listen on.
        PortRange: First and last port that this process may use.
        Limits: Resource limits of this process.
        Bounds: Bounds that the operator sets.
        Platform: Access to the platform's store.
        Zones: Region of each data centre; None if there are no regions.
    """

    NodeName: Name
    NodeIp: str
    Zone: Name
    Listen: _Listen
    PortRange: tuple[Port, Port]
    Limits: _Limits
    Bounds: _Bounds
    Platform: _Platform
    Zones: dict[str, str] | None = None


class PlatformSettings(msgspec.Struct, frozen=True):
    """Settings of a router on the platform.

    Attributes:
        gateway: Settings of the gateway.
        store: Settings of the store's client.
    """

    gateway: GatewaySettings
    store: StoreSettings


def load_settings(path: Path) -> PlatformSettings:
    """Reads and decodes a settings file.

    Raises:
        SettingsError: If it cannot be read or is invalid.
    """
    try:
        return decode_settings(path.read_bytes())
    except OSError as error:
        raise SettingsError(
            f"cannot read settings file {path}: {error.strerror}"
        ) from error


def decode_settings(data: bytes) -> PlatformSettings:
    """Decodes a settings file; raises SettingsError."""
    try:
        fields = decode_json(data, _SettingsFile)
        return _build_settings(fields)
    except (msgspec.DecodeError, ValueError) as error:
        raise SettingsError(f"invalid settings: {error}") from error


def _build_settings(fields: _SettingsFile) -> PlatformSettings:
    first_port = fields.PortRange[0]
    gateway = GatewaySettings(
        name=fields.NodeName,
        data_centre=fields.Zone,
        caller_address=Address.parse(fields.Listen.Front),
        readiness_address=Address.parse(fields.Listen.ReadyAddr),
        metrics_address=Address.parse(f"{fields.NodeIp}:{first_port}"),
        peer_address=Address.parse(
            f"{fields.NodeIp}:{first_port + PEER_PORT_OFFSET}"
        ),
        max_descriptors=fields.Limits.MaxFds,
        retry_bounds=RetryBounds(
            ratio=fields.Bounds.RetryBudgetRatio,
            window_s=fields.Bounds.RetryWindowS,
            slack=fields.Bounds.RetrySlack,
        ),
        link_bytes_per_s=_link_bytes_per_s(fields.Limits),
        grace_period_s=fields.Bounds.GracePeriodS,
        region_by_data_centre=fields.Zones or {},
        evacuates=fields.Bounds.EvacuateMs is not None,
        memory_bytes=_memory_bytes(fields.Limits),
        cold_bounds=ColdBounds(
            fields.Bounds.ColdOverage, fields.Bounds.ColdSlack
        ),
    )
    store = StoreSettings(Address.parse(fields.Platform.Address))
    return PlatformSettings(gateway, store)


def _link_bytes_per_s(limits: _Limits) -> float:
    if limits.LinkMbps <= 0:
        return math.inf
    return limits.LinkMbps * BYTES_PER_S_PER_MBPS


def _memory_bytes(limits: _Limits) -> float:
    if limits.MemoryMb <= 0:
        return math.inf
    return limits.MemoryMb * BYTES_PER_MB
