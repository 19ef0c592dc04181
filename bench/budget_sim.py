"""Routers, keepers and agents on a driven clock, with the real budget code.

Only the network, the engines and the callers are stand-ins. Processes can be
killed, paused and cut off; messages and answers can be lost or late.
"""

import hashlib
from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple, TypedDict

import msgspec
from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.agent.closures import AgentRegistration, EpochFence
from chicorystack.agent.usage_table import HolderUsage
from chicorystack.budget.client import BudgetClient, KeeperLocator
from chicorystack.budget.closures import ClosingQuery
from chicorystack.budget.keeper_service import KeeperService
from chicorystack.budget.ledger import ShardLedger
from chicorystack.budget.messages import (
    CustomerQuery,
    Exchange,
    HolderQuery,
    ToppedUp,
    Usage,
    shard_stream,
)
from chicorystack.budget.snapshot import LedgerReader
from chicorystack.budget.wallet import Reservation
from chicorystack.calls.messages import CallHeader
from chicorystack.errors import ApiError
from chicorystack.infrastructure.log_client import LogClient
from chicorystack.infrastructure.messages import AppendRequest, Vm
from chicorystack.standin.log_service import LogFaults, LogService, ReadQuery
from chicorystack.util import new_id
from chicorystack.web.client import UnreachableError, decode_reply

LATENCY_S = 0.001
CALL_S = 0.5
CALL_TIMEOUT_S = 5.0
RESERVE_TIMEOUT_S = 2.0
RETENTION_S = 86_400.0
SHARD = 0
LOG_UP = LogFaults(down=False, delay_s=0.0, lose_answers=0)


class Delayed:
    """A call that a process' clock will make, also after a pause."""

    def __init__(self, function: Callable[[], None]):
        self._function = function
        self._done = False

    def active(self) -> bool:
        """Tells whether the call is still to come."""
        return not self._done

    def cancel(self) -> None:
        """Drops the call."""
        self._done = True

    def fire(self) -> None:
        """Makes the call, once."""
        if not self._done:
            self._done = True
            self._function()


class Process:
    """A process with a clock that stops with it.

    Attributes:
        name: Name of its VM.
        group: Where it is, for cuts.
        dead: Whether it was killed.
        paused: Whether it is stopped for a while.
        handler_by_path: What it serves: message type and handler.
    """

    def __init__(self, clock: task.Clock, name: str, group: str):
        self._clock = clock
        self._held: list[Delayed] = []
        self.name = name
        self.group = group
        self.dead = False
        self.paused = False
        self.handler_by_path: dict[str, tuple[type, Callable]] = {}

    def seconds(self) -> float:
        """Returns the time in seconds."""
        return self._clock.seconds()

    def callLater(self, delay_s: float, function, *args, **kwargs) -> Delayed:
        """Calls a function later, as a reactor does."""
        delayed = Delayed(lambda: function(*args, **kwargs))
        self._clock.callLater(delay_s, self._fire, delayed)
        return delayed

    def resume(self) -> None:
        """Ends a pause."""
        self.paused = False
        held, self._held = self._held, []
        for delayed in held:
            self._clock.callLater(0, self._fire, delayed)

    def _fire(self, delayed: Delayed) -> None:
        if self.dead:
            return
        if self.paused:
            self._held.append(delayed)
            return
        delayed.fire()


