"""A small fault-injecting TCP proxy on twisted's port forwarding.

One process carries many routes. Each route forwards one port and suffers the
faults that are ordered for it at `/faults`.
"""

import sys
from typing import Literal, TypedDict

from twisted.internet import protocol, reactor
from twisted.protocols import portforward

from chicorystack.calls.messages import Empty
from chicorystack.defaults import LOOPBACK
from chicorystack.web.server import (
    JsonEndpoint,
    ResourceTree,
    allow_all,
    listen,
)

Cut = Literal["none", "both", "to_target", "from_target"]


class Route(TypedDict):
    """Forwards a port.

    Attributes:
        name: Name of the route.
        listen_port: TCP port to listen on.
        target_port: TCP port to forward to.
    """

    name: str
    listen_port: int
    target_port: int


class Faults(TypedDict):
    """Faults of all routes whose names begin with a prefix.

    Attributes:
        prefix: Beginning of the routes' names; empty for all.
        cut: Direction in which bytes are silently dropped.
        delay_s: Delay of all bytes, in seconds.
        delay_every_other: Delays only every second connection, so that
            messages on different connections overtake each other.
        undelayed: Text that marks a request as not delayed; empty for none.
        truncate_after: Closes a connection after so many answer bytes; -1
            never.
        cross_answers: Gives the answers of two connections to each other's
            callers.
    """

    prefix: str
    cut: Cut
    delay_s: float
    delay_every_other: bool
    undelayed: str
    truncate_after: int
    cross_answers: bool


NO_FAULTS = Faults(
    prefix="", cut="none", delay_s=0.0, delay_every_other=False, undelayed="",
    truncate_after=-1, cross_answers=False,
)  # fmt: skip


class FaultyClient(portforward.ProxyClient):
    """The connection to the target; carries answers back."""

    answer_bytes = 0

    def connectionMade(self) -> None:
        """Joins both halves.

        Neither stops the other as its producer, so that bytes on their way
        outlive the connection that sent them.
        """
        self.peer.setPeer(self)
        self.peer.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:
        """Carries answer bytes back, or loses them."""
        route: RouteFactory = self.peer.factory
        route.bytes_from_target += len(data)
        if route.drops("from_target"):
            return
        if route.faults["cross_answers"]:
            route.cross(self, data)
            return
        route.later(self.peer.number, self._carry, data)

    def connectionLost(self, reason) -> None:
        """Closes the other half, after the bytes on their way."""
        if self.peer is not None:
            number = self.peer.number
            self.peer.factory.later(number, super().connectionLost, reason)

    def _carry(self, data: bytes) -> None:
        if self.peer is None or self.peer.transport is None:
            return
        limit = self.peer.factory.faults["truncate_after"]
        if limit >= 0 and self.answer_bytes + len(data) >= limit:
            self.peer.transport.write(data[: limit - self.answer_bytes])
            self.peer.transport.loseConnection()
            self.transport.loseConnection()
            return
        self.answer_bytes += len(data)
        self.peer.transport.write(data)


class FaultyClientFactory(portforward.ProxyClientFactory):
    """Makes connections to the target."""

    protocol = FaultyClient
    noisy = False


class FaultyServer(portforward.ProxyServer):
    """The connection from the caller; carries requests on."""

    clientProtocolFactory = FaultyClientFactory

    def connectionMade(self) -> None:
        """Numbers the connection and opens its other half."""
        self.number = self.factory.next_number()
        self.factory.connections.add(self)
        super().connectionMade()

    def connectionLost(self, reason) -> None:
        """Closes the other half, after the bytes on their way."""
        self.factory.connections.discard(self)
        self.factory.later(self.number, super().connectionLost, reason)

    def dataReceived(self, data: bytes) -> None:
        """Carries request bytes on, or loses them."""
        self.factory.bytes_to_target += len(data)
        if self.factory.drops("to_target"):
            return
        if self.factory.is_undelayed(data):
            self._carry(data)
            return
        self.factory.later(self.number, self._carry, data)

    def _carry(self, data: bytes) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.write(data)


class RouteFactory(portforward.ProxyFactory):
    """One route with its faults."""

    protocol = FaultyServer
    noisy = False

    def __init__(self, route: Route):
        super().__init__(LOOPBACK, route["target_port"])
        self.faults = NO_FAULTS
        self.connections: set[FaultyServer] = set()
        self.bytes_to_target = 0
        self.bytes_from_target = 0
        self._count = 0
        self._crossing: tuple[FaultyClient, bytes] | None = None

    def next_number(self) -> int:
        """Returns the number of a new connection."""
        self._count += 1
        return self._count

    def drops(self, direction: Cut) -> bool:
        """Tells whether bytes in this direction are lost."""
        return self.faults["cut"] in ("both", direction)

    def cross(self, client: FaultyClient, data: bytes) -> None:
        """Exchanges an answer with the next one of another connection."""
        if self._crossing is None or self._crossing[0] is client:
            self._crossing = client, data
            return
        other, other_data = self._crossing
        self._crossing = None
        client._carry(other_data)
        other._carry(data)

    def is_undelayed(self, data: bytes) -> bool:
        """Tells whether a request carries the mark that spares it."""
        mark = self.faults["undelayed"].encode()
        return bool(mark) and mark in data

    def later(self, number: int, carry, data) -> None:
        """Carries bytes after the connection's delay."""
        delay = self.faults["delay_s"]
        if self.faults["delay_every_other"] and number % 2 == 0:
            delay = 0.0
        if delay:
            reactor.callLater(delay, carry, data)
        else:
            carry(data)

    def set_faults(self, faults: Faults) -> None:
        """Takes new faults; connections that lost bytes are closed on mend."""
        was_cut = self.faults["cut"] != "none"
        self.faults = faults
        if was_cut and faults["cut"] == "none":
            for connection in list(self.connections):
                connection.transport.abortConnection()


class FaultProxy:
    """All routes of one proxy process."""

    def __init__(self):
        self._route_by_name: dict[str, RouteFactory] = {}

    async def add_route(self, route: Route) -> Empty:
        """Begins to forward a port; a known name gets a new target."""
        known = self._route_by_name.get(route["name"])
        if known is not None:
            known.port = route["target_port"]
            return Empty()
        factory = RouteFactory(route)
        self._route_by_name[route["name"]] = factory
        reactor.listenTCP(route["listen_port"], factory, interface=LOOPBACK)
        return Empty()

    async def order_faults(self, faults: Faults) -> Empty:
        """Sets the faults of all routes with the prefix."""
        for name, factory in self._route_by_name.items():
            if name.startswith(faults["prefix"]):
                factory.set_faults(faults)
        return Empty()

    async def traffic(self, _message: Empty) -> dict[str, list[int]]:
        """Returns bytes to and from the target, by route."""
        return {
            name: [factory.bytes_to_target, factory.bytes_from_target]
            for name, factory in self._route_by_name.items()
        }

    async def health(self, _message: Empty) -> Empty:
        """Answers."""
        return Empty()


def main() -> None:
    """Serves the proxy's control port, given as the only argument."""
    protocol.Factory.noisy = False
    proxy = FaultProxy()
    root = ResourceTree()
    endpoints = [
        ("healthz", Empty, proxy.health),
        ("routes", Route, proxy.add_route),
        ("faults", Faults, proxy.order_faults),
        ("traffic", Empty, proxy.traffic),
    ]
    for path, message_type, handler in endpoints:
        root.put(path, JsonEndpoint(message_type, handler, allow_all))
    listen(reactor, root, LOOPBACK, int(sys.argv[1]))
    reactor.run()


if __name__ == "__main__":
    main()
