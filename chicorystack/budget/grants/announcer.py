"""Announces this process's limits to its witnesses: see `witnesses`."""

from collections.abc import Callable, Iterator

from twisted.internet import defer, task

from chicorystack import defaults
from chicorystack.budget.grants.loans import LoanError
from chicorystack.budget.grants.process_grants import ProcessGrants
from chicorystack.budget.grants.records import (
    GrantRecord,
    Holder,
    decode_record,
)
from chicorystack.budget.grants.witnesses import (
    GrantNotice,
    LimitNotice,
    LimitsReport,
    LimitsRequest,
    WitnessPeers,
)
from chicorystack.observe.events import emit
from chicorystack.store.keyed_log import KeyedRecord


class LimitAnnouncer:
    """Sends limits to witnesses, and asks them about earlier processes."""

    def __init__(
        self, clock, grants: ProcessGrants, holder: Holder, peers: WitnessPeers
    ):
        self._clock = clock
        self._grants = grants
        self._holder = holder
        self._peers = peers
        self._process_by_router: dict[str, str] = {}
        self._skip_until_by_router: dict[str, float] = {}
        # Ranking them takes long where there are hundreds of routers.
        self._candidates: list[str] = []
        self._lock = defer.DeferredLock()
        # Rounds of notices that have begun.
        self._rounds = 0
        self._next_round = None

    def start(self) -> None:
        """Starts to announce limits at regular intervals.

        The notices also find out which routers answer, and as which process.
        """
        self._next_round = self._clock.callLater(
            defaults.ANNOUNCE_INTERVAL_S, self.start
        )
        self._candidates = self._peers.witness_candidates()
        self.announce_soon()

    def stop(self) -> None:
        """Stops the regular announcements."""
        if self._next_round is not None and self._next_round.active():
            self._next_round.cancel()

    def announce_soon(self) -> None:
        """Starts an announcement that nobody waits for, unless one runs."""
        if not self._lock.locked:
            defer.ensureDeferred(self.announce()).addErrback(_log_failure)

    async def announce(self) -> None:
        """Announces the limits that all customers' calls need now.

        Returns once enough witnesses have stored them, or all have been asked,
        and after ANNOUNCE_WAIT_S at the latest.
        """
        rounds = self._rounds
        await self._lock.acquire()
        try:
            # A round that began after this call has announced enough.
            if self._rounds == rounds:
                await self._send_to_witnesses()
        finally:
            self._lock.release()

    async def _send_to_witnesses(self) -> None:
        self._rounds += 1
        routers = self._witness_routers()
        if not routers:
            self._grants.announced.witnesses = ()
            return
        notice = LimitNotice(
            self._holder.router,
            self._holder.process,
            self._grants.limits_to_announce(),
        )
        sending = [
            defer.ensureDeferred(self._send(router, notice))
            for router in routers
        ]
        enough = self._wait_until(
            lambda: not self._grants.lacks_announcement(),
            sending,
            defaults.ANNOUNCE_WAIT_S,
        )
        all_ended = defer.DeferredList(sending, consumeErrors=True)
        all_ended.addCallback(self._finish_round)
        await enough

    def _wait_until(
        self,
        is_enough: Callable[[], bool],
        pending: list[defer.Deferred],
        timeout_s: float,
    ) -> "defer.Deferred[None]":
        """Returns a Deferred that fires once enough has been received.

        It fires at the latest when all of `pending` have ended, or after a
        timeout.
        """
        done: defer.Deferred[None] = defer.Deferred()
        timer = self._clock.callLater(timeout_s, done.callback, None)
        left = len(pending)

        def check(result):
            nonlocal left
            left -= 1
            if not done.called and (not left or is_enough()):
                timer.cancel()
                done.callback(None)
            return result

        for deferred in pending:
            deferred.addBoth(check)
        return done

    def _finish_round(self, results: list[tuple[bool, object]]) -> None:
        for succeeded, failure in results:
            if not succeeded:
                _log_failure(failure)
        self._grants.announced.witnesses = tuple(
            Holder(router, self._process_by_router[router])
            for router in self._witness_routers()
            if router in self._process_by_router
        )

    async def _send(self, router: str, notice: LimitNotice) -> None:
        """Sends a notice to one router."""
        try:
            answer = await self._peers.announce_limits(router, notice)
        except LoanError as error:
            self._skip_until_by_router[router] = (
                self._clock.seconds() + defaults.WITNESS_UNRESPONSIVE_S
            )
            emit(
                "budget", "witness_unresponsive", witness=router,
                reason=str(error),
            )  # fmt: skip
            return
        self._process_by_router[router] = answer.process
        self._grants.announced.add(
            Holder(router, answer.process), notice.limit_by_customer
        )

    def _witness_routers(self) -> list[str]:
        """Returns the routers to use as witnesses now."""
        now = self._clock.seconds()
        responsive = [
            router
            for router in self._candidates
            if now >= self._skip_until_by_router.get(router, 0.0)
        ]
        return responsive[: defaults.MAX_WITNESSES]

    def tell_grants(self, records: list[KeyedRecord]) -> None:
        """Tells another router which records are being written.

        If the store comes back from an older copy and this process dies before
        anyone has read a record, that router still knows it.
        """
        notice = GrantNotice(
            {record.key: decode_record(record.value) for record in records}
        )
        for router in self._witness_routers()[: defaults.GRANT_NOTICE_COPIES]:
            telling = defer.ensureDeferred(self._tell(router, notice))
            telling.addErrback(_log_failure)

    async def _tell(self, router: str, notice: GrantNotice) -> None:
        try:
            await self._peers.tell_grants(router, notice)
        except LoanError as error:
            emit("budget", "grants_not_told", router=router, reason=str(error))

    async def ask_about_predecessors(self, records: list[GrantRecord]) -> None:
        """Asks witnesses about earlier processes of this VM, each once.

        Returns once it is settled which of the records have enough reports.

        Args:
            records: Records of this router that earlier processes have written.
        """
        asking = [
            defer.ensureDeferred(self._ask(process, witness))
            for process, witness in dict.fromkeys(self._open_sources(records))
        ]
        for pending in asking:
            pending.addErrback(_log_failure)
        if asking:
            await self._wait_until(
                lambda: not any(self._open_sources(records)),
                asking,
                2 * defaults.PREDECESSOR_REPORT_WAIT_S,
            )

    def _open_sources(
        self, records: list[GrantRecord]
    ) -> Iterator[tuple[str, Holder]]:
        """Yields earlier processes with the witnesses still to be asked."""
        predecessors = self._grants.predecessors
        for record in records:
            process, terms = record["process"], record["terms"]
            if predecessors.is_settled(process, terms):
                continue
            for witness in terms.witnesses:
                if predecessors.is_missing(process, witness):
                    yield process, witness

    async def _ask(self, process: str, witness: Holder) -> None:
        report = await self._fetch_report(process, witness.router)
        self._grants.predecessors.add(process, witness, report)

    async def _fetch_report(
        self, process: str, router: str
    ) -> LimitsReport | None:
        """Returns a router's report; None if it gave none in time."""
        deadline = self._clock.seconds() + defaults.PREDECESSOR_REPORT_WAIT_S
        request = LimitsRequest(self._holder.router, process)
        while True:
            try:
                return await self._peers.fetch_limits(router, request)
            except LoanError as error:
                reason = str(error)
            if self._clock.seconds() >= deadline:
                break
            # The directory of routers may not have been read yet.
            await task.deferLater(
                self._clock, defaults.PREDECESSOR_REPORT_RETRY_S
            )
        emit(
            "budget", "no_limits_report", predecessor=process, witness=router,
            reason=reason,
        )  # fmt: skip
        return None


def _log_failure(failure) -> None:
    emit("budget", "failed", reason=failure.getTraceback())
