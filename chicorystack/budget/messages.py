"""Records of a shard's stream, and messages between routers and keepers.

A shard's stream in the log holds all that must last of the customers of that
shard: who they are, their top-ups, who keeps the shard, how many tokens have
been committed to holders, and which calls have been billed.
"""

from typing import Literal, NamedTuple, NotRequired, TypedDict

import msgspec


def shard_stream(shard: int) -> str:
    """Returns the name of a shard's stream."""
    return f"shard-{shard}"


class CustomerCreated(TypedDict):
    """Creates a customer, or replaces its secret key.

    Attributes:
        kind: Always `customer_created`.
        id: The record's own id.
        customer: Name of the customer.
        key_salt: Salt of the hash, hexadecimal.
        key_hash: Salted hash of the secret key.
        operator: Who created it.
    """

    kind: Literal["customer_created"]
    id: str
    customer: str
    key_salt: str
    key_hash: str
    operator: str


class ToppedUp(TypedDict):
    """Adds tokens to a budget; a repeated id counts once."""

    kind: Literal["topped_up"]
    id: str
    customer: str
    budget: str
    tokens: int
    operator: str


class KeeperClaimed(TypedDict):
    """Claims a shard; the first record of the next epoch wins.

    Attributes:
        kind: Always `keeper_claimed`.
        id: The record's own id.
        epoch: The epoch in force plus one.
        router: Name of the claiming router's VM.
        url: Base URL of its control port.
        closures_offset: Up to where the claimer had read the stream of
            closures.
    """

    kind: Literal["keeper_claimed"]
    id: str
    epoch: int
    router: str
    url: str
    closures_offset: NotRequired[int]


class Usage(NamedTuple):
    """Tokens that one run of a call used; the first of a key is its bill.

    Attributes:
        budget: Budget's id, `customer/budget`.
        key: Hash of the call's key.
        tokens: Tokens used.
        use: Id of this run, `holder:number`, so that a report sent twice is
            told from a call that ran twice.
    """

    budget: str
    key: str
    tokens: int
    use: str


def holder_of_use(use: str) -> str:
    """Returns the incarnation id of the router that paid for a run."""
    return use.partition(":")[0]


def number_of_use(use: str) -> int:
    """Returns the number of a run among those of its holder and shard."""
    return int(use.partition(":")[2])


class LedgerBatch(TypedDict):
    """What a keeper commits in one append; void under an old epoch.

    Attributes:
        kind: Always `ledger_batch`.
        id: The record's own id.
        epoch: Epoch of the keeper.
        number: Rises with each record of this epoch; a copy that the log
            service takes late has an old number and is void.
        committed: New upper bounds, by budget id, on the tokens that are
            billed or may be held by anyone.
        bills: Calls billed.
        router_by_holder: Holders that may be given tokens from now on, with
            the name of their VM.
        void_holders: Holders that may hold tokens no more; agents account
            for what they used.
    """

    kind: Literal["ledger_batch"]
    id: str
    epoch: int
    number: int
    committed: dict[str, int]
    bills: list[Usage]
    router_by_holder: NotRequired[dict[str, str]]
    void_holders: NotRequired[list[str]]


class EpochSettled(TypedDict):
    """Ends the settlement of closed epochs; void under an old epoch.

    Attributes:
        kind: Always `epoch_settled`.
        id: The record's own id.
        epoch: Epoch of the keeper.
        number: As in LedgerBatch.
        closed: Newest epoch that is settled.
        holders: Void holders that are settled.
        stranded: Tokens by budget that stay counted as spent.
        reason: Why tokens are stranded; empty where none are.
    """

    kind: Literal["epoch_settled"]
    id: str
    epoch: int
    number: int
    closed: int
    holders: list[str]
    stranded: dict[str, int]
    reason: str


class RecordHead(TypedDict):
    """What all records of a shard's stream share."""

    kind: str
    id: str


