"""Sends raw HTTP to real resources in memory, without sockets."""

import json
from typing import NamedTuple

from twisted.internet import task
from twisted.internet.testing import StringTransport

from chicorystack.web.graceful import GracefulSite
from chicorystack.web.server import LimitedRequest


class RawResponse(NamedTuple):
    """A parsed response; status 0 if there was none."""

    status: int
    headers: dict[str, str]
    body: bytes

    def error(self):
        """Returns the `error` object of the body."""
        return json.loads(self.body)["error"]


class InMemoryHttpServer:
    """Serves a resource tree in memory, on a test clock."""

    def __init__(self, root, max_connections=10):
        self.clock = task.Clock()
        self.site = GracefulSite(
            root,
            max_connections,
            requestFactory=LimitedRequest,
            reactor=self.clock,
        )

    def connect(self):
        """Opens a connection; returns its protocol and transport."""
        transport = StringTransport()
        protocol = self.site.buildProtocol(None)
        protocol.makeConnection(transport)
        return protocol, transport

    def send(self, raw: bytes) -> RawResponse:
        """Sends bytes on a new connection; returns the parsed response."""
        protocol, transport = self.connect()
        protocol.dataReceived(raw)
        response = transport.value()
        protocol.connectionLost(None)
        return parse_response(response)


def parse_response(response: bytes) -> RawResponse:
    """Parses the first response on a connection."""
    if not response:
        return RawResponse(0, {}, b"")
    head, _, body = response.partition(b"\r\n\r\n")
    status_line, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return RawResponse(int(status_line.split(" ")[1]), headers, body)


def build_request(method, path, headers=(), body=b""):
    """Returns a complete request as raw bytes."""
    lines = [method + b" " + path + b" HTTP/1.1", b"host: x"]
    lines += [name + b": " + value for name, value in headers]
    lines.append(b"content-length: " + str(len(body)).encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
