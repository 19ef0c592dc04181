"""Speaks raw HTTP to the real resources, without sockets."""

import json
from typing import NamedTuple

from twisted.internet import task
from twisted.internet.testing import StringTransport

from chicorystack.web.graceful import GracefulSite
from chicorystack.web.server import LimitedRequest


class WireReply(NamedTuple):
    """A parsed answer; status 0 where there was none."""

    status: int
    headers: dict[str, str]
    body: bytes

    def error(self):
        """Returns the typed refusal in the body."""
        return json.loads(self.body)["error"]


class Wire:
    """One site and the connections that a test makes to it."""

    def __init__(self, root, max_connections=10):
        self.clock = task.Clock()
        self.site = GracefulSite(
            root,
            max_connections,
            requestFactory=LimitedRequest,
            reactor=self.clock,
        )

    def connect(self):
        """Returns a protocol and the transport that it writes to."""
        transport = StringTransport()
        protocol = self.site.buildProtocol(None)
        protocol.makeConnection(transport)
        return protocol, transport

    def send(self, raw: bytes) -> WireReply:
        """Sends raw bytes on a new connection and closes it."""
        protocol, transport = self.connect()
        protocol.dataReceived(raw)
        answer = transport.value()
        protocol.connectionLost(None)
        return parse(answer)


def parse(answer: bytes) -> WireReply:
    """Parses the first answer on a connection."""
    if not answer:
        return WireReply(0, {}, b"")
    head, _, body = answer.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return WireReply(int(first.split(" ")[1]), headers, body)


def request(method, path, headers=(), body=b""):
    """Returns a whole request as raw bytes."""
    lines = [method + b" " + path + b" HTTP/1.1", b"host: x"]
    lines += [name + b": " + value for name, value in headers]
    lines.append(b"content-length: " + str(len(body)).encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
