"""Runs a process of the fleet until a signal stops it."""

import signal
import time
from collections.abc import Awaitable, Callable

from twisted.internet import defer

from chicorystack.observe.logs import part_logger
from chicorystack.signals import ProcessSignals

log = part_logger("lifecycle")


def use_monotonic_time(reactor) -> None:
    """Lets all timers and deadlines of a process ignore the time of day.

    Twisted's reactors use the time of day, so a step of it delays all timers
    or ends all deadlines at once. Call this before the first timer is set.
    """
    reactor.seconds = time.monotonic


def run_until_stopped(
    reactor,
    signals: ProcessSignals,
    start: Callable[[], None],
    drain: Callable[[], Awaitable[None]],
    on_reload: Callable[[], None] = lambda: None,
) -> None:
    """Runs the reactor; SIGTERM drains, SIGINT stops immediately.

    Args:
        reactor: The reactor.
        signals: The process's signals.
        start: Starts serving.
        drain: Completes the requests in progress and stops the reactor.
        on_reload: Called after SIGHUP.
    """

    def start_drain() -> None:
        draining = defer.ensureDeferred(drain())
        draining.addErrback(_stop_after_failed_drain, reactor)

    # What is scheduled before the reactor runs is called as soon as it does.
    signals.listen(
        on_stop=lambda: reactor.callFromThread(start_drain),
        on_reload=lambda: reactor.callFromThread(on_reload),
    )
    reactor.callWhenRunning(_stop_on_interrupt, reactor)
    start()
    # The reactor's own handler of SIGTERM would stop it immediately.
    reactor.run(installSignalHandlers=False)
    signals.ignore()


def _stop_on_interrupt(reactor) -> None:
    signal.signal(
        signal.SIGINT, lambda *_: reactor.callFromThread(_stop, reactor)
    )


def _stop(reactor) -> None:
    if reactor.running:
        reactor.stop()


def _stop_after_failed_drain(failure, reactor) -> None:
    log.opt(exception=failure.value).error("drain failed; stopping immediately")
    _stop(reactor)
