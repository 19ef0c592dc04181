"""Commands that ask every VM of the fleet: status and explain."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple, TypedDict, TypeVar
from urllib.parse import urlencode

from twisted.internet import defer

from chicorystack.budget.messages import shard_stream
from chicorystack.config.messages import CONFIG_STREAM
from chicorystack.ctl.session import Session
from chicorystack.ctl.tables import table, time_text
from chicorystack.errors import ApiError
from chicorystack.infrastructure.messages import Vm
from chicorystack.observe.decisions import VM_SUBJECT, Decision, ExplainReply
from chicorystack.observe.endpoints import ProcessStatus
from chicorystack.util import key_hash, shard_of
from chicorystack.web.client import UnreachableError

ReplyT = TypeVar("ReplyT")
STATUS_HEAD = (
    "VM", "role", "data centre", "list", "ready", "config", "in flight",
    "keeps shard@epoch",
)  # fmt: skip
# How far from a call's own decisions the fleet's are shown with them.
CONTEXT_BEFORE_S = 30.0
CONTEXT_AFTER_S = 5.0


class VmReply(NamedTuple):
    """What one VM answered.

    Attributes:
        vm: The VM.
        reply: Its answer; None where there was none.
        problem: Why there was none.
    """

    vm: Vm
    reply: object | None
    problem: str = ""


class VmStatus(TypedDict):
    """One VM of the list with what its process says.

    Attributes:
        vm: The VM as the platform lists it.
        status: Its own words; None where it does not answer.
        problem: Why it does not answer.
    """

    vm: Vm
    status: ProcessStatus | None
    problem: str


class FleetStatus(TypedDict):
    """The fleet at a glance.

    Attributes:
        config_version: Version in force by the log.
        keeper_by_shard: Router that says it keeps the shard; empty for none.
        violations: Sum over the fleet, by invariant.
        vms: All VMs of the list.
    """

    config_version: int
    keeper_by_shard: dict[str, str]
    violations: dict[str, int]
    vms: list[VmStatus]


class StoryLine(TypedDict):
    """A decision with the process that made it."""

    time: float
    process: str
    subject: str
    part: str
    decision: str
    cause: str


class Story(TypedDict):
    """What the fleet did with one request.

    Attributes:
        request: Id of the request: the hash of customer and key.
        decisions: Decisions on the request, by the VMs' clocks.
        context: The fleet's decisions on shard and configuration around then.
        silent: VMs that did not answer.
    """

    request: str
    decisions: list[StoryLine]
    context: list[StoryLine]
    silent: list[str]


async def ask_all(
    session: Session, path: str, reply_type: type[ReplyT]
) -> list[VmReply]:
    """Asks every VM on the list at the same time."""
    asking = [
        defer.ensureDeferred(_ask(session, vm, path, reply_type))
        for vm in await session.vms()
    ]
    return await defer.gatherResults(asking)


async def _ask(session: Session, vm: Vm, path: str, reply_type) -> VmReply:
    url = f"http://{vm['address']}:{vm['port']}{path}"
    try:
        return VmReply(vm, await session.client.get(url, reply_type))
    except (UnreachableError, ApiError) as error:
        return VmReply(vm, None, str(error))


async def read_status(session: Session) -> FleetStatus:
    """Returns the fleet at a glance."""
    store = await session.read_config()
    replies = await ask_all(session, "/status", ProcessStatus)
    status = FleetStatus(
        config_version=store.config.version,
        keeper_by_shard={
            str(shard): "" for shard in range(store.config.shard_count)
        },
        violations={},
        vms=[],
    )
    for answer in sorted(replies, key=lambda answer: answer.vm["name"]):
        _add(status, answer)
    return status


def _add(status: FleetStatus, answer: VmReply) -> None:
    status["vms"].append(
        VmStatus(vm=answer.vm, status=answer.reply, problem=answer.problem)
    )
    if answer.reply is None:
        return
    for shard in answer.reply.get("epoch_by_shard", {}):
        status["keeper_by_shard"][shard] = answer.vm["name"]
    for name, count in answer.reply["violations"].items():
        total = status["violations"].get(name, 0) + count
        status["violations"][name] = total


def print_status(status: FleetStatus) -> str:
    """Returns the status as text for people."""
    unkept = [
        shard for shard, name in status["keeper_by_shard"].items() if not name
    ]
    violations = [
        f"{name} {count} times" for name, count in status["violations"].items()
    ]
    return "\n".join(
        [
            f"configuration: version {status['config_version']} in force",
            f"shards without a keeper: {', '.join(unkept) or 'none'}",
            f"invariants violated: {', '.join(violations) or 'none'}",
            "",
            table(STATUS_HEAD, map(_status_row, status["vms"])),
            *_target_lines(status["vms"]),
        ]
    )


def _status_row(entry: VmStatus) -> tuple[object, ...]:
    vm, status = entry["vm"], entry["status"]
    head = (vm["name"], vm["role"], vm["data_centre"], vm["state"])
    if status is None:
        return (*head, "no answer", "-", "-", entry["problem"])
    readiness = status["readiness"]
    kept = status.get("epoch_by_shard", {})
    return (
        *head,
        "yes" if readiness["ready"] else readiness.get("reason", "no"),
        readiness["config_version"],
        status["in_flight"],
        " ".join(f"{shard}@{epoch}" for shard, epoch in kept.items()),
    )


def _target_lines(vms: Iterable[VmStatus]) -> Iterator[str]:
    """Yields the targets that some router does not send calls to."""
    for entry in vms:
        targets = (entry["status"] or {}).get("targets", [])
        leaving = [found["target"] for found in targets if found["leaving"]]
        if leaving:
            names = ", ".join(leaving)
            yield f"{entry['vm']['name']} sends no new calls to: {names}"


async def read_story(session: Session, key: str, customer: str) -> Story:
    """Returns what the fleet did with a request.

    Args:
        session: Clients and settings.
        key: The caller's key with a customer, else the request's id.
        customer: Name of the customer; may be empty.
    """
    request = key_hash(customer, key) if customer else key
    subjects = [request, CONFIG_STREAM, VM_SUBJECT]
    if customer:
        store = await session.read_config()
        shard = shard_of(customer, store.config.shard_count)
        subjects.append(shard_stream(shard))
    query = urlencode({"subjects": ",".join(subjects)})
    replies = await ask_all(session, f"/explain?{query}", ExplainReply)
    lines = sorted(_story_lines(replies), key=lambda line: line["time"])
    own = [line for line in lines if line["subject"] == request]
    return Story(
        request=request,
        decisions=own,
        context=_around(own, lines),
        silent=[found.vm["name"] for found in replies if not found.reply],
    )


def _story_lines(replies: Iterable[VmReply]) -> Iterator[StoryLine]:
    for found in replies:
        if found.reply is None:
            continue
        for fields in found.reply["decisions"]:
            decision = Decision(*fields)
            yield StoryLine(
                process=found.reply["process"], **decision._asdict()
            )


def _around(own: list[StoryLine], lines: list[StoryLine]) -> list[StoryLine]:
    """Returns the other decisions around a call's own.

    Of what VMs decided on themselves, only those that the call met count.
    """
    if not own:
        return []
    met = {line["process"] for line in own}
    begin = own[0]["time"] - CONTEXT_BEFORE_S
    end = own[-1]["time"] + CONTEXT_AFTER_S
    return [
        line
        for line in lines
        if line not in own
        and begin <= line["time"] <= end
        and (line["subject"] != VM_SUBJECT or line["process"] in met)
    ]


def print_story(story: Story) -> str:
    """Returns a story as text for people."""
    lines = [f"request {story['request']}"]
    lines += map(_story_text, story["decisions"])
    if not story["decisions"]:
        lines.append(
            "no VM that answered remembers it: it never came, or its records "
            "have been pushed out by newer ones"
        )
    if story["context"]:
        lines.append("around that time:")
        lines += map(_story_text, story["context"])
    if story["silent"]:
        lines.append(f"VMs that did not answer: {', '.join(story['silent'])}")
    return "\n".join(lines)


def _story_text(line: StoryLine) -> str:
    about = line["subject"] if line["subject"].startswith("shard-") else ""
    cause = f": {line['cause']}" if line["cause"] else ""
    return (
        f"  {time_text(line['time'])} {line['process']:<16} "
        f"{line['part']:<10} {about}{' ' if about else ''}"
        f"{line['decision']}{cause}"
    )
