"""Findings on a configuration of the gateway: routes, services, customers."""

import itertools
from collections.abc import Iterator

from chicorystack.config.findings import Finding, Severity
from chicorystack.gateway.model import CallKind, GatewayConfig, Route


def check_gateway(config: GatewayConfig) -> list[Finding]:
    """Returns errors and warnings on a decoded configuration."""
    findings = [
        finding
        for route in config.routes()
        for finding in (*_find_route_errors(route), *_find_limits(route))
    ]
    findings += _find_hidden_routes(config)
    findings += _find_service_warnings(config)
    findings += _find_customer_warnings(config)
    return findings


def find_error(config: GatewayConfig) -> Finding | None:
    """Returns an error that keeps a configuration from being used, if any."""
    errors = (_find_route_errors(route) for route in config.routes())
    return next(itertools.chain.from_iterable(errors), None)


def _find_route_errors(route: Route) -> Iterator[Finding]:
    where = f"route {route.name}"
    if not any(split.weight > 0 for split in route.services):
        yield _error(where, "no service runs its calls")
    if any(split.weight < 0 for split in route.services):
        yield _error(where, "a service's share of its calls is below 0")
    if not route.host:
        yield _error(where, "it has no host")
    if route.timeout_s <= 0:
        yield _error(where, "its timeout must be above 0")
    if route.max_attempts < 1:
        yield _error(where, "it allows no attempt")
    if not route.path_prefix.startswith("/"):
        yield _error(where, "its path prefix must begin with a slash")


def _find_limits(route: Route) -> Iterator[Finding]:
    """Yields limits that contradict each other or have no effect."""
    where = f"route {route.name}"
    if route.objective_s > route.timeout_s:
        yield _warning(where, "its objective is longer than its timeout")
    if route.gap_objective_s > route.timeout_s:
        yield _warning(
            where, "its objective between events is longer than its timeout"
        )
    if route.max_attempts > 1 and not route.retryable:
        yield _warning(
            where,
            f"{route.max_attempts} attempts have no effect: a call that may "
            "have run isn't sent again",
        )
    if route.kind is CallKind.STREAM:
        return
    if route.resumable:
        yield _warning(where, "only streams can be resumed")
    if route.gap_objective_s:
        yield _warning(where, "only streams have times between events")


def _find_hidden_routes(config: GatewayConfig) -> Iterator[Finding]:
    """Yields routes whose host and prefix an earlier route has as well."""
    for routes in config.routes_by_host.values():
        name_by_prefix: dict[str, str] = {}
        for route in routes:
            name = name_by_prefix.setdefault(route.path_prefix, route.name)
            if name != route.name:
                yield _warning(
                    f"route {route.name}",
                    f"it never matches: route {name} has the same host and "
                    "path prefix",
                )


def _find_service_warnings(config: GatewayConfig) -> Iterator[Finding]:
    used: set[str] = set()
    for route in config.routes():
        for split in route.services:
            if split.weight <= 0:
                yield _warning(
                    f"route {route.name}",
                    f"service {split.service} gets none of its calls",
                )
                continue
            used.add(split.service)
            if split.service not in config.service_by_name:
                yield _warning(
                    f"route {route.name}",
                    f"service {split.service} is not configured",
                )
    for name in sorted(config.service_by_name.keys() - used):
        yield _warning(f"service {name}", "no route uses it")


def _find_customer_warnings(config: GatewayConfig) -> Iterator[Finding]:
    names_with_keys = set(config.customer_by_key.values())
    for name, customer in config.customer_by_name.items():
        if name not in names_with_keys:
            yield _warning(
                f"customer {name}", "it has no keys, so that it can't call"
            )
        if customer.prepaid is not None and customer.prepaid < _least_tokens(
            config
        ):
            yield _warning(
                f"customer {name}",
                f"its budget of {customer.prepaid} tokens is smaller than one "
                "event of a stream",
            )


def _least_tokens(config: GatewayConfig) -> int:
    """Returns the fewest tokens that any call with token limits can use."""
    return min(
        (
            service.engine.max_tokens_per_event
            for service in config.service_by_name.values()
            if service.engine is not None
        ),
        default=1,
    )


def _error(where: str, message: str) -> Finding:
    return Finding(Severity.ERROR, where, message)


def _warning(where: str, message: str) -> Finding:
    return Finding(Severity.WARNING, where, message)
