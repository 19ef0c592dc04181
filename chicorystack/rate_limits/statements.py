"""What targets have stated about their rate limits, by incarnation.

Routers learn of a limit from answers and from each other. Answers on different
connections may overtake each other, so an answer replaces a known statement
only if its call was sent after that statement was known; otherwise only if it
is stricter. Each replacement has a higher revision.
"""

import math
from collections.abc import Callable, Iterable

from chicorystack import defaults
from chicorystack.observe.events import emit
from chicorystack.rate_limits.messages import Incarnation, LimitStatement


class LimitTable:
    """Newest statement of each incarnation.

    Attributes:
        statement_by_incarnation: Statements, also of limits that have ended.
    """

    def __init__(self, is_registered: Callable[[Incarnation], bool]):
        """Starts empty.

        Args:
            is_registered: Returns whether an incarnation of a target is still
                registered.
        """
        self._is_registered = is_registered
        self.statement_by_incarnation: dict[Incarnation, LimitStatement] = {}

    def limit(self, incarnation: Incarnation) -> float | None:
        """Returns the calls a second that a target accepts; None for any."""
        statement = self.statement_by_incarnation.get(incarnation)
        return None if statement is None else statement.calls_per_s

    def revision(self, incarnation: Incarnation) -> int:
        """Returns the revision of the known statement; 0 for none."""
        statement = self.statement_by_incarnation.get(incarnation)
        return 0 if statement is None else statement.revision

    def record_answer(
        self,
        incarnation: Incarnation,
        calls_per_s: float | None,
        sent_revision: int,
    ) -> bool:
        """Records what an answer states.

        Args:
            incarnation: The target.
            calls_per_s: The limit in the answer; None if it states none.
            sent_revision: Revision that was known when the call was sent.

        Returns:
            Whether the statement has changed.
        """
        if calls_per_s is not None:
            calls_per_s = max(calls_per_s, defaults.RATE_LIMIT_MIN_PER_S)
        known = self.limit(incarnation)
        revision = self.revision(incarnation)
        if calls_per_s == known:
            return False
        if sent_revision < revision and _strictness(calls_per_s) >= _strictness(
            known
        ):
            return False
        statement = LimitStatement(*incarnation, revision + 1, calls_per_s)
        self._store(statement)
        return True

    def merge(self, statements: Iterable[LimitStatement]) -> bool:
        """Merges another router's statements; returns whether any was news."""
        changed = False
        for statement in statements:
            known = self.statement_by_incarnation.get(statement.incarnation)
            if known is None or _order(known) < _order(statement):
                self._store(statement)
                changed = True
        return changed

    def active(self) -> list[LimitStatement]:
        """Returns the limits in force of registered targets."""
        return [
            statement
            for statement in self.statement_by_incarnation.values()
            if statement.calls_per_s is not None
            and self._is_registered(statement.incarnation)
        ]

    def known(self) -> list[LimitStatement]:
        """Returns the statements of registered targets."""
        return [
            statement
            for statement in self.statement_by_incarnation.values()
            if self._is_registered(statement.incarnation)
        ]

    def _store(self, statement: LimitStatement) -> None:
        incarnation = statement.incarnation
        before = self.limit(incarnation)
        self.statement_by_incarnation.pop(incarnation, None)
        self.statement_by_incarnation[incarnation] = statement
        if len(self.statement_by_incarnation) > defaults.MAX_TARGET_NOTICES:
            oldest = next(iter(self.statement_by_incarnation))
            del self.statement_by_incarnation[oldest]
        ended = statement.calls_per_s is None
        emit(
            "rate_limits", "limit_ended" if ended else "limit_named",
            target=statement.target, calls_per_s=statement.calls_per_s,
            before=before, revision=statement.revision,
        )  # fmt: skip


def _strictness(calls_per_s: float | None) -> float:
    """Returns the limit as a number; no limit is infinite."""
    return math.inf if calls_per_s is None else calls_per_s


def _order(statement: LimitStatement) -> tuple[int, float]:
    """Returns the order of statements; of the same revision, stricter wins."""
    return statement.revision, -_strictness(statement.calls_per_s)
