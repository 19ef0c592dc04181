"""The platform's settings file as the product's gateway settings."""

from pathlib import Path

import msgspec

from chicorystack.errors import UserError
from chicorystack.gateway.settings import GatewaySettings
from chicorystack.platform.store import StoreSettings
from chicorystack.routing.retry_budget import RetryBounds
from chicorystack.web.exchange import Address

SETTINGS_VARIABLE = "CHICORYSTACK_SETTINGS"
# Place in the range of own ports; the first one shows metrics.
PEERS_PORT_OFFSET = 1


class SettingsError(UserError):
    """The settings file cannot be read or misses a field."""


class _Listen(msgspec.Struct):
    """Addresses to listen on.

    Attributes:
        Front: For callers.
        ReadyAddr: For the question whether this process is ready.
    """

    Front: str
    ReadyAddr: str


class _Limits(msgspec.Struct):
    """What this process may use.

    Attributes:
        MaxFds: File descriptors.
        MemoryMb: Memory in MB.
    """

    MaxFds: int
    MemoryMb: float


class _Bounds(msgspec.Struct):
    """Bounds that the operator states.

    Attributes:
        RetryBudgetRatio: Further attempts for each call of a service.
        RetryWindowS: Span over which they are counted, in seconds.
        RetrySlack: Further attempts in a span beyond the ratio.
        GracePeriodS: Seconds from SIGTERM to SIGKILL.
        DrainMs: Time within which a leaving target must get nothing more.
        PassMs: Time within which an event must be passed on.
    """

    RetryBudgetRatio: float = 0.2
    RetryWindowS: float = 10.0
    RetrySlack: float = 0.0
    GracePeriodS: float = 8.0
    DrainMs: float = 2000.0
    PassMs: float = 120.0


class _Platform(msgspec.Struct):
    """The platform's store.

    Attributes:
        Address: Where it listens.
    """

    Address: str


class _SettingsFile(msgspec.Struct):
    """The fields of the file that are used.

    Attributes:
        NodeName: Name of this VM.
        NodeIp: Its address.
        Zone: Its data centre.
        Listen: Addresses to listen on.
        PortRange: First and last port that is free for own use.
        Limits: What this process may use.
        Bounds: Bounds that the operator states.
        Platform: The platform's store.
    """

    NodeName: str
    NodeIp: str
    Zone: str
    Listen: _Listen
    PortRange: tuple[int, int]
    Limits: _Limits
    Bounds: _Bounds
    Platform: _Platform


class PlatformSettings(msgspec.Struct, frozen=True):
    """Settings of a router on the platform.

    Attributes:
        gateway: The product's own settings.
        store: Where the store is.
    """

    gateway: GatewaySettings
    store: StoreSettings


def load_settings(path: Path) -> PlatformSettings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: If it cannot be read or misses a field.
    """
    try:
        return decode_settings(path.read_bytes())
    except OSError as error:
        raise SettingsError(f"settings {path}: {error.strerror}") from error


def decode_settings(data: bytes) -> PlatformSettings:
    """Decodes a settings file; raises SettingsError."""
    try:
        file = msgspec.json.decode(data, type=_SettingsFile)
        return _translate(file)
    except (msgspec.DecodeError, ValueError) as error:
        raise SettingsError(f"settings: {error}") from error


def _translate(file: _SettingsFile) -> PlatformSettings:
    gateway = GatewaySettings(
        name=file.NodeName,
        data_centre=file.Zone,
        caller_address=Address.parse(file.Listen.Front),
        readiness_address=Address.parse(file.Listen.ReadyAddr),
        metrics_address=Address(file.NodeIp, file.PortRange[0]),
        peer_address=Address(
            file.NodeIp, file.PortRange[0] + PEERS_PORT_OFFSET
        ),
        max_descriptors=file.Limits.MaxFds,
        retry_bounds=RetryBounds(
            ratio=file.Bounds.RetryBudgetRatio,
            window_s=file.Bounds.RetryWindowS,
            slack=file.Bounds.RetrySlack,
        ),
        grace_period_s=file.Bounds.GracePeriodS,
    )
    store = StoreSettings(Address.parse(file.Platform.Address))
    return PlatformSettings(gateway, store)
