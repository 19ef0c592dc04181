"""A request's story has what else was decided, where the request met it."""

from twisted.internet import task

from chicorystack.agent.leaving import LeavingState
from chicorystack.ctl.fleet import _around
from chicorystack.observe.decisions import VM_SUBJECT, decisions


def line(time, process, subject, decision):
    return {
        "time": time, "process": process, "subject": subject, "part": "p",
        "decision": decision, "cause": "",
    }  # fmt: skip


def test_context_is_near_in_time_and_of_vms_that_the_call_met():
    own = [line(100.0, "router-1", "k", "sent")]
    near = [
        line(99.0, "router-1", VM_SUBJECT, "drains"),
        line(99.5, "router-2", "shard-0", "keeps it"),
    ]
    others = [
        line(99.0, "router-2", VM_SUBJECT, "drains"),
        line(10.0, "router-1", "config", "in force"),
        line(200.0, "router-1", "config", "in force"),
    ]
    assert _around(own, [*own, *near, *others]) == near
    assert _around([], near) == []


def test_leaving_is_recorded_once_for_each_reason():
    before = len(decisions.about({VM_SUBJECT}))
    leaving = LeavingState(task.Clock())
    leaving.update_from_vm_list(True)
    leaving.update_from_vm_list(True)
    leaving.update_from_vm_list(False)
    leaving.begin("stop")
    leaving.begin("stop")
    found = decisions.about({VM_SUBJECT})[before:]
    assert [(item.decision, item.cause) for item in found] == [
        ("takes no new work", "vm_list"),
        ("takes work again", "listed as live"),
        ("takes no new work", "stop"),
    ]
