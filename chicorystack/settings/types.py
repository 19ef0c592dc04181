"""Settings of each program; each field is a flag and a variable."""

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

DESCRIPTION_BY_TYPE = {
    int: "expected a whole number",
    int | None: "expected a whole number",
    float: "expected a number",
    bool: "expected True or False",
}


def convert(raw: str, value_type: object) -> object:
    """Converts a text to a value of a type.

    Raises:
        msgspec.ValidationError: If the text is not a valid value of the type.
    """
    value = msgspec.convert(raw, value_type, strict=False)
    if type(value) is int and not raw.lstrip("-").isdigit():
        # msgspec accepts `1e3` as an integer, which may not be intended.
        raise msgspec.ValidationError("Expected a whole number")
    return value


def describe(value_type: object) -> str:
    """Returns a description of the type's values, or an empty string."""
    if get_origin(value_type) is Literal:
        return f"expected one of {', '.join(get_args(value_type))}"
    if value_type in DESCRIPTION_BY_TYPE:
        return DESCRIPTION_BY_TYPE[value_type]
    for meta in getattr(value_type, "__metadata__", ()):
        return meta.description or ""
    return ""


class RouterSettings(NamedTuple):
    """Routes callers' requests to targets within prepaid budgets.

    Each flag can also be set in the environment as CHICORY_<FLAG>. Set the
    fleet token there, because the list of processes shows flags. --check only
    checks the settings, --version prints the version.

    Args:
        name: Name of this VM in the platform's VM list.
        site: Site whose services this router provides.
        data_centre: Data centre of this VM.
        log_url: Base URL of the platform's log service.
        vm_list_url: URL of the platform's list of VMs.
        fleet_token: Shared secret that authenticates the fleet's processes.
        address: IP address to listen on, at which others reach this router.
        port: TCP port for callers.
        control_port: TCP port for the fleet's processes and operators.
        picker: Policy for choosing targets: sampled, least_sent or
            round_robin.
        log_retention_s: Retention time of the log service, in seconds.
        statsd: IP:port of the StatsD server; empty for none.
        log_level: Minimum level of logged messages.
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
    """Checks routers' calls to one target and forwards them to it.

    Each flag can also be set in the environment as CHICORY_<FLAG>. Set the
    fleet token there, because the list of processes shows flags. --check only
    checks the settings, --version prints the version.

    Args:
        name: Name of this target in the configuration and the VM list.
        site: Site that the target belongs to.
        data_centre: Data centre of this VM.
        service: Service that the target provides.
        target_url: Base URL of the target.
        log_url: Base URL of the platform's log service.
        vm_list_url: URL of the platform's list of VMs.
        fleet_token: Shared secret that authenticates the fleet's processes.
        address: IP address to listen on.
        port: TCP port for routers.
        statsd: IP:port of the StatsD server; empty for none.
        log_level: Minimum level of logged messages.
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
    """Settings of chicory-ctl.

    Attributes:
        log_url: Base URL of the platform's log service.
        vm_list_url: URL of the platform's list of VMs.
        fleet_token: Shared secret that authenticates the fleet's processes.
        operator: Name of the operator in the audit trail.
    """

    log_url: Url
    vm_list_url: Url
    fleet_token: Secret
    operator: str


SETTINGS_TYPES = (RouterSettings, AgentSettings, CtlSettings)
SECRET_FIELDS = ("fleet_token",)
