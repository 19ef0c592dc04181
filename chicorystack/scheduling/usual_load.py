"""Usual load of each customer.

Equal shares would let a customer that floods take capacity that a larger
customer uses all the time. A customer's weight is therefore its mean rate of
calls over some minutes, and calls beyond that rate are marked as excess.
"""

import math

from chicorystack import defaults
from chicorystack.scheduling.decayed_count import DecayedCount


class _CustomerLoad:
    """Calls of one customer.

    Attributes:
        usual: Calls of the last minutes, less returns after refusals.
        recent: Calls of the last seconds, less returns after refusals.
        offered: Calls of the last seconds.
        began_at: Clock time of its first call, in seconds.
        excess: Fraction of a call by which the customer exceeds its load.
    """

    def __init__(self, now: float):
        self.usual = DecayedCount(defaults.USUAL_LOAD_MEMORY_S, now)
        self.recent = DecayedCount(defaults.RECENT_LOAD_MEMORY_S, now)
        self.offered = DecayedCount(defaults.RECENT_LOAD_MEMORY_S, now)
        self.began_at = now
        self.excess = 0.0


class UsualLoad:
    """Rates of calls by customer, for one service."""

    def __init__(self, clock):
        self._clock = clock
        self._began_at = clock.seconds()
        self._load_by_customer: dict[str, _CustomerLoad] = {}
        self._total = DecayedCount(defaults.USUAL_LOAD_MEMORY_S, self._began_at)

    def record_call(self, customer: str) -> int:
        """Counts a call.

        Returns:
            0 for a call within the usual load; otherwise how far its customer
            exceeds that, as the number of EXCESS_LEVELS that it has passed. A
            customer that has passed the last floods: its calls within the
            usual load count as that many, and the others as one more.
        """
        now = self._clock.seconds()
        load = self._load_by_customer.get(customer)
        if load is None:
            self._make_room()
            load = self._load_by_customer[customer] = _CustomerLoad(now)
        load.offered.add(1.0, now)
        load.recent.add(1.0, now)
        excess = self._excess(load, now)
        self._add_usual(load, _usual_part(load, excess, now), now)
        return excess

    def _excess(self, load: _CustomerLoad, now: float) -> int:
        memory_s = defaults.RECENT_LOAD_MEMORY_S
        usual = self._usual_per_s(load, now)
        ratio = self._per_s(load.recent, memory_s, now) / usual
        level = sum(ratio > passed for passed in defaults.EXCESS_LEVELS)
        if not level:
            return 0
        allowed = usual * defaults.EXCESS_LEVELS[0]
        load.excess += 1 - allowed / self._per_s(load.offered, memory_s, now)
        floods = level == len(defaults.EXCESS_LEVELS)
        if load.excess < 1:
            return level if floods else 0
        load.excess -= 1
        return level + 1 if floods else level

    def record_refusal(self, customer: str, excess: int) -> None:
        """Uncounts most of a refused call, as its caller returns once.

        Returns of callers would otherwise look like a load above the usual.

        Args:
            customer: The customer.
            excess: What `record_call` returned for the call.
        """
        load = self._load_by_customer.get(customer)
        if load is None:
            return
        now = self._clock.seconds()
        uncounted = defaults.REFUSAL_UNCOUNTED_FRACTION
        load.recent.add(-uncounted, now)
        part = _usual_part(load, excess, now)
        self._add_usual(load, -uncounted * part, now)

    def weight(self, customer: str) -> float:
        """Returns a customer's weight; the mean weight is about 1."""
        load = self._load_by_customer.get(customer)
        if load is None:
            return 1.0
        now = self._clock.seconds()
        mean = self._total.value(now) / len(self._load_by_customer)
        relative = load.usual.value(now) / max(mean, 1e-9)
        return max(relative, defaults.CUSTOMER_WEIGHT_MIN)

    def _add_usual(
        self, load: _CustomerLoad, change: float, now: float
    ) -> None:
        load.usual.add(change, now)
        self._total.add(change, now)

    def _usual_per_s(self, load: _CustomerLoad, now: float) -> float:
        """Returns a usual rate; at least a part of an equal share."""
        memory_s = defaults.USUAL_LOAD_MEMORY_S
        own = self._per_s(load.usual, memory_s, now)
        equal_share = self._per_s(self._total, memory_s, now) / len(
            self._load_by_customer
        )
        return max(
            own,
            equal_share * defaults.CUSTOMER_WEIGHT_MIN,
            defaults.USUAL_LOAD_MIN_PER_S,
        )

    def _per_s(
        self, counted: DecayedCount, memory_s: float, now: float
    ) -> float:
        """Returns a rate, allowing for a short time of observation."""
        age_s = max(now - self._began_at, defaults.RECENT_LOAD_MEMORY_S)
        return counted.value(now) / (
            memory_s * (1 - math.exp(-age_s / memory_s))
        )

    def _make_room(self) -> None:
        """Drops the customer with the least load if there are too many."""
        loads = self._load_by_customer
        if len(loads) < defaults.MAX_WEIGHTED_CUSTOMERS:
            return
        now = self._clock.seconds()
        del loads[min(loads, key=lambda name: loads[name].usual.value(now))]


def _usual_part(load: _CustomerLoad, excess: int, now: float) -> float:
    """Returns the part of a call that counts toward the usual load.

    A flood raises the usual load slowly, so that it is not soon the usual.
    """
    if excess in (0, len(defaults.EXCESS_LEVELS)):
        return 1.0
    if now < load.began_at + defaults.USUAL_LOAD_LEARNING_S:
        return 1.0
    return defaults.EXCESS_USUAL_FRACTION
