"""Polls the agents of a router's targets for load and readiness."""

from collections.abc import Callable

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.calls.messages import LoadReport
from chicorystack.errors import ApiError
from chicorystack.membership.availability import TargetAvailability
from chicorystack.observe.logs import part_logger
from chicorystack.web.client import JsonClient, UnreachableError

log = part_logger("membership")


class ReportPoller:
    """Polls all agents periodically, except those with a pending request."""

    def __init__(
        self,
        reactor,
        client: JsonClient,
        availability: TargetAvailability,
        url_by_name: Callable[[], dict[str, str]],
    ):
        self._reactor = reactor
        self._client = client
        self._availability = availability
        self._url_by_name = url_by_name
        self._pending: set[str] = set()
        self._report_listeners: list[Callable[[LoadReport], None]] = []
        self._failure_listeners: list[Callable[[str], None]] = []
        self._loop = task.LoopingCall(self.poll)
        self._loop.clock = reactor

    def on_report(self, listener: Callable[[LoadReport], None]) -> None:
        """Registers a listener, called with each report."""
        self._report_listeners.append(listener)

    def on_poll_failure(self, listener: Callable[[str], None]) -> None:
        """Registers a listener, called with the target of each failed poll."""
        self._failure_listeners.append(listener)

    def start(self) -> None:
        """Starts to poll."""
        self._loop.start(defaults.AGENT_POLL_INTERVAL_S)

    def stop(self) -> None:
        """Stops polling."""
        if self._loop.running:
            self._loop.stop()

    def poll(self) -> None:
        """Polls each agent that has no pending request."""
        url_by_name = self._url_by_name()
        for name, url in url_by_name.items():
            if name in self._pending:
                continue
            self._pending.add(name)
            polling = defer.ensureDeferred(self._poll_agent(name, url))
            polling.addErrback(_log_failure, name)

    async def poll_target(self, name: str) -> None:
        """Polls a target's agent now, even if a request to it is pending."""
        url = self._url_by_name().get(name)
        if url is not None:
            await self._poll_agent(name, url)

    async def _poll_agent(self, name: str, url: str) -> None:
        requested_at = self._reactor.seconds()
        try:
            report = await self._client.get(
                f"{url}/load", LoadReport, defaults.AGENT_POLL_TIMEOUT_S
            )
        except (UnreachableError, ApiError) as error:
            log.debug("polling agent {} failed: {}", name, error)
            for listener in self._failure_listeners:
                listener(name)
            return
        finally:
            self._pending.discard(name)
        if report["target"] != name:
            # The address now belongs to another VM.
            return
        self._availability.record_status(name, report["ready"], requested_at)
        for listener in self._report_listeners:
            listener(report)


def _log_failure(failure, name: str) -> None:
    log.opt(exception=failure.value).error(
        "polling agent {} failed unexpectedly", name
    )
