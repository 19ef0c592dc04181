"""Settles tokens that were committed in older epochs of a shard.

After a change of keeper, reachable holders register and report their tokens.
For the others, the keeper closes the older epochs, asks all agents what these
holders used, bills that usage and frees the rest. Tokens that can't be
accounted for are stranded: they stay counted as spent.

`SettlementPlanner` decides; `EpochSettlement` does the work with the log, the
agents and the routers.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import NamedTuple, Protocol

from chicorystack import defaults
from chicorystack.budget.keeper.closures import (
    CLOSURES_STREAM,
    AgedUsage,
    AgentGone,
    ClosingQuery,
    ClosingReply,
    ClosureLedger,
    epoch_closed,
)
from chicorystack.budget.keeper.keeper import ShardKeeper
from chicorystack.budget.keeper.messages import HolderQuery, Usage
from chicorystack.budget.keeper.shard_writer import Journal, ShardWriter
from chicorystack.observe.decisions import decisions
from chicorystack.util import new_id


class Peers(Protocol):
    """Client for the routers and agents that take part in a settlement."""

    def is_listed(self, name: str) -> bool:
        """Returns whether the platform lists a VM."""

    async def query_agent(
        self, target: str, query: ClosingQuery
    ) -> ClosingReply | None:
        """Sends a query to a target's agent; None if it does not answer."""

    async def notify_router(
        self, router: str, query: HolderQuery
    ) -> str | None:
        """Notifies a router of the shard's epoch.

        Returns:
            The current holder id of the router's process, empty if it has
            none; None if the router does not answer.
        """


class SettlementPlan(NamedTuple):
    """Whether and how a settlement can end, given the agents' replies.

    Attributes:
        waits_for: What the settlement waits for; empty if it can end.
        bills: Usage to bill before it ends.
        stranded: Tokens to strand, by budget.
        reason: Why these tokens are stranded.
    """

    waits_for: str
    bills: list[Usage]
    stranded: dict[str, int]
    reason: str


EMPTY_PLAN = SettlementPlan("", [], {}, "")


class SettlementPlanner:
    """Decides when closed epochs can be settled and what is stranded."""

    def __init__(self, keeper: ShardKeeper, closures: ClosureLedger):
        self._keeper = keeper
        self._closures = closures

    def make_plan(
        self, reply_by_target: dict[str, ClosingReply]
    ) -> SettlementPlan:
        """Decides from the agents' replies whether and how to settle.

        If an agent's usage is lost, all unsettled tokens are stranded, as any
        of them may have been spent.
        """
        waits_for = self._blocking_reason(reply_by_target)
        if waits_for:
            return SettlementPlan(waits_for, [], {}, "")
        runs = list(_merge_runs(reply_by_target.values()))
        bills = [
            run.usage for run in runs if run.age_s < defaults.USAGE_BILLABLE_S
        ]
        lost_agents = self._closures.lost_since(
            self._keeper.ledger.oldest_closures_offset
        )
        agents_without_usage = sorted(
            target
            for target, reply in reply_by_target.items()
            if reply["forgotten"]
        )
        if lost_agents or agents_without_usage:
            names = ", ".join(lost_agents + agents_without_usage)
            reason = f"agents lost their memory: {names}"
            return SettlementPlan("", bills, self._all_unsettled(), reason)
        old: defaultdict[str, int] = defaultdict(int)
        for run in runs:
            if run.age_s >= defaults.USAGE_BILLABLE_S:
                old[run.usage.budget] += run.usage.tokens
        reason = "usage was reported too late to be billed" if old else ""
        return SettlementPlan("", bills, dict(old), reason)

    def tokens_to_strand(self, plan: SettlementPlan) -> dict[str, int]:
        """Returns the tokens to strand, by budget, once the bills are billed.

        They are limited to what is still unsettled.
        """
        unsettled = self._keeper.unsettled_by_budget
        limited = {
            budget: min(tokens, unsettled.get(budget, 0))
            for budget, tokens in plan.stranded.items()
        }
        return {budget: tokens for budget, tokens in limited.items() if tokens}

    def _all_unsettled(self) -> dict[str, int]:
        return {
            budget: tokens
            for budget, tokens in self._keeper.unsettled_by_budget.items()
            if tokens
        }

    def _blocking_reason(self, reply_by_target: dict[str, ClosingReply]) -> str:
        for target, incarnation in self._closures.incarnation_by_target.items():
            reply = reply_by_target.get(target)
            if reply is None or reply["incarnation"] != incarnation:
                return f"waits for agent {target}"
        running = sum(reply["running"] for reply in reply_by_target.values())
        return f"waits for {running} runs to end" if running else ""


