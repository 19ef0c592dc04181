"""Returns tokens that a router does not need to the primary holder.

Once a budget is scarce, one router, the primary holder, holds what is left of
it. Other routers borrow whole calls from it and return what their calls did not
use; otherwise each of many routers would keep less than a call needs.

Borrowed tokens are sent in numbered messages, so that one whose answer was
lost can be repeated. A message names the receiving process: a later process on
that VM must not take tokens that its predecessor may have used.
"""

import random
from collections.abc import Callable, Iterator

from twisted.internet import defer

from chicorystack import defaults
from chicorystack.budget.grants.account import Account
from chicorystack.budget.grants.holders import Holders
from chicorystack.budget.grants.loans import LoanError, LoanPeers, TokenReturn
from chicorystack.budget.grants.process_grants import ProcessGrants
from chicorystack.budget.grants.records import Holder
from chicorystack.observe.events import emit


class TokenReturner:
    """Returns this router's unneeded tokens at regular intervals."""

    def __init__(
        self,
        clock,
        grants: ProcessGrants,
        holder: Holder,
        peers: LoanPeers,
        holders: Holders,
        review: Callable[[list[str]], None],
    ):
        """Starts without messages.

        Args:
            clock: The reactor.
            grants: This process's accounts.
            holder: This process.
            peers: The other routers.
            holders: Selects the primary holders.
            review: Releases unneeded grants of the customers in the store.
        """
        self._clock = clock
        self._grants = grants
        self._holder = holder
        self._peers = peers
        self._holders = holders
        self._review = review
        self._next_number = 0
        # Messages that may have been received, by receiver.
        self._unanswered_by_router: dict[str, TokenReturn] = {}
        self._sending: set[str] = set()
        self._next_round = None

    def start(self) -> None:
        """Starts to return tokens at regular intervals."""
        interval_s = defaults.TOKEN_RETURN_INTERVAL_S
        self._next_round = self._clock.callLater(
            interval_s * random.uniform(0.9, 1.1), self.start
        )
        self._start_round()

    def stop(self) -> None:
        """Stops the regular returns."""
        if self._next_round is not None and self._next_round.active():
            self._next_round.cancel()

    def _start_round(self) -> None:
        scarce = dict(self._scarce_accounts())
        surplus = [c for c, a in scarce.items() if self._has_surplus(a)]
        if surplus:
            self._review(surplus)
        tokens_by_receiver: dict[str, dict[str, int]] = {}
        for customer, account in scarce.items():
            primary = self._holders.primaries(customer)[0]
            if account.returnable and self._can_send_to(primary):
                by_customer = tokens_by_receiver.setdefault(primary, {})
                by_customer[customer] = account.returnable
        for router in {*tokens_by_receiver, *self._unanswered_by_router}:
            if router not in self._sending:
                tokens = tokens_by_receiver.get(router, {})
                self._start_sending(router, tokens)

    def _scarce_accounts(self) -> Iterator[tuple[str, Account]]:
        if self._grants.closing:
            return
        for customer, account in self._grants.account_by_customer.items():
            if account.scarce and self._holders.primaries(customer):
                yield customer, account

    def _has_surplus(self, account: Account) -> bool:
        unneeded = account.granted - account.charged - account.wanted
        return account.is_worth_moving(unneeded)

    def _can_send_to(self, router: str) -> bool:
        return (
            router != self._holder.router
            and router in self._grants.process_by_router
        )

    def _start_sending(self, router: str, tokens: dict[str, int]) -> None:
        self._sending.add(router)
        sending = defer.ensureDeferred(self._send(router, tokens))
        sending.addErrback(_log_failure, router)
        sending.addBoth(lambda _: self._sending.discard(router))

    async def _send(self, router: str, tokens: dict[str, int]) -> None:
        """Repeats an unanswered message, or sends a new one."""
        message = self._unanswered_by_router.pop(router, None)
        is_repeated = message is not None
        if message is None:
            message = self._new_message(router, tokens)
        try:
            answer = await self._peers.return_tokens(router, message)
        except LoanError as error:
            if error.maybe_done or is_repeated:
                self._unanswered_by_router[router] = message
            else:
                self._cancel(message)
            return
        if not answer.taken:
            self._grants.process_by_router.pop(router, None)
            if not is_repeated:
                self._cancel(message)
                return
        emit(
            "budget", "returned", receiver=router, taken=answer.taken,
            tokens=message.tokens_by_customer,
        )  # fmt: skip

    def _new_message(self, router: str, tokens: dict[str, int]) -> TokenReturn:
        for customer, count in tokens.items():
            self._grants.account_by_customer[customer].start_return(count)
        self._next_number += 1
        return TokenReturn(
            self._holder.router,
            self._holder.process,
            self._grants.process_by_router[router],
            self._next_number,
            tokens,
        )

    def _cancel(self, message: TokenReturn) -> None:
        for customer, count in message.tokens_by_customer.items():
            self._grants.account_by_customer[customer].cancel_return(count)


def _log_failure(failure, router: str) -> None:
    emit(
        "budget", "failed", receiver=router, reason=failure.getTraceback()
    )  # fmt: skip
