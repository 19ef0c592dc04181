"""Random lives of routers that share prepaid budgets, on a driven clock."""

from collections import deque

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from twisted.internet import defer, task

from chicorystack.budget.grant_client import GrantClient
from chicorystack.budget.grant_records import Holder, Instant
from chicorystack.budget.loans import LoanError
from chicorystack.observe.invariants import violations_by_name
from tests.support.fake_log import FakeLog

CUSTOMERS = ("alpha", "beta")
ROUTERS = ("router-1", "router-2", "router-3")
PREPAID = 20_000
FAULTS = st.sampled_from(["refused", "lost", "never", "late"])
LOAN_FAULTS = st.sampled_from(["no_request", "no_answer", "twice", "slow"])


class VmClock:
    """One VM's clock; each boot begins it anew at another value."""

    def __init__(self, clock):
        self._clock = clock
        self.boot = 0.0

    def reboot(self):
        self.boot += 1000.0 + self._clock.seconds()

    def instant(self):
        # A clock that begins anew may show any value, earlier ones too.
        return Instant(self.boot, self._clock.seconds())


class Peers:
    """Carries loans between the machine's processes, with faults."""

    def __init__(self, machine, router):
        self._machine = machine
        self._router = router

    def names(self):
        return [name for name in ROUTERS if name != self._router]

    async def ask(self, router, request):
        return await self._send(router, lambda lender: lender.lend(request))

    async def hand_over(self, router, message):
        return await self._send(
            router, lambda lender: lender.take_over(message)
        )

    async def _send(self, router, deliver):
        faults = self._machine.loan_faults
        fault = faults.popleft() if faults else None
        await self._wait(0.5 if fault == "slow" else 0.002)
        if fault == "no_request":
            raise LoanError("no request", maybe_done=False)
        lender = self._machine.process_by_router[router].client.lender
        answer = deliver(lender)
        if fault == "twice":
            answer = deliver(lender)
        if fault == "no_answer":
            raise LoanError("no answer")
        await self._wait(0.002)
        return answer

    def _wait(self, seconds):
        return task.deferLater(self._machine.clock, seconds)


class Process:
    """One router process and the calls that it has admitted."""

    def __init__(self, machine, router, number):
        self.frozen = False
        self.calls = []
        self.used = dict.fromkeys(CUSTOMERS, 0)
        self.client = GrantClient(
            machine.clock,
            machine.log,
            "keyed.grants",
            Holder(router, f"{router}#{number}"),
            lambda: len(ROUTERS),
            machine.vm_clocks[router],
            Peers(machine, router),
        )
        self.client.set_prepaid(dict(machine.prepaid))
        self.client.start()

    def admit(self, customer, tokens, now):
        asking = defer.ensureDeferred(
            self.client.reserve(customer, tokens, now + 0.5)
        )
        asking.addCallbacks(self._admitted, lambda _: None)

    def _admitted(self, reservation):
        # Tokens count as used from here on: the call is on its way.
        self.used[reservation.customer] += reservation.tokens
        self.calls.append(reservation)

    def finish(self, part):
        if not self.calls:
            return
        reservation = self.calls.pop(0)
        spent = int(reservation.tokens * part)
        self.used[reservation.customer] -= reservation.tokens - spent
        self.client.settle(reservation, spent)

    def kill(self):
        self.client.stop()
        # Nothing that it began goes on.
        self.admit = lambda *_: None
        self._admitted = lambda *_: None


class GrantMachine(RuleBasedStateMachine):
    """Routers that start, stop, die and spend while the store misbehaves."""

    @initialize()
    def begin(self):
        self.violations = violations_by_name.total()
        self.clock = task.Clock()
        self.log = FakeLog(self.clock)
        self.loan_faults = deque()
        self.vm_clocks = {name: VmClock(self.clock) for name in ROUTERS}
        self.prepaid = dict.fromkeys(CUSTOMERS, PREPAID)
        self.number = 0
        self.used_by_dead = dict.fromkeys(CUSTOMERS, 0)
        self.process_by_router = {}
        for router in ROUTERS:
            self._start(router)

    def _start(self, router):
        self.number += 1
        process = Process(self, router, self.number)
        self.process_by_router[router] = process

    @rule(
        router=st.sampled_from(ROUTERS),
        customer=st.sampled_from(CUSTOMERS),
        tokens=st.integers(1, 4_000),
        calls=st.integers(1, 5),
    )
    def call(self, router, customer, tokens, calls):
        process = self.process_by_router[router]
        for _ in range(calls):
            process.admit(customer, tokens, self.clock.seconds())
        self.clock.pump([0.005] * 6)

    @rule(router=st.sampled_from(ROUTERS), part=st.floats(0, 1))
    def finish(self, router, part):
        self.process_by_router[router].finish(part)

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 8.0]))
    def wait(self, seconds):
        self.clock.pump([0.05] * round(seconds / 0.05))

    @rule(faults=st.lists(FAULTS, min_size=1, max_size=4))
    def misbehave(self, faults):
        self.log.faults.extend(faults)

    @rule(down=st.booleans())
    def outage(self, down):
        self.log.down = down

    @rule(faults=st.lists(LOAN_FAULTS, min_size=1, max_size=4))
    def lose_loans(self, faults):
        self.loan_faults.extend(faults)

    @rule()
    def forget_history(self):
        self.log.forget_history()

    @rule(customer=st.sampled_from(CUSTOMERS), tokens=st.integers(1, 5_000))
    def top_up(self, customer, tokens):
        self.prepaid[customer] += tokens
        for process in self.process_by_router.values():
            process.client.set_prepaid(dict(self.prepaid))

    @rule(router=st.sampled_from(ROUTERS), power=st.booleans())
    def kill(self, router, power):
        process = self.process_by_router[router]
        process.kill()
        for customer, used in process.used.items():
            self.used_by_dead[customer] += used
        if power:
            self.vm_clocks[router].reboot()
        self._start(router)

    @rule(router=st.sampled_from(ROUTERS))
    def stop(self, router):
        """Ends a process as planned, with its calls finished."""
        process = self.process_by_router[router]
        while process.calls:
            process.finish(0.5)
        defer.ensureDeferred(process.client.give_back())
        self.clock.pump([0.05] * 40)
        self.kill(router, power=False)

    @invariant()
    def no_violation_inside(self):
        if hasattr(self, "violations"):
            found = violations_by_name.total() - self.violations
            assert not found, f"{found} of the program's own invariants broke"

    @invariant()
    def within_prepaid(self):
        if not hasattr(self, "process_by_router"):
            return
        for customer, prepaid in self.prepaid.items():
            used = self.used_by_dead[customer] + sum(
                process.used[customer]
                for process in self.process_by_router.values()
            )
            assert used <= prepaid, f"{customer}: {used} of {prepaid}"
