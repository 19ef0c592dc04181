"""Commands on customers: create, top up and show budgets."""

import re
import secrets
from typing import TypedDict

from chicorystack.budget.keeper.messages import (
    BudgetsReply,
    CustomerCreated,
    ToppedUp,
    decode_record,
    shard_stream,
)
from chicorystack.ctl.session import CommandError, Session
from chicorystack.ctl.tables import format_table
from chicorystack.util import new_id, secret_hash, shard_of

NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")
SALT_BYTES = 16
SECRET_BYTES = 24


class NewCustomer(TypedDict):
    """A customer's new secret key, which can't be shown again."""

    customer: str
    key: str


class TopUpResult(TypedDict):
    """A top-up that is recorded in the log.

    Attributes:
        customer: Name of the customer.
        budget: Name of the budget.
        tokens: Number of tokens.
        id: Id of the top-up.
        added: Whether the tokens were added now; False if the same top-up had
            already been counted.
    """

    customer: str
    budget: str
    tokens: int
    id: str
    added: bool


async def create(session: Session, customer: str) -> NewCustomer:
    """Creates a customer, or replaces the secret key of an existing one."""
    _check_name(customer)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    record = CustomerCreated(
        kind="customer_created",
        id=new_id(),
        customer=customer,
        key_salt=salt,
        key_hash=secret_hash(secret, salt),
        operator=session.settings.operator,
    )
    stream = await _customer_stream(session, customer)
    await session.append(stream, record)
    return NewCustomer(customer=customer, key=f"ck.{customer}.{secret}")


async def top_up(
    session: Session, customer: str, tokens: int, budget: str, top_up_id: str
) -> TopUpResult:
    """Adds tokens to a budget; top-ups with the same id count once.

    Raises:
        CommandError: If the id belongs to a different top-up.
    """
    _check_name(customer)
    _check_name(budget)
    if tokens <= 0:
        raise CommandError("tokens must be a whole number above 0")
    record = ToppedUp(
        kind="topped_up",
        id=top_up_id or new_id(),
        customer=customer,
        budget=budget,
        tokens=tokens,
        operator=session.settings.operator,
    )
    stream = await _customer_stream(session, customer)
    existing = await _find_top_up(session, stream, record["id"])
    if existing is None:
        await session.append(stream, record)
        # Another operator may have used the same id concurrently.
        first = await _find_top_up(session, stream, record["id"])
        _check_same_top_up(first or record, record)
    else:
        _check_same_top_up(existing, record)
    return TopUpResult(
        customer=customer,
        budget=budget,
        tokens=tokens,
        id=record["id"],
        added=existing is None,
    )


async def _find_top_up(
    session: Session, stream: str, top_up_id: str
) -> ToppedUp | None:
    """Returns the first top-up with an id, which is the one that counts."""
    for entry in await session.read_stream(stream):
        record = decode_record(entry["record"])
        if record["kind"] == "topped_up" and record["id"] == top_up_id:
            return record
    return None


def _check_same_top_up(existing: ToppedUp, record: ToppedUp) -> None:
    if _describe_top_up(existing) != _describe_top_up(record):
        raise CommandError(
            f"the id {record['id']} belongs to another top-up, "
            f"{_describe_top_up(existing)}; nothing was added"
        )


def _describe_top_up(record: ToppedUp) -> str:
    budget = f"{record['customer']}/{record['budget']}"
    return f"{record['tokens']} tokens to {budget}"


def format_top_up(result: TopUpResult) -> str:
    """Returns a top-up as human-readable text."""
    description = f"{result['tokens']} tokens to {result['customer']}/"
    description += result["budget"]
    if result["added"]:
        return f"added {description} (id {result['id']})"
    return (
        f"{description}: already counted under the id {result['id']}; "
        "nothing added"
    )


async def budgets(session: Session, customer: str) -> BudgetsReply:
    """Returns a customer's budgets according to their keeper."""
    shard = shard_of(customer, await _shard_count(session))
    locator = await session.keeper_locator()
    query = {"shard": shard, "customer": customer}
    return await locator.get(shard, "/keeper/budgets", query, BudgetsReply)


def format_budgets(reply: BudgetsReply) -> str:
    """Returns a customer's budgets as human-readable text."""
    header = ("budget", "topped up", "billed", "held", "unsettled", "free", "")
    rows = [
        (
            view["budget"],
            view["topped_up"],
            view["billed"],
            view["held"],
            view["unsettled"],
            view["free"],
            view.get("reason", ""),
        )
        for view in reply["budgets"]
    ]
    return format_table(header, rows) if rows else "no budgets"


async def _customer_stream(session: Session, customer: str) -> str:
    return shard_stream(shard_of(customer, await _shard_count(session)))


async def _shard_count(session: Session) -> int:
    store = await session.read_config()
    if store.config.version == 0:
        raise CommandError("publish a configuration first")
    return store.config.shard_count


def _check_name(name: str) -> None:
    if not NAME_PATTERN.match(str(name)):
        raise CommandError(f"invalid name '{name}': use a-z, 0-9 and '-' only")
