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

TARGET = ("i-1", 5)
STEP_S = 0.01
ONE_WAY_S = (0.001, 0.004)
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


class Network:
    """Delivers messages between routers, unless they are cut off or down."""

    def __init__(self, clock, dice):
        self.clock = clock
        self.dice = dice
        self.limiter_by_router = {}
        self.cut_pairs = set()
        self.cut_one_way = set()
        self.dark = set()
        self.messages = 0

    def is_cut(self, sender, receiver):
        return (
            frozenset((sender, receiver)) in self.cut_pairs
            or (sender, receiver) in self.cut_one_way
            or bool({sender, receiver} & self.dark)
        )

    async def deliver(self, sender, receiver, handle):
        self.messages += 1
        await self.wait(self.dice.uniform(*ONE_WAY_S))
        if self.is_cut(sender, receiver):
            await self.wait(defaults.RATE_PEER_TIMEOUT_S)
            raise RatePeerError(f"{receiver} does not answer")
        limiter = self.limiter_by_router.get(receiver)
        if limiter is None:
            raise RatePeerError(f"{receiver} refuses", not_running=True)
        answer = handle(limiter)
        await self.wait(self.dice.uniform(*ONE_WAY_S))
        if self.is_cut(receiver, sender):
            await self.wait(defaults.RATE_PEER_TIMEOUT_S)
            raise RatePeerError(f"{receiver}'s answer is lost")
        return answer

    def wait(self, seconds):
        waiting = defer.Deferred()
        self.clock.callLater(seconds, waiting.callback, None)
        return waiting


class Peers:
    """RatePeers of one simulated router."""

    def __init__(self, network, own, routers):
        self.network = network
        self.own = own
        self.routers = routers
        self.alive = True

    def names(self):
        return [name for name in self.routers if name != self.own]

    async def request_share(self, router, request):
        return await self.send(router, lambda r: r.lease_share(request))

    async def request_permits(self, router, request):
        return await self.send(router, lambda r: r.grant(request))

    async def send(self, router, handle):
        if not self.alive:
            raise RatePeerError(f"{self.own} has been killed")
        return await self.network.deliver(self.own, router, handle)


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
        self.network = Network(self.clock, self.dice)
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
        self.network.limiter_by_router[router] = limiter
        self.restarted_at[router] = self.now
        self.told_at.pop(router, None)

    def kill(self, router):
        del self.network.limiter_by_router[router]
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
            for router, limiter in list(self.network.limiter_by_router.items()):
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
        await self.network.wait(self.dice.uniform(*ONE_WAY_S))
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
