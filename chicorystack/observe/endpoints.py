"""Endpoints by which people and balancers look into a process.

Every router (control port) and agent offers `/healthz` and `/readyz` to all,
and `/status` and `/explain` to those who show the fleet token.
"""

from collections.abc import Callable
from typing import Literal, NotRequired, TypedDict

from twisted.web import http, resource, server

from chicorystack import __version__
from chicorystack.observe.decisions import (
    ExplainQuery,
    ExplainReply,
    decisions,
)
from chicorystack.observe.invariants import violations_by_name
from chicorystack.web.server import (
    Authorizer,
    JsonEndpoint,
    Tree,
    send_json,
)


class NoFields(TypedDict):
    """A request without arguments."""


class Readiness(TypedDict):
    """Whether a process can serve calls.

    Attributes:
        ready: Whether it can.
        reason: Why not, where it can't.
        config_version: Version in force here; 0 for none.
    """

    ready: bool
    reason: NotRequired[str]
    config_version: int


class TargetStatus(TypedDict):
    """A target as one router sees it.

    Attributes:
        target: Name of the target.
        leaving: Whether it takes no new calls.
        in_flight: Calls that this router has in flight there.
    """

    target: str
    leaving: bool
    in_flight: int


class ProcessStatus(TypedDict):
    """What a process tells operators of itself.

    Attributes:
        process: Name of its VM.
        role: Which program it is.
        version: Version of the program.
        readiness: Whether it can serve calls.
        in_flight: Calls in flight.
        violations: Invariants that did not hold, with how often.
        epoch_by_shard: Shards that it keeps, with the epoch; routers only.
        targets: Targets as it sees them; routers only.
    """

    process: str
    role: Literal["router", "agent"]
    version: str
    readiness: Readiness
    in_flight: int
    violations: dict[str, int]
    epoch_by_shard: NotRequired[dict[str, int]]
    targets: NotRequired[list[TargetStatus]]


class ReadinessResource(resource.Resource):
    """`/readyz`: 200 where calls can be served, else 503, with the reason."""

    isLeaf = True

    def __init__(self, readiness: Callable[[], Readiness]):
        super().__init__()
        self._readiness = readiness

    def render(self, request: server.Request) -> int:
        """Answers any method, so that every balancer's probe works."""
        readiness = self._readiness()
        status = http.OK if readiness["ready"] else http.SERVICE_UNAVAILABLE
        send_json(request, status, readiness)
        return server.NOT_DONE_YET


def make_status(
    process: str,
    role: Literal["router", "agent"],
    readiness: Readiness,
    in_flight: int,
) -> ProcessStatus:
    """Returns the part of a status that all programs share."""
    return ProcessStatus(
        process=process,
        role=role,
        version=__version__,
        readiness=readiness,
        in_flight=in_flight,
        violations=dict(violations_by_name),
    )


def put_observe_endpoints(
    root: Tree,
    authorize: Authorizer,
    readiness: Callable[[], Readiness],
    status: Callable[[], ProcessStatus],
) -> None:
    """Places the endpoints below root."""

    async def answer_status(_message: NoFields) -> ProcessStatus:
        return status()

    async def answer_explain(query: ExplainQuery) -> ExplainReply:
        subjects = set(query["subjects"].split(","))
        return ExplainReply(
            process=status()["process"], decisions=decisions.about(subjects)
        )

    root.put("healthz", HealthResource())
    root.put("readyz", ReadinessResource(readiness))
    root.put("status", JsonEndpoint(NoFields, answer_status, authorize))
    root.put("explain", JsonEndpoint(ExplainQuery, answer_explain, authorize))


class HealthResource(resource.Resource):
    """`/healthz`: 200 as long as the event loop turns."""

    isLeaf = True

    def render(self, request: server.Request) -> int:
        """Answers any method."""
        send_json(request, http.OK, {})
        return server.NOT_DONE_YET
