"""Loans of tokens between routers, without the store.

When the store is unreachable, or all remaining tokens of a budget are granted,
a router that lacks tokens for a call borrows from other routers. Lent tokens
count as used by the lender, within its own terms, so a loan does not add to the
tokens granted in the store: if the lender's process dies, its successor counts
them as part of the lender's usage. If the answer to a request is lost, the
request is repeated with the same number, and the loan is granted only once.

This module has the messages; `lender` and `borrower` have the two sides.
"""

from typing import Protocol

import msgspec

from chicorystack.budget.grants.records import GrantRecord
from chicorystack.budget.grants.witnesses import WitnessPeers
from chicorystack.decoding import Count, Integer
from chicorystack.errors import ChicoryError


class LoanError(ChicoryError):
    """Another router did not answer.

    Attributes:
        maybe_done: Whether it may have processed the message.
    """

    def __init__(self, message: str, maybe_done: bool = True):
        super().__init__(message)
        self.maybe_done = maybe_done


class LoanRequest(msgspec.Struct, frozen=True):
    """A request for a loan to another router.

    Attributes:
        router: Name of the borrower's VM.
        process: Id of the borrower's process.
        customer: Customer whose tokens are requested.
        number: Sequence number of the loan for this process, customer and
            lender; repeated requests keep it until one is answered.
        needed: Tokens that the borrower's waiting calls lack.
        wished: Tokens that the borrower would like to get, so that it borrows
            less often.
        least: Tokens below which a loan would serve no call. Other than 0 only
            where one router holds the last tokens of the budget.
    """

    router: str
    process: str
    customer: str
    number: Integer
    needed: Integer
    wished: Integer
    least: Integer = 0


class LoanAnswer(msgspec.Struct, frozen=True):
    """The answer to a loan request.

    Attributes:
        tokens: Tokens lent.
        free: Tokens that the lender has free after the loan.
        process: Id of the lender's process.
        scarce: Whether one router holds the last tokens of the budget.
        reaches_store: Whether the lender can obtain further tokens.
        left: Tokens left of the budget, as far as the lender knows; None if it
            doesn't say.
    """

    tokens: Count
    free: Integer
    process: str = ""
    scarce: bool = False
    reaches_store: bool = True
    left: Integer | None = None


class TokenReturn(msgspec.Struct, frozen=True):
    """Borrowed tokens that a router does not need, for the primary holder.

    Attributes:
        router: Name of the sender's VM.
        process: Id of the sender's process.
        receiver_process: Process that is to get the tokens; a later one on the
            same VM must not, as the tokens may have been used already.
        number: Sequence number for this process and receiver; a repeated
            message keeps it.
        tokens_by_customer: The tokens.
    """

    router: str
    process: str
    receiver_process: str
    number: Integer
    tokens_by_customer: dict[str, Count]


class TokenReturnAnswer(msgspec.Struct, frozen=True):
    """The answer to returned tokens.

    Attributes:
        taken: Whether the receiver has the tokens, now or from an earlier copy
            of the message.
    """

    taken: bool


class HandOver(msgspec.Struct, frozen=True):
    """A transfer of all unused tokens of a router that is stopping.

    Attributes:
        router: Name of the stopping router's VM.
        process: Id of its process.
        tokens_by_customer: Tokens transferred to the receiver.
        receiver_process: Process that is to get the tokens, as in TokenReturn;
            empty to ask for its id, without a transfer.
    """

    router: str
    process: str
    tokens_by_customer: dict[str, Count]
    receiver_process: str = ""


class HandOverAnswer(msgspec.Struct, frozen=True):
    """The answer to a hand-over.

    Attributes:
        taken: Whether the receiver accepted the tokens, now or from an earlier
            copy of the message.
        process: Id of the receiver's process.
    """

    taken: bool
    process: str = ""


class GrantsRequest(msgspec.Struct, frozen=True):
    """Asks a router which grants it has seen.

    Attributes:
        router: Name of the VM of the process that asks.
        era: Era of the store that it reads.
    """

    router: str = ""
    era: Count = 0


class GrantsReport(msgspec.Struct, frozen=True):
    """Grants that a router process has seen in the store, also in earlier eras.

    Attributes:
        record_by_key: Its own grant records, and those of the router that
            asks, by their keys in the log.
        unread_by_key: Further records of the router that asks, which it was
            writing, and of which this process does not know whether they have
            taken effect.
        restored: Whether this process reads the store of the same era, and the
            store has all that this process knows of routers that are gone.
    """

    record_by_key: dict[str, GrantRecord]
    unread_by_key: dict[str, list[GrantRecord]] = {}
    restored: bool = True


class LoanPeers(Protocol):
    """Sends loan messages to the other routers that are known."""

    def names(self) -> list[str]:
        """Returns the names of the routers that can be contacted."""

    async def request_loan(
        self, router: str, request: LoanRequest
    ) -> LoanAnswer:
        """Requests a loan from a router; raises LoanError."""

    async def hand_over(self, router: str, message: HandOver) -> HandOverAnswer:
        """Transfers tokens to a router; raises LoanError."""

    async def return_tokens(
        self, router: str, message: TokenReturn
    ) -> TokenReturnAnswer:
        """Returns tokens to a router; raises LoanError."""

    async def fetch_grants(
        self, router: str, request: GrantsRequest
    ) -> GrantsReport:
        """Asks a router which grants it has seen; raises LoanError."""


class RouterPeers(LoanPeers, WitnessPeers, Protocol):
    """Sends all messages on tokens to the other routers."""
