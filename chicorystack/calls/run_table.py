"""An agent's table of calls that may run only once.

The table is the last word on a key: it has run, is running, will never run
(a tombstone), or its outcome is unknown. A tombstone counts once it stands
where it outlives this process; until then the state is `refusing`. A key is
remembered for a window after it was first seen, and an answer for as long as
its bytes have room.
"""

import hashlib
from typing import Literal, NamedTuple

from twisted.internet import defer

from chicorystack import defaults
from chicorystack.calls.messages import CallHeader
from chicorystack.errors import ApiError
from chicorystack.observe.invariants import require

BODY_HASH_BYTES = 12

RunState = Literal["running", "done", "refusing", "not_run", "unknown"]


class KeptAnswer(NamedTuple):
    """The answer of a finished call.

    Attributes:
        status: HTTP status of the target.
        body: Whole body; None where its bytes had to make room.
        tokens: Tokens used.
        use: Id of the run.
    """

    status: int
    body: bytes | None
    tokens: int
    use: str


class Run(NamedTuple):
    """What is known of one key.

    Attributes:
        state: Whether it runs, has run, never will, or may have.
        body_hash: Hash of the operation and body that came with the key.
        forget_at: Time on the clock to forget it at.
        answer: The answer, where the state is `done`.
        waiters: Those who wait for the answer.
    """

    state: RunState
    body_hash: str
    forget_at: float
    answer: KeptAnswer | None = None
    waiters: tuple[defer.Deferred, ...] = ()


def body_hash(operation: str, body: bytes) -> str:
    """Returns a hash that tells one operation and body from another."""
    text = operation.encode() + b"\0" + body
    return hashlib.blake2b(text, digest_size=BODY_HASH_BYTES).hexdigest()


