"""Tokens that one router hands over to another, without the store.

While the store is away, or where all that is left of a budget is granted, a
router that lacks tokens for a call asks others for some of their own. What a
router lends counts as used by it, within its own terms, so a loan adds nothing
to what the store has granted: whoever takes over after a death counts it with
the lender. A loan whose answer is lost is asked for again under its number and
is given once.
"""

from collections.abc import Iterator
from typing import NamedTuple, Protocol

import msgspec
from twisted.internet import defer

from chicorystack import defaults
from chicorystack.budget.grant_records import GrantLedger, Holder
from chicorystack.budget.grants import GrantBook
from chicorystack.errors import ChicoryError
from chicorystack.observe.events import emit


class LoanError(ChicoryError):
    """A router did not answer.

    Attributes:
        maybe_done: Whether it may have taken the message.
    """

    def __init__(self, message: str, maybe_done: bool = True):
        super().__init__(message)
        self.maybe_done = maybe_done


class LoanRequest(msgspec.Struct, frozen=True):
    """A router asks another one for tokens.

    Attributes:
        router: Who asks.
        process: Its process.
        customer: Whose tokens.
        number: Counts the loans of this process, customer and lender; the
            same until it has been answered.
        needed: Tokens that calls waiting there lack.
        wished: Tokens that it would like to have, to ask less often.
    """

    router: str
    process: str
    customer: str
    number: int
    needed: int
    wished: int


class LoanAnswer(msgspec.Struct, frozen=True):
    """What a router lends.

    Attributes:
        tokens: Tokens that are the asker's from now on.
        free: Tokens that the lender could use itself after that.
    """

    tokens: int
    free: int


class HandOver(msgspec.Struct, frozen=True):
    """A router that stops hands its unused tokens over.

    Attributes:
        router: Who stops.
        process: Its process.
        tokens_by_customer: Tokens that are the receiver's from now on.
    """

    router: str
    process: str
    tokens_by_customer: dict[str, int]


class HandOverAnswer(msgspec.Struct, frozen=True):
    """What becomes of tokens that were handed over.

    Attributes:
        taken: Whether they were taken.
    """

    taken: bool


class LoanPeers(Protocol):
    """The other routers, as far as they are known."""

    def names(self) -> list[str]:
        """Returns the names of those that can be asked."""

    async def ask(self, router: str, request: LoanRequest) -> LoanAnswer:
        """Asks one of them; raises LoanError."""

    async def hand_over(self, router: str, message: HandOver) -> HandOverAnswer:
        """Hands tokens over to one of them; raises LoanError."""


class _GivenLoan(NamedTuple):
    """The newest loan to one router of one customer's tokens.

    Attributes:
        process: The process that asked.
        number: Number of the loan.
        tokens: Tokens that were lent.
    """

    process: str
    number: int
    tokens: int


class Lender:
    """Lends what this router's own calls do not wait for."""

    def __init__(self, book: GrantBook):
        self._book = book
        self._given_by_borrower: dict[tuple[str, str], _GivenLoan] = {}
        # Routers' processes whose tokens have been taken over.
        self._taken_over: set[str] = set()

    def lend(self, request: LoanRequest) -> LoanAnswer:
        """Returns what is lent; a repeated request gets the same tokens."""
        account = self._book.account_by_customer.get(request.customer)
        if account is None or self._book.superseded:
            return LoanAnswer(0, 0)
        key = (request.router, request.customer)
        given = self._given_by_borrower.get(key)
        if given is None or given.process != request.process:
            given = _GivenLoan(request.process, -1, 0)
        if request.number < given.number:
            return LoanAnswer(0, account.free)
        if request.number > given.number:
            tokens = account.lend(request.needed, request.wished)
            given = given._replace(number=request.number, tokens=tokens)
            self._given_by_borrower[key] = given
        if given.tokens:
            emit(
                "budget", "lent", customer=request.customer,
                to=request.router, number=request.number,
                needed=request.needed, wished=request.wished,
                tokens=given.tokens, free=account.free,
            )  # fmt: skip
        return LoanAnswer(given.tokens, account.free)

    def take_over(self, message: HandOver) -> HandOverAnswer:
        """Takes tokens of a router that stops, once."""
        if self._book.closing:
            return HandOverAnswer(taken=False)
        if message.process not in self._taken_over:
            self._taken_over.add(message.process)
            for customer, tokens in message.tokens_by_customer.items():
                account = self._book.account_by_customer.get(customer)
                if account is not None:
                    account.take_loan(tokens)
        emit(
            "budget", "taken_over", router=message.router,
            process=message.process, tokens=message.tokens_by_customer,
        )  # fmt: skip
        return HandOverAnswer(taken=True)


class _Estimate(NamedTuple):
    """What a router could lend when it was last heard of.

    Attributes:
        free: Tokens.
        ledger_end: How far the log had been read then.
    """

    free: int
    ledger_end: int


