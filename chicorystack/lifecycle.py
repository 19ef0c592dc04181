"""Runs a process of the fleet until it is told to stop."""

import signal
from collections.abc import Awaitable, Callable

from twisted.internet import defer

from chicorystack.observe.logs import part_logger

log = part_logger("lifecycle")


def run_until_stopped(reactor, drain: Callable[[], Awaitable[None]]) -> None:
    """Runs the reactor; SIGTERM drains, SIGINT stops at once.

    Args:
        reactor: The reactor.
        drain: Finishes what is under way and stops the reactor.
    """

    def start_drain() -> None:
        draining = defer.ensureDeferred(drain())
        draining.addErrback(_stop_undrained, reactor)

    def install() -> None:
        # The reactor sets its own handlers on starting, which stop at once.
        signal.signal(
            signal.SIGTERM, lambda *_: reactor.callFromThread(start_drain)
        )

    reactor.callWhenRunning(install)
    reactor.run()


def _stop_undrained(failure, reactor) -> None:
    log.opt(exception=failure.value).error("the drain failed; stops now")
    reactor.stop()
