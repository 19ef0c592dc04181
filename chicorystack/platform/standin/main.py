"""Starts one stand-in: `store PORT`, or `engine PORT ID`."""

import sys

from twisted.internet import reactor
from twisted.web import server

from chicorystack.platform.standin.engine import EngineResource
from chicorystack.platform.standin.store import StoreResource, StoreState

LOOPBACK = "127.0.0.1"


def main(kind: str, port: str, instance: str = "") -> None:
    """Serves until it is stopped."""
    if kind == "store":
        page = StoreResource(reactor, StoreState())
    else:
        page = EngineResource(reactor, instance)
    reactor.listenTCP(int(port), server.Site(page), interface=LOOPBACK)
    reactor.run()


if __name__ == "__main__":
    main(*sys.argv[1:])