class Network:
    """Carries messages between processes.

    Attributes:
        process_by_name: Processes that can be reached.
        cut_groups: Pairs of groups that can't reach each other.
        replies_to_lose: Number of next replies to lose, by process.
        lost_replies: Names of processes and paths whose replies never reach
            them.
    """

    def __init__(self, clock: task.Clock):
        self._clock = clock
        self._running: list[tuple[Process, defer.Deferred]] = []
        self.process_by_name: dict[str, Process] = {}
        self.cut_groups: set[frozenset[str]] = set()
        self.replies_to_lose: defaultdict[str, int] = defaultdict(int)
        self.lost_replies: set[tuple[str, str]] = set()

    def kill(self, process: Process) -> None:
        """Kills a process; what it asked others for is cancelled there."""
        process.dead = True
        asked = [run for sender, run in self._running if sender is process]
        for running in asked:
            running.cancel()

    def carry(
        self, sender: Process, url: str, body: bytes, answer: defer.Deferred
    ) -> None:
        """Carries a message to a process and its answer back."""
        name, _, path = url.removeprefix("http://").partition("/")
        receiver = self.process_by_name.get(name.partition(":")[0])
        if receiver is None or receiver.dead:
            gone = UnreachableError(f"{name} is gone", sent=False)
            sender.callLater(LATENCY_S, _fail, answer, gone)
            return
        if frozenset((sender.group, receiver.group)) in self.cut_groups:
            return
        receiver.callLater(
            LATENCY_S, self._serve, sender, receiver, path, body, answer
        )

    def _serve(self, sender, receiver, path, body, answer) -> None:
        message_type, handler = receiver.handler_by_path[path]
        message = msgspec.json.decode(body, type=message_type)
        running = defer.ensureDeferred(handler(message))
        entry = sender, running
        self._running.append(entry)

        def reply(result) -> None:
            self._running.remove(entry)
            if (sender.name, path) not in self.lost_replies:
                self._answer(sender, receiver, answer, result)

        running.addBoth(reply)
        if receiver.name != "log":
            # A client that goes away cancels what it asked for.
            answer.addErrback(_cancel_too, running)

    def _answer(self, sender, receiver, answer, result) -> None:
        if receiver.dead:
            return
        if self.replies_to_lose[receiver.name] > 0:
            self.replies_to_lose[receiver.name] -= 1
            return
        if frozenset((sender.group, receiver.group)) in self.cut_groups:
            return
        status, body = _encode(result)
        sender.callLater(LATENCY_S, _succeed, answer, (status, body))


def _encode(result) -> tuple[int, bytes]:
    failure = getattr(result, "value", None)
    if isinstance(failure, BaseException):
        if not isinstance(failure, ApiError):
            failure = ApiError("internal", repr(failure))
        return failure.status, msgspec.json.encode(failure.to_reply())
    return 200, msgspec.json.encode(result)


def _fail(answer: defer.Deferred, error: Exception) -> None:
    if not answer.called:
        answer.errback(error)


def _succeed(answer: defer.Deferred, result) -> None:
    if not answer.called:
        answer.callback(result)


def _cancel_too(failure, running: defer.Deferred):
    running.cancel()
    return failure


class NetworkClient:
    """Has the interface of JsonClient."""

    def __init__(self, network: Network, process: Process):
        self._network = network
        self._process = process

    async def post(
        self, url, message, reply_type, timeout_s=defaults.CONTROL_TIMEOUT_S
    ):
        """Posts a message; raises as JsonClient does."""
        answer: defer.Deferred = defer.Deferred()
        answer.addTimeout(timeout_s, self._process)
        body = msgspec.json.encode(message)
        self._network.carry(self._process, url, body, answer)
        try:
            status, payload = await answer
        except defer.TimeoutError as error:
            raise UnreachableError(f"{url}: no answer in time") from error
        return decode_reply(url, status, payload, reply_type)

    async def get(self, url, reply_type, timeout_s=defaults.CONTROL_TIMEOUT_S):
        """Gets a URL; its query goes as the message."""
        path, _, query = url.partition("?")
        pairs = [pair.partition("=") for pair in query.split("&")]
        message = {
            name: int(value) if value.isdigit() else value
            for name, _, value in pairs
        }
        return await self.post(path, message, reply_type, timeout_s)


class Done(TypedDict):
    """An agent's answer to a call."""

    tokens: int


class Outcome(NamedTuple):
    """How a call ended.

    Attributes:
        key: Key of the call.
        code: `done`, or the code of the refusal.
        router: The router's process.
        agent: The agent's process that answered; None where none did.
    """

    key: str
    code: str
    router: Process
    agent: Process | None


def used_tokens(key: str, bound: int) -> int:
    """Returns how many tokens the engine uses for a key."""
    return 1 + hashlib.blake2b(key.encode()).digest()[0] % bound


class AgentNode:
    """An agent with its engine."""

    def __init__(self, sim: "Simulation", process: Process):
        self._sim = sim
        self._process = process
        self._usage = HolderUsage(process)
        self.fence = EpochFence(self._usage)
        client = NetworkClient(sim.network, process)
        log = LogClient(process, client, "http://log")
        AgentRegistration(process, log, process.name, self.fence).start()
        process.handler_by_path = {
            "run": (CallHeader, self.run),
            "close-epochs": (ClosingQuery, self.fence.close),
        }

    async def run(self, call: CallHeader) -> Done:
        """Runs a call as the agent's fence and generations do."""
        self.fence.check(call)
        self._usage.begin(call)
        used = call["reserved"]
        tokens = used_tokens(call["key"], call["reserved"])
        self._sim.note_engine_use(call, tokens)
        try:
            await task.deferLater(self._process, CALL_S)
            used = tokens
        finally:
            self._usage.end(call, used)
        return Done(tokens=tokens)


