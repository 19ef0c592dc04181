"""A router says that it is ready once it can serve, or knows that it can't."""

from twisted.internet import defer
from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.membership.announcer import ReadyAnnouncer
from chicorystack.membership.presence import Presence
from chicorystack.membership.reports import ReportPoller
from chicorystack.membership.service_readiness import ServiceReadiness

VM = {"state": "live"}


class FakeAgent:
    """Answers as an agent does before and after it is ready."""

    def __init__(self):
        self.ready = False
        self.reachable = True

    async def get(self, _url, _type, _timeout_s):
        if not self.reachable:
            raise ApiError("internal", "down")
        return {"target": "engine-1", "ready": self.ready}


class Router:
    """What a router knows of one agent, on a driven clock."""

    def __init__(self):
        self.clock = Clock()
        self.agent = FakeAgent()
        self.presence = Presence(self.clock)
        self.presence.take_vm_list({"engine-1": VM})
        self.poller = ReportPoller(
            self.clock,
            self.agent,
            self.presence,
            lambda: {"engine-1": "http://agent"},
        )
        self.services = ServiceReadiness(
            self.clock, lambda _name: self.presence.takes_work("engine-1")
        )
        self.services.update(["model"])
        self.poller.start()

    def advance(self, seconds):
        steps = round(seconds / 0.1)
        self.clock.pump([0.1] * steps)


def test_agent_that_answers_not_ready_does_not_make_its_router_ready():
    router = Router()
    assert router.services.unsettled() == ["model"]
    router.agent.ready = True
    router.advance(1.1)
    assert router.services.unsettled() == []
    assert router.presence.takes_work("engine-1")


def test_agent_that_does_not_answer_does_not_make_its_router_ready():
    router = Router()
    router.agent.reachable = False
    router.advance(defaults.SERVICE_SETTLE_S - 0.3)
    assert router.services.unsettled() == ["model"]


def test_router_without_targets_is_ready_after_the_stated_bound():
    router = Router()
    router.advance(defaults.SERVICE_SETTLE_S + 0.1)
    assert router.services.unsettled() == []


def test_service_that_loses_its_targets_keeps_the_router_ready():
    router = Router()
    router.agent.ready = True
    router.advance(1.1)
    assert router.services.unsettled() == []
    router.agent.ready = False
    router.advance(1.1)
    assert not router.presence.takes_work("engine-1")
    assert router.services.unsettled() == []


def test_service_that_a_configuration_adds_is_looked_for():
    router = Router()
    router.advance(defaults.SERVICE_SETTLE_S + 0.1)
    router.services.update(["model", "booking"])
    assert router.services.unsettled() == ["booking"]


class Told:
    """Notes which routers were told."""

    def __init__(self):
        self.urls = []

    def post(self, url, _message, _type):
        self.urls.append(url)
        return defer.succeed({})


def test_agent_tells_each_router_when_it_turns_ready():
    told, state = Told(), {"ready": False, "routers": ["http://a"]}
    announcer = ReadyAnnouncer(
        Clock(), told, "engine-1",
        lambda: state["ready"], lambda: state["routers"],
    )  # fmt: skip
    announcer.review()
    assert told.urls == []
    state["ready"] = True
    announcer.review()
    announcer.review()
    assert told.urls == ["http://a/agent-ready"]
    state["routers"] = ["http://a", "http://b"]
    announcer.review()
    assert told.urls[1:] == ["http://b/agent-ready"]
    state["ready"] = False
    announcer.review()
    state["ready"] = True
    announcer.review()
    assert len(told.urls) == 4


def test_news_of_a_ready_agent_does_not_wait_for_the_next_poll():
    router = Router()
    router.advance(0.2)
    router.agent.ready = True
    defer.ensureDeferred(router.poller.ask("engine-1"))
    assert router.presence.takes_work("engine-1")
