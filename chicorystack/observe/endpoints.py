"""HTTP endpoints for health checks, status and decision records.

Every router (on its control port) and agent serves `/healthz` and `/readyz`
to all clients, and `/status` and `/explain` to clients with the fleet token.
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
    ResourceTree,
    send_json,
)


class EmptyQuery(TypedDict):
    """A query without arguments."""


class Readiness(TypedDict):
    """Whether a process can serve calls.

    Attributes:
        ready: Whether the process can serve calls.
        reason: Why it can't; absent if it can.
        config_version: Version of the configuration in force; 0 for none.
    """

    ready: bool
    reason: NotRequired[str]
    config_version: int


class TargetStatus(TypedDict):
    """A target's state as known to one router.

    Attributes:
        target: Name of the target.
        leaving: Whether the target accepts no new calls.
        in_flight: Number of this router's calls in flight at the target.
    """

    target: str
    leaving: bool
    in_flight: int


class ProcessStatus(TypedDict):
    """State of a process, for operators.

    Attributes:
        process: Name of its VM.
        role: Kind of program.
        version: Version of the program.
        readiness: Whether it can serve calls.
        in_flight: Number of calls in flight.
        violations: Number of violations by invariant.
        epoch_by_shard: Epoch of each shard it is the keeper of; routers only.
        targets: State of the known targets; routers only.
        evacuated: Data centres whose targets get no new calls; routers only.
    """

    process: str
    role: Literal["router", "agent"]
    version: str
    readiness: Readiness
    in_flight: int
    violations: dict[str, int]
    epoch_by_shard: NotRequired[dict[str, int]]
    targets: NotRequired[list[TargetStatus]]
    evacuated: NotRequired[list[str]]


class ReadinessResource(resource.Resource):
    """`/readyz`: 200 if calls can be served, else 503 with the reason."""

    isLeaf = True

    def __init__(self, readiness: Callable[[], Readiness]):
        super().__init__()
        self._readiness = readiness

    def render(self, request: server.Request) -> int:
        """Responds to any method, as load balancers' probes differ."""
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
    """Returns the status fields that all programs have."""
    return ProcessStatus(
        process=process,
        role=role,
        version=__version__,
        readiness=readiness,
        in_flight=in_flight,
        violations=dict(violations_by_name),
    )


def put_observe_endpoints(
    root: ResourceTree,
    authorize: Authorizer,
    readiness: Callable[[], Readiness],
    status: Callable[[], ProcessStatus],
) -> None:
    """Adds the endpoints below root."""

    async def handle_status(_message: EmptyQuery) -> ProcessStatus:
        return status()

    async def handle_explain(query: ExplainQuery) -> ExplainReply:
        subjects = set(query["subjects"].split(","))
        return ExplainReply(
            process=status()["process"],
            decisions=decisions.find_by_subject(subjects),
        )

    root.put("healthz", HealthResource())
    root.put("readyz", ReadinessResource(readiness))
    root.put("status", JsonEndpoint(EmptyQuery, handle_status, authorize))
    root.put("explain", JsonEndpoint(ExplainQuery, handle_explain, authorize))


class HealthResource(resource.Resource):
    """`/healthz`: 200 as long as the event loop runs."""

    isLeaf = True

    def render(self, request: server.Request) -> int:
        """Responds to any method."""
        send_json(request, http.OK, {})
        return server.NOT_DONE_YET