def _merge_parts(one: AgedUsage, other: AgedUsage) -> AgedUsage:
    """Merges two agents' parts of a run, up to what was reserved for it."""
    tokens = min(one.usage.tokens + other.usage.tokens, one.reserved)
    usage = one.usage._replace(tokens=tokens)
    return one._replace(usage=usage, age_s=max(one.age_s, other.age_s))


def _merge_runs(replies: Iterable[ClosingReply]) -> Iterator[AgedUsage]:
    """Yields runs, with parts that several agents served merged into one."""
    run_by_use: dict[str, AgedUsage] = {}
    for part in (part for reply in replies for part in reply["usage"]):
        use = part.usage.use
        earlier = run_by_use.get(use)
        run_by_use[use] = (
            part if earlier is None else _merge_parts(earlier, part)
        )
    yield from run_by_use.values()


class HolderProbe:
    """Finds holders whose process has been replaced on the same VM.

    Attributes:
        replaced: The replaced holders found so far.
    """

    def __init__(self, clock, keeper: ShardKeeper, peers: Peers):
        self._clock = clock
        self._keeper = keeper
        self._peers = peers
        self._next_probe_at = clock.seconds() + defaults.HOLDER_PROBE_INTERVAL_S
        self._previous_number_by_holder: dict[str, int] = {}
        self.replaced: set[str] = set()

    async def probe_silent_holders(self) -> None:
        """Asks the routers of silent holders for their current holder id.

        Silent holders hold tokens and have sent no exchange since the last
        probe. Does nothing until the next probe is due.
        """
        if self._clock.seconds() < self._next_probe_at:
            return
        self._next_probe_at = (
            self._clock.seconds() + defaults.HOLDER_PROBE_INTERVAL_S
        )
        previous, numbers = (
            self._previous_number_by_holder,
            self._keeper.exchange_number_by_holder,
        )
        self._previous_number_by_holder = dict(numbers)
        silent = [
            holder
            for holder, number in numbers.items()
            if previous.get(holder) == number
            and self._keeper.holds_tokens(holder)
        ]
        for holder in silent:
            await self._probe_holder(holder)

    async def _probe_holder(self, holder: str) -> None:
        keeper = self._keeper
        router = keeper.ledger.router_by_holder.get(holder)
        if router is None:
            return
        query = HolderQuery(shard=keeper.ledger.shard, epoch=keeper.epoch)
        current_holder = await self._peers.notify_router(router, query)
        if current_holder not in (None, holder):
            self.replaced.add(holder)


