"""Simulates routers, keepers and agents on a manual clock.

The budget code is the real one, and the log service is the platform's
stand-in; the network, the engines and the callers are simulated. Processes can
be killed, paused and cut off from each other, and replies can be lost.
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
from chicorystack.budget.keeper.client import BudgetClient, KeeperLocator
from chicorystack.budget.keeper.closures import ClosingQuery
from chicorystack.budget.keeper.ledger import ShardLedger
from chicorystack.budget.keeper.messages import (
    CustomerQuery,
    Exchange,
    HolderQuery,
    ToppedUp,
    Usage,
    shard_stream,
)
from chicorystack.budget.keeper.service import KeeperService
from chicorystack.budget.keeper.snapshot import LedgerReader
from chicorystack.budget.keeper.wallet import Reservation
from chicorystack.calls.messages import CallHeader
from chicorystack.errors import ApiError
from chicorystack.infrastructure.log_client import LogClient
from chicorystack.infrastructure.messages import AppendRequest, Vm
from chicorystack.standin.log_service import LogFaults, LogService, ReadQuery
from chicorystack.util import new_id
from chicorystack.web.client import UnreachableError, decode_reply

LATENCY_S = 0.001
CALL_DURATION_S = 0.5
CALL_TIMEOUT_S = 5.0
RESERVE_TIMEOUT_S = 2.0
RETENTION_S = 86_400.0
SHARD = 0
NO_LOG_FAULTS = LogFaults(down=False, delay_s=0.0, lose_answers=0)


class DelayedCall:
    """A delayed call of a process, which a pause of the process postpones."""

    def __init__(self, function: Callable[[], None]):
        self._function = function
        self._done = False

    def active(self) -> bool:
        """Returns whether the call is still pending."""
        return not self._done

    def cancel(self) -> None:
        """Cancels the call."""
        self._done = True

    def fire(self) -> None:
        """Makes the call unless it was made or cancelled."""
        if not self._done:
            self._done = True
            self._function()


class Process:
    """A simulated process and its clock.

    Delayed calls are postponed while the process is paused and dropped after
    it has been killed.

    Attributes:
        name: Name of its VM.
        group: Its data centre, the unit of network cuts.
        dead: Whether it was killed.
        paused: Whether it is paused.
        handler_by_path: Message type and handler of each path that it serves.
    """

    def __init__(self, clock: task.Clock, name: str, group: str):
        self._clock = clock
        self._postponed: list[DelayedCall] = []
        self.name = name
        self.group = group
        self.dead = False
        self.paused = False
        self.handler_by_path: dict[str, tuple[type, Callable]] = {}

    def seconds(self) -> float:
        """Returns the simulated time in seconds."""
        return self._clock.seconds()

    def callLater(
        self, delay_s: float, function, *args, **kwargs
    ) -> DelayedCall:
        """Schedules a function call, as a reactor does."""
        delayed = DelayedCall(lambda: function(*args, **kwargs))
        self._clock.callLater(delay_s, self._fire_or_postpone, delayed)
        return delayed

    def resume(self) -> None:
        """Ends a pause and makes the calls postponed by it."""
        self.paused = False
        postponed, self._postponed = self._postponed, []
        for delayed in postponed:
            self._clock.callLater(0, self._fire_or_postpone, delayed)

    def _fire_or_postpone(self, delayed: DelayedCall) -> None:
        if self.dead:
            return
        if self.paused:
            self._postponed.append(delayed)
            return
        delayed.fire()


class Network:
    """Delivers messages between processes.

    Attributes:
        process_by_name: The newest process of each name.
        cut_groups: Pairs of groups that can't reach each other.
        replies_to_lose: Number of a process's next replies to lose, by its
            name.
        lost_replies: Pairs of a client's name and a path; replies to its
            requests for that path are lost.
    """

    def __init__(self, clock: task.Clock):
        self._clock = clock
        self._running: list[tuple[Process, defer.Deferred]] = []
        self.process_by_name: dict[str, Process] = {}
        self.cut_groups: set[frozenset[str]] = set()
        self.replies_to_lose: defaultdict[str, int] = defaultdict(int)
        self.lost_replies: set[tuple[str, str]] = set()

    def kill(self, process: Process) -> None:
        """Kills a process and cancels its requests at other processes."""
        process.dead = True
        requests = [run for sender, run in self._running if sender is process]
        for running in requests:
            running.cancel()

    def send(
        self, sender: Process, url: str, body: bytes, answer: defer.Deferred
    ) -> None:
        """Delivers a request to a process; fires `answer` with its reply.

        `answer` does not fire if the processes are cut off from each other or
        the reply is lost.
        """
        name, _, path = url.removeprefix("http://").partition("/")
        receiver = self.process_by_name.get(name.partition(":")[0])
        if receiver is None or receiver.dead:
            error = UnreachableError(f"{name} is not running", sent=False)
            sender.callLater(LATENCY_S, _fire_errback, answer, error)
            return
        if frozenset((sender.group, receiver.group)) in self.cut_groups:
            return
        receiver.callLater(
            LATENCY_S,
            self._handle_request,
            sender,
            receiver,
            path,
            body,
            answer,
        )

    def _handle_request(self, sender, receiver, path, body, answer) -> None:
        message_type, handler = receiver.handler_by_path[path]
        message = msgspec.json.decode(body, type=message_type)
        running = defer.ensureDeferred(handler(message))
        entry = sender, running
        self._running.append(entry)

        def reply(result) -> None:
            self._running.remove(entry)
            if (sender.name, path) not in self.lost_replies:
                self._deliver_reply(sender, receiver, answer, result)

        running.addBoth(reply)
        if receiver.name != "log":
            # The server cancels a request when its client disconnects.
            answer.addErrback(_cancel_request, running)

    def _deliver_reply(self, sender, receiver, answer, result) -> None:
        if receiver.dead:
            return
        if self.replies_to_lose[receiver.name] > 0:
            self.replies_to_lose[receiver.name] -= 1
            return
        if frozenset((sender.group, receiver.group)) in self.cut_groups:
            return
        status, body = _encode(result)
        sender.callLater(LATENCY_S, _fire_callback, answer, (status, body))


def _encode(result) -> tuple[int, bytes]:
    failure = getattr(result, "value", None)
    if isinstance(failure, BaseException):
        if not isinstance(failure, ApiError):
            failure = ApiError("internal", repr(failure))
        return failure.status, msgspec.json.encode(failure.to_reply())
    return 200, msgspec.json.encode(result)


def _fire_errback(answer: defer.Deferred, error: Exception) -> None:
    if not answer.called:
        answer.errback(error)


def _fire_callback(answer: defer.Deferred, result) -> None:
    if not answer.called:
        answer.callback(result)


def _cancel_request(failure, running: defer.Deferred):
    running.cancel()
    return failure


class NetworkClient:
    """Sends requests over the simulated network; replaces JsonClient."""

    def __init__(self, network: Network, process: Process):
        self._network = network
        self._process = process

    async def post(
        self, url, message, reply_type, timeout_s=defaults.CONTROL_TIMEOUT_S
    ):
        """Sends a POST request; raises the same errors as JsonClient."""
        answer: defer.Deferred = defer.Deferred()
        answer.addTimeout(timeout_s, self._process)
        body = msgspec.json.encode(message)
        self._network.send(self._process, url, body, answer)
        try:
            status, payload = await answer
        except defer.TimeoutError as error:
            raise UnreachableError(f"{url}: no answer in time") from error
        return decode_reply(url, status, payload, reply_type)

    async def get(self, url, reply_type, timeout_s=defaults.CONTROL_TIMEOUT_S):
        """Sends a GET request as a POST with the query as the message."""
        path, _, query = url.partition("?")
        pairs = [pair.partition("=") for pair in query.split("&")]
        message = {
            name: int(value) if value.isdigit() else value
            for name, _, value in pairs
        }
        return await self.post(path, message, reply_type, timeout_s)


class CallReply(TypedDict):
    """An agent's reply to a completed call."""

    tokens: int


