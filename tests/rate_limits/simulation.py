"""Simulated routers that call one target, which limits the rate of calls."""

import itertools
import random
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.rate_limits.limiter import RateLimiter
from chicorystack.rate_limits.messages import RatePeerError
from chicorystack.rate_limits.shares import Coordinator
from chicorystack.rate_limits.statements import LimitTable
from tests.support.router_network import Network, NetworkPeers

TARGET = ("i-1", 5)
STEP_S = 0.01
ANSWER_S = (0.02, 0.4)
# From the users' pages.
GRACE_S = 3.0
TOLD_S = 0.5
WINDOW_S = 4.0
FACTOR = 1.5
SLACK_CALLS = 5


class Arrival(NamedTuple):
    """A call that reached the target.

    Attributes:
        at: Time in seconds.
        router: Router that sent it.
        told: Whether the router had passed on an answer that names the limit
            in force, or a lower one. Before that it cannot know of it if it is
            cut off from the others.
    """

    at: float
    router: str
    told: bool


class Peers(NetworkPeers):
    """RatePeers of one simulated router."""

    async def request_share(self, router, request):
        return await self.send(router, lambda r: r.lease_share(request))

    async def request_permits(self, router, request):
        return await self.send(router, lambda r: r.grant(request))


class Fleet:
    """Routers with callers, and one target.

    Attributes:
        limit: Calls a second that the target states in its answers; None for
            no statement.
    """

    def __init__(self, routers, seed):
        self.clock = Clock()
        self.dice = random.Random(seed)
        random.seed(seed)
        self.network = Network(
            self.clock, self.dice, defaults.RATE_PEER_TIMEOUT_S, RatePeerError
        )
        self.routers = [f"router-{number}" for number in range(routers)]
        self.calls_per_s_by_router = dict.fromkeys(self.routers, 0.0)
        self.limit = None
        self.limits = []
        self.arrivals = []
        self.refused_s = []
        self.told_at = {}
        self.restarted_at = {}
        self.processes = 0
        self.peers_by_router = {}
        for router in self.routers:
            self.start(router)

    @property
    def now(self):
        return self.clock.seconds()

    def start(self, router):
        self.processes += 1
        peers = Peers(self.network, router, self.routers)
        self.peers_by_router[router] = peers
        limiter = RateLimiter(
            self.clock,
            Coordinator(router, f"process-{self.processes}"),
            peers,
            LimitTable(lambda _: True),
            lambda: len(self.routers),
        )
        limiter.start()
        self.network.router_by_name[router] = limiter
        self.restarted_at[router] = self.now
        self.told_at.pop(router, None)

    def kill(self, router):
        del self.network.router_by_name[router]
        self.peers_by_router[router].alive = False

    def set_limit(self, limit):
        if limit is not None and self.limit is not None and limit < self.limit:
            self.told_at.clear()
        self.limit = limit
        self.limits.append((self.now, limit))

    def set_demand(self, total, routers=None):
        """Spreads calls a second unevenly over routers."""
        chosen = routers or self.routers
        weights = [self.dice.expovariate(1.0) for _ in chosen]
        self.calls_per_s_by_router = dict.fromkeys(self.routers, 0.0)
        for router, weight in zip(chosen, weights, strict=True):
            share = weight / sum(weights)
            self.calls_per_s_by_router[router] = total * share

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            for router, limiter in list(self.network.router_by_name.items()):
                rate = self.calls_per_s_by_router[router]
                if self.dice.random() < rate * STEP_S:
                    calling = self.call(router, limiter)
                    defer.ensureDeferred(calling).addErrback(self.fail)
            self.clock.advance(STEP_S)

    def fail(self, failure):
        failure.raiseException()

    async def call(self, router, limiter):
        if limiter.blocked_s(TARGET):
            return
        asked_at = self.now
        allowed = await limiter.acquire(TARGET)
        if not allowed:
            self.refused_s.append(self.now - asked_at)
            return
        revision = limiter.limits.revision(TARGET)
        await self.network.delay()
        told_at = self.told_at.get(router, self.now)
        told = self.now - told_at >= TOLD_S
        self.arrivals.append(Arrival(self.now, router, told))
        limit, limits = self.limit, len(self.limits)
        await self.network.wait(self.dice.uniform(*ANSWER_S))
        if limit is not None and limits == len(self.limits):
            self.told_at.setdefault(router, self.now)
        limiter.record_answer(TARGET, limit, revision)

    def limits_in_force(self):
        """Yields each limit with the time until which it counts, in seconds.

        No router knows of a lower limit before an answer names it, and the
        rule counts a router's calls from half a second after that.
        """
        for (_, limit), (changed_at, later) in itertools.pairwise(self.limits):
            lowered = later is not None and (limit is None or later < limit)
            yield limit, changed_at + TOLD_S * lowered
        yield self.limits[-1][1], float("inf")

    def allowed(self, start):
        """Returns the calls that the rule allows in the window from start."""
        total, since = 0.0, self.limits[0][0]
        for limit, until in self.limits_in_force():
            overlap_s = min(until, start + WINDOW_S) - max(since, start)
            if overlap_s > 0:
                if limit is None:
                    return float("inf")
                total += limit * overlap_s
            since = until
        return FACTOR * total + SLACK_CALLS

    def excess(self, since, excused=lambda arrival: False):
        """Returns the largest excess of calls over the rule's allowance.

        Args:
            since: Time from which windows count, in seconds.
            excused: Returns whether an arrival does not count.
        """
        counted = [
            arrival.at
            for arrival in self.arrivals
            if arrival.at >= since and arrival.told and not excused(arrival)
        ]
        return max(
            (
                sum(1 for at in counted if start <= at < start + WINDOW_S)
                - self.allowed(start)
                for start in counted
                if start + WINDOW_S <= self.now
            ),
            default=0.0,
        )

    def count(self, start, end):
        return sum(1 for a in self.arrivals if start <= a.at < end)
