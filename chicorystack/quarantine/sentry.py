"""A router's side of the quarantine: refuses, assigns and passes on."""

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

    All routers that know of the strikes choose the same, so that copies of a
    content queue at one agent. A target that died running the content is not
    chosen again while there are others, also when it is back: a copy may be
    running elsewhere by then.

    Returns:
        None where the content is no suspect, or no target is left.
    """
    if not targets or strikes.count(content) == 0:
        return None
    lost = strikes.targets_lost(content)
    spared = [target for target in targets if target not in lost]
    return rendezvous_order(content, spared or targets)[0]


class Sentry:
    """Strikes at one router.

    Attributes:
        strikes: What is known.
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
        reports.on_report(self._note_report)

    def assign(self, content: str, targets: list[str]) -> str | None:
        """Returns the target that must run a suspect; None for others."""
        return assign_suspect(self.strikes, content, targets)

    async def note_failure(self, target: str) -> None:
        """Asks a target's agent what happened and tells the other routers.

        Nobody tries again before it has been tried to tell everyone, so that
        the next run of the content counts as a suspect's everywhere.
        """
        known = self.strikes.messages()
        await self._reports.ask(target)
        strikes = self.strikes.messages()
        if len(strikes) <= len(known):
            return
        message = StrikesMessage(strikes=strikes)
        telling = [self._tell(url, message) for url in self._peer_urls()]
        await defer.gatherResults(map(defer.ensureDeferred, telling))

    async def handle_strikes(self, message: StrikesMessage) -> Empty:
        """Takes strikes from another router."""
        self.strikes.merge(message["strikes"])
        return Empty()

    async def _tell(self, url: str, message: StrikesMessage) -> None:
        try:
            await self._client.post(
                f"{url}/strikes", message, Empty, defaults.AGENT_POLL_TIMEOUT_S
            )
        except (UnreachableError, ApiError) as error:
            log.warning("{} was not told of strikes: {}", url, error)

    def _note_report(self, report: LoadReport) -> None:
        self.strikes.merge(report.get("strikes", []))
