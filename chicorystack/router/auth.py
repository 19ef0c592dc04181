"""Authenticates customers by their secret keys."""

import hmac
from typing import NamedTuple

from chicorystack import defaults
from chicorystack.budget.keeper.client import (
    BudgetClient,
    KeeperUnreachableError,
)
from chicorystack.budget.keeper.messages import CustomerReply
from chicorystack.errors import ApiError
from chicorystack.util import secret_hash, shard_of

BEARER = "Bearer "
KEY_PREFIX = "ck"


class _CachedCustomer(NamedTuple):
    reply: CustomerReply
    fresh_until: float


class CustomerDirectory:
    """Checks secret keys against customer records from the keepers.

    The records are cached.
    """

    def __init__(self, clock, budgets: BudgetClient):
        self._clock = clock
        self._budgets = budgets
        self._cached_by_name: dict[str, _CachedCustomer] = {}

    async def authenticate(
        self, authorization: str | None, shard_count: int
    ) -> str:
        """Returns the customer's name.

        Args:
            authorization: Value of the header, `Bearer ck.<customer>.<secret>`.
            shard_count: Number of shards in the configuration.

        Raises:
            ApiError: `unauthorized` or `budget_unreachable`.
        """
        name, secret = _parse_authorization(authorization)
        if not name:
            raise _unauthorized_error()
        customer = await self._load_customer(name, shard_of(name, shard_count))
        presented_hash = secret_hash(secret, customer["key_salt"])
        if not hmac.compare_digest(presented_hash, customer["key_hash"]):
            raise _unauthorized_error()
        return name

    async def _load_customer(self, name: str, shard: int) -> CustomerReply:
        """Returns a record; an expired one if the keeper is unreachable."""
        now = self._clock.seconds()
        cached = self._cached_by_name.get(name)
        if cached is not None and now < cached.fresh_until:
            return cached.reply
        try:
            reply = await self._budgets.customer(shard, name)
        except KeeperUnreachableError as error:
            if cached is not None:
                return cached.reply
            raise ApiError(
                "budget_unreachable",
                "the keeper of the customer's shard is unreachable",
                "rejected",
                defaults.RETRY_AFTER_MS,
            ) from error
        self._cached_by_name[name] = _CachedCustomer(
            reply, now + defaults.CUSTOMER_CACHE_TTL_S
        )
        return reply


def claimed_customer(authorization: str | None) -> str:
    """Returns a header's customer name without verifying it.

    It is empty if the header is malformed.
    """
    return _parse_authorization(authorization)[0]


def _parse_authorization(authorization: str | None) -> tuple[str, str]:
    """Returns name and secret, both empty if the header is malformed."""
    parts = (authorization or "").removeprefix(BEARER).split(".")
    if len(parts) != 3 or parts[0] != KEY_PREFIX:
        return "", ""
    return parts[1], parts[2]


def _unauthorized_error() -> ApiError:
    return ApiError("unauthorized", "unknown customer or wrong key", "rejected")
