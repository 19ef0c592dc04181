"""One router process's account of one customer's tokens."""

import math

from chicorystack import defaults
from chicorystack.budget.grant_records import LeaseClock, Terms
from chicorystack.budget.ration import Ration
from chicorystack.observe.invariants import require


class Account:
    """What this process does with one customer's tokens.

    Attributes:
        prepaid: Tokens that the customer may use in all.
        terms: What this process may use, as seen in the log; None for
            nothing.
        reserved: Tokens set aside for calls under way.
        spent: Tokens used by calls that have ended.
        wanted: Tokens that waiting calls need.
        least_wanted: Tokens that the smallest of them needs; 0 for none.
        borrowed: Tokens taken over from other routers so far.
        lent: Tokens handed over to other routers so far.
        rate: Tokens a second, a moving mean.
        ration: Bounds the grant near the end of the budget.
    """

    def __init__(self, prepaid: int, clock: LeaseClock):
        self.prepaid = prepaid
        self.terms: Terms | None = None
        self.reserved = 0
        self.spent = 0
        self.wanted = 0
        self.least_wanted = 0
        self.borrowed = 0
        self.lent = 0
        self.rate = 0.0
        self.ration = Ration(clock)
        self._clock = clock
        # Terms that may stand in the log before this process knows.
        self._pending: Terms | None = None
        self._suspended = False
        self._taken = 0
        self._usual_call = 0.0
        self._observed_s = 0.0

    @property
    def in_use(self) -> int:
        """Tokens that are used or set aside."""
        return self.spent + self.reserved

    @property
    def charged(self) -> int:
        """Tokens used, set aside or lent that the own grant has to cover.

        What was borrowed is covered by the lender's grant.
        """
        return max(0, self._balance)

    @property
    def unused_loans(self) -> int:
        """Borrowed tokens that are neither used nor set aside."""
        return max(0, -self._balance)

    @property
    def _balance(self) -> int:
        return self.in_use + self.lent - self.borrowed

    @property
    def granted(self) -> int:
        """Tokens that this process may use in the end."""
        return 0 if self.terms is None else self.terms.granted

    @property
    def free(self) -> int:
        """Tokens that a new call may use now."""
        if self._suspended:
            return 0
        return self._limit() - self._balance

    def _limit(self) -> int:
        """Returns what the own grant covers now."""
        if self.terms is None:
            return 0
        now = self._clock.instant()
        limit = self.terms.limit(now)
        if self._pending is not None:
            limit = min(limit, self._pending.limit(now))
        return limit

    def wait_s(self, tokens: int) -> float:
        """Returns when a call may have tokens without the store's help."""
        lacking = tokens - self.free
        if self.terms is None or not self.terms.pace:
            return defaults.GRANT_OUTAGE_RETRY_S
        if self.charged + tokens > self.terms.granted:
            return defaults.GRANT_OUTAGE_RETRY_S
        return self.terms.delay_s + max(0, lacking) / self.terms.pace

    def need(self, routers: int) -> int:
        """Returns tokens to hold beyond those in use, to outlast an outage.

        Before its calls have shown what a router needs, it is an even share.
        """
        expected = self.rate * defaults.GRANT_OUTAGE_S
        spread = math.sqrt(expected * self._usual_call)
        shown = int(expected + spread * defaults.GRANT_STANDARD_DEVIATIONS)
        if self._observed_s < defaults.GRANT_OBSERVED_S:
            share = self.prepaid * defaults.GRANT_UNOBSERVED_FRACTION / routers
            return max(shown, int(share))
        return shown

    def reserve(self, tokens: int) -> bool:
        """Sets tokens aside, where they are free."""
        if tokens > self.free:
            return False
        self.reserved += tokens
        gain = defaults.GRANT_MEAN_CALL_GAIN if self._usual_call else 1.0
        self._usual_call += gain * (tokens - self._usual_call)
        return True

    def settle(self, reserved: int, spent: int) -> None:
        """Ends a call that has used no more than was set aside."""
        require(
            "call_keeps_its_reservation",
            0 <= spent <= reserved,
            f"{spent} of {reserved} tokens",
        )
        self.reserved -= reserved
        self.spent += spent
        self._taken += spent

    def lend(self, needed: int, wished: int) -> int:
        """Hands tokens over to another router; returns how many.

        Args:
            needed: What calls that wait there lack.
            wished: What it would like to have, to ask less often.
        """
        spare = self.free - self.wanted
        if spare <= 0:
            return 0
        tokens = min(spare, max(needed, min(wished, spare // 2)))
        self.lent += tokens
        return tokens

    def take_loan(self, tokens: int) -> None:
        """Takes over tokens that another router has handed over."""
        self.borrowed += tokens

    def note_interval(self, seconds: float) -> None:
        """Follows the rate of use over an interval that has ended."""
        now_rate = self._taken / seconds
        gain = min(1.0, seconds / defaults.GRANT_RATE_WINDOW_S)
        self.rate += gain * (now_rate - self.rate)
        self._taken = 0
        self._observed_s += seconds

    def new_terms(self, granted: int) -> Terms:
        """Returns terms that start now."""
        ahead = max(0, granted - self.charged)
        burst = int(
            self.rate * defaults.GRANT_BURST_S
            + self._usual_call * defaults.GRANT_BURST_CALLS
        )
        burst = min(ahead, burst + self.wanted)
        return Terms(
            granted,
            self.charged,
            burst,
            (ahead - burst) / defaults.GRANT_REFILL_S,
            defaults.GRANT_REFILL_DELAY_S,
            self._clock.instant(),
        )

    def suspend(self) -> None:
        """Lets no new call use tokens until the log has been read again."""
        self._suspended = True

    def note_pending(self, terms: Terms) -> None:
        """Keeps to terms that are being appended, beside the present ones."""
        self._pending = terms

    def note_terms(self, terms: Terms) -> None:
        """Takes over the terms that stand in the log."""
        require(
            "grant_covers_use",
            self.charged <= terms.granted,
            f"{self.charged} of {terms.granted} tokens",
        )
        self.terms = terms
        self._pending = None

    def resume(self) -> None:
        """Uses the terms again, as the log has been read since."""
        self._suspended = False
