"""Calls that wait for tokens at one router."""

from typing import NamedTuple

from twisted.internet import defer

from chicorystack.budget.grants import GrantBook
from chicorystack.errors import ChicoryError


class GrantError(ChicoryError):
    """There are no tokens for a call now.

    Attributes:
        exhausted: Whether what is left cannot cover the call.
        retry_after_s: When there may be some.
    """

    def __init__(self, message: str, exhausted: bool, retry_after_s: float):
        super().__init__(message)
        self.exhausted = exhausted
        self.retry_after_s = retry_after_s


class WaitingCall(NamedTuple):
    """A call that waits for tokens.

    Attributes:
        customer: Who pays.
        tokens: Tokens that it needs.
        turn: Fires once they are set aside; fails with GrantError.
    """

    customer: str
    tokens: int
    turn: "defer.Deferred[None]"


class GrantQueue:
    """The waiting calls of one partition, in the order in which they came."""

    def __init__(self, book: GrantBook):
        self._book = book
        self._calls: list[WaitingCall] = []

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, customer: str, tokens: int) -> WaitingCall:
        """Enters a call."""
        call = WaitingCall(customer, tokens, defer.Deferred())
        self._calls.append(call)
        self._note_wanted(customer)
        return call

    def customers(self) -> set[str]:
        """Returns the customers whose calls wait."""
        return {call.customer for call in self._calls}

    def calls(self, customer: str | None = None) -> list[WaitingCall]:
        """Returns the calls that wait, of one customer or of all."""
        return [
            call
            for call in self._calls
            if customer is None or call.customer == customer
        ]

    def serve(self) -> None:
        """Sets tokens aside for the calls that can have them now."""
        for call in list(self._calls):
            account = self._book.account_by_customer[call.customer]
            if account.reserve(call.tokens):
                self.remove(call)
                call.turn.callback(None)

    def refuse(self, call: WaitingCall, error: GrantError) -> None:
        """Ends the wait of a call."""
        self.remove(call)
        if not call.turn.called:
            call.turn.errback(error)

    def remove(self, call: WaitingCall) -> None:
        """Forgets a call, if it still waits."""
        if call in self._calls:
            self._calls.remove(call)
            self._note_wanted(call.customer)

    def _note_wanted(self, customer: str) -> None:
        account = self._book.account_by_customer[customer]
        wanted = [call.tokens for call in self.calls(customer)]
        account.wanted = sum(wanted)
        account.least_wanted = min(wanted, default=0)
