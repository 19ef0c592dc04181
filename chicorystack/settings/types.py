"""The settings of each program; every field is a flag and a variable."""

from typing import Annotated, Literal, NamedTuple, get_args, get_origin

import msgspec
from msgspec import Meta

from chicorystack import defaults

LogLevel = Literal[
    "TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL"
]
PickerName = Literal["sampled", "least_sent", "round_robin"]
Port = Annotated[
    int,
    Meta(ge=1, le=65535, description="expected a TCP port from 1 to 65535"),
]
Url = Annotated[
    str,
    Meta(
        pattern=r"^http://(\[[0-9a-fA-F:.]+\]|[^/\s:\[\]]+)(:[0-9]{1,5})?(/\S*)?\Z",
        description="expected a URL such as http://10.0.0.7:7000",
    ),
]
IpAddress = Annotated[
    str,
    Meta(
        pattern=r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*)\Z",
        description="expected an IP address",
    ),
]
Name = Annotated[
    str,
    Meta(
        pattern=r"^[a-z0-9][a-z0-9-]{0,62}\Z",
        description="expected a name of a-z, 0-9 and '-'",
    ),
]
Statsd = Annotated[
    str,
    Meta(pattern=r"^(\S+:[0-9]{1,5})?\Z", description="expected IP:port"),
]
Secret = Annotated[
    str,
    Meta(
        pattern=r"^[!-~]{8,}\Z",
        description="expected at least 8 printable ASCII characters",
    ),
]

EXPECTED_BY_TYPE = {
    int: "expected a whole number",
    int | None: "expected a whole number",
    float: "expected a number",
    bool: "expected True or False",
}


def convert(raw: str, kind: object) -> object:
    """Returns the value that a text stands for.

    Raises:
        msgspec.ValidationError: If the text stands for no value of the type.
    """
    value = msgspec.convert(raw, kind, strict=False)
    if type(value) is int and not raw.lstrip("-").isdigit():
        # msgspec takes `1e3` for a whole number; people may not mean it.
        raise msgspec.ValidationError("Expected a whole number")
    return value


def describe(kind: object) -> str:
    """Returns what a value of the type looks like, or empty if unsaid."""
    if get_origin(kind) is Literal:
        return f"expected one of {', '.join(get_args(kind))}"
    if kind in EXPECTED_BY_TYPE:
        return EXPECTED_BY_TYPE[kind]
    for meta in getattr(kind, "__metadata__", ()):
        return meta.description or ""
    return ""


class RouterSettings(NamedTuple):
    """Routes callers' requests to targets within prepaid budgets.

    Each flag may be set as CHICORY_<FLAG> in the environment instead; the
    fleet token should be, as flags show in the list of processes. Besides,
    --check checks the settings and exits, --version prints the version.

    Args:
        name: Name of this VM in the platform's VM list.
        site: Site whose services this router offers.
        data_centre: Data centre of this VM.
        log_url: Base URL of the platform's log service.
        vm_list_url: URL of the platform's list of VMs.
        fleet_token: Secret that the fleet's own processes show each other.
        address: IP address to listen on and to be reached at.
        port: TCP port for callers.
        control_port: TCP port for the fleet and operators.
        picker: Policy that chooses targets: sampled, least_sent or
            round_robin.
        log_retention_s: How long the log service keeps records, in seconds.
        statsd: IP:port of the statsd server; empty for none.
        log_level: Least severe level that is logged.
    """

    name: Name
    site: Name
    data_centre: Name
    log_url: Url
    vm_list_url: Url
    fleet_token: Secret
    address: IpAddress = defaults.LOOPBACK
    port: Port = 7100
    control_port: Port = 7101
    picker: PickerName = "sampled"
    log_retention_s: float = defaults.LOG_RETENTION_S
    statsd: Statsd = ""
    log_level: LogLevel = "INFO"


class AgentSettings(NamedTuple):
    """Guards one target: the last gate before each call.

    Each flag may be set as CHICORY_<FLAG> in the environment instead; the
    fleet token should be, as flags show in the list of processes. Besides,
    --check checks the settings and exits, --version prints the version.

    Args:
        name: Name of this target in the configuration and the VM list.
        site: Site that the target belongs to.
        data_centre: Data centre of this VM.
        service: Service that the target offers.
        target_url: Base URL of the target.
        log_url: Base URL of the platform's log service.
        vm_list_url: URL of the platform's list of VMs.
        fleet_token: Secret that the fleet's own processes show each other.
        address: IP address to listen on.
        port: TCP port for routers.
        statsd: IP:port of the statsd server; empty for none.
        log_level: Least severe level that is logged.
    """

    name: Name
    site: Name
    data_centre: Name
    service: Name
    target_url: Url
    log_url: Url
    vm_list_url: Url
    fleet_token: Secret
    address: IpAddress = defaults.LOOPBACK
    port: Port = 7200
    statsd: Statsd = ""
    log_level: LogLevel = "INFO"


class CtlSettings(NamedTuple):
    """Settings of the operators' command.

    Attributes:
        log_url: Base URL of the platform's log service.
        vm_list_url: URL of the platform's list of VMs.
        fleet_token: Secret that the fleet's own processes show each other.
        operator: Name of the operator, for the audit trail.
    """

    log_url: Url
    vm_list_url: Url
    fleet_token: Secret
    operator: str


SETTINGS_TYPES = (RouterSettings, AgentSettings, CtlSettings)
SECRET_FIELDS = ("fleet_token",)
