"""Stand-in for a plain service: bookings, which must run once, and look-ups."""

from collections import Counter
from typing import TypedDict

from twisted.internet import task
from twisted.web import resource, server

from chicorystack.calls.messages import Empty, EngineLoad
from chicorystack.decoding import decode_json
from chicorystack.web.server import (
    JsonEndpoint,
    ResourceTree,
    allow_all,
    get_header,
    run_handler,
    send_json,
)


class ServiceCounts(TypedDict):
    """Counts of calls.

    Attributes:
        runs_by_operation: Calls run, by operation.
        runs_by_key: Calls run, by idempotency key.
    """

    runs_by_operation: dict[str, int]
    runs_by_key: dict[str, int]


class ServiceReply(TypedDict):
    """Reply to any operation.

    Attributes:
        operation: The operation.
        reference: Reference number of the run.
        echo: The fields of the request.
    """

    operation: str
    reference: str
    echo: dict[str, object]


class PlainService(resource.Resource):
    """Runs any operation and counts its calls."""

    isLeaf = True

    def __init__(self, clock, work_s: float):
        super().__init__()
        self._clock = clock
        self._work_s = work_s
        self._runs_by_operation: Counter[str] = Counter()
        self._runs_by_key: Counter[str] = Counter()

    def render_POST(self, request: server.Request) -> int:
        """Runs one call."""
        return run_handler(request, self._run(request))

    async def load(self, _message: Empty) -> EngineLoad:
        """Returns the load, which is always zero."""
        return EngineLoad(running=0, queued=0)

    async def counts(self, _message: Empty) -> ServiceCounts:
        """Returns the counts of calls."""
        return ServiceCounts(
            runs_by_operation=dict(self._runs_by_operation),
            runs_by_key=dict(self._runs_by_key),
        )

    async def _run(self, request: server.Request) -> None:
        operation = request.postpath[0].decode()
        self._runs_by_operation[operation] += 1
        self._runs_by_key[get_header(request, "idempotency-key") or ""] += 1
        request.content.seek(0)
        fields = decode_json(request.content.read(), dict[str, object])
        await task.deferLater(self._clock, self._work_s)
        number = sum(self._runs_by_operation.values())
        reply = ServiceReply(
            operation=operation, reference=f"job-{number}", echo=fields
        )
        send_json(request, 200, reply)


def plain_service_tree(service: PlainService) -> ResourceTree:
    """Returns the HTTP interface of the stand-in."""
    root = ResourceTree()
    root.put("load", JsonEndpoint(Empty, service.load, allow_all))
    root.put("counts", JsonEndpoint(Empty, service.counts, allow_all))
    root.put("call", service)
    return root
