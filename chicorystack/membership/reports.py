"""Asks the agents of a router's targets for their load and their word."""

from collections.abc import Callable

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.calls.messages import LoadReport
from chicorystack.errors import ApiError
from chicorystack.membership.presence import Presence
from chicorystack.observe.logs import part_logger
from chicorystack.web.client import JsonClient, UnreachableError

log = part_logger("membership")


class ReportPoller:
    """Keeps the words of all agents fresh, one question to each at a time."""

    def __init__(
        self,
        reactor,
        client: JsonClient,
        presence: Presence,
        url_by_name: Callable[[], dict[str, str]],
    ):
        self._reactor = reactor
        self._client = client
        self._presence = presence
        self._url_by_name = url_by_name
        self._asking: set[str] = set()
        self._report_listeners: list[Callable[[LoadReport], None]] = []
        self._silence_listeners: list[Callable[[str], None]] = []
        self._loop = task.LoopingCall(self.poll)
        self._loop.clock = reactor

    def on_report(self, listener: Callable[[LoadReport], None]) -> None:
        """Calls listener with each report."""
        self._report_listeners.append(listener)

    def on_silence(self, listener: Callable[[str], None]) -> None:
        """Calls listener with the name of each target that did not answer."""
        self._silence_listeners.append(listener)

    def start(self) -> None:
        """Begins to poll."""
        self._loop.start(defaults.AGENT_POLL_S)

    def stop(self) -> None:
        """Stops polling."""
        if self._loop.running:
            self._loop.stop()

    def poll(self) -> None:
        """Asks every agent that owes no answer."""
        url_by_name = self._url_by_name()
        for name, url in url_by_name.items():
            if name in self._asking:
                continue
            self._asking.add(name)
            asking = defer.ensureDeferred(self._ask(name, url))
            asking.addErrback(_log_failure, name)

    async def ask(self, name: str) -> None:
        """Asks one agent now, whether or not it owes an answer."""
        url = self._url_by_name().get(name)
        if url is not None:
            await self._ask(name, url)

    async def _ask(self, name: str, url: str) -> None:
        asked_at = self._reactor.seconds()
        try:
            report = await self._client.get(
                f"{url}/load", LoadReport, defaults.AGENT_POLL_TIMEOUT_S
            )
        except (UnreachableError, ApiError) as error:
            log.debug("agent {} did not answer: {}", name, error)
            for listener in self._silence_listeners:
                listener(name)
            return
        finally:
            self._asking.discard(name)
        if report["target"] != name:
            # The address has passed to another VM.
            return
        self._presence.take_word(name, report["ready"], asked_at)
        for listener in self._report_listeners:
            listener(report)


def _log_failure(failure, name: str) -> None:
    log.opt(exception=failure.value).error("asking agent {} failed", name)
