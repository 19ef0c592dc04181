"""The lender's side of loans: see `loans`."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from chicorystack.budget.grants.account import Account
from chicorystack.budget.grants.announcer import LimitAnnouncer
from chicorystack.budget.grants.loans import (
    HandOver,
    HandOverAnswer,
    LoanAnswer,
    LoanRequest,
    TokenReturn,
    TokenReturnAnswer,
)
from chicorystack.budget.grants.process_grants import ProcessGrants
from chicorystack.budget.grants.records import Holder
from chicorystack.observe.events import emit


class _LastLoan(NamedTuple):
    """The last loan to one router of one customer's tokens.

    Attributes:
        process: Id of the borrower's process.
        number: Sequence number of the loan.
        tokens: Tokens that were lent.
    """

    process: str
    number: int
    tokens: int


class StoreAccess(NamedTuple):
    """How a lender obtains tokens in the store.

    Attributes:
        obtain: Tries to obtain a customer's tokens for loans, for a short time.
        is_reachable: Returns whether the store answers for a customer.
    """

    obtain: Callable[[str], Awaitable[None]]
    is_reachable: Callable[[str], bool]


class Lender:
    """Lends tokens that this router's own waiting calls do not need."""

    def __init__(
        self,
        grants: ProcessGrants,
        announcer: LimitAnnouncer,
        holder: Holder,
        store: StoreAccess,
    ):
        self._grants = grants
        self._announcer = announcer
        self._holder = holder
        self._store = store
        # Number of the last message of returned tokens, by process.
        self._last_return_by_process: dict[str, int] = {}
        self._last_loan_by_borrower: dict[tuple[str, str], _LastLoan] = {}
        # Processes whose hand-overs have been accepted.
        self._accepted_hand_overs: set[str] = set()

    async def lend(self, request: LoanRequest) -> LoanAnswer:
        """Lends tokens.

        A repeated request gets the same loan; an outdated one gets none.
        """
        account = self._grants.account_by_customer.get(request.customer)
        if account is None or self._grants.superseded:
            return LoanAnswer(0, 0)
        if request.least:
            await self._obtain_for(account, request)
        await self._announce_for(account, request)
        return self._lend_now(account, request)

    async def _obtain_for(self, account: Account, request: LoanRequest) -> None:
        """Obtains tokens for a loan in the store, if too few are free."""
        account.wanted_for_loans += request.needed
        try:
            if account.free < account.wanted + account.wanted_for_loans:
                await self._store.obtain(request.customer)
        finally:
            account.wanted_for_loans -= request.needed

    async def _announce_for(
        self, account: Account, request: LoanRequest
    ) -> None:
        """Announces a limit that covers a loan, if that is what is lacking."""
        account.wanted_by_others += request.wished
        try:
            if account.lacks_announcement:
                await self._announcer.announce()
        finally:
            account.wanted_by_others -= request.wished

    def _lend_now(self, account: Account, request: LoanRequest) -> LoanAnswer:
        key = (request.router, request.customer)
        last = self._last_loan_by_borrower.get(key)
        if last is None or last.process != request.process:
            last = _LastLoan(request.process, -1, 0)
        if request.number < last.number:
            return self._answer(request.customer, 0)
        if request.number > last.number:
            tokens = account.lend(request.needed, request.wished, request.least)
            last = last._replace(number=request.number, tokens=tokens)
            self._last_loan_by_borrower[key] = last
        if last.tokens:
            emit(
                "budget", "lent", customer=request.customer,
                to=request.router, number=request.number,
                needed=request.needed, wished=request.wished,
                tokens=last.tokens, free=account.free,
            )  # fmt: skip
        return self._answer(request.customer, last.tokens)

    def _answer(self, customer: str, tokens: int) -> LoanAnswer:
        account = self._grants.account_by_customer[customer]
        return LoanAnswer(
            tokens,
            account.free,
            self._holder.process,
            account.scarce,
            self._store.is_reachable(customer),
            account.left,
        )

    def accept_return(self, message: TokenReturn) -> TokenReturnAnswer:
        """Accepts tokens that another router returns.

        A repeated message adds no tokens.
        """
        if message.receiver_process != self._holder.process:
            return TokenReturnAnswer(taken=False)
        if message.number <= self._last_return_by_process.get(
            message.process, -1
        ):
            return TokenReturnAnswer(taken=True)
        if self._grants.closing:
            return TokenReturnAnswer(taken=False)
        self._last_return_by_process[message.process] = message.number
        for customer, tokens in message.tokens_by_customer.items():
            account = self._grants.account_by_customer.get(customer)
            if account is not None:
                account.add_loan(tokens)
        emit(
            "budget", "tokens_returned", router=message.router,
            tokens=message.tokens_by_customer,
        )  # fmt: skip
        return TokenReturnAnswer(taken=True)

    def accept_hand_over(self, message: HandOver) -> HandOverAnswer:
        """Accepts the tokens of a router that is stopping.

        A repeated message adds no tokens. If this router is stopping too, it
        does not accept any more.
        """
        own = self._holder.process
        if message.receiver_process != own:
            return HandOverAnswer(taken=False, process=own)
        if message.process not in self._accepted_hand_overs:
            if self._grants.closing:
                return HandOverAnswer(taken=False, process=own)
            self._accepted_hand_overs.add(message.process)
            for customer, tokens in message.tokens_by_customer.items():
                account = self._grants.account_by_customer.get(customer)
                if account is not None:
                    account.add_loan(tokens)
        emit(
            "budget", "taken_over", router=message.router,
            process=message.process, tokens=message.tokens_by_customer,
        )  # fmt: skip
        return HandOverAnswer(taken=True, process=own)
