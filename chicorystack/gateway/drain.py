"""Stops a router: its requests end before the platform kills the process.

The router first reports that it is not ready and goes on serving, until the
load balancer has noticed. Then it closes its port, and connections as their
responses end. A request that still comes late is served only if it ends in
time by its deadline, and is refused otherwise: another router can run it
whole.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.gateway.caller_http import GatewaySite
from chicorystack.gateway.dispatcher import Dispatcher
from chicorystack.gateway.unanswered import CloseReason
from chicorystack.observe.events import emit


class StopTimes(NamedTuple):
    """The times of a stop, on the reactor's clock, in seconds.

    Attributes:
        refuse_at: From when on a request is refused that may not end in time.
        close_port_at: From when on new connections are not accepted, and a
            connection closes as its response ends.
        end_at: When calls that are left end.
        exit_at: When the process ends at the latest.
    """

    refuse_at: float
    close_port_at: float
    end_at: float
    exit_at: float


def stop_times(stopped_at: float, grace_s: float) -> StopTimes:
    """Returns the times of a stop.

    Args:
        stopped_at: Clock time of the SIGTERM, in seconds.
        grace_s: Time from SIGTERM to SIGKILL, in seconds.
    """

    def bounded(fraction: float, most_s: float) -> float:
        return min(most_s, grace_s * fraction)

    refuse_s = bounded(defaults.DRAIN_REFUSE_FRACTION, defaults.DRAIN_MIN_S)
    reserve_s = bounded(
        defaults.DRAIN_RESERVE_FRACTION, defaults.DRAIN_RESERVE_MAX_S
    )
    exit_s = bounded(defaults.DRAIN_EXIT_FRACTION, defaults.DRAIN_EXIT_MAX_S)
    end_s = grace_s - reserve_s
    return StopTimes(
        refuse_at=stopped_at + refuse_s,
        close_port_at=stopped_at + min(defaults.DRAIN_MIN_S, end_s),
        end_at=stopped_at + end_s,
        exit_at=stopped_at + grace_s - exit_s,
    )


class Drain:
    """The steps of a router's stop.

    Attributes:
        started: Whether the stop has begun; the router is then not ready.
    """

    def __init__(
        self,
        reactor,
        site: GatewaySite,
        dispatcher: Dispatcher,
        hand_over: Callable[[], Awaitable[None]],
    ):
        """Prepares the steps.

        Args:
            reactor: The reactor.
            site: Serves the callers.
            dispatcher: Runs their requests.
            hand_over: Returns tokens and leaves the directory of routers.
        """
        self._reactor = reactor
        self._site = site
        self._dispatcher = dispatcher
        self._hand_over = hand_over
        self.started = False

    async def run(
        self, caller_port, stopped_at: float, times: StopTimes
    ) -> None:
        """Returns once requests have ended and connections are closed.

        Args:
            caller_port: The listening port for callers.
            stopped_at: Clock time of the SIGTERM, in seconds.
            times: The times of the stop.
        """
        emit("gateway", "draining", open=self._dispatcher.open_requests)
        self._site.stopping_since = stopped_at
        self._dispatcher.begin_stop(times.refuse_at, times.end_at)
        await self._sleep_until(times.close_port_at)
        # From here new callers are refused a connection and can go to another
        # router at once, rather than being cut off later.
        caller_port.stopListening()
        self._site.keeps_connections = False
        await self._wait_until_idle(times.end_at)
        self._dispatcher.end_calls()
        # A call that is being connected to its target ends with that.
        await self._wait_for_calls(
            min(times.end_at + defaults.TARGET_CONNECT_TIMEOUT_S, times.exit_at)
        )
        # Slow callers go on reading while the tokens are handed over.
        handing_over = defer.ensureDeferred(self._hand_over_by(times.exit_at))
        await self._wait_until_idle(times.exit_at)
        await handing_over
        self._site.close_reason = CloseReason.STOP
        emit("gateway", "stopped", open=self._dispatcher.open_requests)

    async def _sleep_until(self, time: float) -> None:
        left_s = max(0.0, time - self._reactor.seconds())
        await task.deferLater(self._reactor, left_s)

    async def _wait_until_idle(self, until: float) -> None:
        """Waits until no requests or connections are left.

        Idle connections are closed meanwhile, once their responses have been
        sent.

        Args:
            until: Clock time at which to stop waiting, in seconds.
        """
        while self._dispatcher.open_requests or self._site.open_channels:
            self._site.close_idle_connections()
            if self._reactor.seconds() >= until:
                return
            await self._pause(until)

    async def _wait_for_calls(self, until: float) -> None:
        """Waits until no requests are left, or until a clock time."""
        while (
            self._dispatcher.open_requests and self._reactor.seconds() < until
        ):
            await self._pause(until)

    async def _pause(self, until: float) -> None:
        """Waits for the next check, which is not later than a clock time."""
        next_check = self._reactor.seconds() + defaults.DRAIN_CHECK_INTERVAL_S
        await self._sleep_until(min(next_check, until))

    async def _hand_over_by(self, until: float) -> None:
        left_s = until - self._reactor.seconds()
        handing_over = defer.ensureDeferred(self._hand_over())
        handing_over.addTimeout(
            max(0.0, min(left_s, defaults.GRANT_RELEASE_TIMEOUT_S)),
            self._reactor,
        )
        try:
            await handing_over
        except defer.TimeoutError:
            emit("gateway", "not_handed_back")
