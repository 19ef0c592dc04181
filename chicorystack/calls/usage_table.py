"""Tokens used by each run at one target, for interrupted answers."""

from collections.abc import Callable
from typing import Literal, NamedTuple, TypedDict

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.observe.invariants import require

UseState = Literal["never_ran", "running", "ended"]


class SettleRequest(TypedDict):
    """Requests a run's usage, and that the run is cancelled if possible.

    Attributes:
        use: Id of the run.
    """

    use: str


class SettleReply(TypedDict):
    """Usage of a run.

    Attributes:
        use: Id of the run.
        state: `never_ran` means that it has not run and never will.
        tokens: Tokens used, where the state is `ended`.
        age_ms: Uptime of the agent's process, in milliseconds; it knows of no
            run that started earlier.
    """

    use: str
    state: UseState
    tokens: int
    age_ms: int


class _RunUsage(NamedTuple):
    """State and usage of one run.

    Attributes:
        state: Whether it is running, has ended, or was closed before it ran.
        tokens: Tokens used.
        expires_at: Time on the clock at which the entry expires.
        cancel: Cancels the run at the target; None if it must not be
            cancelled.
    """

    state: UseState
    tokens: int
    expires_at: float
    cancel: Callable[[], None] | None = None


class UsageTable:
    """Holds the usage of each run until the key window has passed."""

    def __init__(self, clock):
        self._clock = clock
        self._started_at = clock.seconds()
        self._usage_by_run_id: dict[str, _RunUsage] = {}

    def check_not_closed(self, run_id: str) -> None:
        """Raises ApiError if the run's router has closed the run."""
        self._evict_expired()
        usage = self._usage_by_run_id.get(run_id)
        if usage is not None and usage.state == "never_ran":
            raise ApiError("refused_for_good", "the router has closed this run")

    def begin(
        self, run_id: str, cancel: Callable[[], None] | None = None
    ) -> None:
        """Records that a run has started.

        Raises:
            ApiError: `refused_for_good` if its router has closed it.
        """
        self.check_not_closed(run_id)
        usage = self._usage_by_run_id.get(run_id)
        tokens = 0 if usage is None else usage.tokens
        self._store(
            run_id, _RunUsage("running", tokens, self._expiry(), cancel)
        )

    def end(self, run_id: str, tokens: int) -> None:
        """Records that a run has ended; adds to its earlier tokens."""
        usage = self._usage_by_run_id[run_id]
        require(
            "ended_run_was_running",
            usage.state == "running",
            f"run {run_id} was {usage.state}",
        )
        total = usage.tokens + tokens
        self._store(run_id, _RunUsage("ended", total, self._expiry()))

    async def settle(self, request: SettleRequest) -> SettleReply:
        """Returns a run's usage; a run that has not started never will."""
        self._evict_expired()
        usage = self._usage_by_run_id.get(request["use"])
        if usage is None:
            usage = _RunUsage("never_ran", 0, self._expiry())
            self._store(request["use"], usage)
        if usage.cancel is not None:
            usage.cancel()
            usage = self._usage_by_run_id[request["use"]]
        age_s = self._clock.seconds() - self._started_at
        return SettleReply(
            use=request["use"],
            state=usage.state,
            tokens=usage.tokens,
            age_ms=int(age_s * 1000),
        )

    def _expiry(self) -> float:
        return self._clock.seconds() + defaults.KEY_WINDOW_S

    def _store(self, run_id: str, usage: _RunUsage) -> None:
        # Moved to the end, so that entries stay in order of expiry.
        self._usage_by_run_id.pop(run_id, None)
        self._usage_by_run_id[run_id] = usage

    def _evict_expired(self) -> None:
        now = self._clock.seconds()
        while self._usage_by_run_id:
            run_id = next(iter(self._usage_by_run_id))
            usage = self._usage_by_run_id[run_id]
            if usage.expires_at > now:
                return
            del self._usage_by_run_id[run_id]
            if usage.state == "running":
                expires_at = self._expiry()
                self._usage_by_run_id[run_id] = usage._replace(
                    expires_at=expires_at
                )
