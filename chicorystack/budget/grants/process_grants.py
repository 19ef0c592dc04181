"""Grants of a customer's tokens to routers, using only conditional appends.

Each router has one record per customer. It states how many tokens the router
process may use (`GrantTerms`) and how many earlier processes on the same VM may
have used (`lost`). The sum over all routers never exceeds the customer's
prepaid tokens: a record is appended only if the partition still ends where its
writer has read to, so each writer has seen all other records. A process uses
tokens only under terms that it has seen in the log.

The limit of the terms rises with the time since they were written, up to the
whole grant. A process that reaches the store renews its terms about every
second; one that does not may use its grant little by little. From the terms,
the next process on the same VM computes how much its predecessor can have used
before it was replaced, and reclaims the rest. This needs the boot-time clock,
which includes suspended time, and works only within one boot of the VM; after
a reboot the whole grant counts as used.
"""

import functools
from collections.abc import Iterator

import msgspec

from chicorystack import defaults
from chicorystack.budget.grants.account import Account
from chicorystack.budget.grants.holders import Holders
from chicorystack.budget.grants.ledger import GrantLedger
from chicorystack.budget.grants.records import (
    BootTimeClock,
    GrantRecord,
    GrantTerms,
    Holder,
    Instant,
    record_key,
    split_key,
)
from chicorystack.budget.grants.witnesses import (
    AnnouncedLimits,
    PredecessorLimits,
)
from chicorystack.observe.events import emit
from chicorystack.store.keyed_log import KeyedRecord

_encoder = msgspec.json.Encoder()


