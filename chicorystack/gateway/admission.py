"""Admits requests: checks route and API key, sets service and deadline."""

import hashlib
import random
from collections.abc import Callable

from chicorystack import defaults
from chicorystack.errors import ChicoryError
from chicorystack.evacuation.regions import intersect_regions
from chicorystack.gateway.messages import Call, CallerRequest, Refusal
from chicorystack.gateway.model import GatewayConfig, Route


class RefusedError(ChicoryError):
    """The request was refused.

    Attributes:
        refusal: The response to send to the caller.
    """

    def __init__(self, refusal: Refusal):
        super().__init__(f"{refusal.status} {refusal.code}")
        self.refusal = refusal


def refuse(
    status: int, code: str, message: str, retry_after_s: float | None = None
) -> RefusedError:
    """Returns a RefusedError with the given refusal."""
    return RefusedError(Refusal(status, code, message, retry_after_s))


class Admission:
    """Checks requests against the current configuration."""

    def __init__(self, clock, config: Callable[[], GatewayConfig]):
        self._clock = clock
        self._config = config

    def admit(self, request: CallerRequest) -> Call:
        """Returns the admitted call.

        Raises:
            RefusedError: If there is no configuration or no matching route,
                the request has no ID, or its API key is missing or unknown.
        """
        config = self._config()
        if not config.version:
            raise refuse(
                503,
                "no_configuration",
                "no configuration has been read yet",
                defaults.NOT_READY_RETRY_S,
            )
        if not request.id:
            raise refuse(400, "no_id", "the request has no attempt ID")
        route = config.route(request.host, request.path)
        if route is None:
            raise refuse(404, "no_route", "no route for this host and path")
        customer = _authenticate(config, route, request)
        return Call(
            request=request,
            route=route,
            service=_choose_service(route),
            customer=customer,
            priority=_effective_priority(config, route, customer),
            deadline=_compute_deadline(route, request),
            config_version=config.version,
            content_hash=_hash_content(request, customer),
            allowed_regions=_allowed_regions(config, route, customer),
        )


def _authenticate(
    config: GatewayConfig, route: Route, request: CallerRequest
) -> str:
    """Returns the customer that owns the request's API key.

    Returns:
        The customer's name; empty if the route is public or no customers are
        configured.

    Raises:
        RefusedError: If the key is missing or unknown.
    """
    if route.public or not config.customer_by_name:
        return ""
    customer = config.customer_by_key.get(request.api_key or "")
    if customer is None:
        raise refuse(401, "unknown_key", "the API key is missing or unknown")
    return customer


def _effective_priority(
    config: GatewayConfig, route: Route, customer: str
) -> int | None:
    spec = config.customer_by_name.get(customer)
    if spec is not None and spec.priority is not None:
        return spec.priority
    return route.priority


def _allowed_regions(
    config: GatewayConfig, route: Route, customer: str
) -> frozenset[str] | None:
    spec = config.customer_by_name.get(customer)
    if spec is None:
        return intersect_regions(route.regions)
    return intersect_regions(route.regions, spec.regions)


def _choose_service(route: Route) -> str:
    if len(route.services) == 1:
        return route.services[0].service
    weights = [split.weight for split in route.services]
    return random.choices(route.services, weights)[0].service


def _compute_deadline(route: Route, request: CallerRequest) -> float:
    """Returns the earlier of the caller's and the route's deadline.

    A margin for sending the response is subtracted from the caller's timeout.
    """
    limit = request.received_at + route.timeout_s
    if request.timeout_s is None:
        return limit
    margin_s = min(defaults.RESPONSE_MARGIN_S, request.timeout_s / 10)
    return min(limit, request.received_at + request.timeout_s - margin_s)


def _hash_content(request: CallerRequest, customer: str) -> str:
    """Returns a digest of the request that ignores its attempt ID.

    Repeats of a request by the same customer have the same digest.
    """
    digest = hashlib.blake2b(digest_size=12)
    for part in (customer.encode(), request.method, request.target):
        digest.update(part)
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
