"""Learns from agents what a call used whose answer did not come whole."""

from typing import NamedTuple

from twisted.internet import defer, task

from chicorystack.budget.client import BudgetClient
from chicorystack.budget.wallet import Reservation
from chicorystack.calls.usage_table import SettleReply, SettleRequest
from chicorystack.errors import ApiError
from chicorystack.observe.logs import part_logger
from chicorystack.routing.targets import TargetState, TargetTable
from chicorystack.util import backoff_delay
from chicorystack.web.client import JsonClient, UnreachableError

log = part_logger("settler")


class _Sent(NamedTuple):
    """A call that was sent to a target.

    Attributes:
        target: Name of the target.
        sent_at: Time on the clock when it was sent.
    """

    target: str
    sent_at: float


class Settler:
    """Ends reservations with what their calls used.

    A reservation stays reserved until its use is known or the VM of the
    agent that knows it has gone; then the whole upper bound is charged.
    """

    def __init__(
        self,
        clock,
        client: JsonClient,
        targets: TargetTable,
        budgets: BudgetClient,
    ):
        self._clock = clock
        self._client = client
        self._targets = targets
        self._budgets = budgets
        self._sent_by_use: dict[str, list[_Sent]] = {}
        self.pending = 0

    def note_sent(self, use: str, target: TargetState) -> None:
        """Remembers whom to ask about a run."""
        sent = _Sent(target.name, self._clock.seconds())
        self._sent_by_use.setdefault(use, []).append(sent)

    def settle(self, reservation: Reservation, key: str, used: int) -> None:
        """Ends a reservation whose usage is known."""
        self._sent_by_use.pop(reservation.use, None)
        wallet = self._budgets.wallet(reservation.shard)
        used = min(used, reservation.tokens)
        wallet.settle(reservation, key, used)

    def settle_later(self, reservation: Reservation, key: str) -> None:
        """Ends a reservation once the agents have said what it used."""
        running = defer.ensureDeferred(self._settle_later(reservation, key))
        running.addErrback(_log_failure)

    async def _settle_later(self, reservation: Reservation, key: str) -> None:
        used = 0
        self.pending += 1
        try:
            for sent in self._sent_by_use.get(reservation.use, []):
                used += await self._usage(reservation, sent)
        finally:
            self.pending -= 1
            self.settle(reservation, key, used)

    async def _usage(self, reservation: Reservation, sent: _Sent) -> int:
        """Asks one agent until it knows or is gone."""
        attempt = 0
        while sent.target in self._targets.target_by_name:
            reply = await self._ask(reservation.use, sent.target)
            if reply is not None and reply["state"] == "ended":
                return reply["tokens"]
            if reply is not None and reply["state"] == "never_ran":
                return self._usage_of_unknown(reservation, sent, reply)
            await task.deferLater(self._clock, backoff_delay(attempt))
            attempt += 1
        log.warning("{} is gone; charges the bound", sent.target)
        return reservation.tokens

    def _usage_of_unknown(
        self, reservation: Reservation, sent: _Sent, reply: SettleReply
    ) -> int:
        """Charges the bound where an earlier process may have run it."""
        elapsed_ms = (self._clock.seconds() - sent.sent_at) * 1000
        if reply["age_ms"] > elapsed_ms:
            return 0
        log.warning("{} was restarted; charges the bound", sent.target)
        return reservation.tokens

    async def _ask(self, use: str, target: str) -> SettleReply | None:
        url = f"{self._targets.target_by_name[target].url}/settle"
        try:
            reply = await self._client.post(
                url, SettleRequest(use=use), SettleReply
            )
        except (UnreachableError, ApiError) as error:
            log.info("no usage of {} yet: {}", use, error)
            return None
        # An answer about another run says nothing.
        return reply if reply["use"] == use else None


def _log_failure(failure) -> None:
    log.opt(exception=failure.value).error("settlement failed")