class Outcome(NamedTuple):
    """The outcome of a call.

    Attributes:
        key: Key of the call.
        code: `done`, `unknown` if the agent may have run the call but did not
            reply, `no_target` if no agent could be reached, or the error code
            of the refusal.
        router: The router's process.
        agent: The process of the agent that completed the call, or None.
    """

    key: str
    code: str
    router: Process
    agent: Process | None


def used_tokens(key: str, bound: int) -> int:
    """Returns the number of tokens that the engine uses, fixed by the key.

    It lies between 1 and the bound.
    """
    return 1 + hashlib.blake2b(key.encode()).digest()[0] % bound


class AgentNode:
    """An agent and its simulated engine."""

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

    async def run(self, call: CallHeader) -> CallReply:
        """Runs a call with the budget steps of a real agent."""
        self.fence.check(call)
        self._usage.begin(call)
        used = call["reserved"]
        tokens = used_tokens(call["key"], call["reserved"])
        self._sim.record_engine_use(call, tokens)
        try:
            await task.deferLater(self._process, CALL_DURATION_S)
            used = tokens
        finally:
            self._usage.end(call, used)
        return CallReply(tokens=tokens)


class RouterNode:
    """The budget client and the keeper service of a router."""

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
        """Makes a call with the budget steps of a real router.

        The outcome is added to the simulation's outcomes.
        """
        deadline = self.process.seconds() + RESERVE_TIMEOUT_S
        try:
            reservation = await self.budgets.reserve(
                SHARD, budget, bound, deadline
            )
        except ApiError as error:
            self._record_outcome(key, error.code)
            return
        used = bound
        try:
            code, agent, used = await self._attempt(reservation, key, agents)
        finally:
            wallet = self.budgets.wallet(SHARD)
            wallet.settle(reservation, key, used)
        self._record_outcome(key, code, agent)

    async def _attempt(
        self, reservation: Reservation, key: str, agents: list[str]
    ) -> tuple[str, Process | None, int]:
        code = "no_target"
        for name in agents:
            agent = self._sim.network.process_by_name[name]
            try:
                tokens = await self._call_agent(name, reservation, key)
            except ApiError as error:
                code = error.code
                continue
            except UnreachableError as error:
                if error.sent:
                    return "unknown", None, reservation.tokens
                continue
            return "done", agent, tokens
        return code, None, 0

    async def _call_agent(
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
            f"http://{name}/run", call, CallReply, CALL_TIMEOUT_S
        )
        return done["tokens"]

    def _record_outcome(
        self, key: str, code: str, agent: Process | None = None
    ) -> None:
        self._sim.outcomes.append(Outcome(key, code, self.process, agent))


