"""Runs a process of the fleet until a signal stops it."""

import signal
from collections.abc import Awaitable, Callable

from twisted.internet import defer

from chicorystack.observe.logs import part_logger

log = part_logger("lifecycle")


def run_until_stopped(reactor, drain: Callable[[], Awaitable[None]]) -> None:
    """Runs the reactor; SIGTERM drains, SIGINT stops immediately.

    Args:
        reactor: The reactor.
        drain: Completes the requests in progress and stops the reactor.
    """

    def start_drain() -> None:
        draining = defer.ensureDeferred(drain())
        draining.addErrback(_stop_after_failed_drain, reactor)

    def install_handler() -> None:
        # Replaces the reactor's own handler, installed when it starts, which
        # stops immediately.
        signal.signal(
            signal.SIGTERM, lambda *_: reactor.callFromThread(start_drain)
        )

    reactor.callWhenRunning(install_handler)
    reactor.run()


def _stop_after_failed_drain(failure, reactor) -> None:
    log.opt(exception=failure.value).error("drain failed; stopping immediately")
    reactor.stop()
