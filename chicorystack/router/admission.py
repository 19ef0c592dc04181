"""Validates callers' requests and reserves tokens for them."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec
from twisted.web import server

from chicorystack import defaults
from chicorystack.budget.keeper.client import BudgetClient
from chicorystack.budget.keeper.wallet import Reservation
from chicorystack.calls.messages import CallHeader, GenerateBody
from chicorystack.config.model import FleetConfig, Operation, Service
from chicorystack.decoding import decode_json, parse_whole_number
from chicorystack.errors import ApiError
from chicorystack.membership.readiness import missing_dependency
from chicorystack.quarantine.strikes import StrikeTable, content_hash
from chicorystack.router.auth import CustomerDirectory
from chicorystack.util import budget_id, key_hash, new_id, shard_of
from chicorystack.web.server import get_header

KEY_HEADER = "idempotency-key"
BUDGET_HEADER = "chicory-budget"
TIMEOUT_HEADER = "chicory-timeout-ms"


class Call(NamedTuple):
    """A validated call.

    Attributes:
        service: Service to call.
        operation: Operation to call.
        customer: Customer who pays.
        budget: Budget's id.
        shard: Shard of the budget.
        key: Hash of the customer and the idempotency key.
        key_given: Whether the caller provided an idempotency key.
        body: The body to forward.
        max_tokens: Most tokens to generate; 0 for plain services.
        upper_bound: Most tokens that the call may use.
        deadline: Time on the reactor's clock when the caller gives up.
        refuse: Whether the owner of the key must refuse the call permanently,
            unless it has run already.
        config_version: Configuration that the call was validated against.
        content_hash: Hash of what is requested, independent of the key.
    """

    service: Service
    operation: Operation
    customer: str
    budget: str
    shard: int
    key: str
    key_given: bool
    body: bytes
    max_tokens: int
    upper_bound: int
    deadline: float
    config_version: int
    content_hash: str
    refuse: bool = False

    def header(self, reservation: Reservation, now: float) -> CallHeader:
        """Returns the call's header for an agent."""
        return CallHeader(
            site=self.service.site,
            service=self.service.name,
            operation=self.operation.name,
            customer=self.customer,
            budget=self.budget,
            key=self.key,
            repeatable=self.operation.repeatable,
            shard=self.shard,
            epoch=reservation.epoch,
            use=reservation.use,
            settled_below=reservation.settled_below,
            reserved=reservation.tokens,
            cost_tokens=self.operation.cost_tokens,
            max_tokens=self.max_tokens,
            priority=self.operation.priority,
            timeout_ms=max(0, int((self.deadline - now) * 1000)),
            keep_answer=self.key_given,
            refuse=self.refuse,
            config_version=self.config_version,
        )


