"""Records of a shard's stream, and messages between routers and keepers.

A shard's stream in the log contains the durable state of the shard's
customers: their keys and top-ups, the shard's keeper, the tokens committed to
holders, and the calls that have been billed.
"""

from typing import Literal, NamedTuple, NotRequired, TypedDict

from chicorystack.decoding import decode_json


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
        operator: Name of the operator who created it.
    """

    kind: Literal["customer_created"]
    id: str
    customer: str
    key_salt: str
    key_hash: str
    operator: str


class ToppedUp(TypedDict):
    """Adds tokens to a budget; records with the same id count once."""

    kind: Literal["topped_up"]
    id: str
    customer: str
    budget: str
    tokens: int
    operator: str


class KeeperClaimed(TypedDict):
    """Claims a shard; the first claim of the next epoch in the log wins.

    Attributes:
        kind: Always `keeper_claimed`.
        id: The record's own id.
        epoch: The current epoch plus one.
        router: Name of the claiming router's VM.
        url: Base URL of its control port.
        closures_offset: Offset up to which the claiming router had read the
            stream of closures.
    """

    kind: Literal["keeper_claimed"]
    id: str
    epoch: int
    router: str
    url: str
    closures_offset: NotRequired[int]


class Usage(NamedTuple):
    """Tokens that one run of a call used.

    Only the first usage in the log for a key is billed.

    Attributes:
        budget: Budget's id, `customer/budget`.
        key: Hash of the call's key.
        tokens: Tokens used.
        use: Id of this run, `holder:number`. It distinguishes a report sent
            twice from a call that ran twice.
    """

    budget: str
    key: str
    tokens: int
    use: str


def holder_of_use(use: str) -> str:
    """Returns the id of the holder that paid for a run."""
    return use.partition(":")[0]


def number_of_use(use: str) -> int:
    """Returns the number of a run among those of its holder and shard."""
    return int(use.partition(":")[2])


class LedgerBatch(TypedDict):
    """A keeper's commitments and bills of one append.

    Readers ignore it if its epoch is not the current one.

    Attributes:
        kind: Always `ledger_batch`.
        id: The record's own id.
        epoch: Epoch of the keeper.
        number: Sequence number within the epoch. A duplicate that the log
            service appends late has an old number and is ignored.
        committed: New upper bounds, by budget id, on the tokens that are
            billed, stranded or held.
        bills: Usage billed.
        router_by_holder: VM names of holders that may be granted tokens from
            now on, by holder.
        void_holders: Holders that may not hold tokens any more; their usage
            is taken from the agents.
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
    """Ends the settlement of closed epochs; ignored as LedgerBatch is.

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


class RecordHeader(TypedDict):
    """Fields of all records in shards' streams and the stream of closures."""

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
    kind = decode_json(raw, RecordHeader)["kind"]
    return decode_json(raw, RECORD_TYPE_BY_KIND[kind])


class Exchange(TypedDict):
    """A router's report to a shard's keeper and its request for tokens.

    A holder sends one exchange at a time per shard.

    Attributes:
        shard: The shard.
        holder: Incarnation id of the router's process.
        router: Name of the router's VM.
        number: Sequence number among the exchanges of this holder and shard.
            The keeper rejects an exchange that arrives after a later one.
        epoch: The shard's epoch as far as the holder knows.
        registered_epoch: Epoch in which a keeper last accepted the holder's
            tokens; 0 for none.
        held: Tokens held, by budget: free, reserved, and used but not yet
            acknowledged. Has all budgets of the shard if the epoch is new to
            the holder, else those that have changed.
        usage: Usage not yet acknowledged.
        wanted: Smallest useful number of further tokens, by budget.
        low: Budgets whose last grant is nearly used up.
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
    """The keeper's reply, sent once the bills are in the log.

    Attributes:
        epoch: Epoch of the keeper.
        accepted: False if the exchange was for another epoch than the
            keeper's, or the holder is void. In the first case the holder
            adopts the epoch and reports all its tokens.
        void: True if the holder has been declared void: its tokens are
            invalid, and its usage is taken from the agents.
        granted: Tokens granted, by budget.
        refunded: Ids of the runs whose keys had been billed before; their
            tokens go back to the holder's wallet.
        remaining: Tokens that can still be granted, by wanted budget.
        settling: Wanted budgets that may get more tokens soon, once older
            epochs are settled.
    """

    epoch: int
    accepted: bool
    void: bool
    granted: dict[str, int]
    refunded: list[str]
    remaining: dict[str, int]
    settling: list[str]


class HolderQuery(TypedDict):
    """Notifies a router of a shard's epoch and asks for its holder id.

    Attributes:
        shard: The shard.
        epoch: Epoch of the keeper, in which the holder should register.
        keep: Largest number of free tokens that the holder may keep, by
            budget; it returns the rest.
    """

    shard: int
    epoch: int
    keep: NotRequired[dict[str, int]]


class HolderReply(TypedDict):
    """A router's reply to HolderQuery.

    Attributes:
        holder: The router's holder id for the shard; empty if it has none.
    """

    holder: str


class CustomerQuery(TypedDict):
    """Asks a keeper for a customer's key hash, or for its budgets."""

    shard: int
    customer: str


class CustomerReply(TypedDict):
    """Salt and hash with which a router verifies a customer's secret key."""

    customer: str
    key_salt: str
    key_hash: str


class BudgetView(TypedDict):
    """A budget as its keeper sees it, in tokens.

    Attributes:
        budget: Budget's id.
        topped_up: Sum of the top-ups.
        billed: Sum of the bills.
        held: Granted to routers in this epoch and not billed.
        unsettled: Committed in an older epoch and not yet accounted for, or
            stranded.
        free: Neither billed, held nor unsettled.
        reason: Why tokens are unsettled; absent if none are.
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
