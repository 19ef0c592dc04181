"""What targets ask of this router in their responses.

A target that is leaving says so in each response, often before its registration
changes; it gets no new calls until it has started again. A target that rejects
a call with 503 and Retry-After gets no calls for that time.
"""

from typing import NamedTuple

from chicorystack import defaults
from chicorystack.gateway.messages import ResponseHead
from chicorystack.gateway.targets import TargetEntry
from chicorystack.observe.events import emit


class _Notice(NamedTuple):
    """The newest request of one incarnation of a target.

    Attributes:
        leaving: Whether it is leaving.
        paused_until: Clock time until which it wants no calls, in seconds.
    """

    leaving: bool = False
    paused_until: float = 0.0


class TargetNotices:
    """Requests of targets for no calls, for some time or for good.

    A notice outlives the target's registration, which may return unchanged
    after an outage of the store.
    """

    def __init__(self, clock):
        self._clock = clock
        self._notice_by_incarnation: dict[tuple[str, int], _Notice] = {}

    def record(self, target: TargetEntry, head: ResponseHead) -> None:
        """Records what a response says about its target's availability.

        A misdirected request was rejected by another target, whose response
        says nothing about this one.
        """
        if head.misdirected:
            return
        if head.leaving:
            self._record_leaving(target)
        if head.retry_after_s is not None:
            self._record_pause(target, head.retry_after_s)

    def accepts_calls(self, target: TargetEntry) -> bool:
        """Returns whether the target has no objection to a new call."""
        notice = self._notice(target)
        return (
            not notice.leaving and self._clock.seconds() >= notice.paused_until
        )

    def pause_left_s(self, target: TargetEntry) -> float | None:
        """Returns how long a target wants no calls, in seconds.

        Returns:
            The time; None if the target is leaving.
        """
        notice = self._notice(target)
        if notice.leaving:
            return None
        return max(0.0, notice.paused_until - self._clock.seconds())

    def _record_leaving(self, target: TargetEntry) -> None:
        notice = self._notice(target)
        if notice.leaving:
            return
        self._store(target, notice._replace(leaving=True))
        emit("targets", "leaving", target=target.id, service=target.service)

    def _record_pause(self, target: TargetEntry, pause_s: float) -> None:
        notice = self._notice(target)
        until = self._clock.seconds() + pause_s
        if until <= notice.paused_until:
            return
        self._store(target, notice._replace(paused_until=until))
        emit(
            "targets", "paused", target=target.id, service=target.service,
            pause_s=pause_s,
        )  # fmt: skip

    def _notice(self, target: TargetEntry) -> _Notice:
        return self._notice_by_incarnation.get(target.incarnation, _Notice())

    def _store(self, target: TargetEntry, notice: _Notice) -> None:
        self._notice_by_incarnation.pop(target.incarnation, None)
        self._notice_by_incarnation[target.incarnation] = notice
        if len(self._notice_by_incarnation) > defaults.MAX_TARGET_NOTICES:
            oldest = next(iter(self._notice_by_incarnation))
            del self._notice_by_incarnation[oldest]
