"""Budget client of a router: reserves tokens and reports their usage."""

import contextlib
from collections.abc import Callable, Iterable
from urllib.parse import urlencode

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget.keeper.messages import (
    BudgetsReply,
    CustomerReply,
    Exchange,
    ExchangeReply,
    HolderQuery,
    HolderReply,
)
from chicorystack.budget.keeper.wallet import Reservation, ShardWallet
from chicorystack.errors import ApiError, ChicoryError
from chicorystack.observe.logs import part_logger
from chicorystack.util import new_id, rendezvous_order
from chicorystack.web.client import JsonClient, UnreachableError

log = part_logger("budget")


class KeeperUnreachableError(ChicoryError):
    """No router has answered as the keeper of a shard."""


class KeeperLocator:
    """Finds the router that is the keeper of a shard.

    Tries the router that answered last first, then the others in rendezvous
    order.
    """

    def __init__(
        self,
        reactor,
        client: JsonClient,
        control_urls: Callable[[], dict[str, str]],
    ):
        self._reactor = reactor
        self._client = client
        self._control_urls = control_urls
        self._last_url_by_shard: dict[int, str] = {}

    async def post(self, shard: int, path: str, message, reply_type):
        """Sends a POST request to the keeper; raises KeeperUnreachableError."""
        return await self._send_to_keeper(
            shard,
            lambda url: self._client.post(url + path, message, reply_type),
        )

    async def get(self, shard: int, path: str, query, reply_type):
        """Sends a GET request to the keeper; raises KeeperUnreachableError."""
        suffix = f"{path}?{urlencode(query)}"
        return await self._send_to_keeper(
            shard, lambda url: self._client.get(url + suffix, reply_type)
        )

    async def _send_to_keeper(self, shard: int, send):
        """Retries until a keeper answers, as the keeper may be changing."""
        deadline = self._reactor.seconds() + defaults.KEEPER_SEARCH_TIMEOUT_S
        while True:
            try:
                return await self._try_each_router(shard, send)
            except KeeperUnreachableError:
                if self._reactor.seconds() >= deadline:
                    raise
            await task.deferLater(self._reactor, defaults.KEEPER_SEARCH_PAUSE_S)

    async def _try_each_router(self, shard: int, send):
        for url in self._candidates(shard):
            try:
                reply = await send(url)
            except UnreachableError:
                continue
            except ApiError as error:
                if error.code == "not_keeper":
                    continue
                raise
            self._last_url_by_shard[shard] = url
            return reply
        raise KeeperUnreachableError(
            f"no router answers as the keeper of shard {shard}"
        )

    def _candidates(self, shard: int) -> Iterable[str]:
        url_by_name = self._control_urls()
        order = rendezvous_order(f"shard-{shard}", url_by_name)
        urls = [url_by_name[name] for name in order]
        last = self._last_url_by_shard.get(shard)
        if last in urls:
            urls.remove(last)
            urls.insert(0, last)
        return urls


