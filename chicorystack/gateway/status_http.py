"""HTTP endpoints for the platform: readiness and metrics."""

from collections.abc import Callable

from twisted.web import http, resource, server

from chicorystack.observe.exposition import metrics_text
from chicorystack.web.exchange import Address


class ReadinessResource(resource.Resource):
    """Returns 200 on any path while the router is ready, else 503."""

    isLeaf = True

    def __init__(self, is_ready: Callable[[], bool]):
        super().__init__()
        self._is_ready = is_ready

    def render(self, request: server.Request) -> bytes:
        """Sets the status; the method is ignored."""
        if not self._is_ready():
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
        return b""


class MetricsResource(resource.Resource):
    """Returns all metrics on any path, in Prometheus's text format."""

    isLeaf = True

    def render(self, request: server.Request) -> bytes:
        """Returns the metrics; the method is ignored."""
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return metrics_text()


def serve_resource(reactor, root: resource.Resource, address: Address) -> None:
    """Serves a resource at an address, without an access log."""
    site = server.Site(root)
    site.noisy = False
    site.log = _skip_access_log
    reactor.listenTCP(address.port, site, interface=address.ip)


def _skip_access_log(_request) -> None:
    """Does nothing, so that no access log is written."""
