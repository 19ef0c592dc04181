"""An agent's notice to routers that its target has become ready.

Routers poll agents periodically. The notice makes them poll at once. Only the
polled report counts, so a lost or repeated notice changes only how soon a
router knows.
"""

from collections.abc import Callable
from typing import TypedDict

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.calls.messages import Empty
from chicorystack.errors import ApiError
from chicorystack.observe.logs import part_logger
from chicorystack.web.client import JsonClient, UnreachableError

log = part_logger("membership")


class AgentReady(TypedDict):
    """Notice that an agent accepts new calls.

    Attributes:
        target: Name of its target.
    """

    target: str


class ReadyAnnouncer:
    """Notifies each router once, each time that the agent becomes ready."""

    def __init__(
        self,
        reactor,
        client: JsonClient,
        target: str,
        is_ready: Callable[[], bool],
        router_urls: Callable[[], list[str]],
    ):
        self._client = client
        self._target = target
        self._is_ready = is_ready
        self._router_urls = router_urls
        self._notified_urls: set[str] = set()
        self._loop = task.LoopingCall(self.notify_routers)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts to check the agent's readiness."""
        self._loop.start(defaults.READY_CHECK_INTERVAL_S)

    def stop(self) -> None:
        """Stops checking."""
        if self._loop.running:
            self._loop.stop()

    def notify_routers(self) -> None:
        """Notifies routers that do not yet know that the agent is ready."""
        if not self._is_ready():
            self._notified_urls.clear()
            return
        urls = set(self._router_urls())
        self._notified_urls &= urls
        for url in urls - self._notified_urls:
            self._notified_urls.add(url)
            notifying = defer.ensureDeferred(self._notify(url))
            notifying.addErrback(_log_failure, url)

    async def _notify(self, url: str) -> None:
        message = AgentReady(target=self._target)
        try:
            await self._client.post(f"{url}/agent-ready", message, Empty)
        except (UnreachableError, ApiError) as error:
            log.info("notifying router {} of readiness failed: {}", url, error)


def _log_failure(failure, url: str) -> None:
    log.opt(exception=failure.value).error(
        "notifying router {} failed unexpectedly", url
    )
