"""Property-based test of one crashing request among harmless ones."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from twisted.internet import defer
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.agent.target_client import TargetFailedError
from chicorystack.errors import ApiError
from chicorystack.quarantine.router_quarantine import assign_suspect
from chicorystack.quarantine.strikes import StrikeTable
from chicorystack.quarantine.target_monitor import TargetMonitor

TARGETS = 6
ROUTERS = 2
CRASHING = "crashing"
router_numbers = st.integers(0, ROUTERS - 1)
target_picks = st.integers(0, TARGETS - 1)


class FakeTarget:
    """A target that the test can crash, with its agent's monitor."""

    def __init__(self, name, clock):
        self.alive = True
        self.strikes = StrikeTable(clock)
        self.monitor = TargetMonitor(name, self.strikes, self)
        self.running = []

    async def is_alive(self):
        return self.alive

    def start(self, content):
        run = defer.Deferred()
        self.running.append((content, run))
        return run

    def crash(self):
        self.alive = False
        running, self.running = self.running, []
        for _, run in running:
            run.errback(TargetFailedError("gone"))

    def restart(self):
        self.alive = True
        self.monitor.update_target_state(is_alive=True)


class QuarantineMachine(RuleBasedStateMachine):
    """Calls through either router; harmless ones are retried if they fail."""

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.targets = {
            f"t{number}": FakeTarget(f"t{number}", self.clock)
            for number in range(TARGETS)
        }
        self.routers = [StrikeTable(self.clock) for _ in range(ROUTERS)]
        self.crashes = 0
        self.harmless_count = 0
        self.sent_without_strikes = False
        self.refused = []

    def usable(self):
        return [
            name
            for name, target in self.targets.items()
            if not target.monitor.target_down
        ]

    def send(self, content, router, pick):
        strikes = self.routers[router]
        try:
            strikes.check(content)
        except ApiError:
            self.refused.append(content)
            return
        usable = self.usable()
        if not usable:
            return
        name = assign_suspect(strikes, content, usable)
        target = self.targets[name or usable[pick % len(usable)]]
        target.monitor.merge_strikes(strikes.messages(content))
        running = defer.ensureDeferred(
            target.monitor.run(content, lambda: target.start(content))
        )
        running.addErrback(self.handle_failure, target, content, router, pick)

    def handle_failure(self, failure, target, content, router, pick):
        failure.trap(TargetFailedError, ApiError)
        if failure.check(ApiError):
            self.refused.append(content)
            return
        for strikes in self.routers:
            strikes.merge(target.strikes.messages())
        if content != CRASHING:
            self.send(content, router, pick + 1)

    @rule(router=router_numbers, pick=target_picks)
    def send_harmless(self, router, pick):
        self.harmless_count += 1
        self.send(f"innocent-{self.harmless_count}", router, pick)

    @rule(router=router_numbers, pick=target_picks)
    def send_crashing(self, router, pick):
        # Copies that start before the first strike are not recognized as
        # suspects, so only one is sent without strikes.
        if (
            self.routers[router].count(CRASHING)
            or not self.sent_without_strikes
        ):
            self.sent_without_strikes = True
            self.send(CRASHING, router, pick)

    @rule(pick=target_picks)
    def crash_target(self, pick):
        running_crashing = [
            target
            for target in self.targets.values()
            if CRASHING in [content for content, _ in target.running]
        ]
        if running_crashing:
            self.crashes += 1
            running_crashing[pick % len(running_crashing)].crash()

    @rule(pick=target_picks)
    def complete_harmless(self, pick):
        for target in list(self.targets.values())[pick:]:
            for run in list(target.running):
                if run[0] != CRASHING:
                    target.running.remove(run)
                    run[1].callback(None)

    @rule()
    def restart_targets(self):
        for target in self.targets.values():
            if not target.alive:
                target.restart()

    def teardown(self):
        for target in self.targets.values():
            while target.running:
                target.running.pop()[1].callback(None)

    @invariant()
    def few_targets_crash_and_no_harmless_request_is_refused(self):
        assert self.crashes <= defaults.QUARANTINE_STRIKES
        assert set(self.refused) <= {CRASHING}


QuarantineMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=30
)
TestQuarantineMachine = QuarantineMachine.TestCase
