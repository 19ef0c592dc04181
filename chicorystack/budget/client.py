"""The router's side of budgets: reserves tokens and reports usage."""

import contextlib
from collections.abc import Callable, Iterable
from urllib.parse import urlencode

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget.messages import (
    BudgetsReply,
    CustomerReply,
    Exchange,
    ExchangeReply,
    HolderQuery,
    HolderReply,
)
from chicorystack.budget.wallet import Reservation, ShardWallet
from chicorystack.errors import ApiError, ChicoryError
from chicorystack.observe.logs import part_logger
from chicorystack.util import new_id, rendezvous_order
from chicorystack.web.client import JsonClient, UnreachableError

log = part_logger("budget")


class KeeperUnreachableError(ChicoryError):
    """No router answered as the keeper of a shard."""


class KeeperLocator:
    """Finds the router that keeps a shard.

    Routers are asked in rendezvous order, the one that answered last first.
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
        self._last_by_shard: dict[int, str] = {}

    async def post(self, shard: int, path: str, message, reply_type):
        """Posts a message to the keeper; raises KeeperUnreachableError."""
        return await self._ask(
            shard,
            lambda url: self._client.post(url + path, message, reply_type),
        )

    async def get(self, shard: int, path: str, query, reply_type):
        """Gets a path from the keeper; raises KeeperUnreachableError."""
        suffix = f"{path}?{urlencode(query)}"
        return await self._ask(
            shard, lambda url: self._client.get(url + suffix, reply_type)
        )

    async def _ask(self, shard: int, send):
        """Asks until a keeper answers; a shard may be changing hands."""
        give_up_at = self._reactor.seconds() + defaults.KEEPER_SEARCH_TIMEOUT_S
        while True:
            try:
                return await self._ask_each(shard, send)
            except KeeperUnreachableError:
                if self._reactor.seconds() >= give_up_at:
                    raise
            await task.deferLater(self._reactor, defaults.KEEPER_SEARCH_PAUSE_S)

    async def _ask_each(self, shard: int, send):
        for url in self._candidates(shard):
            try:
                reply = await send(url)
            except UnreachableError:
                continue
            except ApiError as error:
                if error.code == "not_keeper":
                    continue
                raise
            self._last_by_shard[shard] = url
            return reply
        raise KeeperUnreachableError(f"no keeper of shard {shard} answers")

    def _candidates(self, shard: int) -> Iterable[str]:
        url_by_name = self._control_urls()
        order = rendezvous_order(f"shard-{shard}", url_by_name)
        urls = [url_by_name[name] for name in order]
        last = self._last_by_shard.get(shard)
        if last in urls:
            urls.remove(last)
            urls.insert(0, last)
        return urls


class BudgetClient:
    """Reserves tokens for calls and reports their usage to keepers.

    Attributes:
        holder: Incarnation id of this process.
        wallet_by_shard: The wallets.
    """

    def __init__(self, reactor, locator: KeeperLocator, router: str):
        self._reactor = reactor
        self._router = router
        self._locator = locator
        self._waiters_by_shard: dict[int, list[defer.Deferred]] = {}
        self._exchanging: dict[int, Exchange] = {}
        self._loop = task.LoopingCall(self._exchange_all)
        self._loop.clock = reactor
        self.holder = new_id()
        self.wallet_by_shard: dict[int, ShardWallet] = {}

    def start(self) -> None:
        """Begins to report usage."""
        self._loop.start(defaults.USAGE_REPORT_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stops reporting."""
        if self._loop.running:
            self._loop.stop()

    def wallet(self, shard: int) -> ShardWallet:
        """Returns the wallet of a shard, made on first use."""
        if shard not in self.wallet_by_shard:
            # Agents know runs by their use alone, whatever the shard.
            holder = f"{self.holder}.{shard}"
            self.wallet_by_shard[shard] = ShardWallet(
                shard, holder, self._router
            )
        return self.wallet_by_shard[shard]

    async def reserve(
        self, shard: int, budget: str, tokens: int, deadline: float
    ) -> Reservation:
        """Sets tokens aside for a call, asking the keeper where needed.

        Args:
            shard: Shard of the budget.
            budget: Budget's id.
            tokens: Upper bound on the call's usage.
            deadline: Time on the reactor's clock to give up at.

        Raises:
            ApiError: `budget_exhausted` or `budget_unreachable`.
        """
        wallet = self.wallet(shard)
        while True:
            reservation = wallet.reserve(budget, tokens)
            if reservation is not None:
                return reservation
            if self._reactor.seconds() >= deadline:
                raise _unreachable()
            lacking = tokens - wallet.held(budget).free
            wallet.want(budget, lacking)
            await self._await_exchange(wallet, budget, lacking, deadline)

    async def _await_exchange(
        self, wallet: ShardWallet, budget: str, lacking: int, deadline: float
    ) -> None:
        reply = await self._await_any_exchange(wallet, deadline)
        if reply is None or budget not in reply["remaining"]:
            return
        granted = reply["granted"].get(budget, 0)
        if granted or reply["remaining"][budget] >= lacking:
            return
        if budget in reply["settling"]:
            raise ApiError(
                "budget_unreachable",
                "tokens of routers that are gone are being settled",
                retry_after_ms=defaults.RETRY_AFTER_MS,
            )
        raise ApiError(
            "budget_exhausted",
            f"the budget lacks {lacking} tokens that the call may need",
            retry_after_ms=defaults.BUDGET_RETRY_AFTER_MS,
        )

    async def _await_any_exchange(
        self, wallet: ShardWallet, deadline: float
    ) -> ExchangeReply | None:
        """Waits for the exchange in course, or begins one."""
        waiter: defer.Deferred = defer.Deferred()
        self._waiters_by_shard.setdefault(wallet.shard, []).append(waiter)
        self._start_exchange(wallet)
        waiter.addTimeout(
            max(0.0, deadline - self._reactor.seconds()), self._reactor
        )
        try:
            return await waiter
        except defer.TimeoutError as error:
            raise _unreachable() from error

    def _exchange_all(self) -> None:
        for wallet in self.wallet_by_shard.values():
            if wallet.has_news:
                self._start_exchange(wallet)

    def _start_exchange(self, wallet: ShardWallet) -> None:
        if wallet.shard in self._exchanging:
            return
        exchange = wallet.next_exchange()
        self._exchanging[wallet.shard] = exchange
        running = defer.ensureDeferred(self._exchange(wallet, exchange))
        running.addErrback(_log_failure)

    async def _exchange(self, wallet: ShardWallet, exchange: Exchange) -> None:
        reply = None
        try:
            reply = await self._locator.post(
                wallet.shard, "/keeper/exchange", exchange, ExchangeReply
            )
            wallet.take_reply(exchange, reply)
        except (KeeperUnreachableError, ApiError) as error:
            log.warning("shard {}: {}", wallet.shard, error)
            wallet.exchange_failed(exchange)
            await task.deferLater(
                self._reactor, defaults.USAGE_REPORT_INTERVAL_S
            )
        finally:
            del self._exchanging[wallet.shard]
        for waiter in self._waiters_by_shard.pop(wallet.shard, []):
            if not waiter.called:
                waiter.callback(reply)
        if reply is not None and wallet.should_go_on(reply):
            self._start_exchange(wallet)

    async def handle_holder(self, query: HolderQuery) -> HolderReply:
        """Learns a keeper's epoch, registers there, and says who this is."""
        wallet = self.wallet_by_shard.get(query["shard"])
        if wallet is None:
            return HolderReply(holder="")
        wallet.learn_epoch(query["epoch"])
        wallet.recall(query.get("keep", {}))
        if wallet.has_news:
            self._start_exchange(wallet)
        return HolderReply(holder=wallet.holder)

    async def restate(
        self, reservation: Reservation, deadline: float
    ) -> Reservation:
        """Brings a reservation whose epoch is closed into the present one.

        Raises:
            ApiError: `budget_unreachable` where no keeper accepts it in time.
        """
        wallet = self.wallet(reservation.shard)
        while not wallet.is_void(reservation):
            if wallet.epoch > reservation.epoch:
                return reservation._replace(epoch=wallet.epoch)
            if self._reactor.seconds() >= deadline:
                break
            await self._await_any_exchange(wallet, deadline)
        raise _unreachable()

    async def hand_back(self) -> None:
        """Gives all free tokens back and reports all usage, where it can."""
        give_up_at = self._reactor.seconds() + defaults.RETURN_TOKENS_TIMEOUT_S
        for wallet in self.wallet_by_shard.values():
            wallet.give_back()
            while wallet.has_news and self._reactor.seconds() < give_up_at:
                with contextlib.suppress(ApiError):
                    await self._await_any_exchange(wallet, give_up_at)

    async def customer(self, shard: int, name: str) -> CustomerReply:
        """Returns what tells a customer's secret key.

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


def _unreachable() -> ApiError:
    return ApiError(
        "budget_unreachable",
        "the keeper of this budget can't be reached",
        retry_after_ms=defaults.RETRY_AFTER_MS,
    )


def _log_failure(failure) -> None:
    log.opt(exception=failure.value).error("exchange with a keeper failed")
