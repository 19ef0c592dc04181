"""Max-min fair shares of a capacity among customers."""

from collections.abc import Iterable


def fair_level(capacity: float, demands: Iterable[float]) -> float:
    """Returns the most that any customer gets under max-min fairness.

    Customers that want less than the level get what they want; what they
    leave is shared equally among the others. Infinite where all demands fit.
    """
    left = capacity
    by_size = sorted(demands)
    for index, demand in enumerate(by_size):
        equal = left / (len(by_size) - index)
        if demand > equal:
            return equal
        left -= demand
    return float("inf")
