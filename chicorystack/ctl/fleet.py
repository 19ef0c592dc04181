"""Commands that query every VM of the fleet: status and explain."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple, TypedDict, TypeVar
from urllib.parse import urlencode

from twisted.internet import defer

from chicorystack.budget.keeper.messages import shard_stream
from chicorystack.config.messages import CONFIG_STREAM
from chicorystack.ctl.session import Session
from chicorystack.ctl.tables import format_table, format_time
from chicorystack.errors import ApiError
from chicorystack.infrastructure.messages import Vm
from chicorystack.observe.decisions import VM_SUBJECT, Decision, ExplainReply
from chicorystack.observe.endpoints import ProcessStatus
from chicorystack.util import key_hash, shard_of
from chicorystack.web.client import UnreachableError

ReplyT = TypeVar("ReplyT")
STATUS_HEADER = (
    "VM", "role", "data centre", "list", "ready", "config", "in flight",
    "keeps shard@epoch",
)  # fmt: skip
# Other decisions of the fleet are shown with a request if they are at most this
# long before its first decision or after its last.
CONTEXT_BEFORE_S = 30.0
CONTEXT_AFTER_S = 5.0


class VmReply(NamedTuple):
    """The reply of one VM.

    Attributes:
        vm: The VM.
        reply: Its reply; None if there was none.
        error: Why there was none.
    """

    vm: Vm
    reply: object | None
    error: str = ""


class VmStatus(TypedDict):
    """A VM of the VM list with the status of its process.

    Attributes:
        vm: Entry of the VM list.
        status: Status reported by its process; None if it does not answer.
        problem: Why it does not answer.
    """

    vm: Vm
    status: ProcessStatus | None
    problem: str


class FleetStatus(TypedDict):
    """Status of the whole fleet.

    Attributes:
        config_version: Version in force according to the log.
        evacuated: Data centres whose targets get no new calls.
        keeper_by_shard: Router that reports itself as the keeper of the shard;
            empty if none.
        violations: Number of violations in the fleet by invariant.
        vms: All VMs of the VM list.
    """

    config_version: int
    evacuated: list[str]
    keeper_by_shard: dict[str, str]
    violations: dict[str, int]
    vms: list[VmStatus]


class TraceEntry(TypedDict):
    """A decision and the process that made it."""

    time: float
    process: str
    subject: str
    part: str
    decision: str
    cause: str


class RequestTrace(TypedDict):
    """Decisions of the fleet on one request.

    Attributes:
        request: Id of the request: the hash of customer and key.
        decisions: Decisions on the request, sorted by the VMs' clocks.
        context: Other decisions of the fleet at that time: on the shard, the
            configuration and the VMs involved.
        silent: VMs that did not answer.
    """

    request: str
    decisions: list[TraceEntry]
    context: list[TraceEntry]
    silent: list[str]


async def query_vms(
    session: Session, path: str, reply_type: type[ReplyT]
) -> list[VmReply]:
    """Queries all VMs of the VM list concurrently."""
    queries = [
        defer.ensureDeferred(_query_vm(session, vm, path, reply_type))
        for vm in await session.read_vms()
    ]
    return await defer.gatherResults(queries)


async def _query_vm(session: Session, vm: Vm, path: str, reply_type) -> VmReply:
    url = f"http://{vm['address']}:{vm['port']}{path}"
    try:
        return VmReply(vm, await session.client.get(url, reply_type))
    except (UnreachableError, ApiError) as error:
        return VmReply(vm, None, str(error))


async def read_status(session: Session) -> FleetStatus:
    """Returns the status of the whole fleet."""
    store = await session.read_config()
    replies = await query_vms(session, "/status", ProcessStatus)
    status = FleetStatus(
        config_version=store.config.version,
        evacuated=sorted(store.config.evacuated),
        keeper_by_shard={
            str(shard): "" for shard in range(store.config.shard_count)
        },
        violations={},
        vms=[],
    )
    for vm_reply in sorted(replies, key=lambda vm_reply: vm_reply.vm["name"]):
        _add_vm(status, vm_reply)
    return status


def _add_vm(status: FleetStatus, vm_reply: VmReply) -> None:
    status["vms"].append(
        VmStatus(vm=vm_reply.vm, status=vm_reply.reply, problem=vm_reply.error)
    )
    if vm_reply.reply is None:
        return
    for shard in vm_reply.reply.get("epoch_by_shard", {}):
        status["keeper_by_shard"][shard] = vm_reply.vm["name"]
    for name, count in vm_reply.reply["violations"].items():
        total = status["violations"].get(name, 0) + count
        status["violations"][name] = total


def format_status(status: FleetStatus) -> str:
    """Returns the status as human-readable text."""
    without_keeper = [
        shard for shard, name in status["keeper_by_shard"].items() if not name
    ]
    violations = [
        f"{name} {count} times" for name, count in status["violations"].items()
    ]
    evacuated = ", ".join(status["evacuated"])
    return "\n".join(
        [
            f"configuration: version {status['config_version']} in force",
            f"evacuated data centres: {evacuated or 'none'}",
            f"shards without a keeper: {', '.join(without_keeper) or 'none'}",
            f"invariants violated: {', '.join(violations) or 'none'}",
            "",
            format_table(STATUS_HEADER, map(_status_row, status["vms"])),
            *_format_targets(status["vms"]),
        ]
    )


def _status_row(entry: VmStatus) -> tuple[object, ...]:
    vm, status = entry["vm"], entry["status"]
    vm_columns = (vm["name"], vm["role"], vm["data_centre"], vm["state"])
    if status is None:
        return (*vm_columns, "no answer", "-", "-", entry["problem"])
    readiness = status["readiness"]
    epoch_by_shard = status.get("epoch_by_shard", {})
    return (
        *vm_columns,
        "yes" if readiness["ready"] else readiness.get("reason", "no"),
        readiness["config_version"],
        status["in_flight"],
        " ".join(f"{shard}@{epoch}" for shard, epoch in epoch_by_shard.items()),
    )


def _format_targets(vms: Iterable[VmStatus]) -> Iterator[str]:
    """Yields a line per router that sends no new calls to some targets."""
    for entry in vms:
        targets = (entry["status"] or {}).get("targets", [])
        leaving = [target["target"] for target in targets if target["leaving"]]
        if leaving:
            names = ", ".join(leaving)
            yield f"{entry['vm']['name']} sends no new calls to: {names}"


async def read_trace(session: Session, key: str, customer: str) -> RequestTrace:
    """Returns the decisions of the fleet on a request.

    Args:
        session: Clients and settings.
        key: Idempotency key if the customer is given, otherwise request id.
        customer: Name of the customer; may be empty.
    """
    request = key_hash(customer, key) if customer else key
    subjects = [request, CONFIG_STREAM, VM_SUBJECT]
    if customer:
        store = await session.read_config()
        shard = shard_of(customer, store.config.shard_count)
        subjects.append(shard_stream(shard))
    query = urlencode({"subjects": ",".join(subjects)})
    replies = await query_vms(session, f"/explain?{query}", ExplainReply)
    entries = sorted(_trace_entries(replies), key=lambda entry: entry["time"])
    own = [entry for entry in entries if entry["subject"] == request]
    return RequestTrace(
        request=request,
        decisions=own,
        context=_find_context(own, entries),
        silent=[
            vm_reply.vm["name"] for vm_reply in replies if not vm_reply.reply
        ],
    )


def _trace_entries(replies: Iterable[VmReply]) -> Iterator[TraceEntry]:
    for vm_reply in replies:
        if vm_reply.reply is None:
            continue
        for fields in vm_reply.reply["decisions"]:
            decision = Decision(*fields)
            yield TraceEntry(
                process=vm_reply.reply["process"], **decision._asdict()
            )


def _find_context(
    own: list[TraceEntry], entries: list[TraceEntry]
) -> list[TraceEntry]:
    """Returns other decisions from the time around a request's own decisions.

    Decisions of VMs on their own state count only for VMs that took part in
    the request.
    """
    if not own:
        return []
    processes = {entry["process"] for entry in own}
    start = own[0]["time"] - CONTEXT_BEFORE_S
    end = own[-1]["time"] + CONTEXT_AFTER_S
    return [
        entry
        for entry in entries
        if entry not in own
        and start <= entry["time"] <= end
        and (entry["subject"] != VM_SUBJECT or entry["process"] in processes)
    ]


def format_trace(trace: RequestTrace) -> str:
    """Returns a trace as human-readable text."""
    lines = [f"request {trace['request']}"]
    lines += map(_format_entry, trace["decisions"])
    if not trace["decisions"]:
        lines.append(
            "no VM that answered has records of it: it was never received, or "
            "newer records have replaced them"
        )
    if trace["context"]:
        lines.append("around that time:")
        lines += map(_format_entry, trace["context"])
    if trace["silent"]:
        lines.append(f"VMs that did not answer: {', '.join(trace['silent'])}")
    return "\n".join(lines)


def _format_entry(entry: TraceEntry) -> str:
    subject = entry["subject"] if entry["subject"].startswith("shard-") else ""
    cause = f": {entry['cause']}" if entry["cause"] else ""
    return (
        f"  {format_time(entry['time'])} {entry['process']:<16} "
        f"{entry['part']:<10} {subject}{' ' if subject else ''}"
        f"{entry['decision']}{cause}"
    )
