"""Settles what holders of older epochs held: closes, asks agents, frees.

The decisions are in `SettlementState`; `EpochSettlement` carries them out
against the log, the agents and the routers.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import NamedTuple, Protocol

from chicorystack import defaults
from chicorystack.budget.closures import (
    CLOSURES_STREAM,
    AgedUsage,
    AgentGone,
    ClosingQuery,
    ClosingReply,
    ClosureLedger,
    epoch_closed,
)
from chicorystack.budget.keeper import ShardKeeper
from chicorystack.budget.messages import HolderQuery, Usage
from chicorystack.budget.shard_writer import Journal, ShardWriter
from chicorystack.observe.decisions import decisions
from chicorystack.util import new_id


class Peers(Protocol):
    """The routers and agents that a settlement speaks to."""

    def listed(self, name: str) -> bool:
        """Tells whether the platform lists a VM."""

    async def ask_agent(
        self, target: str, query: ClosingQuery
    ) -> ClosingReply | None:
        """Asks a target's agent; None where no answer came."""

    async def tell_router(self, router: str, query: HolderQuery) -> str | None:
        """Tells a router the epoch.

        Returns:
            The holder that the router's process is now; None where no answer
            came.
        """


class Verdict(NamedTuple):
    """What the agents' replies amount to.

    Attributes:
        waits_for: Why settlement can't end yet; empty where it can.
        bills: Usage to bill first.
        stranded: Tokens by budget that can't be freed.
        reason: Why they can't.
    """

    waits_for: str
    bills: list[Usage]
    stranded: dict[str, int]
    reason: str


NOTHING_LEFT = Verdict("", [], {}, "")


class SettlementState:
    """Decides when closed epochs are settled, and what is stranded."""

    def __init__(self, keeper: ShardKeeper, closures: ClosureLedger):
        self._keeper = keeper
        self._closures = closures

    def judge(self, reply_by_target: dict[str, ClosingReply]) -> Verdict:
        """Weighs the replies of all agents."""
        waits_for = self._waits_for(reply_by_target)
        if waits_for:
            return Verdict(waits_for, [], {}, "")
        runs = list(_whole_runs(reply_by_target.values()))
        bills = [
            run.usage for run in runs if run.age_s < defaults.USAGE_BILLABLE_S
        ]
        lost = self._closures.lost_since(
            self._keeper.ledger.oldest_closures_offset
        )
        forgetful = sorted(
            target
            for target, reply in reply_by_target.items()
            if reply["forgotten"]
        )
        if lost or forgetful:
            names = ", ".join(lost + forgetful)
            reason = f"agents lost their memory: {names}"
            return Verdict("", bills, self._all_unsettled(), reason)
        old: defaultdict[str, int] = defaultdict(int)
        for run in runs:
            if run.age_s >= defaults.USAGE_BILLABLE_S:
                old[run.usage.budget] += run.usage.tokens
        reason = "usage was reported too late to be billed" if old else ""
        return Verdict("", bills, dict(old), reason)

    def stranded(self, verdict: Verdict) -> dict[str, int]:
        """Returns what to strand now that the verdict's bills are billed."""
        unsettled = self._keeper.unsettled_by_budget
        chosen = {
            budget: min(tokens, unsettled.get(budget, 0))
            for budget, tokens in verdict.stranded.items()
        }
        return {budget: tokens for budget, tokens in chosen.items() if tokens}

    def _all_unsettled(self) -> dict[str, int]:
        return {
            budget: tokens
            for budget, tokens in self._keeper.unsettled_by_budget.items()
            if tokens
        }

    def _waits_for(self, reply_by_target: dict[str, ClosingReply]) -> str:
        for target, life in self._closures.incarnation_by_target.items():
            reply = reply_by_target.get(target)
            if reply is None or reply["incarnation"] != life:
                return f"waits for agent {target}"
        running = sum(reply["running"] for reply in reply_by_target.values())
        return f"waits for {running} runs to end" if running else ""


def _add(one: AgedUsage, other: AgedUsage) -> AgedUsage:
    """Adds two parts of a run, up to what was reserved for it."""
    tokens = min(one.usage.tokens + other.usage.tokens, one.reserved)
    usage = one.usage._replace(tokens=tokens)
    return one._replace(usage=usage, age_s=max(one.age_s, other.age_s))


def _whole_runs(replies: Iterable[ClosingReply]) -> Iterator[AgedUsage]:
    """Adds up the parts of runs that several agents served."""
    run_by_use: dict[str, AgedUsage] = {}
    for part in (part for reply in replies for part in reply["usage"]):
        use = part.usage.use
        earlier = run_by_use.get(use)
        run_by_use[use] = part if earlier is None else _add(earlier, part)
    yield from run_by_use.values()