class Borrower:
    """Asks other routers for the tokens that calls here wait for."""

    def __init__(
        self, clock, book: GrantBook, holder: Holder, peers: LoanPeers
    ):
        self._clock = clock
        self._book = book
        self._holder = holder
        self._peers = peers
        self._number_by_lender: dict[tuple[str, str], int] = {}
        self._estimate_by_lender: dict[tuple[str, str], _Estimate] = {}
        self._silent_until_by_router: dict[str, float] = {}
        self._ask_again_at_by_customer: dict[str, float] = {}

    def may_ask(self, customer: str) -> bool:
        """Tells whether asking may help; it did not a moment ago if not."""
        ask_again_at = self._ask_again_at_by_customer.get(customer, 0.0)
        return bool(
            self._clock.seconds() >= ask_again_at and self._peers.names()
        )

    async def borrow(self, customer: str, ledger: GrantLedger) -> None:
        """Asks one router after the other until no call lacks tokens."""
        account = self._book.account_by_customer[customer]
        give_up_at = self._clock.seconds() + defaults.LOAN_SEARCH_TIMEOUT_S
        for router in self._lenders(customer, ledger):
            if account.wanted <= account.free:
                return
            if self._clock.seconds() >= give_up_at:
                break
            await self._ask(router, customer, ledger.end or 0)
        if account.wanted > account.free:
            self._ask_again_at_by_customer[customer] = (
                self._clock.seconds() + defaults.LOAN_RETRY_DELAY_S
            )

    async def hand_over(self) -> None:
        """Hands all unused tokens to one other router, as this one stops.

        A router that does not answer may have taken them, so it is asked
        again, and no other one is.
        """
        tokens_by_customer = {
            customer: tokens
            for customer, account in self._book.account_by_customer.items()
            if (tokens := account.lend(account.free, account.free))
        }
        if not tokens_by_customer:
            return
        message = HandOver(
            self._holder.router, self._holder.process, tokens_by_customer
        )
        taken_by = await self._find_receiver(message)
        emit(
            "budget", "handed_over", receiver=taken_by,
            tokens=tokens_by_customer,
        )  # fmt: skip

    async def _find_receiver(self, message: HandOver) -> str | None:
        """Returns who took the tokens; None if that is not known."""
        for router in self._reachable():
            for _ in range(defaults.HAND_OVER_ATTEMPTS):
                try:
                    answer = await self._peers.hand_over(router, message)
                except LoanError as error:
                    emit(
                        "budget", "hand_over_unanswered", receiver=router,
                        reason=str(error),
                    )  # fmt: skip
                    if not error.maybe_done:
                        break
                    continue
                if answer.taken:
                    return router
                break
            else:
                return None
        return None

    def _lenders(self, customer: str, ledger: GrantLedger) -> list[str]:
        """Returns the routers to ask; the one that may have most first."""
        free_by_router = {
            router: self._estimated_free(router, customer, ledger)
            for router in self._reachable()
        }
        order = sorted(free_by_router, key=free_by_router.get, reverse=True)
        return order[: defaults.LOAN_MAX_LENDERS]

    def _reachable(self) -> Iterator[str]:
        now = self._clock.seconds()
        for router in self._peers.names():
            if now >= self._silent_until_by_router.get(router, 0.0):
                yield router

    def _estimated_free(
        self, router: str, customer: str, ledger: GrantLedger
    ) -> int:
        told = self._estimate_by_lender.get((router, customer))
        if told is not None and told.ledger_end == (ledger.end or 0):
            return told.free
        record = ledger.record(customer, router)
        if record is None:
            return 0
        return record["terms"].granted - record["terms"].in_use

    async def _ask(self, router: str, customer: str, ledger_end: int) -> None:
        account = self._book.account_by_customer[customer]
        lender = (router, customer)
        number = self._number_by_lender.setdefault(lender, 0)
        needed = account.wanted - account.free
        ahead = int(account.rate * defaults.LOAN_AHEAD_S)
        request = LoanRequest(
            router=self._holder.router,
            process=self._holder.process,
            customer=customer,
            number=number,
            needed=needed,
            wished=needed + ahead,
        )
        asking = defer.ensureDeferred(self._peers.ask(router, request))
        asking.addTimeout(defaults.LOAN_TIMEOUT_S, self._clock)
        try:
            answer = await asking
        except (LoanError, defer.TimeoutError) as error:
            self._silent_until_by_router[router] = (
                self._clock.seconds() + defaults.LOAN_UNRESPONSIVE_S
            )
            emit(
                "budget", "loan_unanswered", customer=customer, lender=router,
                number=number, reason=repr(error),
            )  # fmt: skip
            return
        self._number_by_lender[lender] = number + 1
        self._estimate_by_lender[lender] = _Estimate(answer.free, ledger_end)
        account.take_loan(answer.tokens)
        emit(
            "budget", "borrowed", customer=customer, lender=router,
            number=number, needed=needed, tokens=answer.tokens,
            left_there=answer.free, free=account.free, ledger_end=ledger_end,
        )  # fmt: skip
