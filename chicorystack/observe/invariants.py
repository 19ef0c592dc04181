"""Invariants asserted while the program runs, in production too."""

from collections import Counter

from chicorystack.errors import ChicoryError
from chicorystack.observe.decisions import decisions
from chicorystack.observe.logs import part_logger
from chicorystack.observe.metrics import metrics

log = part_logger("invariant")
violations_by_name: Counter[str] = Counter()


class InvariantError(ChicoryError):
    """An invariant does not hold; the duty that it guards must stop."""


def require(name: str, holds: bool, detail: str) -> None:
    """Counts, logs and raises where an invariant does not hold.

    Args:
        name: The invariant's stable name, used in metrics.
        holds: Whether it holds now.
        detail: What was seen, for the log.

    Raises:
        InvariantError: If it does not hold.
    """
    if holds:
        return
    violations_by_name[name] += 1
    metrics.count(f"invariant.violated.{name}")
    decisions.record_notable("invariants", "invariant", name, detail)
    log.error("invariant {} violated: {}", name, detail)
    raise InvariantError(f"{name}: {detail}")
