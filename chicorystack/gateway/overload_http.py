"""Exchange of overload reports between routers, as JSON over HTTP.

`POST /v1/overload` accepts an empty object and returns an OverloadReport.
"""

from collections.abc import Callable

import msgspec
from twisted.internet import defer
from twisted.web import resource

from chicorystack import defaults
from chicorystack.gateway.overload import OverloadReport
from chicorystack.gateway.peer_http import MessageResource, PeerClient
from chicorystack.observe.events import emit

OVERLOAD_PATH = b"/v1/overload"


class ReportRequest(msgspec.Struct, frozen=True):
    """Asks a router for its report."""


def add_overload_resource(
    api: resource.Resource, report: Callable[[], OverloadReport]
) -> None:
    """Adds the overload report below `/v1`."""
    api.putChild(
        b"overload", MessageResource(ReportRequest, lambda _: report())
    )


class HttpDataCentrePeers:
    """HTTP implementation of DataCentrePeers."""

    def __init__(self, client: PeerClient, data_centre: str):
        self._client = client
        self._data_centre = data_centre

    def count(self) -> int:
        """See DataCentrePeers."""
        return len(self._client.names(self._data_centre))

    async def fetch_reports(self) -> list[OverloadReport]:
        """See DataCentrePeers."""
        fetching = [
            defer.ensureDeferred(self._fetch(router))
            for router in self._client.names(self._data_centre)
        ]
        results = await defer.DeferredList(fetching, consumeErrors=True)
        errors = [failure for succeeded, failure in results if not succeeded]
        if errors:
            reasons = [failure.getErrorMessage() for failure in errors]
            emit("overload", "no_reports", reasons=reasons)
        return [report for succeeded, report in results if succeeded]

    async def _fetch(self, router: str) -> OverloadReport:
        return await self._client.send(
            router,
            OVERLOAD_PATH,
            ReportRequest(),
            OverloadReport,
            defaults.OVERLOAD_REPORT_TIMEOUT_S,
        )