class Simulation:
    """A simulated fleet with one shard.

    Attributes:
        retention_s: Retention time of the log, in seconds.
        clock: The clock of all processes.
        network: The simulated network.
        log: The log service.
        vm_by_name: The platform's VM list.
        router_by_name: The newest router of each name.
        agent_by_name: The newest agent of each name.
        outcomes: Outcomes of calls, in the order in which they ended.
        engine_use_by_budget: Tokens used by engines, by budget and key.
        audit: The shard's ledger, replayed from the log by `read_audit`.
        bill_by_key: All bills in the audited part of the log.
        duplicate_bills: Bills of keys that had been billed before.
    """

    def __init__(self, policy=None, retention_s: float = RETENTION_S):
        self._policy = policy
        self.retention_s = retention_s
        self._next_audit_offset = 0
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
        self.audit.on_bill(self._record_bill)
        self.bill_by_key: dict[str, Usage] = {}
        self.duplicate_bills: list[Usage] = []
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
        """Starts a router, or replaces the one of the same name."""
        process = self._add_process(name, group)
        self._add_vm(name, "router", group)
        self.router_by_name[name] = RouterNode(self, process, self._policy)
        return self.router_by_name[name]

    def add_agent(self, name: str, group: str = "dc-1") -> AgentNode:
        """Starts an agent, or replaces the one of the same name."""
        process = self._add_process(name, group)
        self._add_vm(name, "agent", group)
        self.agent_by_name[name] = AgentNode(self, process)
        return self.agent_by_name[name]

    def relist_router(self, name: str) -> None:
        """Adds a running router to the platform's VM list again."""
        process = self.network.process_by_name[name]
        self._add_vm(name, "router", process.group)

    def _add_vm(self, name: str, role, group: str) -> None:
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

    def remove_vm(self, name: str) -> None:
        """Removes a VM from the platform's list."""
        remaining = {
            key: vm for key, vm in self.vm_by_name.items() if key != name
        }
        self.vm_by_name = remaining

    def live_routers(self) -> dict[str, str]:
        """Returns the control URLs of the listed routers, by name."""
        return {
            name: f"http://{name}"
            for name, vm in self.vm_by_name.items()
            if vm["role"] == "router"
        }

    def top_up(self, budget: str, tokens: int) -> None:
        """Appends a top-up to the log as an operator does."""
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

    def set_log_faults(self, **faults) -> None:
        """Sets the faults of the log service; clears all others."""
        defer.ensureDeferred(self.log.set_faults(NO_LOG_FAULTS | faults))

    def call(
        self,
        router: str,
        budget: str,
        key: str,
        bound: int,
        agents: list[str] | None = None,
    ) -> None:
        """Starts a call at a router, which tries the agents in order."""
        node = self.router_by_name[router]
        agents = agents or list(self.agent_by_name)
        node.process.callLater(
            0,
            lambda: defer.ensureDeferred(node.call(budget, key, bound, agents)),
        )

    def run(self, seconds: float) -> None:
        """Advances the clock, stopping at each scheduled call."""
        end = self.clock.seconds() + seconds
        while self.clock.calls and self.clock.calls[0].time <= end:
            self.clock.advance(
                max(0.0, self.clock.calls[0].time - self.clock.seconds())
            )
        self.clock.advance(max(0.0, end - self.clock.seconds()))

    def record_engine_use(self, call: CallHeader, tokens: int) -> None:
        """Records the tokens that an engine uses for a key."""
        self.engine_use_by_budget[call["budget"]][call["key"]] = tokens

    def keepers(self) -> Iterator[RouterNode]:
        """Yields the live routers that act as the shard's keeper."""
        for node in self.router_by_name.values():
            controller = node.keeper.controller_by_shard.get(SHARD)
            is_keeper = controller is not None and controller.keeper is not None
            if is_keeper and not node.process.dead:
                yield node

    def read_audit(self) -> None:
        """Applies new entries of the shard's stream to the audit ledger."""
        entries = self.log.entries(shard_stream(SHARD))
        for entry in entries:
            if entry["offset"] >= self._next_audit_offset:
                self._audit_reader.deliver(entry)
                self._next_audit_offset = entry["offset"] + 1

    def _record_bill(self, bill: Usage) -> None:
        if bill.key in self.bill_by_key:
            self.duplicate_bills.append(bill)
        self.bill_by_key[bill.key] = bill