class BudgetClient:
    """Reserves tokens for calls and reports their usage to keepers.

    Attributes:
        holder: Incarnation id of this process.
        wallet_by_shard: This router's wallets.
    """

    def __init__(self, reactor, locator: KeeperLocator, router: str):
        self._reactor = reactor
        self._router = router
        self._locator = locator
        self._waiters_by_shard: dict[int, list[defer.Deferred]] = {}
        self._exchange_by_shard: dict[int, Exchange] = {}
        self._loop = task.LoopingCall(self._exchange_all)
        self._loop.clock = reactor
        self.holder = new_id()
        self.wallet_by_shard: dict[int, ShardWallet] = {}

    def start(self) -> None:
        """Starts to report usage periodically."""
        self._loop.start(defaults.USAGE_REPORT_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stops the periodic reports."""
        if self._loop.running:
            self._loop.stop()

    def wallet(self, shard: int) -> ShardWallet:
        """Returns the wallet of a shard; creates it on first use."""
        if shard not in self.wallet_by_shard:
            # Agents identify runs by `Usage.use` alone, so it must differ
            # between shards.
            holder = f"{self.holder}.{shard}"
            self.wallet_by_shard[shard] = ShardWallet(
                shard, holder, self._router
            )
        return self.wallet_by_shard[shard]

    async def reserve(
        self, shard: int, budget: str, tokens: int, deadline: float
    ) -> Reservation:
        """Reserves tokens for a call; requests more from the keeper if needed.

        Args:
            shard: Shard of the budget.
            budget: Budget's id.
            tokens: Upper bound on the call's usage.
            deadline: Time on the reactor's clock at which to give up.

        Raises:
            ApiError: `budget_exhausted` or `budget_unreachable`.
        """
        wallet = self.wallet(shard)
        while True:
            reservation = wallet.reserve(budget, tokens)
            if reservation is not None:
                return reservation
            if self._reactor.seconds() >= deadline:
                raise _unreachable_error()
            lacking = tokens - wallet.held(budget).free
            wallet.request_tokens(budget, lacking)
            await self._await_grant(wallet, budget, lacking, deadline)

    async def _await_grant(
        self, wallet: ShardWallet, budget: str, lacking: int, deadline: float
    ) -> None:
        """Waits for a reply; raises ApiError if too few tokens are left."""
        reply = await self._await_reply(wallet, deadline)
        if reply is None or budget not in reply["remaining"]:
            return
        granted = reply["granted"].get(budget, 0)
        if granted or reply["remaining"][budget] >= lacking:
            return
        if budget in reply["settling"]:
            raise ApiError(
                "budget_unreachable",
                "tokens held by routers that have stopped are being settled",
                retry_after_ms=defaults.RETRY_AFTER_MS,
            )
        raise ApiError(
            "budget_exhausted",
            f"the call may need {lacking} more tokens; fewer are left",
            retry_after_ms=defaults.BUDGET_RETRY_AFTER_MS,
        )

    async def _await_reply(
        self, wallet: ShardWallet, deadline: float
    ) -> ExchangeReply | None:
        """Waits for the reply to the current exchange, or to a new one."""
        waiter: defer.Deferred = defer.Deferred()
        self._waiters_by_shard.setdefault(wallet.shard, []).append(waiter)
        self._start_exchange(wallet)
        waiter.addTimeout(
            max(0.0, deadline - self._reactor.seconds()), self._reactor
        )
        try:
            return await waiter
        except defer.TimeoutError as error:
            raise _unreachable_error() from error

    def _exchange_all(self) -> None:
        for wallet in self.wallet_by_shard.values():
            if wallet.has_pending_report:
                self._start_exchange(wallet)

    def _start_exchange(self, wallet: ShardWallet) -> None:
        if wallet.shard in self._exchange_by_shard:
            return
        exchange = wallet.next_exchange()
        self._exchange_by_shard[wallet.shard] = exchange
        exchanging = defer.ensureDeferred(self._exchange(wallet, exchange))
        exchanging.addErrback(_log_failure)

    async def _exchange(self, wallet: ShardWallet, exchange: Exchange) -> None:
        reply = None
        try:
            reply = await self._locator.post(
                wallet.shard, "/keeper/exchange", exchange, ExchangeReply
            )
            wallet.apply_reply(exchange, reply)
        except (KeeperUnreachableError, ApiError) as error:
            log.warning(
                "shard {}: exchange with the keeper failed: {}",
                wallet.shard,
                error,
            )
            wallet.handle_failed_exchange(exchange)
            await task.deferLater(
                self._reactor, defaults.USAGE_REPORT_INTERVAL_S
            )
        finally:
            del self._exchange_by_shard[wallet.shard]
        for waiter in self._waiters_by_shard.pop(wallet.shard, []):
            if not waiter.called:
                waiter.callback(reply)
        if reply is not None and wallet.should_exchange_again(reply):
            self._start_exchange(wallet)

    async def handle_holder_query(self, query: HolderQuery) -> HolderReply:
        """Answers a keeper's query for the holder id of a shard.

        Takes over the keeper's epoch, releases the tokens that it recalls and
        reports to it.
        """
        wallet = self.wallet_by_shard.get(query["shard"])
        if wallet is None:
            return HolderReply(holder="")
        wallet.update_epoch(query["epoch"])
        wallet.recall(query.get("keep", {}))
        if wallet.has_pending_report:
            self._start_exchange(wallet)
        return HolderReply(holder=wallet.holder)

    async def move_to_current_epoch(
        self, reservation: Reservation, deadline: float
    ) -> Reservation:
        """Moves a reservation of a closed epoch to the current epoch.

        Raises:
            ApiError: `budget_unreachable` if no keeper accepts it in time, or
                if it was made under an earlier holder id.
        """
        wallet = self.wallet(reservation.shard)
        while not wallet.is_void(reservation):
            if wallet.epoch > reservation.epoch:
                return reservation._replace(epoch=wallet.epoch)
            if self._reactor.seconds() >= deadline:
                break
            await self._await_reply(wallet, deadline)
        raise _unreachable_error()

    async def release_unused(self) -> None:
        """Releases all free tokens and reports all usage, as far as possible.

        Gives up after `RETURN_TOKENS_TIMEOUT_S`.
        """
        deadline = self._reactor.seconds() + defaults.RETURN_TOKENS_TIMEOUT_S
        for wallet in self.wallet_by_shard.values():
            wallet.release_free()
            while (
                wallet.has_pending_report and self._reactor.seconds() < deadline
            ):
                with contextlib.suppress(ApiError):
                    await self._await_reply(wallet, deadline)

    async def customer(self, shard: int, name: str) -> CustomerReply:
        """Returns the salt and hash of a customer's secret key.

        Raises:
            KeeperUnreachableError: If no keeper answers.
            ApiError: `unauthorized` for an unknown customer.
        """
        query = {"shard": shard, "customer": name}
        return await self._locator.get(
            shard, "/keeper/customer", query, CustomerReply
        )

    async def budgets(self, shard: int, customer: str) -> BudgetsReply:
        """Returns a customer's budgets; raises as `customer` does."""
        query = {"shard": shard, "customer": customer}
        return await self._locator.get(
            shard, "/keeper/budgets", query, BudgetsReply
        )


def _unreachable_error() -> ApiError:
    return ApiError(
        "budget_unreachable",
        "the keeper of this budget can't be reached",
        retry_after_ms=defaults.RETRY_AFTER_MS,
    )


def _log_failure(failure) -> None:
    log.opt(exception=failure.value).error("exchange with a keeper failed")
