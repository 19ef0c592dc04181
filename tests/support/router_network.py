"""A simulated network between the routers of one test."""

from twisted.internet import defer

ONE_WAY_S = (0.001, 0.004)


class Network:
    """Delivers messages between routers, unless they are cut off or down.

    Attributes:
        router_by_name: Running routers; tests choose the type.
        cut_pairs: Pairs of routers that cannot reach each other.
        cut_one_way: Pairs of which the first cannot reach the second.
        dark: Routers that nobody can reach.
        messages: Number of messages sent.
    """

    def __init__(self, clock, dice, timeout_s, fail):
        """Starts without routers.

        Args:
            clock: The clock.
            dice: Source of random delays.
            timeout_s: Time after which a lost message fails, in seconds.
            fail: Returns the error for a message and whether the receiver
                does not run.
        """
        self.clock = clock
        self.dice = dice
        self.timeout_s = timeout_s
        self.fail = fail
        self.router_by_name = {}
        self.cut_pairs = set()
        self.cut_one_way = set()
        self.dark = set()
        self.messages = 0

    def cut(self, some, others, one_way=False):
        for one in some:
            for other in others:
                if one_way:
                    self.cut_one_way.add((one, other))
                else:
                    self.cut_pairs.add(frozenset((one, other)))

    def heal(self):
        self.cut_pairs.clear()
        self.cut_one_way.clear()
        self.dark.clear()

    def is_cut(self, sender, receiver):
        return (
            frozenset((sender, receiver)) in self.cut_pairs
            or (sender, receiver) in self.cut_one_way
            or bool({sender, receiver} & self.dark)
        )

    async def deliver(self, sender, receiver, handle):
        self.messages += 1
        await self.delay()
        if self.is_cut(sender, receiver):
            await self.wait(self.timeout_s)
            raise self.fail(f"{receiver} does not answer", False)
        router = self.router_by_name.get(receiver)
        if router is None:
            raise self.fail(f"{receiver} refuses", True)
        answer = handle(router)
        await self.delay()
        if self.is_cut(receiver, sender):
            await self.wait(self.timeout_s)
            raise self.fail(f"{receiver}'s answer is lost", False)
        return answer

    async def delay(self):
        await self.wait(self.dice.uniform(*ONE_WAY_S))

    def wait(self, seconds):
        waiting = defer.Deferred()
        self.clock.callLater(seconds, waiting.callback, None)
        return waiting


class NetworkPeers:
    """The other routers as one process sees them.

    Attributes:
        alive: Whether the process has not been killed.
    """

    def __init__(self, network, own, names):
        self.network = network
        self.own = own
        self.all_names = names
        self.alive = True

    def names(self):
        return [name for name in self.all_names if name != self.own]

    def witness_candidates(self):
        return self.names()

    async def send(self, router, handle):
        if not self.alive:
            raise self.network.fail(f"{self.own} has been killed", False)
        return await self.network.deliver(self.own, router, handle)
