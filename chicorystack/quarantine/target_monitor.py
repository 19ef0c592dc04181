"""Tracks the requests that run on a target, to record crash strikes."""

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
    """Checks whether the target is alive."""

    async def is_alive(self) -> bool:
        """Returns False only if the target has certainly crashed."""


class TargetMonitor:
    """Tracks running requests and adds strikes when the target crashes.

    Attributes:
        target_down: Whether the target was found down and has not recovered.
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
        self._probing: defer.Deferred | None = None
        self._suspect_lock = defer.DeferredLock()
        self.target_down = False

    async def run(self, content: str, start: Callable[[], Awaitable]):
        """Runs a call and tracks it; suspects run one at a time.

        Args:
            content: Hash of the call's content.
            start: Starts the call.

        Raises:
            ApiError: `quarantined`.
            TargetFailedError: If the target is down; or as raised by `start`,
                after the target has been probed.
        """
        if self._strikes.count(content) == 0:
            return await self._run_tracked(content, start)
        await self._suspect_lock.acquire()
        try:
            return await self._run_tracked(content, start)
        finally:
            self._suspect_lock.release()

    async def _run_tracked(self, content: str, start):
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
            await self._probe_target()
            raise
        finally:
            self._running.remove(content)
        self._strikes.record_completed(content)
        return result

    async def _probe_target(self) -> None:
        """Probes the target, once for all calls that failed together."""
        if self._probing is not None:
            waiter: defer.Deferred = defer.Deferred()
            self._probing.addCallback(lambda _: waiter.callback(None))
            await waiter
            return
        # All running calls fail at once in a crash; this one failed first.
        contents = list(self._running)
        self._probing = defer.Deferred()
        try:
            if not await self._probe.is_alive():
                self._record_crash(contents)
        finally:
            finished, self._probing = self._probing, None
            finished.callback(None)

    def merge_strikes(self, messages: Iterable[StrikeMessage]) -> None:
        """Merges strikes received with a call."""
        self._strikes.merge(messages)

    def strikes(self) -> list[StrikeMessage]:
        """Returns all known strikes as messages."""
        return self._strikes.messages()

    def update_target_state(self, is_alive: bool) -> None:
        """Updates `target_down` from the result of a regular load poll.

        A failed poll is ignored while calls run: then the probe that follows a
        failed call finds the crash and records the strikes.
        """
        if is_alive or not self._running:
            self.target_down = not is_alive

    def _record_crash(self, contents: list[str]) -> None:
        if self.target_down:
            return
        self.target_down = True
        log.warning("the target crashed with {} calls running", len(contents))
        self._strikes.record_crash(self._target, contents)


class MonitoredTarget:
    """Target client whose calls are tracked by the monitor."""

    def __init__(
        self, target: TargetClient, monitor: TargetMonitor, service: str
    ):
        self._target = target
        self._monitor = monitor
        self._service = service

    async def generate(self, request: EngineRequest, *hooks) -> EngineUsage:
        """Runs a generation; raises as TargetClient.generate does."""
        return await self._monitor.run(
            content_hash(self._service, request["prompt"]),
            lambda: self._target.generate(request, *hooks),
        )

    async def call(
        self, operation: str, body: bytes, key: str
    ) -> tuple[int, bytes]:
        """Calls a plain service; raises as TargetClient.call does."""
        content = f"{operation}\0{body.decode('utf-8', 'replace')}"
        return await self._monitor.run(
            content_hash(self._service, content),
            lambda: self._target.call(operation, body, key),
        )
