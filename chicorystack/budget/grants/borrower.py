"""The borrower's side of loans: see `loans`."""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec
from twisted.internet import defer

from chicorystack import defaults
from chicorystack.budget.grants.announcer import LimitAnnouncer
from chicorystack.budget.grants.holders import Holders
from chicorystack.budget.grants.ledger import GrantLedger
from chicorystack.budget.grants.loans import (
    GrantsReport,
    GrantsRequest,
    HandOver,
    LoanAnswer,
    LoanError,
    LoanPeers,
    LoanRequest,
)
from chicorystack.budget.grants.process_grants import ProcessGrants
from chicorystack.budget.grants.records import (
    Holder,
)
from chicorystack.decoding import MAX_COUNT
from chicorystack.observe.events import emit


class _FreeEstimate(NamedTuple):
    """The free tokens that a router reported in its last answer.

    Attributes:
        free: Tokens free after the loan.
        ledger_end: Offset up to which the log had been read at that time.
    """

    free: int
    ledger_end: int


class Borrower:
    """Borrows the tokens that this router's waiting calls lack."""

    def __init__(
        self,
        clock,
        grants: ProcessGrants,
        holder: Holder,
        peers: LoanPeers,
        holders: Holders,
        announcer: LimitAnnouncer,
    ):
        self._clock = clock
        self._holders = holders
        self._grants = grants
        self._holder = holder
        self._peers = peers
        self._announcer = announcer
        self._number_by_lender: dict[tuple[str, str], int] = {}
        self._estimate_by_lender: dict[tuple[str, str], _FreeEstimate] = {}
        self._skip_until_by_router: dict[str, float] = {}
        self._retry_at_by_customer: dict[str, float] = {}

    def may_borrow(self, customer: str) -> bool:
        """Returns whether to try to borrow.

        False for a short time after a search that found too few tokens, and
        if no other router is known.
        """
        retry_at = self._retry_at_by_customer.get(customer, 0.0)
        return bool(self._clock.seconds() >= retry_at and self._peers.names())

    async def borrow(self, customer: str, ledger: GrantLedger) -> None:
        """Borrows from one router after another until no call lacks tokens."""
        lenders = self._ranked_lenders(customer, ledger)
        if not await self._borrow_from(lenders, customer, ledger):
            self._retry_at_by_customer[customer] = (
                self._clock.seconds() + defaults.LOAN_RETRY_DELAY_S
            )

    def has_near_holder(self, customer: str) -> bool:
        """Returns whether another router nearby holds tokens for this one."""
        return not self._holders.is_holder(customer) and any(
            self._near_holders(customer)
        )

    def primary(self, customer: str) -> str | None:
        """Returns who holds a scarce customer's tokens.

        Returns:
            The first choice that answers; None if that is this router, or if
            tokens of the customer are not consolidated.
        """
        if not self._grants.account_by_customer[customer].scarce:
            return None
        responsive = {self._holder.router, *self._responsive_peers()}
        for router in self._holders.primaries(customer):
            if router in responsive:
                return None if router == self._holder.router else router
        return None

    async def borrow_from_primary(
        self, customer: str, ledger: GrantLedger
    ) -> bool:
        """Borrows whole calls from the primary holder.

        Returns:
            Whether a primary holder that can obtain tokens has answered, so
            that calls that still lack tokens cannot be served.
        """
        account = self._grants.account_by_customer[customer]
        while (router := self.primary(customer)) is not None:
            if account.wanted <= account.free:
                return True
            least = max(1, account.smallest_wanted - account.free)
            answer = await self._request_loan(
                router, customer, ledger.end or 0, least
            )
            if answer is not None:
                return answer.reaches_store
        return False

    async def borrow_nearby(self, customer: str, ledger: GrantLedger) -> bool:
        """Borrows from the holders of this data centre.

        Returns:
            Whether no call lacks tokens any more.
        """
        lenders = list(self._near_holders(customer))
        return await self._borrow_from(lenders, customer, ledger)

    def _near_holders(self, customer: str) -> Iterator[str]:
        names = self._holders.near(customer)
        return filter(set(self._responsive_peers()).__contains__, names)

    async def _borrow_from(
        self, lenders: list[str], customer: str, ledger: GrantLedger
    ) -> bool:
        """Asks one router after another; returns whether no call lacks any."""
        account = self._grants.account_by_customer[customer]
        deadline = self._clock.seconds() + defaults.LOAN_SEARCH_TIMEOUT_S
        for router in lenders:
            if account.wanted <= account.free:
                return True
            if self._clock.seconds() >= deadline:
                return False
            await self._request_loan(router, customer, ledger.end or 0)
        return account.wanted <= account.free

    def peer_names(self) -> list[str]:
        """Returns the names of the other routers that are known."""
        return self._peers.names()

    async def fetch_grants(
        self, routers: list[str], era: int
    ) -> dict[str, GrantsReport]:
        """Returns the reports of the routers that answer, by their names.

        Args:
            routers: The routers to ask.
            era: The store's era.
        """
        request = GrantsRequest(self._holder.router, era)
        fetching = [
            defer.ensureDeferred(self._peers.fetch_grants(router, request))
            for router in routers
        ]
        results = await defer.DeferredList(fetching, consumeErrors=True)
        reasons = [
            failure.getErrorMessage()
            for succeeded, failure in results
            if not succeeded
        ]
        if reasons:
            emit("budget", "no_grants_report", reasons=reasons)
        return {
            router: report
            for router, (succeeded, report) in zip(
                routers, results, strict=True
            )
            if succeeded
        }

    async def hand_over(self) -> None:
        """Transfers all unused tokens to one other router before stopping.

        A router that does not answer may have accepted the tokens, so the
        transfer is repeated to that router and to no other.
        """
        await self._announce_all()
        tokens_by_customer = {
            customer: tokens
            for customer, account in self._grants.account_by_customer.items()
            if (tokens := account.lend(account.free, account.free))
        }
        if not tokens_by_customer:
            return
        message = HandOver(
            self._holder.router, self._holder.process, tokens_by_customer
        )
        receiver = await self._find_receiver(message)
        emit(
            "budget", "handed_over", receiver=receiver,
            tokens=tokens_by_customer,
        )  # fmt: skip

    async def _announce_all(self) -> None:
        """Announces all that this process may use now."""
        accounts = self._grants.account_by_customer.values()
        for account in accounts:
            account.wanted_by_others += max(0, account.free_if_announced)
        if self._grants.lacks_announcement():
            await self._announcer.announce()
        for account in accounts:
            account.wanted_by_others = 0

    async def _find_receiver(self, message: HandOver) -> str | None:
        """Returns the router that confirmed the transfer; None if none did."""
        for router in self._responsive_peers():
            taken = await self._offer(router, message)
            if taken is None:
                return None
            if taken:
                return router
        return None

    async def _offer(self, router: str, message: HandOver) -> bool | None:
        """Offers the transfer to one router.

        The message names the process that is to get the tokens; a router whose
        process isn't known, or is another one, tells it first.

        Returns:
            Whether the router has taken the tokens; None if it may have.
        """
        process = self._grants.process_by_router.get(router, "")
        maybe_taken = False
        for _ in range(defaults.HAND_OVER_ATTEMPTS + 1):
            named = msgspec.structs.replace(message, receiver_process=process)
            try:
                answer = await self._peers.hand_over(router, named)
            except LoanError as error:
                emit(
                    "budget", "hand_over_unanswered", receiver=router,
                    reason=str(error),
                )  # fmt: skip
                maybe_taken |= error.maybe_done
                if not maybe_taken:
                    return False
                continue
            if answer.taken:
                return True
            if answer.process in ("", process):
                return False
            if maybe_taken and process:
                # The process before may have taken them.
                return None
            maybe_taken = False
            process = answer.process
        return None if maybe_taken else False

    def _ranked_lenders(self, customer: str, ledger: GrantLedger) -> list[str]:
        """Returns the routers to ask: holders first, nearby ones before others.

        Those with most free tokens, as far as known, come first among equals.
        """
        near = set(self._holders.near(customer))
        holders = self._holders.all(customer)

        def rank(router: str) -> tuple[bool, bool, int]:
            free = self._estimated_free(router, customer, ledger)
            return router in near, router in holders, free

        ranked = sorted(self._responsive_peers(), key=rank, reverse=True)
        return ranked[: defaults.LOAN_MAX_LENDERS]

    def _responsive_peers(self) -> Iterator[str]:
        now = self._clock.seconds()
        for router in self._peers.names():
            if now >= self._skip_until_by_router.get(router, 0.0):
                yield router

    def _estimated_free(
        self, router: str, customer: str, ledger: GrantLedger
    ) -> int:
        estimate = self._estimate_by_lender.get((router, customer))
        if estimate is not None and estimate.ledger_end == (ledger.end or 0):
            return estimate.free
        record = ledger.record(customer, router)
        if record is None:
            return 0
        return record["terms"].granted - record["terms"].in_use

    def _skip(self, router: str) -> None:
        """Asks a router for no loans for some time."""
        self._skip_until_by_router[router] = (
            self._clock.seconds() + defaults.LOAN_UNRESPONSIVE_S
        )

    async def _request_loan(
        self, router: str, customer: str, ledger_end: int, least: int = 0
    ) -> LoanAnswer | None:
        """Requests a loan; returns None if the router did not answer."""
        account = self._grants.account_by_customer[customer]
        lender = (router, customer)
        number = self._number_by_lender.setdefault(lender, 0)
        needed = account.wanted - account.free
        ahead_s = 0.0 if least else defaults.LOAN_AHEAD_S
        expected_use = int(account.rate * ahead_s)
        request = LoanRequest(
            router=self._holder.router,
            process=self._holder.process,
            customer=customer,
            number=number,
            # A caller may state more tokens than a message takes.
            needed=min(needed, MAX_COUNT),
            wished=min(needed + expected_use, MAX_COUNT),
            least=min(least, MAX_COUNT),
        )
        pending = defer.ensureDeferred(
            self._peers.request_loan(router, request)
        )
        pending.addTimeout(defaults.PEER_TIMEOUT_S, self._clock)
        try:
            answer = await pending
        except (LoanError, defer.TimeoutError) as error:
            self._skip(router)
            emit(
                "budget", "loan_unanswered", customer=customer, lender=router,
                number=number, reason=repr(error),
            )  # fmt: skip
            return None
        self._number_by_lender[lender] = number + 1
        self._estimate_by_lender[lender] = _FreeEstimate(
            answer.free, ledger_end
        )
        account.add_loan(answer.tokens)
        account.scarce = account.scarce or answer.scarce
        if least and answer.left is not None:
            account.left = answer.left
        if answer.process:
            self._grants.process_by_router[router] = answer.process
        emit(
            "budget", "borrowed", customer=customer, lender=router,
            number=number, needed=needed, tokens=answer.tokens,
            left_there=answer.free, free=account.free, ledger_end=ledger_end,
        )  # fmt: skip
        return answer
