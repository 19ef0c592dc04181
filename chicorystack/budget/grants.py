"""Grants of a customer's tokens to routers, by conditional appends alone.

Each router has one record a customer. It states how many tokens its process
may use (`Terms`) and what earlier processes on the same VM may have used
(`lost`). The sum over all routers never exceeds what the customer has prepaid:
a record is appended only if the partition ends where its writer had read to,
so each writer has seen all other records. A process uses nothing beyond terms
that it has seen in the log.

Terms grow with the time since they were written, up to the whole grant: a
process that reaches the store renews them each second, and one that does not
may use its grant bit by bit. A process that follows another one on the same VM
can so tell how much its predecessor may have used at most until it started
itself, and takes back the rest. It compares the clock that counts sleep, and
only within one boot of the VM; otherwise the whole grant counts as used.
"""

from collections.abc import Iterator

import msgspec

from chicorystack import defaults
from chicorystack.budget.grant_account import Account
from chicorystack.budget.grant_records import (
    GrantLedger,
    GrantRecord,
    Holder,
    LeaseClock,
    Terms,
    record_key,
)
from chicorystack.store.keyed_log import KeyedRecord

_encoder = msgspec.json.Encoder()


class GrantBook:
    """Decides which terms this process writes, and keeps to them.

    Attributes:
        account_by_customer: This process's own accounts.
        superseded: Whether a later process of the same VM has written.
        closing: Whether this process stops, and takes nothing more.
    """

    def __init__(self, holder: Holder, clock: LeaseClock):
        self._holder = holder
        self._clock = clock
        # Earlier processes of this VM have used nothing since then.
        self._started_at = clock.instant()
        self.closing = False
        self.account_by_customer: dict[str, Account] = {}
        self.superseded = False

    def close(self) -> None:
        """Holds nothing beyond what is in use from now on."""
        self.closing = True

    def set_prepaid(self, prepaid_by_customer: dict[str, int]) -> None:
        """Takes over what customers have prepaid."""
        for customer, prepaid in prepaid_by_customer.items():
            account = self.account_by_customer.get(customer)
            if account is None:
                account = Account(prepaid, self._clock)
                self.account_by_customer[customer] = account
            account.prepaid = prepaid

    def note_interval(self, seconds: float) -> None:
        """Follows the rates of use; time without any call tells nothing."""
        accounts = self.account_by_customer.values()
        if any(account.in_use for account in accounts):
            for account in accounts:
                account.note_interval(seconds)

    def take_ledger(self, ledger: GrantLedger) -> None:
        """Takes over own terms that stand in the log."""
        for customer, account in self.account_by_customer.items():
            record = ledger.record(customer, self._holder.router)
            if record is None:
                continue
            if record["process"] == self._holder.process:
                if record["terms"] != account.terms:
                    account.note_terms(record["terms"])
            elif account.terms is not None:
                # A later process has taken over this VM's name.
                self.superseded = True

    def records(
        self, ledger: GrantLedger, customers: list[str], routers: int
    ) -> Iterator[KeyedRecord]:
        """Yields the records that these customers need now.

        Args:
            ledger: The partition, read to its end.
            customers: Customers of the partition.
            routers: Routers that share the budgets.
        """
        if self.superseded:
            return
        for customer in customers:
            record = self._record(ledger, customer, routers)
            if record is not None:
                yield record

    def _record(
        self, ledger: GrantLedger, customer: str, routers: int
    ) -> KeyedRecord | None:
        account = self.account_by_customer[customer]
        router = self._holder.router
        lost, lost_spent = self._lost(ledger.record(customer, router))
        room = account.prepaid - lost - ledger.committed(customer, router)
        need = 0 if self.closing else account.need(routers)
        ahead = _held_ahead(account, ledger, customer, router, need)
        left = max(0, room - account.charged)
        beyond_loans = max(0, account.wanted + ahead - account.unused_loans)
        granted = account.charged + min(left, beyond_loans)
        granted = self._rationed(account, granted, left, routers)
        terms = account.new_terms(granted)
        account.resume()
        renew_s = defaults.GRANT_RENEW_S * review_scale(routers)
        if not self._is_worth_writing(account, terms, renew_s):
            return None
        account.note_pending(terms)
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

    def _rationed(
        self, account: Account, granted: int, left: int, routers: int
    ) -> int:
        """Returns what may be granted, less where little is left.

        Only a process that started a short while ago rations: after many
        restarts callers come back all at once.
        """
        scarce = left < account.prepaid * defaults.GRANT_RATIONED_FRACTION
        if not scarce or not self._is_young():
            account.ration.end()
            return granted
        held = max(account.granted, account.charged)
        limit = account.ration.limit(held, left, routers)
        if limit - account.charged < account.least_wanted:
            # It would serve no call that waits; their wait ends now.
            limit = held
        return min(granted, max(limit, account.charged))

    def _is_young(self) -> bool:
        age_s = self._clock.instant().since(self._started_at)
        return age_s is not None and age_s < defaults.GRANT_RATION_MAX_AGE_S

    def _lost(self, earlier: GrantRecord | None) -> tuple[int, int]:
        """Returns what earlier processes of this VM may have used, and did."""
        if earlier is None:
            return 0, 0
        lost, spent = earlier.get("lost", 0), earlier.get("lost_spent", 0)
        if earlier["process"] != self._holder.process:
            lost += earlier["terms"].limit(self._started_at)
            spent += earlier["spent"]
        return lost, spent

    def _is_worth_writing(
        self, account: Account, terms: Terms, renew_s: float
    ) -> bool:
        """Tells whether terms differ enough from the present ones."""
        present = account.terms
        if present is None:
            return terms.granted > 0
        if self.closing:
            return terms.granted < present.granted
        if account.wanted > account.free and terms.limit(
            terms.at
        ) > present.limit(terms.at):
            return True
        if account.charged != present.in_use:
            return _is_due(present, terms, renew_s)
        surplus = present.granted - terms.granted
        return (
            surplus > max(terms.granted - terms.in_use, 0)
            and surplus > defaults.GRANT_SURPLUS_MIN_TOKENS
        ) or (
            present.granted > present.in_use
            and _is_due(present, terms, renew_s)
        )


