"""Helpers for tests that make bookings through real processes."""

from bench.fleet import send, wait_until
from chicorystack.util import key_hash, rendezvous_order

CUSTOMER = "alpha"


def start_booking_fleet(fleet, *standin_flags):
    """Starts two routers and three booking targets behind the fault proxy.

    Each data centre reaches the platform and the other data centres' VMs
    through proxy routes of its own.

    Args:
        fleet: The fleet, with no process started yet.
        *standin_flags: Flags for the booking service's stand-ins.

    Returns:
        The secret key of the customer, who has 1,000,000 tokens.
    """
    fleet.start_platform()
    fleet.start_proxy()
    service = booking_service(fleet)
    for number in (1, 2):
        fleet.start_router(f"router-{number}", "dk-east", f"dk-east-{number}")
    for number in (1, 2, 3):
        fleet.start_target(service, f"booking-{number}", *standin_flags)
    fleet.ctl("publish", str(fleet.config_path))
    fleet.wait_until_ready()
    secret = fleet.ctl("create_customer", CUSTOMER)["key"]
    fleet.ctl("top_up", CUSTOMER, "1000000")
    for router in fleet.router_by_name:
        for target in booking_service(fleet).target_by_name:
            _wait_for_route(fleet, secret, router, target)
    return secret


def _wait_for_route(fleet, secret, router, target):
    """Waits until a router can deliver bookings to a target."""
    key = next(keys_owned_by(fleet, target, f"route-{router}"))
    wait_until(
        f"bookings through {router} reach {target}",
        lambda: book(fleet, secret, router, key).status == 200,
    )


def booking_service(fleet):
    return fleet.config.site_by_name["dk-east"].service_by_name["booking"]


def keys_owned_by(fleet, target, prefix):
    """Yields idempotency keys whose owner is the given target."""
    targets = booking_service(fleet).target_by_name
    number = 0
    while True:
        number += 1
        key = f"{prefix}-{number}"
        if rendezvous_order(key_hash(CUSTOMER, key), targets)[0] == target:
            yield key


def book(fleet, secret, router, key, timeout_ms=5000, job=None):
    """Sends one booking and returns the reply.

    Args:
        fleet: The fleet.
        secret: The customer's secret key.
        router: Name of the router.
        key: Idempotency key.
        timeout_ms: Timeout of the call.
        job: Field `job` of the request's body; the key by default.
    """
    headers = {
        "Authorization": f"Bearer {secret}",
        "Idempotency-Key": key,
        "Chicory-Timeout-Ms": str(timeout_ms),
    }
    return send(
        fleet.router_by_name[router].port,
        "POST",
        "/v1/services/booking/book",
        {"job": job or key},
        headers,
    )


def runs_by_key(fleet):
    """Returns the number of runs by key hash, summed over all targets."""
    runs = {}
    for target in fleet.target_by_name.values():
        if target.service != "booking":
            continue
        counts = send(target.port, "GET", "/counts").json()
        for key, count in counts["runs_by_key"].items():
            runs[key] = runs.get(key, 0) + count
    return runs


def count_runs(fleet, key):
    """Returns how often a key of CUSTOMER has run on all targets."""
    return runs_by_key(fleet).get(key_hash(CUSTOMER, key), 0)
