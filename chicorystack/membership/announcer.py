"""An agent's notice to the routers that its target takes work from now on.

Routers ask agents at fixed times. The notice makes them ask at once; what
counts is still the agent's answer, so a notice that is lost or repeated only
changes how soon a router knows.
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
    """An agent takes work from now on.

    Attributes:
        target: Name of its target.
    """

    target: str


class ReadyAnnouncer:
    """Tells each router once whenever the agent turns ready."""

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
        self._told: set[str] = set()
        self._loop = task.LoopingCall(self.review)
        self._loop.clock = reactor

    def start(self) -> None:
        """Begins to watch the agent's readiness."""
        self._loop.start(defaults.READY_REVIEW_S)

    def stop(self) -> None:
        """Ends the watch."""
        if self._loop.running:
            self._loop.stop()

    def review(self) -> None:
        """Tells the routers that have not been told since it turned ready."""
        if not self._is_ready():
            self._told.clear()
            return
        urls = set(self._router_urls())
        self._told &= urls
        for url in urls - self._told:
            self._told.add(url)
            telling = defer.ensureDeferred(self._tell(url))
            telling.addErrback(_log_failure, url)

    async def _tell(self, url: str) -> None:
        message = AgentReady(target=self._target)
        try:
            await self._client.post(f"{url}/agent-ready", message, Empty)
        except (UnreachableError, ApiError) as error:
            log.info("{} was not told that the agent is ready: {}", url, error)


def _log_failure(failure, url: str) -> None:
    log.opt(exception=failure.value).error("telling {} failed", url)
