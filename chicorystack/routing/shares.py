"""Max-min fair shares of a capacity among customers."""

from collections.abc import Iterable


def max_min_fair_share(capacity: float, demands: Iterable[float]) -> float:
    """Returns the largest allocation under max-min fairness.

    Customers that demand less get their demand; the rest of the capacity is
    split equally among the others. Returns infinity if all demands fit.
    """
    remaining = capacity
    ascending = sorted(demands)
    for index, demand in enumerate(ascending):
        equal_share = remaining / (len(ascending) - index)
        if demand > equal_share:
            return equal_share
        remaining -= demand
    return float("inf")
