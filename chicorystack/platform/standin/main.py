"""Runs one stand-in: `store PORT` or `engine PORT ID [VERSION]`."""

import sys

from twisted.internet import reactor
from twisted.web import server

from chicorystack.platform.standin.engine import EngineResource
from chicorystack.platform.standin.store import StoreResource, StoreState

LOOPBACK = "127.0.0.1"


def main(kind: str, port: str, engine_id: str = "", version: str = "") -> None:
    """Serves until the process is stopped."""
    if kind == "store":
        root_resource = StoreResource(reactor, StoreState())
    else:
        root_resource = EngineResource(reactor, engine_id, version)
    reactor.listenTCP(int(port), server.Site(root_resource), interface=LOOPBACK)
    reactor.run()


if __name__ == "__main__":
    main(*sys.argv[1:])
