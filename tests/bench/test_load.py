"""Tests the load generator's plan and its check of responses."""

import msgspec
import pytest

from bench.load import BRANDVAGT_KINDS, LoadCustomer, is_correct, plan_calls
from chicorystack.calls.messages import EngineRequest
from chicorystack.standin.engine import generate_words

CUSTOMERS = [LoadCustomer("one", "s", 30.0), LoadCustomer("two", "s", 5.0)]


def test_plan_depends_only_on_its_seed():
    first, again, other = (
        plan_calls(seed, BRANDVAGT_KINDS, CUSTOMERS, 10.0) for seed in (1, 1, 2)
    )
    assert first == again != other
    assert 250 < len(first) < 450
    assert [call.start_s for call in first] == sorted(
        call.start_s for call in first
    )


def test_arrivals_of_a_customer_do_not_depend_on_other_customers():
    both = plan_calls(1, BRANDVAGT_KINDS, CUSTOMERS, 10.0)
    alone = plan_calls(1, BRANDVAGT_KINDS, CUSTOMERS[1:], 10.0)
    times = [call.start_s for call in both if call.customer.name == "two"]
    assert times == [call.start_s for call in alone]


@pytest.mark.parametrize("fault", ["whole", "doubled", "short", "no_end"])
def test_only_the_complete_response_is_correct(fault):
    calls = plan_calls(1, BRANDVAGT_KINDS, CUSTOMERS, 10.0)
    call = next(call for call in calls if call.kind.max_tokens)
    request = EngineRequest(
        prompt=call.prompt, max_tokens=call.kind.max_tokens, priority="normal"
    )
    events = [
        b"data: " + msgspec.json.encode({"text": word}) + b"\n\n"
        for word in generate_words(request)
    ]
    end = b'event: end\ndata: {"outcome":"done","tokens":1}\n\n'
    body_by_fault = {
        "whole": b"".join(events) + end,
        "doubled": b"".join([events[0], *events]) + end,
        "short": b"".join(events[:-1]) + end,
        "no_end": b"".join(events),
    }
    assert is_correct(call, body_by_fault[fault]) == (fault == "whole")
