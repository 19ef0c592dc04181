"""An agent's table of calls that may run only once."""

from typing import NamedTuple

from twisted.internet import defer

from chicorystack import defaults
from chicorystack.calls.messages import CallHeader
from chicorystack.errors import ApiError
from chicorystack.observe.invariants import require


class KeptAnswer(NamedTuple):
    """The answer of a finished call.

    Attributes:
        status: HTTP status of the target.
        body: Whole body.
        tokens: Tokens used.
        use: Id of the run.
    """

    status: int
    body: bytes
    tokens: int
    use: str


class _Run(NamedTuple):
    """A call that has been started.

    Attributes:
        customer: Who asked.
        forget_at: Time on the reactor's clock to forget it at.
        waiters: Those who wait for the answer.
        result: The answer, or why it can't be known, once there is one.
    """

    customer: str
    forget_at: float
    waiters: list[defer.Deferred]
    result: KeptAnswer | ApiError | None


class RunTable:
    """Remembers, for the window, which keys have run and their answers."""

    def __init__(self, clock):
        self._clock = clock
        self._run_by_key: dict[str, _Run] = {}

    def begin(self, call: CallHeader) -> bool:
        """Marks a call as started; False where its key has been started."""
        self._forget_old()
        if call["key"] in self._run_by_key:
            return False
        forget_at = self._clock.seconds() + defaults.KEY_WINDOW_S
        self._run_by_key[call["key"]] = _Run(
            call["customer"], forget_at, [], None
        )
        return True

    def finish(self, call: CallHeader, result: KeptAnswer | ApiError) -> None:
        """Keeps the result and gives it to those who wait."""
        run = self._run_by_key[call["key"]]
        require("runs_once", run.result is None, f"key {call['key']} ran twice")
        self._run_by_key[call["key"]] = run._replace(result=result, waiters=[])
        for waiter in run.waiters:
            if not waiter.called:
                _fire(waiter, result)

    def answer(self, call: CallHeader) -> "defer.Deferred[KeptAnswer]":
        """Returns the answer of a started call, once there is one.

        Raises:
            ApiError: `forbidden` where another customer started it;
                `outcome_unknown` where the target broke off.
        """
        run = self._run_by_key[call["key"]]
        if run.customer != call["customer"]:
            raise ApiError("forbidden", "the key belongs to another customer")
        waiter: defer.Deferred[KeptAnswer] = defer.Deferred()
        if run.result is None:
            run.waiters.append(waiter)
        else:
            _fire(waiter, run.result)
        return waiter

    def _forget_old(self) -> None:
        now = self._clock.seconds()
        while self._run_by_key:
            key = next(iter(self._run_by_key))
            if self._run_by_key[key].forget_at > now:
                return
            del self._run_by_key[key]


def _fire(waiter: defer.Deferred, result: KeptAnswer | ApiError) -> None:
    if isinstance(result, ApiError):
        waiter.errback(result)
    else:
        waiter.callback(result)
