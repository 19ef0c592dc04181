"""Settles token reservations; asks agents about incomplete responses."""

from typing import NamedTuple

from twisted.internet import defer, task

from chicorystack.budget.keeper.client import BudgetClient
from chicorystack.budget.keeper.wallet import Reservation
from chicorystack.calls.usage_table import SettleReply, SettleRequest
from chicorystack.errors import ApiError
from chicorystack.observe.logs import part_logger
from chicorystack.routing.targets import TargetState, TargetTable
from chicorystack.util import backoff_delay
from chicorystack.web.client import JsonClient, UnreachableError

log = part_logger("settler")


class _SentAttempt(NamedTuple):
    """An attempt that was sent to a target.

    Attributes:
        target: Name of the target.
        sent_at: Time on the clock when it was sent.
    """

    target: str
    sent_at: float


class Settler:
    """Settles reservations with the tokens that their calls used.

    A reservation is held until its usage is known. If the VM of the agent
    that knows it is gone, the whole reservation is charged.

    Attributes:
        pending: Number of reservations whose usage is being queried.
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
        self._attempts_by_use: dict[str, list[_SentAttempt]] = {}
        self.pending = 0

    def record_attempt(self, use: str, target: TargetState) -> None:
        """Records a target to be asked about a run's usage."""
        attempt = _SentAttempt(target.name, self._clock.seconds())
        self._attempts_by_use.setdefault(use, []).append(attempt)

    def settle(self, reservation: Reservation, key: str, used: int) -> None:
        """Settles a reservation whose usage is known."""
        self._attempts_by_use.pop(reservation.use, None)
        wallet = self._budgets.wallet(reservation.shard)
        used = min(used, reservation.tokens)
        wallet.settle(reservation, key, used)

    def settle_later(self, reservation: Reservation, key: str) -> None:
        """Settles a reservation once the agents have reported its usage."""
        deferred = defer.ensureDeferred(self._settle_later(reservation, key))
        deferred.addErrback(_log_failure)

    async def _settle_later(self, reservation: Reservation, key: str) -> None:
        used = 0
        self.pending += 1
        try:
            for attempt in self._attempts_by_use.get(reservation.use, []):
                used += await self._fetch_usage(reservation, attempt)
        finally:
            self.pending -= 1
            self.settle(reservation, key, used)

    async def _fetch_usage(
        self, reservation: Reservation, attempt: _SentAttempt
    ) -> int:
        """Polls one agent until it reports the usage or is gone."""
        poll_count = 0
        while attempt.target in self._targets.target_by_name:
            reply = await self._query_agent(reservation.use, attempt.target)
            if reply is not None and reply["state"] == "ended":
                return reply["tokens"]
            if reply is not None and reply["state"] == "never_ran":
                return self._usage_if_never_ran(reservation, attempt, reply)
            await task.deferLater(self._clock, backoff_delay(poll_count))
            poll_count += 1
        log.warning(
            "target {} is gone; charging the whole reservation", attempt.target
        )
        return reservation.tokens

    def _usage_if_never_ran(
        self,
        reservation: Reservation,
        attempt: _SentAttempt,
        reply: SettleReply,
    ) -> int:
        """Returns the usage of a run that the agent does not know.

        It is zero, unless the agent's process was restarted since the attempt
        and its predecessor may have run the call.
        """
        elapsed_ms = (self._clock.seconds() - attempt.sent_at) * 1000
        if reply["age_ms"] > elapsed_ms:
            return 0
        log.warning(
            "target {} was restarted; charging the whole reservation",
            attempt.target,
        )
        return reservation.tokens

    async def _query_agent(self, use: str, target: str) -> SettleReply | None:
        url = f"{self._targets.target_by_name[target].url}/settle"
        try:
            reply = await self._client.post(
                url, SettleRequest(use=use), SettleReply
            )
        except (UnreachableError, ApiError) as error:
            log.info("usage of run {} is not available yet: {}", use, error)
            return None
        # Ignores a reply about another run.
        return reply if reply["use"] == use else None


def _log_failure(failure) -> None:
    log.opt(exception=failure.value).error("settlement failed")