class Admission:
    """Validates requests and reserves tokens for them."""

    def __init__(
        self,
        clock,
        site: str,
        customers: CustomerDirectory,
        budgets: BudgetClient,
        has_target: Callable[[Service], bool],
        strikes: StrikeTable,
    ):
        self._clock = clock
        self._site = site
        self._customers = customers
        self._budgets = budgets
        self._has_target = has_target
        self._strikes = strikes

    async def check(
        self,
        request: server.Request,
        config: FleetConfig,
        service_name: str,
        operation_name: str,
    ) -> Call:
        """Validates a request and returns its call.

        Raises:
            ApiError: With outcome `rejected`; the key was not looked up.
        """
        received_at = self._clock.seconds()
        customer = await self._customers.authenticate(
            get_header(request, "authorization"), config.shard_count
        )
        service, operation = self._find_operation(
            config, service_name, operation_name
        )
        self._check_dependencies(config, service)
        key = _read_idempotency_key(request, operation)
        request.content.seek(0)
        body = request.content.read()
        max_tokens, max_total_tokens = _token_limits(service, operation, body)
        content = _hash_content(service, operation, body)
        self._strikes.check(content, "rejected")
        budget = get_header(request, BUDGET_HEADER) or defaults.DEFAULT_BUDGET
        return Call(
            service=service,
            operation=operation,
            customer=customer,
            budget=budget_id(customer, budget),
            shard=shard_of(customer, config.shard_count),
            key=key_hash(customer, key or new_id()),
            key_given=key is not None,
            body=body,
            max_tokens=max_tokens,
            upper_bound=max_total_tokens + operation.cost_tokens,
            deadline=received_at + _read_timeout_ms(request) / 1000,
            config_version=config.version,
            content_hash=content,
        )

    async def reserve(self, call: Call) -> Reservation:
        """Reserves the call's upper bound of tokens; raises ApiError."""
        wait_deadline = self._clock.seconds() + defaults.GRANT_WAIT_S
        return await self._budgets.reserve(
            call.shard,
            call.budget,
            call.upper_bound,
            min(call.deadline, wait_deadline),
        )

    async def move_to_current_epoch(
        self, call: Call, reservation: Reservation
    ) -> Reservation:
        """Moves a reservation to the current epoch; raises ApiError."""
        wait_deadline = self._clock.seconds() + defaults.GRANT_WAIT_S
        return await self._budgets.move_to_current_epoch(
            reservation, min(call.deadline, wait_deadline)
        )

    def _check_dependencies(
        self, config: FleetConfig, service: Service
    ) -> None:
        site = config.site_by_name[self._site]
        missing = missing_dependency(site, service, self._has_target)
        if missing is not None:
            raise ApiError(
                "not_ready",
                f"service '{service.name}' needs '{missing}', which has no "
                "available target",
                "rejected",
                defaults.RETRY_AFTER_MS,
            )

    def _find_operation(
        self, config: FleetConfig, service_name: str, operation_name: str
    ) -> tuple[Service, Operation]:
        service = config.service(self._site, service_name)
        if service is None:
            raise ApiError(
                "unknown_service",
                f"no service '{service_name}'",
                "rejected",
            )
        operation = service.operation_by_name.get(operation_name)
        if operation is None:
            raise ApiError(
                "unknown_service",
                f"service '{service_name}' has no operation '{operation_name}'",
                "rejected",
            )
        return service, operation


def _read_idempotency_key(
    request: server.Request, operation: Operation
) -> str | None:
    key = get_header(request, KEY_HEADER)
    if key is None and not operation.repeatable:
        raise ApiError(
            "key_required",
            "this operation needs an Idempotency-Key header",
            "rejected",
        )
    if key is not None and not 1 <= len(key) <= defaults.MAX_CALL_KEY_CHARS:
        raise ApiError(
            "bad_request",
            f"Idempotency-Key must have 1 to {defaults.MAX_CALL_KEY_CHARS} "
            "characters",
            "rejected",
        )
    return key


def _read_timeout_ms(request: server.Request) -> int:
    text = get_header(request, TIMEOUT_HEADER)
    if text is None:
        return defaults.CALL_TIMEOUT_MS
    timeout_ms = parse_whole_number(text)
    if not timeout_ms:
        raise ApiError(
            "bad_request",
            "Chicory-Timeout-Ms must be a whole number above 0",
            "rejected",
        )
    return min(timeout_ms, defaults.MAX_CALL_TIMEOUT_MS)


def _hash_content(service: Service, operation: Operation, body: bytes) -> str:
    if service.kind == "engine":
        prompt = _decode_body(body, GenerateBody)["prompt"]
        return content_hash(service.name, prompt)
    text = body.decode("utf-8", "replace")
    return content_hash(service.name, f"{operation.name}\0{text}")


def _token_limits(
    service: Service, operation: Operation, body: bytes
) -> tuple[int, int]:
    """Returns the most tokens to generate, and the most with the prompt."""
    if service.kind == "plain":
        _decode_body(body, dict[str, object])
        return 0, 0
    fields = _decode_body(body, GenerateBody)
    requested = fields.get("max_tokens", operation.max_tokens)
    if requested < 1:
        raise ApiError("bad_request", "max_tokens must be above 0", "rejected")
    max_tokens = min(requested, operation.max_tokens)
    # Assumes at least PROMPT_BYTES_PER_TOKEN_MIN bytes per token; rounds up.
    prompt_bytes = len(fields["prompt"].encode())
    prompt_tokens = -(-prompt_bytes // defaults.PROMPT_BYTES_PER_TOKEN_MIN)
    return max_tokens, max_tokens + prompt_tokens


def _decode_body(body: bytes, body_type):
    try:
        return decode_json(body, body_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ApiError(
            "bad_request", f"invalid body: {error}", "rejected"
        ) from error
