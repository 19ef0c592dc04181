"""A small fault-injecting TCP proxy on twisted's port forwarding.

One process serves many routes. Each route forwards one port and injects the
faults that are set for it by a request to `/faults`.
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
    """A forwarded port.

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
        cut: Directions in which bytes are silently dropped.
        delay_s: Delay of all bytes, in seconds; 0 for none.
        delay_every_other: Delays only every second connection, so that
            messages on different connections overtake each other.
        undelayed: A request that contains this text is not delayed; empty
            delays all.
        truncate_after: Closes a connection after this many response bytes;
            -1 for never.
        cross_answers: Swaps the responses of two connections.
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
    """The connection to the target; forwards responses to the client."""

    response_bytes = 0

    def connectionMade(self) -> None:
        """Links both connections.

        Neither is registered as the other's producer, so that delayed bytes
        are still delivered after the sending connection has closed.
        """
        self.peer.setPeer(self)
        self.peer.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:
        """Forwards response bytes, or drops them."""
        route: RouteFactory = self.peer.factory
        route.bytes_from_target += len(data)
        if route.is_dropped("from_target"):
            return
        if route.faults["cross_answers"]:
            route.swap_response(self, data)
            return
        route.schedule(self.peer.number, self._forward, data)

    def connectionLost(self, reason) -> None:
        """Closes the other connection after all delayed bytes."""
        if self.peer is not None:
            number = self.peer.number
            self.peer.factory.schedule(number, super().connectionLost, reason)

    def _forward(self, data: bytes) -> None:
        if self.peer is None or self.peer.transport is None:
            return
        limit = self.peer.factory.faults["truncate_after"]
        if limit >= 0 and self.response_bytes + len(data) >= limit:
            self.peer.transport.write(data[: limit - self.response_bytes])
            self.peer.transport.loseConnection()
            self.transport.loseConnection()
            return
        self.response_bytes += len(data)
        self.peer.transport.write(data)


class FaultyClientFactory(portforward.ProxyClientFactory):
    """Creates connections to the target."""

    protocol = FaultyClient
    noisy = False


class FaultyServer(portforward.ProxyServer):
    """The connection from the client; forwards requests to the target."""

    clientProtocolFactory = FaultyClientFactory

    def connectionMade(self) -> None:
        """Numbers the connection and connects to the target."""
        self.number = self.factory.next_number()
        self.factory.connections.add(self)
        super().connectionMade()

    def connectionLost(self, reason) -> None:
        """Closes the other connection after all delayed bytes."""
        self.factory.connections.discard(self)
        self.factory.schedule(self.number, super().connectionLost, reason)

    def dataReceived(self, data: bytes) -> None:
        """Forwards request bytes, or drops them."""
        self.factory.bytes_to_target += len(data)
        if self.factory.is_dropped("to_target"):
            return
        if self.factory.is_undelayed(data):
            self._forward(data)
            return
        self.factory.schedule(self.number, self._forward, data)

    def _forward(self, data: bytes) -> None:
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
        self._connection_count = 0
        self._held_response: tuple[FaultyClient, bytes] | None = None

    def next_number(self) -> int:
        """Returns the number of a new connection, from 1 on."""
        self._connection_count += 1
        return self._connection_count

    def is_dropped(self, direction: Cut) -> bool:
        """Returns whether bytes in this direction are dropped."""
        return self.faults["cut"] in ("both", direction)

    def swap_response(self, client: FaultyClient, data: bytes) -> None:
        """Swaps a response with the next one of another connection.

        The response is held until then. If its own connection sends more
        bytes first, these replace the held ones, which are lost.
        """
        if self._held_response is None or self._held_response[0] is client:
            self._held_response = client, data
            return
        other, other_data = self._held_response
        self._held_response = None
        client._forward(other_data)
        other._forward(data)

    def is_undelayed(self, data: bytes) -> bool:
        """Returns whether a request contains the text set as `undelayed`."""
        text = self.faults["undelayed"].encode()
        return bool(text) and text in data

    def schedule(self, number: int, function, argument) -> None:
        """Calls a function with its argument after the connection's delay."""
        delay = self.faults["delay_s"]
        if self.faults["delay_every_other"] and number % 2 == 0:
            delay = 0.0
        if delay:
            reactor.callLater(delay, function, argument)
        else:
            function(argument)

    def set_faults(self, faults: Faults) -> None:
        """Sets new faults.

        Connections that may have lost bytes are aborted when a cut ends.
        """
        was_cut = self.faults["cut"] != "none"
        self.faults = faults
        if was_cut and faults["cut"] == "none":
            for connection in list(self.connections):
                connection.transport.abortConnection()


class FaultProxy:
    """The routes of one proxy process and its control endpoints."""

    def __init__(self):
        self._route_by_name: dict[str, RouteFactory] = {}

    async def add_route(self, route: Route) -> Empty:
        """Starts forwarding a port; an existing route gets the new target."""
        existing = self._route_by_name.get(route["name"])
        if existing is not None:
            existing.port = route["target_port"]
            return Empty()
        factory = RouteFactory(route)
        self._route_by_name[route["name"]] = factory
        reactor.listenTCP(route["listen_port"], factory, interface=LOOPBACK)
        return Empty()

    async def set_faults(self, faults: Faults) -> Empty:
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
        """Answers health checks."""
        return Empty()


def main() -> None:
    """Serves the control port given as the only argument."""
    protocol.Factory.noisy = False
    proxy = FaultProxy()
    root = ResourceTree()
    endpoints = [
        ("healthz", Empty, proxy.health),
        ("routes", Route, proxy.add_route),
        ("faults", Faults, proxy.set_faults),
        ("traffic", Empty, proxy.traffic),
    ]
    for path, message_type, handler in endpoints:
        root.put(path, JsonEndpoint(message_type, handler, allow_all))
    listen(reactor, root, LOOPBACK, int(sys.argv[1]))
    reactor.run()


if __name__ == "__main__":
    main()
