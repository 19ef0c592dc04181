"""An agent's table of calls that may run at most once.

The table is authoritative for the state of a key: it has run, is running,
will never run (a tombstone), or its outcome is unknown. A tombstone takes
effect once it is stored durably; until then the state is `refusing`. A key is
remembered for a window after it was first seen, and its answer until it is
evicted for lack of space.
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


class CachedAnswer(NamedTuple):
    """The answer of a finished call.

    Attributes:
        status: HTTP status of the target.
        body: Whole body; None where it was not stored or was evicted.
        tokens: Tokens used.
        use: Id of the run.
    """

    status: int
    body: bytes | None
    tokens: int
    use: str


class Run(NamedTuple):
    """State of one key.

    Attributes:
        state: Whether it is running, has run, will never run, or may have run.
        body_hash: Hash of the operation and body first sent with the key.
        expires_at: Time on the clock at which the key expires.
        answer: The answer, where the state is `done`.
        waiters: Deferreds that fire with the answer.
    """

    state: RunState
    body_hash: str
    expires_at: float
    answer: CachedAnswer | None = None
    waiters: tuple[defer.Deferred, ...] = ()


def compute_body_hash(operation: str, body: bytes) -> str:
    """Returns a hash that identifies an operation and body."""
    text = operation.encode() + b"\0" + body
    return hashlib.blake2b(text, digest_size=BODY_HASH_BYTES).hexdigest()


class RunTable:
    """Holds the state of each key until the key window has passed.

    Attributes:
        run_by_key: State of each key, oldest key first.
        cached_bytes: Total bytes of all cached answers.
        uncertain_until: Time on the clock until which keys that are not in
            the table may have been run by an earlier owner.
    """

    def __init__(self, clock):
        self._clock = clock
        self.uncertain_until = 0.0
        self._keys_with_body: dict[str, None] = {}
        self.run_by_key: dict[str, Run] = {}
        self.cached_bytes = 0

    def begin(self, call: CallHeader, body_hash: str) -> bool:
        """Marks a call as running; returns False if its key is known.

        Args:
            call: The call.
            body_hash: Hash of its operation and body.

        Raises:
            ApiError: `key_reused` if the key was used with another operation
                or body; `outcome_unknown` if an earlier owner may have run
                the key; `overloaded` if the table is full.
        """
        if self._is_known(call["key"], body_hash):
            return False
        self._insert(call["key"], "running", body_hash)
        return True

    def begin_refusal(self, call: CallHeader, body_hash: str) -> bool:
        """Starts to record a tombstone, so that the call never runs.

        Returns:
            False if the key is known; nothing has changed then.

        Raises:
            ApiError: As `begin` does.
        """
        if self._is_known(call["key"], body_hash):
            return False
        self._insert(call["key"], "refusing", body_hash)
        return True

    def cancel_unsent(self, key: str) -> None:
        """Starts to record a tombstone for a call that was not sent."""
        self._transition(key, "running", "refusing")

    def confirm_refusal(self, key: str) -> None:
        """Completes a tombstone; all waiters receive the refusal."""
        waiters = self._transition(key, "refusing", "not_run").waiters
        self._notify_all(key, waiters)

    def finish(self, key: str, answer: CachedAnswer | None) -> None:
        """Stores the answer, or None for an unknown outcome."""
        state: RunState = "unknown" if answer is None else "done"
        waiters = self._transition(key, "running", state).waiters
        self.run_by_key[key] = self.run_by_key[key]._replace(answer=answer)
        if answer is not None and answer.body is not None:
            self._keys_with_body[key] = None
            self.cached_bytes += len(answer.body)
            self._evict_bodies()
        self._notify_all(key, waiters)

    def restore(self, key: str, run: Run) -> None:
        """Adds the state of a key that an earlier owner recorded."""
        if key in self.run_by_key:
            return
        self.run_by_key[key] = run
        if run.answer is not None and run.answer.body is not None:
            self._keys_with_body[key] = None
            self.cached_bytes += len(run.answer.body)
            self._evict_bodies()

    def wait_for_answer(self, key: str) -> "defer.Deferred[CachedAnswer]":
        """Returns a Deferred that fires with the answer of a known key.

        It fails with an ApiError: `refused_for_good` if the call never runs;
        `outcome_unknown` if it may have run; `answer_forgotten` if it ran and
        its answer is not stored.
        """
        run = self.run_by_key[key]
        waiter: defer.Deferred[CachedAnswer] = defer.Deferred()
        if run.state in ("running", "refusing"):
            waiters = (w for w in run.waiters if not w.called)
            self.run_by_key[key] = run._replace(waiters=(*waiters, waiter))
        else:
            _notify(waiter, run)
        return waiter

    def state(self, key: str) -> RunState | None:
        """Returns the state of a key, or None if it is unknown."""
        self._evict_expired()
        run = self.run_by_key.get(key)
        return None if run is None else run.state

    def _is_known(self, key: str, body_hash: str) -> bool:
        self._evict_expired()
        run = self.run_by_key.get(key)
        if run is None:
            self._refuse_if_uncertain()
            return False
        if run.body_hash != body_hash:
            raise ApiError(
                "key_reused",
                "the key was used before with another operation or body",
                "rejected",
            )
        return True

    def _insert(self, key: str, state: RunState, body_hash: str) -> None:
        require(
            "no_run_after_tombstone",
            key not in self.run_by_key,
            f"key {key} is already in the table",
        )
        if len(self.run_by_key) >= defaults.MAX_KEYS_PER_AGENT:
            raise ApiError(
                "overloaded",
                "the table of idempotency keys is full",
                retry_after_ms=defaults.RETRY_AFTER_MS,
            )
        expires_at = self._clock.seconds() + defaults.KEY_WINDOW_S
        self.run_by_key[key] = Run(state, body_hash, expires_at)

    def _refuse_if_uncertain(self) -> None:
        left_s = self.uncertain_until - self._clock.seconds()
        if left_s > 0:
            raise ApiError(
                "outcome_unknown",
                "an earlier owner of this key may have run the call",
                "unknown",
                int(left_s * 1000) + 1,
            )

    def _transition(self, key: str, before: RunState, after: RunState) -> Run:
        """Changes the state of a key; returns its previous entry."""
        run = self.run_by_key[key]
        require("runs_once", run.state == before, f"key {key} was {run.state}")
        moved = run._replace(state=after)
        if after != "refusing":
            moved = moved._replace(waiters=())
        self.run_by_key[key] = moved
        return run

    def _notify_all(
        self, key: str, waiters: tuple[defer.Deferred, ...]
    ) -> None:
        for waiter in waiters:
            if not waiter.called:
                _notify(waiter, self.run_by_key[key])

    def _evict_bodies(self) -> None:
        while self.cached_bytes > defaults.CACHED_ANSWERS_MAX_BYTES:
            self._evict_body(next(iter(self._keys_with_body)))

    def _evict_body(self, key: str) -> None:
        del self._keys_with_body[key]
        run = self.run_by_key[key]
        self.cached_bytes -= len(run.answer.body)
        answer = run.answer._replace(body=None)
        self.run_by_key[key] = run._replace(answer=answer)

    def _evict_expired(self) -> None:
        now = self._clock.seconds()
        while self.run_by_key:
            key = next(iter(self.run_by_key))
            run = self.run_by_key[key]
            if run.expires_at > now:
                return
            if key in self._keys_with_body:
                self._evict_body(key)
            del self.run_by_key[key]
            if run.state in ("running", "refusing"):
                # An unfinished run does not expire.
                expires_at = now + defaults.KEY_WINDOW_S
                self.run_by_key[key] = run._replace(expires_at=expires_at)


def _notify(waiter: defer.Deferred, run: Run) -> None:
    error = _error_of(run)
    if error is not None:
        waiter.errback(error)
    else:
        waiter.callback(run.answer)


def _error_of(run: Run) -> ApiError | None:
    """Returns the error for a run without an answer, else None."""
    if run.state == "not_run":
        return ApiError(
            "refused_for_good",
            "the call will never run with this key",
            "not_run",
        )
    if run.answer is None:
        return ApiError(
            "outcome_unknown",
            "no complete answer was recorded; the call may have run",
            "unknown",
        )
    if run.answer.body is None:
        return ApiError(
            "answer_forgotten",
            "the call ran, but its answer is no longer stored",
            "done",
        )
    return None