class RouterNode:
    """A router's budget client and keeper duty."""

    def __init__(self, sim: "Simulation", process: Process, policy):
        self._sim = sim
        self._client = NetworkClient(sim.network, process)
        self.process = process
        log = LogClient(process, self._client, "http://log")
        locator = KeeperLocator(process, self._client, sim.live_routers)
        self.budgets = BudgetClient(process, locator, process.name)
        self.keeper = KeeperService(
            process,
            log,
            self._client,
            process.name,
            f"http://{process.name}",
            sim.live_routers,
            lambda: sim.vm_by_name,
            policy,
            sim.retention_s,
        )
        process.handler_by_path = {
            "keeper/exchange": (Exchange, self.keeper.handle_exchange),
            "keeper/customer": (CustomerQuery, self.keeper.handle_customer),
            "keeper/budgets": (CustomerQuery, self.keeper.handle_budgets),
            "holder": (HolderQuery, self.budgets.handle_holder_query),
        }
        self.budgets.start()
        self.keeper.start()
        review = task.LoopingCall(self.keeper.claim_shards, 1)
        review.clock = process
        review.start(defaults.SHARD_REVIEW_INTERVAL_S)

    async def call(self, budget: str, key: str, bound: int, agents) -> None:
        """Makes a call as the dispatcher does; the outcome is noted."""
        deadline = self.process.seconds() + RESERVE_TIMEOUT_S
        try:
            reservation = await self.budgets.reserve(
                SHARD, budget, bound, deadline
            )
        except ApiError as error:
            self._note(key, error.code)
            return
        used = bound
        try:
            code, agent, used = await self._attempt(reservation, key, agents)
        finally:
            wallet = self.budgets.wallet(SHARD)
            wallet.settle(reservation, key, used)
        self._note(key, code, agent)

    async def _attempt(
        self, reservation: Reservation, key: str, agents: list[str]
    ) -> tuple[str, Process | None, int]:
        code = "no_target"
        for name in agents:
            agent = self._sim.network.process_by_name[name]
            try:
                tokens = await self._ask_agent(name, reservation, key)
            except ApiError as error:
                code = error.code
                continue
            except UnreachableError as error:
                if error.sent:
                    return "unknown", None, reservation.tokens
                continue
            return "done", agent, tokens
        return code, None, 0

    async def _ask_agent(
        self, name: str, reservation: Reservation, key: str
    ) -> int:
        try:
            return await self._post_call(name, reservation, key)
        except ApiError as error:
            if error.code != "epoch_closed":
                raise
        deadline = self.process.seconds() + RESERVE_TIMEOUT_S
        renewed = await self.budgets.move_to_current_epoch(
            reservation, deadline
        )
        return await self._post_call(name, renewed, key)

    async def _post_call(
        self, name: str, reservation: Reservation, key: str
    ) -> int:
        call = CallHeader(
            site="s",
            service="s",
            operation="o",
            customer="c",
            budget=reservation.budget,
            key=key,
            repeatable=True,
            shard=SHARD,
            epoch=reservation.epoch,
            use=reservation.use,
            settled_below=reservation.settled_below,
            reserved=reservation.tokens,
            cost_tokens=0,
            max_tokens=0,
            priority="normal",
            timeout_ms=0,
        )
        done = await self._client.post(
            f"http://{name}/run", call, Done, CALL_TIMEOUT_S
        )
        return done["tokens"]

    def _note(self, key: str, code: str, agent: Process | None = None) -> None:
        self._sim.outcomes.append(Outcome(key, code, self.process, agent))


