"""The trace of a request includes related decisions from that time."""

from twisted.internet import task

from chicorystack.agent.leaving import LeavingState
from chicorystack.ctl.fleet import _find_context
from chicorystack.observe.decisions import VM_SUBJECT, decisions


def trace_entry(time, process, subject, decision):
    return {
        "time": time, "process": process, "subject": subject, "part": "p",
        "decision": decision, "cause": "",
    }  # fmt: skip


def test_context_is_near_in_time_and_of_vms_that_took_part():
    own = [trace_entry(100.0, "router-1", "k", "sent")]
    near = [
        trace_entry(99.0, "router-1", VM_SUBJECT, "drains"),
        trace_entry(99.5, "router-2", "shard-0", "keeps it"),
    ]
    others = [
        trace_entry(99.0, "router-2", VM_SUBJECT, "drains"),
        trace_entry(10.0, "router-1", "config", "in force"),
        trace_entry(200.0, "router-1", "config", "in force"),
    ]
    assert _find_context(own, [*own, *near, *others]) == near
    assert _find_context([], near) == []


def test_leaving_is_recorded_once_for_each_reason():
    before = len(decisions.find_by_subject({VM_SUBJECT}))
    leaving = LeavingState(task.Clock())
    leaving.update_from_vm_list(True)
    leaving.update_from_vm_list(True)
    leaving.update_from_vm_list(False)
    leaving.begin("stop")
    leaving.begin("stop")
    found = decisions.find_by_subject({VM_SUBJECT})[before:]
    assert [(item.decision, item.cause) for item in found] == [
        ("takes no new work", "vm_list"),
        ("takes work again", "listed as live"),
        ("takes no new work", "stop"),
    ]
