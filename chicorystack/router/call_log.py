"""Counts and records what becomes of each call at a router."""

from twisted.web import server

from chicorystack.budget.wallet import Reservation
from chicorystack.errors import ApiError
from chicorystack.observe.decisions import decisions
from chicorystack.observe.logs import part_logger
from chicorystack.observe.metrics import metrics
from chicorystack.router.admission import KEY_HEADER, Call
from chicorystack.router.auth import claimed_customer
from chicorystack.router.forwarder import Delivered
from chicorystack.util import key_hash
from chicorystack.web.server import header

log = part_logger("calls")


def note_rejected(request: server.Request, error: ApiError) -> None:
    """Notes a message that was refused before its key was looked at.

    A message with a wrong secret leaves no record: it must not write into
    another customer's story.
    """
    metrics.count(f"calls.refused.{error.code}")
    key = header(request, KEY_HEADER)
    customer = claimed_customer(header(request, "authorization"))
    if error.code == "unauthorized" or not key or not customer:
        return
    decisions.record_notable(
        key_hash(customer, key), "admission", "rejected", str(error)
    )


def note_reserved(call: Call, reservation: Reservation) -> None:
    """Notes that the call's upper bound was set aside."""
    decisions.record(
        call.key, "budget", "reserved", f"{reservation.tokens} tokens"
    )


def note_answered(call: Call, delivered: Delivered, duration_s: float) -> None:
    """Notes a whole answer."""
    metrics.count("calls.answered")
    metrics.timing("calls.duration", duration_s * 1000)
    decisions.record(call.key, "calls", "answered", f"use {delivered.use}")


def note_refused(call: Call, error: ApiError) -> None:
    """Notes a refusal that the caller gets."""
    metrics.count(f"calls.refused.{error.code}")
    log.info("refused: {}", error.code, key=call.key, customer=call.customer)
    decisions.record_notable(
        call.key, "calls", f"refused ({error.outcome})", str(error)
    )


def note_broken_off(call: Call, error: BaseException) -> None:
    """Notes an answer that was cut after it began."""
    metrics.count("calls.broken_off")
    log.warning(
        "answer broken off: {}", error, key=call.key, customer=call.customer
    )
    decisions.record_notable(call.key, "calls", "broken off", str(error))


def note_abandoned(call: Call) -> None:
    """Notes that the caller went away."""
    metrics.count("calls.abandoned")
    decisions.record_notable(
        call.key, "calls", "abandoned", "the caller closed its connection"
    )
