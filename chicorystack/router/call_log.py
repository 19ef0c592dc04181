"""Reports the outcome of each call to metrics, logs and decisions."""

from twisted.web import server

from chicorystack.budget.keeper.wallet import Reservation
from chicorystack.errors import ApiError
from chicorystack.observe.decisions import decisions
from chicorystack.observe.logs import part_logger
from chicorystack.observe.metrics import metrics
from chicorystack.router.admission import KEY_HEADER, Call
from chicorystack.router.auth import claimed_customer
from chicorystack.router.forwarder import DeliveredResponse
from chicorystack.util import key_hash
from chicorystack.web.server import get_header

log = part_logger("calls")


def record_rejected(request: server.Request, error: ApiError) -> None:
    """Records a request that was refused before its key was looked up.

    A request with a wrong secret is only counted, as it must not add to the
    records of another customer's calls.
    """
    metrics.count(f"calls.refused.{error.code}")
    key = get_header(request, KEY_HEADER)
    customer = claimed_customer(get_header(request, "authorization"))
    if error.code == "unauthorized" or not key or not customer:
        return
    decisions.record_notable(
        key_hash(customer, key), "admission", "rejected", str(error)
    )


def record_reserved(call: Call, reservation: Reservation) -> None:
    """Records that tokens were reserved for a call."""
    decisions.record(
        call.key, "budget", "reserved", f"{reservation.tokens} tokens"
    )


def record_answered(
    call: Call, delivered: DeliveredResponse, duration_s: float
) -> None:
    """Records a complete response."""
    metrics.count("calls.answered")
    metrics.timing("calls.duration", duration_s * 1000)
    decisions.record(call.key, "calls", "answered", f"use {delivered.use}")


def record_refused(call: Call, error: ApiError) -> None:
    """Records a refusal that the caller receives."""
    metrics.count(f"calls.refused.{error.code}")
    log.info("refused: {}", error.code, key=call.key, customer=call.customer)
    decisions.record_notable(
        call.key, "calls", f"refused ({error.outcome})", str(error)
    )


def record_interrupted(call: Call, error: BaseException) -> None:
    """Records a response that was interrupted after it started."""
    metrics.count("calls.broken_off")
    log.warning(
        "response interrupted: {}", error, key=call.key, customer=call.customer
    )
    decisions.record_notable(call.key, "calls", "broken off", str(error))


def record_abandoned(call: Call) -> None:
    """Records that the caller disconnected."""
    metrics.count("calls.abandoned")
    decisions.record_notable(
        call.key, "calls", "abandoned", "the caller closed its connection"
    )
