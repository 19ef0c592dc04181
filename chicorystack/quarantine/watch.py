"""An agent's watch over its target: who ran on it when it died."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from twisted.internet import defer

from chicorystack import defaults
from chicorystack.agent.target_client import TargetClient, TargetFailedError
from chicorystack.calls.messages import EngineRequest, EngineUsage
from chicorystack.observe.invariants import require
from chicorystack.observe.logs import part_logger
from chicorystack.quarantine.strikes import (
    StrikeMessage,
    StrikeTable,
    content_hash,
)

log = part_logger("quarantine")


class Probe(Protocol):
    """A way to tell whether the target still runs."""

    async def answers(self) -> bool:
        """Returns False only where the target is certainly dead."""


class DeathWatch:
    """Notes which contents run, and gives strikes when the target dies.

    Attributes:
        target_down: Whether the target was found dead and not yet back.
    """

    def __init__(
        self,
        target: str,
        strikes: StrikeTable,
        probe: Probe,
    ):
        self._target = target
        self._strikes = strikes
        self._probe = probe
        self._running: list[str] = []
        self._reviewing: defer.Deferred | None = None
        self._lane = defer.DeferredLock()
        self.target_down = False

    async def run(self, content: str, start: Callable[[], Awaitable]):
        """Runs a call under watch; suspects one at a time.

        Raises:
            ApiError: `quarantined`.
            TargetFailedError: As `start` raises it, once the target has been
                looked at.
        """
        if self._strikes.count(content) == 0:
            return await self._run_watched(content, start)
        await self._lane.acquire()
        try:
            return await self._run_watched(content, start)
        finally:
            self._lane.release()

    async def _run_watched(self, content: str, start):
        self._strikes.check(content)
        if self.target_down:
            raise TargetFailedError("the target is down")
        require(
            "quarantined_content_is_not_run",
            self._strikes.count(content) < defaults.QUARANTINE_STRIKES,
            f"content {content}",
        )
        self._running.append(content)
        try:
            result = await start()
        except TargetFailedError:
            await self._review()
            raise
        finally:
            self._running.remove(content)
        self._strikes.note_completed(content)
        return result

    async def _review(self) -> None:
        """Looks whether the target died; one look for all that failed."""
        if self._reviewing is not None:
            waiting: defer.Deferred = defer.Deferred()
            self._reviewing.addCallback(lambda _: waiting.callback(None))
            await waiting
            return
        # All that ran lost their connections at once, this one first.
        contents = list(self._running)
        self._reviewing = defer.Deferred()
        try:
            if not await self._probe.answers():
                self._note_death(contents)
        finally:
            done, self._reviewing = self._reviewing, None
            done.callback(None)

    def take_strikes(self, told: Iterable[StrikeMessage]) -> None:
        """Takes strikes that came with a call."""
        self._strikes.merge(told)

    def strikes(self) -> list[StrikeMessage]:
        """Returns all strikes known here, to pass on."""
        return self._strikes.messages()

    def note_target(self, answers: bool) -> None:
        """Takes what a regular look at the target has found."""
        if answers or not self._running:
            self.target_down = not answers

    def _note_death(self, contents: list[str]) -> None:
        if self.target_down:
            return
        self.target_down = True
        log.warning("the target died with {} calls running", len(contents))
        self._strikes.note_death(self._target, contents)


class WatchedTarget:
    """A target client whose calls run under the watch."""

    def __init__(self, target: TargetClient, watch: DeathWatch, service: str):
        self._target = target
        self._watch = watch
        self._service = service

    async def generate(self, request: EngineRequest, *hooks) -> EngineUsage:
        """Runs a generation; raises as TargetClient.generate does."""
        return await self._watch.run(
            content_hash(self._service, request["prompt"]),
            lambda: self._target.generate(request, *hooks),
        )

    async def call(
        self, operation: str, body: bytes, key: str
    ) -> tuple[int, bytes]:
        """Calls a plain service; raises as TargetClient.call does."""
        content = f"{operation}\0{body.decode('utf-8', 'replace')}"
        return await self._watch.run(
            content_hash(self._service, content),
            lambda: self._target.call(operation, body, key),
        )