def review_scale(routers: int) -> float:
    """Returns how much longer than usual routers leave their grants alone.

    All of them together then write about as often, however many they are, and
    each holds the less.
    """
    return max(1.0, routers / defaults.GRANT_ROUTERS_AT_FULL_RATE)


def _is_due(present: Terms, terms: Terms, renew_s: float) -> bool:
    """Tells whether terms are to be renewed, so that little is lost."""
    elapsed_s = terms.at.since(present.at)
    return elapsed_s is None or elapsed_s >= renew_s


def _held_ahead(
    account: Account,
    ledger: GrantLedger,
    customer: str,
    router: str,
    need: int,
) -> int:
    """Returns the tokens to hold beyond those in use.

    All routers together hold a part of what is left, split by their needs.
    The part shrinks towards the end of a budget, as what a router holds when
    its VM loses power is lost to the customer.
    """
    if not need or not account.prepaid:
        return 0
    left = max(0, account.prepaid - ledger.in_use(customer))
    plenty = left / account.prepaid - defaults.GRANT_SCARCE_FRACTION
    slope = plenty / (
        defaults.GRANT_PLENTY_FRACTION - defaults.GRANT_SCARCE_FRACTION
    )
    span = defaults.GRANT_HELD_MAX_FRACTION - defaults.GRANT_HELD_MIN_FRACTION
    part = defaults.GRANT_HELD_MIN_FRACTION + span * min(1.0, max(0.0, slope))
    needed = need + ledger.needed(customer, router)
    return min(need, int(left * part * need / needed))
