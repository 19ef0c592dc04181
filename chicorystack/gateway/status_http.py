"""Small interfaces for the platform: readiness and metrics."""

from collections.abc import Callable

from twisted.web import http, resource, server

from chicorystack.observe.exposition import metrics_text
from chicorystack.web.exchange import Address


class ReadinessPage(resource.Resource):
    """Any path: 200 where new callers may come, else 503."""

    isLeaf = True

    def __init__(self, is_ready: Callable[[], bool]):
        super().__init__()
        self._is_ready = is_ready

    def render(self, request: server.Request) -> bytes:
        """Answers any method."""
        if not self._is_ready():
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
        return b""


class MetricsPage(resource.Resource):
    """Any path: all metrics as text."""

    isLeaf = True

    def render(self, request: server.Request) -> bytes:
        """Answers any method."""
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return metrics_text()


def listen_quietly(reactor, page: resource.Resource, address: Address) -> None:
    """Serves one page."""
    site = server.Site(page)
    site.noisy = False
    site.log = _no_access_log
    reactor.listenTCP(address.port, site, interface=address.ip)


def _no_access_log(_request) -> None:
    """Writes no access log."""
