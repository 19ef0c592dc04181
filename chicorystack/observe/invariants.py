"""Run-time checks of invariants, also in production."""

from collections import Counter

from chicorystack.errors import ChicoryError
from chicorystack.observe.decisions import decisions
from chicorystack.observe.logs import part_logger
from chicorystack.observe.metrics import metrics

log = part_logger("invariant")
violations_by_name: Counter[str] = Counter()


class InvariantError(ChicoryError):
    """An invariant is violated; the operation it protects must stop."""


def require(name: str, holds: bool, detail: str) -> None:
    """Counts and logs a violated invariant and raises InvariantError.

    Args:
        name: The invariant's stable name, used in metrics.
        holds: Whether the invariant holds.
        detail: The observed state, for the log.

    Raises:
        InvariantError: If the invariant does not hold.
    """
    if holds:
        return
    violations_by_name[name] += 1
    metrics.count(f"invariant.violated.{name}")
    decisions.record_notable("invariants", "invariant", name, detail)
    log.error("invariant {} violated: {}", name, detail)
    raise InvariantError(f"{name}: {detail}")
