"""Finds tokens for the waiting calls of one partition.

A call that lacks tokens waits in a queue. What it lacks may be granted but not
announced yet, may be lent by other routers, or has to be granted in the store.
A call for which none of these finds enough is refused.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from twisted.internet import defer

from chicorystack import defaults
from chicorystack.budget.grants.announcer import LimitAnnouncer
from chicorystack.budget.grants.borrower import Borrower
from chicorystack.budget.grants.call_queue import (
    GrantError,
    GrantQueue,
    WaitingCall,
)
from chicorystack.budget.grants.ledger import GrantLedger
from chicorystack.budget.grants.process_grants import ProcessGrants
from chicorystack.budget.grants.records import GrantReservation
from chicorystack.observe.events import emit


class GrantStore(Protocol):
    """The store's side of a partition.

    Attributes:
        ledger: The partition's grants, as read so far.
        store_lost: Whether several calls to the store have failed in a row.
        store_failing: Whether the last call to the store has failed.
    """

    ledger: GrantLedger
    store_lost: bool
    store_failing: bool

    def review(self) -> None:
        """Starts to write the records that are due."""


class _Shortage(NamedTuple):
    """What a search for the last tokens of a budget has shown.

    Attributes:
        tokens: Tokens of the smallest call that could not be served.
        until: Clock time until which it holds, in seconds.
    """

    tokens: int
    until: float


class TokenSearch:
    """Reserves tokens for calls, which wait if too few are free."""

    def __init__(
        self,
        clock,
        grants: ProcessGrants,
        borrower: Borrower,
        announcer: LimitAnnouncer,
        store: GrantStore,
    ):
        self._clock = clock
        self._grants = grants
        self._borrower = borrower
        self._announcer = announcer
        self._store = store
        self._queue = GrantQueue(grants)
        # Customers for whose waiting calls tokens are being announced or
        # borrowed.
        self._asking: set[str] = set()
        self._shortage_by_customer: dict[str, _Shortage] = {}

    @property
    def waiting(self) -> int:
        """Number of calls that wait for tokens."""
        return len(self._queue)

    def serve(self) -> None:
        """Reserves tokens for each waiting call if enough are free."""
        self._queue.serve()

    async def reserve(
        self, customer: str, tokens: int, deadline: float, urgent: bool
    ) -> GrantReservation:
        """Reserves tokens; see GrantClient.reserve."""
        account = self._grants.account_by_customer[customer]
        if not account.admits(urgent):
            raise GrantError(
                f"the last tokens of {customer}, {account.left} of "
                f"{account.prepaid}, are kept for its most urgent calls",
                exhausted=False,
                retry_after_s=defaults.GRANT_EXHAUSTED_RETRY_S,
            )
        if not account.wanted and account.reserve(tokens):
            if account.should_announce_ahead:
                self._announcer.announce_soon()
            return GrantReservation(customer, tokens)
        if self._lacked_lately(customer, tokens):
            raise self._no_tokens_error(customer, tokens)
        if (
            self._store.store_lost
            and tokens > account.free_if_announced
            and not self._borrower.may_borrow(customer)
        ):
            raise GrantError(
                f"not enough tokens for {customer}: {tokens} requested, "
                f"{account.free} free of {account.granted} granted, "
                f"{account.in_use} in use; the store is unreachable and no "
                f"other router could lend enough",
                exhausted=False,
                retry_after_s=account.estimate_wait_s(tokens),
            )
        call = self._queue.add(customer, tokens)
        timer = self._clock.callLater(
            max(0.0, deadline - self._clock.seconds()),
            self._refuse_no_grant,
            call,
        )
        if account.lacks_announcement:
            self._ask(customer, self._announce_and_obtain)
        else:
            self._obtain(customer)
        try:
            await call.ready
        finally:
            if timer.active():
                timer.cancel()
            self._queue.remove(call)
        return GrantReservation(customer, tokens)

    def _obtain(self, customer: str) -> None:
        """Starts to obtain the tokens that waiting calls lack."""
        if self._store.store_failing:
            self.borrow()
        elif self._borrower.primary(customer) is not None:
            self._ask(customer, self._borrow_from_primary)
            return
        if self._borrower.has_near_holder(customer):
            self._ask(customer, self._borrow_or_review)
        else:
            self._store.review()

    async def _announce_and_obtain(self, customer: str) -> None:
        """Announces a higher limit for waiting calls.

        Obtains more tokens if the calls still lack some.
        """
        account = self._grants.account_by_customer[customer]
        try:
            while account.lacks_announcement:
                free = account.free
                await self._announcer.announce()
                self._queue.serve()
                if account.free <= free:
                    break
        finally:
            self._asking.discard(customer)
        if self._queue.calls(customer):
            self._obtain(customer)

    def _ask(
        self, customer: str, ask: Callable[[str], Awaitable[None]]
    ) -> None:
        """Starts to ask other routers for a customer, if not begun."""
        if customer in self._asking:
            return
        self._asking.add(customer)
        asking = defer.ensureDeferred(ask(customer))
        asking.addErrback(_log_failure, customer)

    async def _borrow_from_primary(self, customer: str) -> None:
        """Borrows the last tokens of a budget from the router that has them.

        Refuses the calls that it cannot serve. If no such router answers, the
        tokens are searched for as they are while the budget is not scarce.
        """
        answered = False
        try:
            answered = await self._borrower.borrow_from_primary(
                customer, self._store.ledger
            )
        finally:
            self._asking.discard(customer)
        self._queue.serve()
        account = self._grants.account_by_customer[customer]
        if answered and not account.consolidating:
            self._refuse_unserved(customer)
        elif self._queue.calls(customer):
            self._ask(customer, self._borrow_or_review)

    def _refuse_unserved(self, customer: str) -> None:
        """Refuses the calls that the last tokens do not cover."""
        unserved = self._queue.calls(customer)
        if not unserved:
            return
        self._shortage_by_customer[customer] = _Shortage(
            min(call.tokens for call in unserved),
            self._clock.seconds() + defaults.NO_TOKENS_REFUSAL_S,
        )
        for call in unserved:
            self._refuse_no_tokens(call)

    def _lacked_lately(self, customer: str, tokens: int) -> bool:
        """Returns whether a call that was no larger has just been refused."""
        shortage = self._shortage_by_customer.get(customer)
        return (
            shortage is not None
            and tokens >= shortage.tokens
            and self._clock.seconds() < shortage.until
        )

    async def _borrow_or_review(self, customer: str) -> None:
        """Borrows from the holders of the data centre.

        For calls that still lack tokens, the router then obtains a grant of its
        own and asks further routers meanwhile: this may be how it learns that
        the store is unreachable.
        """
        borrower = self._borrower
        try:
            if not await borrower.borrow_nearby(customer, self._store.ledger):
                self._store.review()
                if borrower.may_borrow(customer):
                    await borrower.borrow(customer, self._store.ledger)
        finally:
            self._asking.discard(customer)
        self._queue.serve()

    def borrow(self) -> None:
        """Starts to borrow the tokens that waiting calls lack."""
        for customer in self._queue.customers():
            self._ask(customer, self._borrow)

    async def _borrow(self, customer: str) -> None:
        """Borrows tokens for a customer; refuses the calls still unserved.

        They keep waiting if calls to the store have failed, but too few in a
        row for the store to count as lost.
        """
        try:
            if self._borrower.may_borrow(customer):
                await self._borrower.borrow(customer, self._store.ledger)
        finally:
            self._asking.discard(customer)
        self._queue.serve()
        for call in self._queue.calls(customer):
            if self._store.store_lost:
                self._refuse_no_grant(call)
            elif not self._store.store_failing:
                self._refuse_no_tokens(call)

    def handle_unservable(self) -> None:
        """Refuses calls that the budget cannot cover; borrows for the rest."""
        for call in self._queue.calls():
            if call.tokens > self._max_remaining(call.customer):
                self._refuse_no_tokens(call)
        for customer in self._queue.customers():
            if self._is_consolidated_here(customer):
                self._refuse_unserved(customer)
        self.borrow()

    def _is_consolidated_here(self, customer: str) -> bool:
        """Returns whether this router holds the last tokens of a budget."""
        account = self._grants.account_by_customer[customer]
        return (
            account.scarce
            and not account.consolidating
            and self._borrower.primary(customer) is None
        )

    def _max_remaining(self, customer: str) -> int:
        """Returns the most tokens that can be left of a budget."""
        account = self._grants.account_by_customer[customer]
        return account.prepaid - self._store.ledger.spent(customer)

    def _refuse_no_tokens(self, call: WaitingCall) -> None:
        error = self._no_tokens_error(call.customer, call.tokens)
        self._queue.refuse(call, error)

    def _no_tokens_error(self, customer: str, tokens: int) -> GrantError:
        left = self._max_remaining(customer)
        prepaid = self._grants.account_by_customer[customer].prepaid
        return GrantError(
            f"{tokens} tokens are not available for {customer}; at most "
            f"{left} of {prepaid} are left",
            exhausted=tokens > left,
            retry_after_s=defaults.GRANT_EXHAUSTED_RETRY_S,
        )

    def _refuse_no_grant(self, call: WaitingCall) -> None:
        account = self._grants.account_by_customer[call.customer]
        wait_s = account.estimate_wait_s(call.tokens)
        error = GrantError(
            f"no tokens were granted in time for {call.customer}", False, wait_s
        )
        self._queue.refuse(call, error)


def _log_failure(failure, customer: str) -> None:
    emit("budget", "failed", customer=customer, reason=failure.getTraceback())
