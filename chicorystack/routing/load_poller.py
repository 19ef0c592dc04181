"""Asks agents for their load where no answer has told it lately."""

from collections.abc import Iterator

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.calls.messages import LoadReport
from chicorystack.config.store import ConfigStore
from chicorystack.errors import ApiError
from chicorystack.routing.call_queue import CallQueues
from chicorystack.routing.targets import TargetState, TargetTable
from chicorystack.web.client import JsonClient, UnreachableError


class LoadPoller:
    """Polls the targets that a router works with."""

    def __init__(
        self,
        clock,
        client: JsonClient,
        store: ConfigStore,
        site: str,
        targets: TargetTable,
        queues: CallQueues,
    ):
        self._clock = clock
        self._client = client
        self._store = store
        self._site = site
        self._targets = targets
        self._queues = queues
        self._loop = task.LoopingCall(self._poll_all)
        self._loop.clock = clock

    def start(self) -> None:
        """Begins to poll."""
        self._loop.start(defaults.LOAD_REPORT_INTERVAL_S)

    def _due(self) -> Iterator[TargetState]:
        site = self._store.config.site_by_name.get(self._site)
        if site is None:
            return
        fresh = self._clock.seconds() - defaults.LOAD_REPORT_INTERVAL_S
        for service in site.service_by_name.values():
            for target in self._targets.subset(service):
                if target.reported_at < fresh or not target.ready:
                    yield target

    def _poll_all(self) -> defer.Deferred:
        polls = [
            defer.ensureDeferred(self._poll(target)) for target in self._due()
        ]
        return defer.DeferredList(polls, consumeErrors=True)

    async def _poll(self, target: TargetState) -> None:
        health = self._queues.health(target.service)
        try:
            report = await self._client.get(
                f"{target.url}/load", LoadReport, defaults.LOAD_REPORT_TIMEOUT_S
            )
        except (UnreachableError, ApiError):
            health.note_failure(target.name)
            return
        health.note_report(target.name)
        self._targets.note_report(report, self._clock.seconds())
