"""Checks whether the data centres of a service's targets may run a call."""

import random
from collections.abc import Iterable

from chicorystack import defaults
from chicorystack.evacuation.evacuations import Evacuations
from chicorystack.gateway.messages import Call, Refusal


def location_refusal(
    call: Call, data_centres: Iterable[str], evacuations: Evacuations
) -> Refusal | None:
    """Returns why no data centre may run a call; None if one may.

    Args:
        call: The call.
        data_centres: Data centres of the service's targets.
        evacuations: The evacuated data centres, and the regions.
    """
    if call.allowed_regions is None and not evacuations.table.any_evacuated:
        return None
    named = sorted(set(data_centres))
    allowed = [dc for dc in named if evacuations.regions.allowed(call, dc)]
    if not named or any(evacuations.allows(call, dc) for dc in allowed):
        return None
    if not allowed:
        message = (
            f"no target of service {call.service} is in one of the call's"
            f" regions: {', '.join(sorted(call.allowed_regions or ()))}"
        )
        return _refusal("no_target", message)
    message = (
        f"the data centres of service {call.service} are evacuated:"
        f" {', '.join(allowed)}"
    )
    return _refusal("evacuated", message)


def _refusal(code: str, message: str) -> Refusal:
    delay_s = random.uniform(*defaults.EVACUATED_RETRY_RANGE_S)
    return Refusal(503, code, message, delay_s)
