"""A minimal reverse proxy on twisted.web, the baseline for a router's cost.

python -m bench.pass_through LISTEN_PORT TARGET_PORT...
"""

import sys
from itertools import cycle

from twisted.internet import protocol, reactor
from twisted.web import http_headers, resource, server

from chicorystack.defaults import LOOPBACK
from chicorystack.web.client import BytesProducer, make_http_agent


class BodyForwarder(protocol.Protocol):
    """Copies a target's response body to the client."""

    def __init__(self, request: server.Request):
        self._request = request

    def dataReceived(self, data: bytes) -> None:
        """Forwards response bytes."""
        self._request.write(data)

    def connectionLost(self, reason) -> None:
        """Ends the response."""
        self._request.finish()


class PassThrough(resource.Resource):
    """Forwards each request to the next target and returns its response."""

    isLeaf = True

    def __init__(self, target_ports: list[int]):
        super().__init__()
        self._urls = cycle(
            f"http://{LOOPBACK}:{port}/generate".encode()
            for port in target_ports
        )
        self._http = make_http_agent(reactor)

    def render_POST(self, request: server.Request) -> int:
        """Forwards one request."""
        headers = http_headers.Headers({"content-type": ["application/json"]})
        body = BytesProducer(request.content.read())
        pending = self._http.request(b"POST", next(self._urls), headers, body)
        pending.addCallback(self._forward_response, request)
        return server.NOT_DONE_YET

    def _forward_response(self, response, request: server.Request) -> None:
        request.setResponseCode(response.code)
        response.deliverBody(BodyForwarder(request))


def main(listen_port: int, target_ports: list[int]) -> None:
    """Serves until the process is stopped."""
    site = server.Site(PassThrough(target_ports))
    reactor.listenTCP(listen_port, site, interface=LOOPBACK)
    reactor.run()


if __name__ == "__main__":
    ports = [int(argument) for argument in sys.argv[1:]]
    main(ports[0], ports[1:])