class ProcessGrants:
    """The grants that this process holds, and the records that it writes.

    Attributes:
        router: Name of this process's VM.
        account_by_customer: This process's accounts.
        superseded: Whether a later process on the same VM has written records.
        closing: Whether this process is stopping and obtains no more tokens.
        announced: This process's limits that witnesses have stored.
        predecessors: What witnesses have reported on earlier processes.
        store_era: Era of the store, as last seen.
        process_by_router: Processes of other routers that have answered.
    """

    def __init__(self, holder: Holder, clock: BootTimeClock, holders: Holders):
        self._holder = holder
        self.router = holder.router
        self._holders = holders
        self._clock = clock
        # Earlier processes on this VM have used no tokens since then.
        self._started_at = clock.instant()
        self._era_began_at: Instant | None = None
        # Process that wrote this router's last record before this one did.
        self._predecessor_by_customer: dict[str, str] = {}
        # Records that this process has seen in the log, the newest of each.
        self._record_by_customer: dict[str, GrantRecord] = {}
        self.closing = False
        self.account_by_customer: dict[str, Account] = {}
        self.superseded = False
        self.announced = AnnouncedLimits()
        self.predecessors = PredecessorLimits()
        self.store_era = 0
        self.process_by_router: dict[str, str] = {}

    def close(self) -> None:
        """From now on, holds no tokens beyond those in use."""
        self.closing = True

    def enter_era(self) -> None:
        """Raises no grant for some time, as others' records may be missing.

        The store has come back from an older copy; each router first writes
        again what it holds.
        """
        self._era_began_at = self._clock.instant()

    def set_prepaid(self, prepaid_by_customer: dict[str, int]) -> None:
        """Updates the prepaid tokens of customers."""
        for customer, prepaid in prepaid_by_customer.items():
            account = self.account_by_customer.get(customer)
            if account is None:
                acknowledged = functools.partial(
                    self.announced.acknowledged, customer
                )
                account = Account(prepaid, self._clock, acknowledged)
                self.account_by_customer[customer] = account
            account.prepaid = prepaid

    def update_rates(self, seconds: float) -> None:
        """Updates the usage rates after an interval.

        Does nothing as long as no tokens have been used or reserved: without
        any call there is no rate to observe.
        """
        accounts = self.account_by_customer.values()
        if any(account.in_use for account in accounts):
            for account in accounts:
                account.update_rate(seconds)

    def update_from_ledger(self, ledger: GrantLedger) -> None:
        """Updates the accounts with this process's terms in the log."""
        for customer, account in self.account_by_customer.items():
            record = ledger.record(customer, self._holder.router)
            if record is None:
                continue
            if record["process"] == self._holder.process:
                if account.is_news(record["terms"]):
                    account.set_terms(record["terms"])
                    self._record_by_customer[customer] = record
            elif account.terms is None:
                self._predecessor_by_customer[customer] = record["process"]
            elif record["process"] != self._predecessor_by_customer.get(
                customer
            ):
                # A later process of this VM has written its own record.
                self.superseded = True

    def update_scarcity(
        self, ledger: GrantLedger, customers: list[str], router_count: int
    ) -> None:
        """Updates which budgets are nearly used up.

        Args:
            ledger: The partition's grants.
            customers: Customers of the partition.
            router_count: Number of routers that share the budgets.
        """
        for customer in customers:
            account = self.account_by_customer[customer]
            left = account.left = account.prepaid - ledger.in_use(customer)
            scarce = bool(
                self._holders.primaries(customer)
            ) and left < account.consolidation_threshold(router_count)
            if scarce != account.scarce and not account.consolidating:
                account.scarce = scarce
                emit(
                    "budget", "scarce" if scarce else "not_scarce",
                    customer=customer, left=left, prepaid=account.prepaid,
                )  # fmt: skip

    def limits_to_announce(self) -> dict[str, int]:
        """Returns the limits to announce, of customers with a grant."""
        return {
            customer: account.limit_to_announce()
            for customer, account in self.account_by_customer.items()
            if account.terms is not None
        }

    def lacks_announcement(self) -> bool:
        """Returns whether any wanted tokens only need to be announced."""
        return any(
            account.lacks_announcement
            for account in self.account_by_customer.values()
        )

    def predecessors_records(
        self, ledger: GrantLedger, customers: list[str]
    ) -> list[GrantRecord]:
        """Returns the records of this router that earlier processes wrote."""
        own = (ledger.record(c, self._holder.router) for c in customers)
        return [
            record
            for record in own
            if record is not None and record["process"] != self._holder.process
        ]

    def seen_records(self) -> dict[str, GrantRecord]:
        """Returns this process's newest records by their keys in the log."""
        return {
            record_key(customer, self._holder.router): record
            for customer, record in self._record_by_customer.items()
        }

    def due_records(
        self,
        ledger: GrantLedger,
        customers: list[str],
        router_count: int,
        may_raise: bool = True,
    ) -> Iterator[KeyedRecord]:
        """Yields the records to write now.

        Args:
            ledger: The partition's grants, read to the end.
            customers: Customers of the partition.
            router_count: Number of routers that share the budgets.
            may_raise: Whether grants may be raised.
        """
        if self.superseded:
            return
        for customer in customers:
            record = self._due_record(ledger, customer, router_count, may_raise)
            if record is not None:
                yield record
        if self._era_age_s() >= defaults.GRANT_RESTORE_DELAY_S:
            yield from self._others_records(ledger)

    def _others_records(self, ledger: GrantLedger) -> Iterator[KeyedRecord]:
        """Yields what routers that have not written again may still use."""
        for record in ledger.lost_records():
            _, router = split_key(record.key)
            if router != self._holder.router:
                yield record

    def _era_age_s(self) -> float:
        """Returns the seconds since the store came back; -1 if it never did."""
        if self._era_began_at is None:
            return -1.0
        return self._clock.instant().seconds_since(self._era_began_at) or 0.0

    def _due_record(
        self,
        ledger: GrantLedger,
        customer: str,
        router_count: int,
        may_raise: bool,
    ) -> KeyedRecord | None:
        account = self.account_by_customer[customer]
        router = self._holder.router
        own = ledger.record(customer, router)
        lost, lost_spent = self._lost_tokens(ledger, customer)
        available = account.prepaid - lost - ledger.committed(customer, router)
        need = self._needed_headroom(account, customer)
        headroom = _allowed_headroom(account, ledger, customer, router, need)
        left = max(0, available - account.charged)
        wanted = account.wanted + account.wanted_for_loans
        requested = max(0, wanted + headroom - account.unused_borrowed)
        granted = account.charged + min(left, requested)
        sharing = 1 if account.scarce else router_count
        granted = self._apply_ration(account, granted, left, sharing)
        is_settling = 0 <= self._era_age_s() < defaults.GRANT_ERA_SETTLE_S
        if is_settling or not may_raise:
            granted = min(granted, max(account.granted, account.charged))
        terms = account.new_terms(
            granted, self.announced.witnesses, self.store_era
        )
        account.resume()
        renew_s = defaults.GRANT_RENEW_S * review_interval_factor(router_count)
        if not self._is_lost(account, own) and not self._should_write(
            account, terms, renew_s
        ):
            return None
        if account.terms is None and own is not None:
            emit(
                "budget", "predecessor_counted", customer=customer,
                predecessor=own["process"], granted=own["terms"].granted,
                lost=lost, lost_spent=lost_spent,
                known=[
                    (record["process"], record["terms"])
                    for record in ledger.known_records(customer, router)
                ],
            )  # fmt: skip
        account.set_pending_terms(terms)
        message = GrantRecord(
            process=self._holder.process,
            terms=terms,
            need=need,
            spent=account.spent,
            lost=lost,
            lost_spent=lost_spent,
        )
        return KeyedRecord(
            record_key(customer, router), _encoder.encode(message)
        )

    def _is_lost(self, account: Account, own: GrantRecord | None) -> bool:
        """Returns whether the log has lost this process's newest terms.

        Args:
            account: The customer's account.
            own: This router's record in the log; None if there is none.
        """
        if account.terms is None:
            return False
        return (
            own is None
            or own["process"] != self._holder.process
            or own["terms"] != account.terms
        )

    def _needed_headroom(self, account: Account, customer: str) -> int:
        if self.closing:
            return 0
        # None if there are too few routers by now to consolidate tokens.
        primaries = self._holders.primaries(customer)
        if account.scarce and primaries:
            is_primary = primaries[0] == self._holder.router
            return account.needed_headroom(1) if is_primary else 0
        if not self._holders.is_holder(customer):
            return 0
        return account.needed_headroom(self._holders.count(customer))

    def _apply_ration(
        self, account: Account, granted: int, left: int, router_count: int
    ) -> int:
        """Returns the grant, limited if few tokens are left.

        The limit applies only soon after the process has started: after many
        restarts all callers retry at once.
        """
        scarce = left < account.prepaid * defaults.GRANT_RATIONED_FRACTION
        if not scarce or not self._started_recently():
            account.ration_limiter.reset()
            return granted
        held = max(account.granted, account.charged)
        limit = account.ration_limiter.limit(held, left, router_count)
        smallest = account.smallest_wanted or account.wanted_for_loans
        if limit - account.charged < smallest:
            # Too few for any waiting call: don't raise the grant, so that the
            # calls are refused now.
            limit = held
        return min(granted, max(limit, account.charged))

    def _started_recently(self) -> bool:
        age_s = self._clock.instant().seconds_since(self._started_at)
        return age_s is not None and age_s < defaults.GRANT_RATION_MAX_AGE_S

    def _lost_tokens(
        self, ledger: GrantLedger, customer: str
    ) -> tuple[int, int]:
        """Returns the tokens lost to earlier processes of this VM.

        Args:
            ledger: The partition's grants.
            customer: The customer.

        Returns:
            The most tokens that they can have used, and the part of it that
            they have reported as used.
        """
        lost = (
            self._lost_by_record(customer, record)
            for record in ledger.known_records(customer, self.router)
        )
        return max(lost, default=(0, 0))

    def _lost_by_record(
        self, customer: str, earlier: GrantRecord
    ) -> tuple[int, int]:
        """Returns the same by one record of the router."""
        lost, spent = earlier.get("lost", 0), earlier.get("lost_spent", 0)
        if earlier["process"] != self._holder.process:
            lost += self._max_used(customer, earlier)
            spent += earlier["spent"]
        return lost, spent

    def _max_used(self, customer: str, earlier: GrantRecord) -> int:
        """Returns the most tokens that an earlier process can have used.

        If the store has come back from an older copy, the process may have had
        later terms than those that are left in the log. Another router was told
        of them, but witnesses may not have been named yet.
        """
        process, terms = earlier["process"], earlier["terms"]
        limit = terms.limit(self._started_at)
        if terms.era != self.store_era:
            return limit
        return min(limit, self.predecessors.bound(customer, process, terms))

    def _should_write(
        self, account: Account, terms: GrantTerms, renew_s: float
    ) -> bool:
        """Returns whether to write new terms to the log."""
        current = account.terms
        if current is None:
            return terms.granted > 0
        if self.closing:
            return terms.granted < current.granted
        wanted = account.wanted + account.wanted_for_loans
        if wanted > account.free and terms.first_limit > account.limit:
            return True
        surplus = current.granted - terms.granted
        if account.scarce and account.is_worth_moving(surplus):
            return True
        if account.charged != current.in_use:
            return _is_renewal_due(current, terms, renew_s)
        return (
            surplus > max(terms.granted - terms.in_use, 0)
            and surplus > defaults.GRANT_SURPLUS_MIN_TOKENS
        ) or (
            current.granted > current.in_use
            and _is_renewal_due(current, terms, renew_s)
        )


