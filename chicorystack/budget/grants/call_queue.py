"""The queue of a router's calls that wait for tokens."""

from typing import NamedTuple

from twisted.internet import defer

from chicorystack.budget.grants.process_grants import ProcessGrants
from chicorystack.errors import ChicoryError


class GrantError(ChicoryError):
    """No tokens could be reserved for a call.

    Attributes:
        exhausted: Whether the tokens left of the budget cannot cover the call.
        retry_after_s: Seconds after which the caller should retry.
    """

    def __init__(self, message: str, exhausted: bool, retry_after_s: float):
        super().__init__(message)
        self.exhausted = exhausted
        self.retry_after_s = retry_after_s


class WaitingCall(NamedTuple):
    """A call that waits for tokens.

    Attributes:
        customer: Customer that pays for the call.
        tokens: Tokens that the call needs.
        ready: Fires when the tokens are reserved; fails with GrantError.
    """

    customer: str
    tokens: int
    ready: "defer.Deferred[None]"


class GrantQueue:
    """The waiting calls of one partition, in order of arrival."""

    def __init__(self, grants: ProcessGrants):
        self._grants = grants
        self._calls: list[WaitingCall] = []

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, customer: str, tokens: int) -> WaitingCall:
        """Adds a call to the end of the queue."""
        call = WaitingCall(customer, tokens, defer.Deferred())
        self._calls.append(call)
        self._update_wanted(customer)
        return call

    def customers(self) -> set[str]:
        """Returns the customers that have waiting calls."""
        return {call.customer for call in self._calls}

    def calls(self, customer: str | None = None) -> list[WaitingCall]:
        """Returns the waiting calls of one customer, or of all customers."""
        return [
            call
            for call in self._calls
            if customer is None or call.customer == customer
        ]

    def serve(self) -> None:
        """Reserves tokens for each waiting call if enough are free."""
        for call in list(self._calls):
            account = self._grants.account_by_customer[call.customer]
            if account.reserve(call.tokens):
                self.remove(call)
                call.ready.callback(None)

    def refuse(self, call: WaitingCall, error: GrantError) -> None:
        """Removes a call from the queue and fails it with an error."""
        self.remove(call)
        if not call.ready.called:
            call.ready.errback(error)

    def remove(self, call: WaitingCall) -> None:
        """Removes a call if it is still in the queue."""
        if call in self._calls:
            self._calls.remove(call)
            self._update_wanted(call.customer)

    def _update_wanted(self, customer: str) -> None:
        account = self._grants.account_by_customer[customer]
        wanted = [call.tokens for call in self.calls(customer)]
        account.wanted = sum(wanted)
        account.smallest_wanted = min(wanted, default=0)