RECORD_TYPE_BY_KIND: dict[str, type] = {
    "customer_created": CustomerCreated,
    "topped_up": ToppedUp,
    "keeper_claimed": KeeperClaimed,
    "ledger_batch": LedgerBatch,
    "epoch_settled": EpochSettled,
}

ShardRecord = (
    CustomerCreated | ToppedUp | KeeperClaimed | LedgerBatch | EpochSettled
)


def decode_record(raw: str) -> ShardRecord:
    """Decodes a record of a shard's stream by its kind."""
    kind = msgspec.json.decode(raw, type=RecordHead)["kind"]
    return msgspec.json.decode(raw, type=RECORD_TYPE_BY_KIND[kind])


class Exchange(TypedDict):
    """What a router tells the keeper of a shard; one at a time.

    Attributes:
        shard: The shard.
        holder: Incarnation id of the router's process.
        router: Name of the router's VM.
        number: Rises with each exchange of this holder and shard; the keeper
            ignores an exchange that a later one has overtaken.
        epoch: Epoch of the keeper that the holder knows of.
        registered_epoch: Epoch in which a keeper last accepted what the
            holder holds; 0 for none.
        held: Tokens held by budget: free, reserved, and used but not yet
            acknowledged. Covers all budgets of the shard where the epoch is
            new to the holder, else those that have changed.
        usage: Usage not yet acknowledged.
        wanted: Least number of further tokens that helps, by budget.
        low: Budgets of which little is left of the last grant.
    """

    shard: int
    holder: str
    router: str
    number: int
    epoch: int
    registered_epoch: int
    held: dict[str, int]
    usage: list[Usage]
    wanted: dict[str, int]
    low: list[str]


class ExchangeReply(TypedDict):
    """The keeper's answer, once the bills stand in the log.

    Attributes:
        epoch: Epoch of the keeper.
        accepted: False where the epoch was not the keeper's: the holder
            learns the epoch and states all that it holds.
        void: True where the holder has been given up: it holds nothing any
            more, and agents account for what it used.
        granted: Tokens handed out, by budget.
        refunded: Ids of the runs whose keys had been billed before; their
            tokens go back to the holder's wallet.
        remaining: Tokens that nobody holds, by wanted budget.
        settling: Wanted budgets of which more may be free soon, once what
            routers that are gone held is settled.
    """

    epoch: int
    accepted: bool
    void: bool
    granted: dict[str, int]
    refunded: list[str]
    remaining: dict[str, int]
    settling: list[str]


class HolderQuery(TypedDict):
    """Tells a router of a shard's new epoch and asks who it is.

    Attributes:
        shard: The shard.
        epoch: Epoch of the keeper, in which the holder should register.
        keep: Most free tokens that the holder may keep, by budget; it gives
            the rest back.
    """

    shard: int
    epoch: int
    keep: NotRequired[dict[str, int]]


class HolderReply(TypedDict):
    """Who a router is.

    Attributes:
        holder: Id of the holder for the shard; empty where there is none.
    """

    holder: str


class CustomerQuery(TypedDict):
    """Asks a keeper for a customer."""

    shard: int
    customer: str


class CustomerReply(TypedDict):
    """What a router needs to tell a customer's secret key."""

    customer: str
    key_salt: str
    key_hash: str


class BudgetView(TypedDict):
    """A budget as its keeper sees it, in tokens.

    Attributes:
        budget: Budget's id.
        topped_up: Sum of the top-ups.
        billed: Sum of the bills.
        held: Handed out to routers and not billed.
        unsettled: Committed under an older epoch and not yet accounted for.
        free: Neither billed, held nor unsettled.
        reason: Why tokens are unsettled, where they are.
    """

    budget: str
    topped_up: int
    billed: int
    held: int
    unsettled: int
    free: int
    reason: NotRequired[str]


class BudgetsReply(TypedDict):
    """The budgets of one customer."""

    customer: str
    epoch: int
    budgets: list[BudgetView]
