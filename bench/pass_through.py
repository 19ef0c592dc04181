"""A bare pass-through on twisted.web: the yardstick for a router's cost.

python -m bench.pass_through LISTEN_PORT TARGET_PORT...
"""

import sys
from itertools import cycle

from twisted.internet import protocol, reactor
from twisted.web import http_headers, resource, server

from chicorystack.defaults import LOOPBACK
from chicorystack.web.client import BytesProducer, make_http_agent


class CopyBody(protocol.Protocol):
    """Writes a response's bytes to a request."""

    def __init__(self, request: server.Request):
        self._request = request

    def dataReceived(self, data: bytes) -> None:
        """Passes bytes on."""
        self._request.write(data)

    def connectionLost(self, reason) -> None:
        """Ends the answer."""
        self._request.finish()


class PassThrough(resource.Resource):
    """Sends each request to the target and its answer back."""

    isLeaf = True

    def __init__(self, target_ports: list[int]):
        super().__init__()
        self._urls = cycle(
            f"http://{LOOPBACK}:{port}/generate".encode()
            for port in target_ports
        )
        self._http = make_http_agent(reactor)

    def render_POST(self, request: server.Request) -> int:
        """Passes one request on."""
        headers = http_headers.Headers({"content-type": ["application/json"]})
        body = BytesProducer(request.content.read())
        answering = self._http.request(b"POST", next(self._urls), headers, body)
        answering.addCallback(self._answer, request)
        return server.NOT_DONE_YET

    def _answer(self, response, request: server.Request) -> None:
        request.setResponseCode(response.code)
        response.deliverBody(CopyBody(request))


def main(listen_port: int, target_ports: list[int]) -> None:
    """Serves until it is ended."""
    site = server.Site(PassThrough(target_ports))
    reactor.listenTCP(listen_port, site, interface=LOOPBACK)
    reactor.run()


if __name__ == "__main__":
    ports = [int(argument) for argument in sys.argv[1:]]
    main(ports[0], ports[1:])
