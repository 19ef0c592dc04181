"""A router process's account of one customer's tokens."""

import math
from collections.abc import Callable

from chicorystack import defaults
from chicorystack.budget.grants.ration import RationLimiter
from chicorystack.budget.grants.records import (
    BootTimeClock,
    GrantTerms,
    Holder,
    Instant,
)
from chicorystack.observe.invariants import require


class Account:
    """How many of a customer's tokens this process may use, and has used.

    Attributes:
        prepaid: Total tokens that the customer may use.
        terms: Terms of this process as seen in the log; None if it has none.
        reserved: Tokens reserved for calls in flight.
        spent: Tokens used by calls that have ended.
        wanted: Tokens that the waiting calls need in total.
        smallest_wanted: Tokens that the smallest waiting call needs; 0 if no
            call waits.
        borrowed: Tokens received from other routers so far.
        lent: Tokens transferred to other routers so far.
        wanted_by_others: Tokens that other routers are asking to borrow.
        wanted_for_loans: Tokens to obtain in the store for such loans.
        left: Tokens left of the budget, as far as this router knows.
        consolidated_at: When the router has learned that so little of the
            budget is left that one router holds the rest; None if there is
            more.
        rate: Tokens used, or needed by borrowers, per second, as a moving
            average.
        ration_limiter: Limits the grant near the end of the budget.
    """

    def __init__(
        self,
        prepaid: int,
        clock: BootTimeClock,
        acknowledged_limit: Callable[[tuple[Holder, ...]], int],
    ):
        """Starts without terms.

        Args:
            prepaid: Total tokens that the customer may use.
            clock: The VM's clock.
            acknowledged_limit: Returns the limit that enough of the given
                witnesses have stored.
        """
        self.prepaid = prepaid
        self.terms: GrantTerms | None = None
        self.reserved = 0
        self.spent = 0
        self.wanted = 0
        self.smallest_wanted = 0
        self.borrowed = 0
        self.lent = 0
        self.wanted_by_others = 0
        self.wanted_for_loans = 0
        self.left = prepaid
        self.consolidated_at: Instant | None = None
        self.rate = 0.0
        self.ration_limiter = RationLimiter(clock)
        self._clock = clock
        self._acknowledged_limit = acknowledged_limit
        # Terms that may be in the log though this process has not seen them.
        self._pending_terms: GrantTerms | None = None
        self._suspended = False
        self._spent_in_interval = 0
        self._mean_call_tokens = 0.0
        self._observed_s = 0.0

    @property
    def in_use(self) -> int:
        """Tokens that are used or reserved."""
        return self.spent + self.reserved

    @property
    def charged(self) -> int:
        """Tokens used, reserved or lent that this process's grant must cover.

        Borrowed tokens are covered by the lender's grant.
        """
        return max(0, self._net_use)

    @property
    def unused_borrowed(self) -> int:
        """Borrowed tokens that are neither used nor reserved."""
        return max(0, -self._net_use)

    @property
    def scarce(self) -> bool:
        """Whether one router holds what is left of the budget."""
        return self.consolidated_at is not None

    @scarce.setter
    def scarce(self, scarce: bool) -> None:
        if not scarce:
            self.consolidated_at = None
        elif self.consolidated_at is None:
            self.consolidated_at = self._clock.instant()

    def admits(self, urgent: bool) -> bool:
        """Returns whether a call may use what is left of the budget."""
        reserve = self.prepaid * defaults.URGENT_RESERVE_FRACTION
        return urgent or not self.scarce or self.left >= reserve

    @property
    def consolidating(self) -> bool:
        """Whether other routers may not have given up their tokens yet."""
        if self.consolidated_at is None:
            return False
        age_s = self._clock.instant().seconds_since(self.consolidated_at)
        return age_s is not None and age_s < defaults.CONSOLIDATION_SETTLE_S

    def consolidation_threshold(self, router_count: int) -> float:
        """Returns the tokens below which one router holds what is left."""
        for_calls = (
            self._mean_call_tokens
            * router_count
            * defaults.CONSOLIDATION_CALLS_PER_ROUTER
        )
        least = self.prepaid * defaults.CONSOLIDATION_LEAST_FRACTION
        most = self.prepaid * defaults.CONSOLIDATION_MOST_FRACTION
        return min(max(least, for_calls), most)

    @property
    def returnable(self) -> int:
        """Borrowed tokens to return, as no waiting call needs them.

        Less than a small part of a call is not worth a message.
        """
        unneeded = max(0, min(self.unused_borrowed, self.free) - self.wanted)
        return unneeded if self.is_worth_moving(unneeded) else 0

    def is_worth_moving(self, tokens: int) -> bool:
        """Returns whether tokens are a noticeable part of a call."""
        least = self._mean_call_tokens * defaults.LEAST_MOVED_CALL_FRACTION
        return tokens > 0 and tokens >= least

    @property
    def _net_use(self) -> int:
        return self.in_use + self.lent - self.borrowed

    @property
    def granted(self) -> int:
        """Total tokens that this process is granted."""
        return 0 if self.terms is None else self.terms.granted

    @property
    def free(self) -> int:
        """Tokens that a new call may use now; negative if overdrawn."""
        if self._suspended:
            return 0
        return self.limit - self._net_use

    @property
    def limit(self) -> int:
        """The most tokens that may be used now."""
        limits = (self._announced_limit(terms) for terms in self._known_terms())
        return min(limits, default=0)

    @property
    def free_if_announced(self) -> int:
        """Tokens that a new call may use once they have been announced."""
        if self._suspended:
            return 0
        now = self._clock.instant()
        limits = (terms.limit(now) for terms in self._known_terms())
        return min(limits, default=0) - self._net_use

    @property
    def lacks_announcement(self) -> bool:
        """Whether an announcement would free tokens that are wanted."""
        wanted = self.wanted + self.wanted_by_others
        return self.free < wanted and self.free < self.free_if_announced

    @property
    def should_announce_ahead(self) -> bool:
        """Whether to announce a higher limit before a call has to wait."""
        low = self._mean_call_tokens + self.rate * defaults.ANNOUNCE_LOW_S
        return self.free < min(low, self.free_if_announced)

    def limit_to_announce(self) -> int:
        """Returns the limit that this process should announce."""
        ahead = (
            self.rate * defaults.ANNOUNCE_AHEAD_S
            + self._mean_call_tokens * defaults.ANNOUNCE_AHEAD_CALLS
        )
        wanted = self.wanted + self.wanted_by_others
        return min(self.granted, self.charged + wanted + int(ahead))

    def _known_terms(self) -> list[GrantTerms]:
        """Returns the terms of which each limits the use; empty if none do."""
        if self.terms is None:
            return []
        if self._pending_terms is None:
            return [self.terms]
        return [self.terms, self._pending_terms]

    def _announced_limit(self, terms: GrantTerms) -> int:
        """Returns the tokens that one set of terms allows now."""
        limit = terms.limit(self._clock.instant())
        if not terms.witnesses:
            return limit
        acknowledged = self._acknowledged_limit(terms.witnesses)
        return min(limit, max(terms.first_limit, acknowledged))

    def estimate_wait_s(self, tokens: int) -> float:
        """Estimates the seconds until the current terms cover a call.

        Returns GRANT_OUTAGE_RETRY_S if there are no terms, if their limit does
        not rise, or if the whole grant cannot cover the call.
        """
        lacking = tokens - self.free
        if self.terms is None or not self.terms.refill_rate:
            return defaults.GRANT_OUTAGE_RETRY_S
        if self.charged + tokens > self.terms.granted:
            return defaults.GRANT_OUTAGE_RETRY_S
        return (
            self.terms.refill_delay_s + max(0, lacking) / self.terms.refill_rate
        )

    def needed_headroom(self, holder_count: int) -> int:
        """Returns the tokens to hold beyond those in use, to bridge an outage.

        Until the router has observed its own calls for GRANT_OBSERVED_S, this
        is at least an even share of a fixed part of the budget.
        """
        expected = self.rate * defaults.GRANT_OUTAGE_S
        spread = math.sqrt(expected * self._mean_call_tokens)
        observed_need = int(
            expected + spread * defaults.GRANT_STANDARD_DEVIATIONS
        )
        if self._observed_s < defaults.GRANT_OBSERVED_S:
            share = (
                self.prepaid * defaults.GRANT_UNOBSERVED_FRACTION / holder_count
            )
            return max(observed_need, int(share))
        return observed_need

    def reserve(self, tokens: int) -> bool:
        """Reserves tokens if that many are free; returns whether it did."""
        if tokens > self.free:
            return False
        self.reserved += tokens
        gain = defaults.GRANT_MEAN_CALL_GAIN if self._mean_call_tokens else 1.0
        self._mean_call_tokens += gain * (tokens - self._mean_call_tokens)
        return True

    def settle(self, reserved: int, spent: int) -> None:
        """Records the usage of a call that has ended and frees the rest."""
        require(
            "call_keeps_its_reservation",
            0 <= spent <= reserved,
            f"{spent} of {reserved} tokens",
        )
        self.reserved -= reserved
        self.spent += spent
        self._spent_in_interval += spent

    def lend(self, needed: int, wished: int, least: int = 0) -> int:
        """Lends tokens to another router; returns how many.

        Args:
            needed: Tokens that the borrower's waiting calls lack.
            wished: Tokens that the borrower would like to get, so that it
                borrows less often.
            least: Tokens below which a loan would serve no call.
        """
        spare = max(0, self.free - self.wanted)
        tokens = min(spare, max(needed, min(wished, spare // 2)))
        if tokens < least:
            tokens = 0
        self.lent += tokens
        self._spent_in_interval += max(tokens, needed)
        return tokens

    def start_return(self, tokens: int) -> None:
        """Gives tokens up, which are being sent to another router."""
        self.lent += tokens

    def cancel_return(self, tokens: int) -> None:
        """Takes back tokens that the other router certainly did not get."""
        self.lent -= tokens

    def add_loan(self, tokens: int) -> None:
        """Adds tokens that another router has lent."""
        self.borrowed += tokens

    def update_rate(self, seconds: float) -> None:
        """Updates the usage rate at the end of an interval."""
        interval_rate = self._spent_in_interval / seconds
        gain = min(1.0, seconds / defaults.GRANT_RATE_WINDOW_S)
        self.rate += gain * (interval_rate - self.rate)
        self._spent_in_interval = 0
        self._observed_s += seconds

    def new_terms(
        self, granted: int, witnesses: tuple[Holder, ...] = (), era: int = 0
    ) -> GrantTerms:
        """Returns terms for a grant, written now."""
        headroom = max(0, granted - self.charged)
        burst = int(
            self.rate * defaults.GRANT_BURST_S
            + self._mean_call_tokens * defaults.GRANT_BURST_CALLS
        )
        burst = min(headroom, burst + self.wanted + self.wanted_for_loans)
        return GrantTerms(
            granted,
            self.charged,
            burst,
            (headroom - burst) / defaults.GRANT_REFILL_S,
            defaults.GRANT_REFILL_DELAY_S,
            self._clock.instant(),
            witnesses,
            era,
        )

    def suspend(self) -> None:
        """Lets no new call use tokens until `resume` is called."""
        self._suspended = True

    def set_pending_terms(self, terms: GrantTerms) -> None:
        """Sets terms that are being appended.

        Until they are seen in the log, use stays within both these and the
        current terms.
        """
        self._pending_terms = terms

    def is_news(self, terms: GrantTerms) -> bool:
        """Returns whether terms in the log differ from the known ones.

        A store that has come back from an older copy has older terms.
        """
        if self.terms is None:
            return True
        age_s = self.terms.written_at.seconds_since(terms.written_at)
        is_older = age_s is not None and age_s > 0
        return terms != self.terms and not is_older

    def set_terms(self, terms: GrantTerms) -> None:
        """Sets the terms that have been seen in the log."""
        require(
            "grant_covers_use",
            self.charged <= terms.granted,
            f"{self.charged} of {terms.granted} tokens",
        )
        self.terms = terms
        self._pending_terms = None

    def resume(self) -> None:
        """Ends a suspension; to be called after the log has been read."""
        self._suspended = False