class HolderProbe:
    """Finds holders whose process has been replaced on the same VM.

    Attributes:
        replaced: Those found.
    """

    def __init__(self, clock, keeper: ShardKeeper, peers: Peers):
        self._clock = clock
        self._keeper = keeper
        self._peers = peers
        self._probe_at = clock.seconds() + defaults.HOLDER_PROBE_S
        self._seen_by_holder: dict[str, int] = {}
        self.replaced: set[str] = set()

    async def step(self) -> None:
        """Asks the routers of holders that were silent since the last look."""
        if self._clock.seconds() < self._probe_at:
            return
        self._probe_at = self._clock.seconds() + defaults.HOLDER_PROBE_S
        seen, numbers = (
            self._seen_by_holder,
            self._keeper.exchange_number_by_holder,
        )
        self._seen_by_holder = dict(numbers)
        silent = [
            holder
            for holder, number in numbers.items()
            if seen.get(holder) == number and self._keeper.holds_tokens(holder)
        ]
        for holder in silent:
            await self._probe(holder)

    async def _probe(self, holder: str) -> None:
        keeper = self._keeper
        router = keeper.ledger.router_by_holder.get(holder)
        if router is None:
            return
        query = HolderQuery(shard=keeper.ledger.shard, epoch=keeper.epoch)
        now_there = await self._peers.tell_router(router, query)
        if now_there not in (None, holder):
            self.replaced.add(holder)


class EpochSettlement:
    """Carries one keeper's settlement out, step by step.

    Attributes:
        waits_for: What it waits for, for operators.
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
        self._state = SettlementState(keeper, closures)
        self._lose_holders_at = clock.seconds() + defaults.HOLDER_LOST_S
        self.waits_for = ""

    @property
    def needed(self) -> bool:
        """Whether tokens of older epochs are unsettled."""
        ledger = self._keeper.ledger
        return bool(
            ledger.settled_epoch < self._keeper.epoch - 1
            and self._keeper.unsettled
        )

    async def step(self) -> None:
        """Goes as far as it can now; raises ApiError when superseded."""
        if not self.needed:
            return
        self.waits_for = await self._register_holders()
        if self.waits_for:
            return
        await self._give_up_holders()
        if not self._keeper.ledger.void_holders:
            # All who may hold tokens have stated what they hold.
            await self._finish(NOTHING_LEFT)
            return
        await self._close()
        verdict = self._state.judge(await self._ask_agents())
        self.waits_for = verdict.waits_for
        if not verdict.waits_for:
            await self._writer.write_bills(verdict.bills)
            await self._finish(verdict)

    async def _give_up_holders(self) -> None:
        """Makes those void that have not registered and won't."""
        holders = self._keeper.unregistered_holders
        if holders:
            # From here on, those who come back are told that they are void.
            self._keeper.pending_void_holders.update(holders)
            decisions.record_notable(
                f"shard-{self._keeper.ledger.shard}",
                "keeper",
                f"gives up holders {', '.join(holders)}",
                "they have not registered and their VM is gone or replaced",
            )
            await self._writer.give_up(holders)

    async def _register_holders(self) -> str:
        """Has holders state what they hold; returns what it waits for."""
        lost = self._clock.seconds() >= self._lose_holders_at
        for holder in self._keeper.unregistered_holders:
            router = self._keeper.ledger.router_by_holder[holder]
            if not self._peers.listed(router):
                continue
            now_there = await self._peers.tell_router(
                router, self._holder_query()
            )
            replaced = now_there is not None and now_there != holder
            if not replaced and not lost and self._is_missing(holder):
                return f"waits for router {router}"
        return ""

    def _is_missing(self, holder: str) -> bool:
        return holder in self._keeper.unregistered_holders

    def _holder_query(self) -> HolderQuery:
        return HolderQuery(
            shard=self._keeper.ledger.shard, epoch=self._keeper.epoch
        )

    async def _close(self) -> None:
        shard, epoch = self._keeper.ledger.shard, self._keeper.epoch - 1
        if self._closures.closed_by_shard.get(shard, 0) >= epoch:
            return
        record = epoch_closed(shard, epoch)
        await self._journal.append_and_read(CLOSURES_STREAM, lambda: record)

    async def _ask_agents(self) -> dict[str, ClosingReply]:
        query = ClosingQuery(
            shard=self._keeper.ledger.shard,
            epoch=self._keeper.epoch - 1,
            holders=self._keeper.ledger.void_holders,
        )
        replies: dict[str, ClosingReply] = {}
        lives = dict(self._closures.incarnation_by_target)
        for target, incarnation in lives.items():
            reply = await self._peers.ask_agent(target, query)
            if reply is not None:
                replies[target] = reply
            elif not self._peers.listed(target):
                await self._give_up_agent(target, incarnation)
        return replies

    async def _give_up_agent(self, target: str, incarnation: str) -> None:
        record = AgentGone(
            kind="agent_gone",
            id=new_id(),
            target=target,
            incarnation=incarnation,
        )
        await self._journal.append_and_read(CLOSURES_STREAM, lambda: record)

    async def _finish(self, verdict: Verdict) -> None:
        closed = self._keeper.epoch - 1
        stranded = self._state.stranded(verdict)
        await self._writer.settle(closed, stranded, verdict.reason)
        self._keeper.end_settlement()
        decisions.record_notable(
            f"shard-{self._keeper.ledger.shard}",
            "keeper",
            f"settled epochs up to {closed}, stranded {sum(stranded.values())}",
            verdict.reason or "all who may hold tokens are accounted for",
        )
