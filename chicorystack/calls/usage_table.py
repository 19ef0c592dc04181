"""What each run used at one target, for routers whose answer was cut."""

from collections.abc import Callable
from typing import Literal, NamedTuple, TypedDict

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.observe.invariants import require

UseState = Literal["never_ran", "running", "ended"]


class SettleRequest(TypedDict):
    """Asks what a run used, and that it ends as soon as it can.

    Attributes:
        use: Id of the run.
    """

    use: str


class SettleReply(TypedDict):
    """What a run used.

    Attributes:
        use: Id of the run.
        state: `never_ran` means that it never will.
        tokens: Tokens used, where the state is `ended`.
        age_ms: How long this agent's process has been up; it knows of no
            run that is older.
    """

    use: str
    state: UseState
    tokens: int
    age_ms: int


class _Use(NamedTuple):
    """One run.

    Attributes:
        state: Whether it runs, has ended, or was closed before it ran.
        tokens: Tokens used.
        forget_at: Time on the clock to forget it at.
        cancel: Ends the target's work; None where it may not be ended.
    """

    state: UseState
    tokens: int
    forget_at: float
    cancel: Callable[[], None] | None = None


class UsageTable:
    """Remembers, for the window, what each run used."""

    def __init__(self, clock):
        self._clock = clock
        self._started_at = clock.seconds()
        self._use_by_id: dict[str, _Use] = {}

    def check_open(self, use_id: str) -> None:
        """Raises ApiError where the run's router closed it."""
        self._forget_old()
        use = self._use_by_id.get(use_id)
        if use is not None and use.state == "never_ran":
            raise ApiError(
                "refused_for_good", "the router has given up on this run"
            )

    def begin(
        self, use_id: str, cancel: Callable[[], None] | None = None
    ) -> None:
        """Marks a run as started.

        Raises:
            ApiError: `refused_for_good` where its router closed it before.
        """
        self.check_open(use_id)
        use = self._use_by_id.get(use_id)
        tokens = 0 if use is None else use.tokens
        self._put(use_id, _Use("running", tokens, self._forget_at(), cancel))

    def end(self, use_id: str, tokens: int) -> None:
        """Notes what a run used; what it used in earlier parts is added."""
        use = self._use_by_id[use_id]
        require(
            "ended_run_was_running",
            use.state == "running",
            f"run {use_id} was {use.state}",
        )
        total = use.tokens + tokens
        self._put(use_id, _Use("ended", total, self._forget_at()))

    async def settle(self, request: SettleRequest) -> SettleReply:
        """Tells what a run used; a run that never started never will."""
        self._forget_old()
        use = self._use_by_id.get(request["use"])
        if use is None:
            use = _Use("never_ran", 0, self._forget_at())
            self._put(request["use"], use)
        if use.cancel is not None:
            use.cancel()
            use = self._use_by_id[request["use"]]
        age_s = self._clock.seconds() - self._started_at
        return SettleReply(
            use=request["use"],
            state=use.state,
            tokens=use.tokens,
            age_ms=int(age_s * 1000),
        )

    def _forget_at(self) -> float:
        return self._clock.seconds() + defaults.KEY_WINDOW_S

    def _put(self, use_id: str, use: _Use) -> None:
        # Inserted anew, so that the order is that of forget_at.
        self._use_by_id.pop(use_id, None)
        self._use_by_id[use_id] = use

    def _forget_old(self) -> None:
        now = self._clock.seconds()
        while self._use_by_id:
            use_id = next(iter(self._use_by_id))
            use = self._use_by_id[use_id]
            if use.forget_at > now:
                return
            del self._use_by_id[use_id]
            if use.state == "running":
                forget_at = self._forget_at()
                self._use_by_id[use_id] = use._replace(forget_at=forget_at)
