"""Decides whether a request becomes a call: route, key, service, deadline."""

import hashlib
import random
from collections.abc import Callable

from chicorystack import defaults
from chicorystack.errors import ChicoryError
from chicorystack.gateway.messages import Call, CallerRequest, Refusal
from chicorystack.gateway.model import GatewayConfig, Route


class RefusedError(ChicoryError):
    """A request is refused.

    Attributes:
        refusal: The answer.
    """

    def __init__(self, refusal: Refusal):
        super().__init__(f"{refusal.status} {refusal.reason}")
        self.refusal = refusal


def refuse(
    status: int, reason: str, message: str, retry_after_s: float | None = None
) -> RefusedError:
    """Returns the error that refuses a request."""
    return RefusedError(Refusal(status, reason, message, retry_after_s))


class Admission:
    """Checks requests against the configuration in force."""

    def __init__(self, clock, config: Callable[[], GatewayConfig]):
        self._clock = clock
        self._config = config

    def admit(self, request: CallerRequest) -> Call:
        """Returns the call; raises RefusedError."""
        config = self._config()
        if not config.version:
            raise refuse(
                503,
                "no_configuration",
                "no configuration has been read yet",
                defaults.NOT_READY_RETRY_S,
            )
        if not request.id:
            raise refuse(400, "no_id", "the request has no attempt id")
        route = config.route(request.host, request.path)
        if route is None:
            raise refuse(404, "no_route", "no route for this host and path")
        customer = _customer(config, route, request)
        return Call(
            request=request,
            route=route,
            service=_choose_service(route),
            customer=customer,
            priority=_priority(config, route, customer),
            deadline=_deadline(route, request),
            config_version=config.version,
            content=_content(request, customer),
        )


def _customer(
    config: GatewayConfig, route: Route, request: CallerRequest
) -> str:
    """Returns who pays; empty where the route asks for nobody."""
    if route.public or not config.customer_by_name:
        return ""
    customer = config.customer_by_key.get(request.key or "")
    if customer is None:
        raise refuse(401, "unknown_key", "the key is missing or unknown")
    return customer


def _priority(config: GatewayConfig, route: Route, customer: str) -> int | None:
    spec = config.customer_by_name.get(customer)
    if spec is not None and spec.priority is not None:
        return spec.priority
    return route.priority


def _choose_service(route: Route) -> str:
    if len(route.services) == 1:
        return route.services[0].service
    weights = [split.weight for split in route.services]
    return random.choices(route.services, weights)[0].service


def _deadline(route: Route, request: CallerRequest) -> float:
    """Returns the earlier of the caller's deadline and the route's timeout."""
    limit = request.received_at + route.timeout_s
    if request.timeout_s is None:
        return limit
    margin_s = min(defaults.CALLER_MARGIN_S, request.timeout_s / 10)
    return min(limit, request.received_at + request.timeout_s - margin_s)


def _content(request: CallerRequest, customer: str) -> str:
    """Returns a short name of what is asked, whatever the attempt's id."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (customer.encode(), request.method, request.target):
        digest.update(part)
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