class RunTable:
    """Remembers, for the window, what became of each key.

    Attributes:
        run_by_key: What is known, oldest key first.
        kept_bytes: Bytes of all kept answers.
        doubt_until: Time on the clock until which keys that are not in the
            table may have been run by an earlier owner.
    """

    def __init__(self, clock):
        self._clock = clock
        self.doubt_until = 0.0
        self._keys_with_body: dict[str, None] = {}
        self.run_by_key: dict[str, Run] = {}
        self.kept_bytes = 0

    def begin(self, call: CallHeader, content: str) -> bool:
        """Marks a call as started; False where its key is known.

        Args:
            call: The call.
            content: Its body hash.

        Raises:
            ApiError: `key_reused` where the key came with another body;
                `overloaded` where the table is full.
        """
        if self._known(call["key"], content):
            return False
        self._put(call["key"], "running", content)
        return True

    def refuse(self, call: CallHeader, content: str) -> bool:
        """Begins a tombstone, so that the call never runs.

        Returns:
            False where the key is known, and nothing changed.

        Raises:
            ApiError: As `begin` does.
        """
        if self._known(call["key"], content):
            return False
        self._put(call["key"], "refusing", content)
        return True

    def withdraw(self, key: str) -> None:
        """Begins a tombstone for a started call that was not sent on."""
        self._move(key, "running", "refusing")

    def confirm_refusal(self, key: str) -> None:
        """Tells all who wait that the call never runs."""
        waiters = self._move(key, "refusing", "not_run").waiters
        self._fire_all(key, waiters)

    def finish(self, key: str, answer: KeptAnswer | None) -> None:
        """Keeps the answer, or that the outcome is unknown (None)."""
        state: RunState = "unknown" if answer is None else "done"
        waiters = self._move(key, "running", state).waiters
        self.run_by_key[key] = self.run_by_key[key]._replace(answer=answer)
        if answer is not None and answer.body is not None:
            self._keys_with_body[key] = None
            self.kept_bytes += len(answer.body)
            self._make_room()
        self._fire_all(key, waiters)

    def restore(self, key: str, run: Run) -> None:
        """Takes over what an earlier owner of the key knew."""
        if key in self.run_by_key:
            return
        self.run_by_key[key] = run
        if run.answer is not None and run.answer.body is not None:
            self._keys_with_body[key] = None
            self.kept_bytes += len(run.answer.body)
            self._make_room()

    def answer(self, key: str) -> "defer.Deferred[KeptAnswer]":
        """Returns the answer of a known key, once there is one.

        Raises:
            ApiError: `refused_for_good` where it never runs;
                `outcome_unknown` where the target broke off;
                `answer_forgotten` where it ran and its bytes made room.
        """
        run = self.run_by_key[key]
        waiter: defer.Deferred[KeptAnswer] = defer.Deferred()
        if run.state in ("running", "refusing"):
            waiters = (w for w in run.waiters if not w.called)
            self.run_by_key[key] = run._replace(waiters=(*waiters, waiter))
        else:
            _fire(waiter, run)
        return waiter

    def state(self, key: str) -> RunState | None:
        """Returns what is known of a key, or None."""
        self._forget_old()
        run = self.run_by_key.get(key)
        return None if run is None else run.state

    def _known(self, key: str, content: str) -> bool:
        self._forget_old()
        run = self.run_by_key.get(key)
        if run is None:
            self._refuse_in_doubt()
            return False
        if run.body_hash != content:
            raise ApiError(
                "key_reused",
                "the key came before with another operation or body",
                "rejected",
            )
        return True

    def _put(self, key: str, state: RunState, content: str) -> None:
        require(
            "no_run_after_tombstone",
            key not in self.run_by_key,
            f"key {key} is known",
        )
        if len(self.run_by_key) >= defaults.MAX_KEYS_PER_AGENT:
            raise ApiError(
                "overloaded",
                "the target remembers as many keys as it can",
                retry_after_ms=defaults.RETRY_AFTER_MS,
            )
        forget_at = self._clock.seconds() + defaults.KEY_WINDOW_S
        self.run_by_key[key] = Run(state, content, forget_at)

    def _refuse_in_doubt(self) -> None:
        left_s = self.doubt_until - self._clock.seconds()
        if left_s > 0:
            raise ApiError(
                "outcome_unknown",
                "an earlier owner of this key may have run the call",
                "unknown",
                int(left_s * 1000) + 1,
            )

    def _move(self, key: str, before: RunState, after: RunState) -> Run:
        """Changes a key's state; returns what it was."""
        run = self.run_by_key[key]
        require("runs_once", run.state == before, f"key {key} was {run.state}")
        moved = run._replace(state=after)
        if after != "refusing":
            moved = moved._replace(waiters=())
        self.run_by_key[key] = moved
        return run

    def _fire_all(self, key: str, waiters: tuple[defer.Deferred, ...]) -> None:
        for waiter in waiters:
            if not waiter.called:
                _fire(waiter, self.run_by_key[key])

    def _make_room(self) -> None:
        while self.kept_bytes > defaults.KEPT_ANSWERS_MAX_BYTES:
            self._drop_body(next(iter(self._keys_with_body)))

    def _drop_body(self, key: str) -> None:
        del self._keys_with_body[key]
        run = self.run_by_key[key]
        self.kept_bytes -= len(run.answer.body)
        answer = run.answer._replace(body=None)
        self.run_by_key[key] = run._replace(answer=answer)

    def _forget_old(self) -> None:
        now = self._clock.seconds()
        while self.run_by_key:
            key = next(iter(self.run_by_key))
            run = self.run_by_key[key]
            if run.forget_at > now:
                return
            if key in self._keys_with_body:
                self._drop_body(key)
            del self.run_by_key[key]
            if run.state in ("running", "refusing"):
                # A run is remembered for as long as it lasts.
                forget_at = now + defaults.KEY_WINDOW_S
                self.run_by_key[key] = run._replace(forget_at=forget_at)


def _fire(waiter: defer.Deferred, run: Run) -> None:
    error = _refusal_of(run)
    if error is not None:
        waiter.errback(error)
    else:
        waiter.callback(run.answer)


def _refusal_of(run: Run) -> ApiError | None:
    """Returns why there is no answer to give, or None where there is one."""
    if run.state == "not_run":
        return ApiError(
            "refused_for_good", "the call never runs under this key", "not_run"
        )
    if run.answer is None:
        return ApiError(
            "outcome_unknown",
            "the target broke off; the call may have run",
            "unknown",
        )
    if run.answer.body is None:
        return ApiError(
            "answer_forgotten",
            "the call ran; its answer is kept no longer",
            "done",
        )
    return None
