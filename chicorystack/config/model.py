"""The configuration: its text form and its checked, ready-to-use form."""

from typing import Literal, NamedTuple, NotRequired, TypedDict

from chicorystack import defaults

ServiceKind = Literal["engine", "plain"]
Priority = Literal["high", "normal", "low"]


class OperationText(TypedDict):
    """One operation of a service, as operators write it.

    Attributes:
        repeatable: Whether running it twice does no harm (idempotent).
        cost_tokens: Tokens charged for each call besides generated ones.
        max_tokens: Most tokens that a call may generate; engines only.
        priority: Order in which engines and queues take calls.
    """

    repeatable: bool
    cost_tokens: NotRequired[int]
    max_tokens: NotRequired[int]
    priority: NotRequired[Priority]


class TargetText(TypedDict):
    """One target of a service, as operators write it."""

    data_centre: str


class ServiceText(TypedDict):
    """One service of a site, as operators write it.

    Attributes:
        kind: Model engine or plain service.
        operations: Operations by name.
        targets: Targets by name, which is the name of their VM.
        depends_on: Services of the same site that it needs.
        max_in_flight: Most calls at one target at a time.
        resumable: Whether engines go on with a stream that another began.
    """

    kind: ServiceKind
    operations: dict[str, OperationText]
    targets: dict[str, TargetText]
    depends_on: NotRequired[list[str]]
    max_in_flight: NotRequired[int]
    resumable: NotRequired[bool]


class SiteText(TypedDict):
    """One site, as operators write it."""

    data_centres: list[str]
    services: dict[str, ServiceText]


class ConfigText(TypedDict):
    """The whole configuration, as operators write it.

    Attributes:
        sites: Sites by name.
        shards: Number of shards of customers; may not change later.
    """

    sites: dict[str, SiteText]
    shards: NotRequired[int]


class Operation(NamedTuple):
    """One operation of a service; fields as in OperationText."""

    name: str
    repeatable: bool
    cost_tokens: int = 0
    max_tokens: int = defaults.MAX_TOKENS_PER_CALL
    priority: Priority = "normal"


class Target(NamedTuple):
    """One target of a service."""

    name: str
    data_centre: str


class Service(NamedTuple):
    """One service of a site; fields as in ServiceText."""

    name: str
    site: str
    kind: ServiceKind
    operation_by_name: dict[str, Operation]
    target_by_name: dict[str, Target]
    depends_on: tuple[str, ...] = ()
    max_in_flight: int = defaults.MAX_IN_FLIGHT_PER_TARGET
    resumable: bool = False

    @property
    def runs_once(self) -> bool:
        """Whether it has an operation that may not be repeated."""
        operations = self.operation_by_name.values()
        return not all(operation.repeatable for operation in operations)


class Site(NamedTuple):
    """One site with its data centres and services."""

    name: str
    data_centres: tuple[str, ...]
    service_by_name: dict[str, Service]


class FleetConfig(NamedTuple):
    """A checked configuration.

    Attributes:
        version: Rises by one with each accepted publication; 0 is none.
        shard_count: Number of shards of customers.
        site_by_name: Sites by name.
    """

    version: int = 0
    shard_count: int = defaults.SHARD_COUNT
    site_by_name: dict[str, Site] = {}

    def service(self, site: str, service: str) -> Service | None:
        """Returns a service of a site, or None where there is none."""
        if site not in self.site_by_name:
            return None
        return self.site_by_name[site].service_by_name.get(service)


def build_config(text: ConfigText, version: int) -> FleetConfig:
    """Returns the ready-to-use form of a checked text."""
    return FleetConfig(
        version,
        text.get("shards", defaults.SHARD_COUNT),
        {name: _site(name, site) for name, site in text["sites"].items()},
    )


def _site(name: str, text: SiteText) -> Site:
    services = text["services"].items()
    return Site(
        name,
        tuple(text["data_centres"]),
        {key: _service(key, name, service) for key, service in services},
    )


def _service(name: str, site: str, text: ServiceText) -> Service:
    operations = text["operations"].items()
    targets = text["targets"].items()
    return Service(
        name,
        site,
        text["kind"],
        {key: Operation(key, **fields) for key, fields in operations},
        {key: Target(key, **fields) for key, fields in targets},
        tuple(text.get("depends_on", ())),
        text.get("max_in_flight", defaults.MAX_IN_FLIGHT_PER_TARGET),
        text.get("resumable", False),
    )
