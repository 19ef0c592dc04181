"""The settings of each program; every field is a flag and a variable."""

from typing import NamedTuple

from chicorystack import defaults


class RouterSettings(NamedTuple):
    """Routes callers' requests to targets within prepaid budgets.

    Each flag may be set as CHICORY_<FLAG> in the environment instead.

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
        statsd: IP:port of the statsd server; empty for none.
        log_level: Least severe level that is logged.
        check: Checks the settings and exits.
        version: Prints the version and exits.
    """

    name: str
    site: str
    data_centre: str
    log_url: str
    vm_list_url: str
    fleet_token: str
    address: str = defaults.LOOPBACK
    port: int = 7100
    control_port: int = 7101
    picker: str = "sampled"
    statsd: str = ""
    log_level: str = "INFO"


class AgentSettings(NamedTuple):
    """Guards one target: the last gate before each call.

    Each flag may be set as CHICORY_<FLAG> in the environment instead.

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
        check: Checks the settings and exits.
        version: Prints the version and exits.
    """

    name: str
    site: str
    data_centre: str
    service: str
    target_url: str
    log_url: str
    vm_list_url: str
    fleet_token: str
    address: str = defaults.LOOPBACK
    port: int = 7200
    statsd: str = ""
    log_level: str = "INFO"


class CtlSettings(NamedTuple):
    """Settings of the operators' command.

    Attributes:
        log_url: Base URL of the platform's log service.
        vm_list_url: URL of the platform's list of VMs.
        fleet_token: Secret that the fleet's own processes show each other.
        operator: Name of the operator, for the audit trail.
    """

    log_url: str
    vm_list_url: str
    fleet_token: str
    operator: str