def review_interval_factor(router_count: int) -> float:
    """Returns the factor by which many routers stretch the review interval.

    The routers' total write rate then stays about the same, however many there
    are, and each router holds fewer tokens.
    """
    return max(1.0, router_count / defaults.GRANT_ROUTERS_AT_FULL_RATE)


def _is_renewal_due(
    current: GrantTerms, terms: GrantTerms, renew_s: float
) -> bool:
    """Returns whether terms are old enough to renew.

    Renewal lowers the limit to the tokens in use plus the burst, so that few
    tokens are lost if the process dies.
    """
    elapsed_s = terms.written_at.seconds_since(current.written_at)
    return elapsed_s is None or elapsed_s >= renew_s


def _allowed_headroom(
    account: Account,
    ledger: GrantLedger,
    customer: str,
    router: str,
    need: int,
) -> int:
    """Returns the tokens that this router may hold beyond those in use.

    All routers together hold a part of the tokens left, divided in proportion
    to their needs. The part shrinks towards the end of a budget, because the
    customer loses the tokens that a router holds when its VM loses power.
    """
    if not need or not account.prepaid:
        return 0
    left = max(0, account.prepaid - ledger.in_use(customer))
    above_scarce = left / account.prepaid - defaults.GRANT_SCARCE_FRACTION
    position = above_scarce / (
        defaults.GRANT_PLENTY_FRACTION - defaults.GRANT_SCARCE_FRACTION
    )
    span = defaults.GRANT_HELD_MAX_FRACTION - defaults.GRANT_HELD_MIN_FRACTION
    held_part = defaults.GRANT_HELD_MIN_FRACTION + span * min(
        1.0, max(0.0, position)
    )
    total_need = need + ledger.needed(customer, router)
    return min(need, int(left * held_part * need / total_need))