class Simulation:
    """A fleet with one shard.

    Attributes:
        clock: The one clock.
        network: Carries messages.
        log: The log service.
        vm_by_name: The platform's VM list.
        router_by_name: Routers that run.
        agent_by_name: Agents that run.
        outcomes: How calls ended, in order.
        engine_use_by_budget: Tokens used by engines, by budget and key.
        audit: The shard's ledger as an observer reads it.
        bill_by_key: All bills that the observer has seen.
    """

    def __init__(self, policy=None, retention_s: float = RETENTION_S):
        self._policy = policy
        self.retention_s = retention_s
        self._audited = 0
        self.clock = task.Clock()
        self.clock.advance(1000.0)
        self.network = Network(self.clock)
        self.log = LogService(self.clock, retention_s)
        self.vm_by_name: dict[str, Vm] = {}
        self.router_by_name: dict[str, RouterNode] = {}
        self.agent_by_name: dict[str, AgentNode] = {}
        self.outcomes: list[Outcome] = []
        self.engine_use_by_budget: defaultdict[str, dict[str, int]] = (
            defaultdict(dict)
        )
        self.audit = ShardLedger(SHARD)
        self._audit_reader = LedgerReader(self.audit)
        self.audit.on_bill(self._note_bill)
        self.bill_by_key: dict[str, Usage] = {}
        self.double_bills: list[Usage] = []
        service = self._add_process("log", "log")
        service.handler_by_path = {
            "append": (AppendRequest, self.log.append),
            "read": (ReadQuery, self.log.read),
        }

    def _add_process(self, name: str, group: str) -> Process:
        process = Process(self.clock, name, group)
        self.network.process_by_name[name] = process
        return process

    def add_router(self, name: str, group: str = "dc-1") -> RouterNode:
        """Starts a router, or starts it anew."""
        process = self._add_process(name, group)
        self._list(name, "router", group)
        self.router_by_name[name] = RouterNode(self, process, self._policy)
        return self.router_by_name[name]

    def add_agent(self, name: str, group: str = "dc-1") -> AgentNode:
        """Starts an agent, or starts it anew."""
        process = self._add_process(name, group)
        self._list(name, "agent", group)
        self.agent_by_name[name] = AgentNode(self, process)
        return self.agent_by_name[name]

    def list_again(self, name: str) -> None:
        """Puts a router that runs back on the platform's list."""
        process = self.network.process_by_name[name]
        self._list(name, "router", process.group)

    def _list(self, name: str, role, group: str) -> None:
        vm = Vm(
            name=name,
            role=role,
            site="s",
            data_centre=group,
            address=name,
            port=1,
            state="live",
        )
        self.vm_by_name = self.vm_by_name | {name: vm}

    def unlist(self, name: str) -> None:
        """Takes a VM off the platform's list."""
        kept = {key: vm for key, vm in self.vm_by_name.items() if key != name}
        self.vm_by_name = kept

    def live_routers(self) -> dict[str, str]:
        """Returns control URLs of listed routers."""
        return {
            name: f"http://{name}"
            for name, vm in self.vm_by_name.items()
            if vm["role"] == "router"
        }

    def top_up(self, budget: str, tokens: int) -> None:
        """Appends a top-up as an operator does."""
        customer, _, name = budget.partition("/")
        record = ToppedUp(
            kind="topped_up",
            id=new_id(),
            customer=customer,
            budget=name,
            tokens=tokens,
            operator="o",
        )
        text = msgspec.json.encode(record).decode()
        request = AppendRequest(stream=shard_stream(SHARD), record=text)
        appending = defer.ensureDeferred(self.log.append(request))
        appending.addErrback(lambda failure: failure.trap(ApiError))

    def order_log(self, **faults) -> None:
        """Orders faults of the log service; none mends it."""
        defer.ensureDeferred(self.log.set_faults(LOG_UP | faults))

    def call(
        self,
        router: str,
        budget: str,
        key: str,
        bound: int,
        agents: list[str] | None = None,
    ) -> None:
        """Has a router make a call, trying agents in order."""
        node = self.router_by_name[router]
        agents = agents or list(self.agent_by_name)
        node.process.callLater(
            0,
            lambda: defer.ensureDeferred(node.call(budget, key, bound, agents)),
        )

    def run(self, seconds: float) -> None:
        """Lets time pass, event by event."""
        end = self.clock.seconds() + seconds
        while self.clock.calls and self.clock.calls[0].time <= end:
            self.clock.advance(
                max(0.0, self.clock.calls[0].time - self.clock.seconds())
            )
        self.clock.advance(max(0.0, end - self.clock.seconds()))

    def note_engine_use(self, call: CallHeader, tokens: int) -> None:
        """Notes that an engine uses tokens for a key."""
        self.engine_use_by_budget[call["budget"]][call["key"]] = tokens

    def keepers(self) -> Iterator[RouterNode]:
        """Yields live routers that take themselves for the keeper."""
        for node in self.router_by_name.values():
            controller = node.keeper.controller_by_shard.get(SHARD)
            keeps = controller is not None and controller.keeper is not None
            if keeps and not node.process.dead:
                yield node

    def read_audit(self) -> None:
        """Reads the shard's stream as an observer."""
        entries = self.log.entries(shard_stream(SHARD))
        for entry in entries:
            if entry["offset"] >= self._audited:
                self._audit_reader.deliver(entry)
                self._audited = entry["offset"] + 1

    def _note_bill(self, bill: Usage) -> None:
        if bill.key in self.bill_by_key:
            self.double_bills.append(bill)
        self.bill_by_key[bill.key] = bill
