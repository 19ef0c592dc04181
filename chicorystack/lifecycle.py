"""Runs a process of the fleet until a signal stops it."""

import signal
import time
from collections.abc import Awaitable, Callable

from twisted.internet import defer

from chicorystack.observe.logs import part_logger

log = part_logger("lifecycle")


def use_monotonic_time(reactor) -> None:
    """Lets all timers and deadlines of a process ignore the time of day.

    Twisted's reactors use the time of day, so a step of it delays all timers
    or ends all deadlines at once. Call this before the first timer is set.
    """
    reactor.seconds = time.monotonic


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
        # When it starts, the reactor installs a handler that stops it
        # immediately; this one replaces it.
        signal.signal(
            signal.SIGTERM, lambda *_: reactor.callFromThread(start_drain)
        )

    reactor.callWhenRunning(install_handler)
    reactor.run()


def _stop_after_failed_drain(failure, reactor) -> None:
    log.opt(exception=failure.value).error("drain failed; stopping immediately")
    reactor.stop()
