"""A router is ready once each service has a target or a deadline passes."""

from twisted.internet import defer
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.membership.announcer import ReadyAnnouncer
from chicorystack.membership.availability import TargetAvailability
from chicorystack.membership.reports import ReportPoller
from chicorystack.membership.service_readiness import ServiceReadiness

VM = {"state": "live"}


class FakeAgent:
    """Agent whose readiness and reachability the test sets."""

    def __init__(self):
        self.ready = False
        self.reachable = True

    async def get(self, _url, _type, _timeout_s):
        if not self.reachable:
            raise ApiError("internal", "down")
        return {"target": "engine-1", "ready": self.ready}


class Router:
    """A router's view of one agent, on a simulated clock."""

    def __init__(self):
        self.clock = Clock()
        self.agent = FakeAgent()
        self.availability = TargetAvailability(self.clock)
        self.availability.update_vm_list({"engine-1": VM})
        self.poller = ReportPoller(
            self.clock,
            self.agent,
            self.availability,
            lambda: {"engine-1": "http://agent"},
        )
        self.services = ServiceReadiness(
            self.clock,
            lambda _name: self.availability.accepts_calls("engine-1"),
        )
        self.services.update(["model"])
        self.poller.start()

    def advance(self, seconds):
        steps = round(seconds / 0.1)
        self.clock.pump([0.1] * steps)


def test_agent_that_reports_not_ready_does_not_make_its_router_ready():
    router = Router()
    assert router.services.pending_services() == ["model"]
    router.agent.ready = True
    router.advance(1.1)
    assert router.services.pending_services() == []
    assert router.availability.accepts_calls("engine-1")


def test_agent_that_does_not_answer_does_not_make_its_router_ready():
    router = Router()
    router.agent.reachable = False
    router.advance(defaults.SERVICE_TARGET_WAIT_S - 0.3)
    assert router.services.pending_services() == ["model"]


def test_router_without_targets_is_ready_after_the_deadline():
    router = Router()
    router.advance(defaults.SERVICE_TARGET_WAIT_S + 0.1)
    assert router.services.pending_services() == []


def test_router_stays_ready_when_a_service_loses_its_targets():
    router = Router()
    router.agent.ready = True
    router.advance(1.1)
    assert router.services.pending_services() == []
    router.agent.ready = False
    router.advance(1.1)
    assert not router.availability.accepts_calls("engine-1")
    assert router.services.pending_services() == []


def test_router_waits_for_a_target_of_an_added_service():
    router = Router()
    router.advance(defaults.SERVICE_TARGET_WAIT_S + 0.1)
    router.services.update(["model", "booking"])
    assert router.services.pending_services() == ["booking"]


class RecordingClient:
    """Records the URLs of the notified routers."""

    def __init__(self):
        self.urls = []

    def post(self, url, _message, _type):
        self.urls.append(url)
        return defer.succeed({})


def test_agent_notifies_each_router_when_it_becomes_ready():
    client, state = RecordingClient(), {"ready": False, "routers": ["http://a"]}
    announcer = ReadyAnnouncer(
        Clock(), client, "engine-1",
        lambda: state["ready"], lambda: state["routers"],
    )  # fmt: skip
    announcer.notify_routers()
    assert client.urls == []
    state["ready"] = True
    announcer.notify_routers()
    announcer.notify_routers()
    assert client.urls == ["http://a/agent-ready"]
    state["routers"] = ["http://a", "http://b"]
    announcer.notify_routers()
    assert client.urls[1:] == ["http://b/agent-ready"]
    state["ready"] = False
    announcer.notify_routers()
    state["ready"] = True
    announcer.notify_routers()
    assert len(client.urls) == 4


def test_notice_of_a_ready_agent_does_not_wait_for_the_next_poll():
    router = Router()
    router.advance(0.2)
    router.agent.ready = True
    defer.ensureDeferred(router.poller.poll_target("engine-1"))
    assert router.availability.accepts_calls("engine-1")
