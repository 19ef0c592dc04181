"""Quarantine at a router: assigns suspects and shares strikes."""

from collections.abc import Callable

from twisted.internet import defer

from chicorystack import defaults
from chicorystack.calls.messages import Empty, LoadReport
from chicorystack.errors import ApiError
from chicorystack.membership.reports import ReportPoller
from chicorystack.observe.logs import part_logger
from chicorystack.quarantine.strikes import StrikesMessage, StrikeTable
from chicorystack.util import rendezvous_order
from chicorystack.web.client import JsonClient, UnreachableError

log = part_logger("quarantine")


def assign_suspect(
    strikes: StrikeTable, content: str, targets: list[str]
) -> str | None:
    """Returns the one target that may run a suspect next.

    All routers with the same strikes choose the same target, so that calls
    of the same request queue at one agent. A target that crashed running the
    request is not chosen while there are others, even after its restart: by
    then, a copy of the request may be running elsewhere.

    Returns:
        The target's name, or None if the request is not a suspect or there is
        no target.
    """
    if not targets or strikes.count(content) == 0:
        return None
    crashed = strikes.crashed_targets(content)
    candidates = [target for target in targets if target not in crashed]
    return rendezvous_order(content, candidates or targets)[0]


class RouterQuarantine:
    """Assigns suspects to targets and shares strikes with other routers.

    Attributes:
        strikes: The strikes known to this router.
    """

    def __init__(
        self,
        client: JsonClient,
        strikes: StrikeTable,
        reports: ReportPoller,
        peer_urls: Callable[[], list[str]],
    ):
        self._client = client
        self._reports = reports
        self._peer_urls = peer_urls
        self.strikes = strikes
        reports.on_report(self._merge_report)

    def assign(self, content: str, targets: list[str]) -> str | None:
        """Returns the target for a suspect, if any; None for other requests."""
        return assign_suspect(self.strikes, content, targets)

    async def handle_failure(self, target: str) -> None:
        """Fetches strikes from a failed target's agent and shares new ones.

        The call is not retried before this is done, so that all reachable
        routers treat the request as a suspect by its next run.
        """
        earlier = self.strikes.messages()
        await self._reports.poll_target(target)
        strikes = self.strikes.messages()
        if len(strikes) <= len(earlier):
            return
        message = StrikesMessage(strikes=strikes)
        sending = [
            self._send_strikes(url, message) for url in self._peer_urls()
        ]
        await defer.gatherResults(map(defer.ensureDeferred, sending))

    async def handle_strikes(self, message: StrikesMessage) -> Empty:
        """Merges strikes from another router."""
        self.strikes.merge(message["strikes"])
        return Empty()

    async def _send_strikes(self, url: str, message: StrikesMessage) -> None:
        try:
            await self._client.post(
                f"{url}/strikes", message, Empty, defaults.AGENT_POLL_TIMEOUT_S
            )
        except (UnreachableError, ApiError) as error:
            log.warning("sending strikes to {} failed: {}", url, error)

    def _merge_report(self, report: LoadReport) -> None:
        self.strikes.merge(report.get("strikes", []))