class EpochSettlement:
    """Performs one keeper's settlement of older epochs in repeated steps.

    Attributes:
        waits_for: What the settlement waits for, as shown to operators.
    """

    def __init__(
        self,
        clock,
        keeper: ShardKeeper,
        writer: ShardWriter,
        closures: ClosureLedger,
        journal: Journal,
        peers: Peers,
    ):
        self._clock = clock
        self._keeper = keeper
        self._writer = writer
        self._closures = closures
        self._journal = journal
        self._peers = peers
        self._planner = SettlementPlanner(keeper, closures)
        self._registration_deadline = (
            clock.seconds() + defaults.HOLDER_REGISTRATION_TIMEOUT_S
        )
        self.waits_for = ""

    @property
    def needed(self) -> bool:
        """Whether tokens of older epochs are unsettled."""
        ledger = self._keeper.ledger
        return bool(
            ledger.settled_epoch < self._keeper.epoch - 1
            and self._keeper.unsettled
        )

    async def advance(self) -> None:
        """Settles as far as is possible now.

        Raises:
            ApiError: `not_keeper` if a newer epoch has begun.
        """
        if not self.needed:
            return
        self.waits_for = await self._register_holders()
        if self.waits_for:
            return
        await self._void_unregistered_holders()
        if not self._keeper.ledger.void_holders:
            # All holders have reported their tokens.
            await self._finish(EMPTY_PLAN)
            return
        await self._close_epochs()
        plan = self._planner.make_plan(await self._query_agents())
        self.waits_for = plan.waits_for
        if not plan.waits_for:
            await self._writer.write_bills(plan.bills)
            await self._finish(plan)

    async def _void_unregistered_holders(self) -> None:
        """Declares void all holders that have not registered."""
        holders = self._keeper.unregistered_holders
        if holders:
            # From here on, their exchanges are answered with `void`.
            self._keeper.pending_void_holders.update(holders)
            decisions.record_notable(
                f"shard-{self._keeper.ledger.shard}",
                "keeper",
                f"gives up holders {', '.join(holders)}",
                "they have not registered, and their process is gone, "
                "replaced or unreachable for too long",
            )
            await self._writer.write_void_holders(holders)

    async def _register_holders(self) -> str:
        """Asks holders to register.

        Returns:
            What the registration waits for; empty if it is complete.
        """
        overdue = self._clock.seconds() >= self._registration_deadline
        for holder in self._keeper.unregistered_holders:
            router = self._keeper.ledger.router_by_holder[holder]
            if not self._peers.is_listed(router):
                continue
            current_holder = await self._peers.notify_router(
                router, self._holder_query()
            )
            replaced = current_holder is not None and current_holder != holder
            if not replaced and not overdue and self._is_unregistered(holder):
                return f"waits for router {router}"
        return ""

    def _is_unregistered(self, holder: str) -> bool:
        return holder in self._keeper.unregistered_holders

    def _holder_query(self) -> HolderQuery:
        return HolderQuery(
            shard=self._keeper.ledger.shard, epoch=self._keeper.epoch
        )

    async def _close_epochs(self) -> None:
        shard, epoch = self._keeper.ledger.shard, self._keeper.epoch - 1
        if self._closures.closed_by_shard.get(shard, 0) >= epoch:
            return
        record = epoch_closed(shard, epoch)
        await self._journal.append_and_read(CLOSURES_STREAM, lambda: record)

    async def _query_agents(self) -> dict[str, ClosingReply]:
        query = ClosingQuery(
            shard=self._keeper.ledger.shard,
            epoch=self._keeper.epoch - 1,
            holders=self._keeper.ledger.void_holders,
        )
        replies: dict[str, ClosingReply] = {}
        incarnations = dict(self._closures.incarnation_by_target)
        for target, incarnation in incarnations.items():
            reply = await self._peers.query_agent(target, query)
            if reply is not None:
                replies[target] = reply
            elif not self._peers.is_listed(target):
                await self._append_agent_gone(target, incarnation)
        return replies

    async def _append_agent_gone(self, target: str, incarnation: str) -> None:
        record = AgentGone(
            kind="agent_gone",
            id=new_id(),
            target=target,
            incarnation=incarnation,
        )
        await self._journal.append_and_read(CLOSURES_STREAM, lambda: record)

    async def _finish(self, plan: SettlementPlan) -> None:
        closed = self._keeper.epoch - 1
        stranded = self._planner.tokens_to_strand(plan)
        await self._writer.write_settlement(closed, stranded, plan.reason)
        self._keeper.end_settlement()
        decisions.record_notable(
            f"shard-{self._keeper.ledger.shard}",
            "keeper",
            f"settled epochs up to {closed}, stranded {sum(stranded.values())}",
            plan.reason or "all tokens of older epochs are accounted for",
        )
