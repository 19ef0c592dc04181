"""A steady load of calls, balanced over the routers that are ready."""

import http.client
import itertools
import threading
import time
from typing import NamedTuple

from bench.fleet import Fleet, send

BALANCER_POLL_S = 0.5
PAUSE_S = 0.02


class CallResult(NamedTuple):
    """The result of one call.

    Attributes:
        router: Router that was called.
        status: HTTP status; 0 if the response is missing or incomplete.
        text: End of the body, or the error.
    """

    router: str
    status: int
    text: str


class SteadyCalls:
    """Makes calls from a few threads until the `with` block ends.

    Each call has its own prompt and idempotency key.

    Attributes:
        results: Result of each call.
    """

    def __init__(self, fleet: Fleet, customer_key: str, path: str, message):
        self._fleet = fleet
        self._headers = {"Authorization": f"Bearer {customer_key}"}
        self._path = f"/v1/services/{path}"
        self._message = message
        self._ready_routers = list(fleet.router_by_name)
        self._call_numbers = itertools.count()
        self._stop_event = threading.Event()
        self._threads = [threading.Thread(target=self._poll_readiness)]
        self._threads += [
            threading.Thread(target=self._run_caller) for _ in range(8)
        ]
        self.results: list[CallResult] = []

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stop_event.set()
        for thread in self._threads:
            thread.join()

    def failed(self) -> list[CallResult]:
        """Returns the results of calls without a complete 200 response."""
        return [result for result in self.results if result.status != 200]

    def _poll_readiness(self) -> None:
        while not self._stop_event.wait(BALANCER_POLL_S):
            routers = list(self._fleet.router_by_name.values())
            self._ready_routers = [r.name for r in routers if self._is_ready(r)]

    def _is_ready(self, router) -> bool:
        try:
            reply = send(router.control_port, "GET", "/readyz", timeout_s=1.0)
        except (OSError, http.client.HTTPException):
            return False
        return reply.json()["ready"]

    def _run_caller(self) -> None:
        while not self._stop_event.is_set():
            number = next(self._call_numbers)
            name = self._ready_routers[number % len(self._ready_routers)]
            self.results.append(self._make_call(name, number))
            time.sleep(PAUSE_S)

    def _make_call(self, name: str, number: int) -> CallResult:
        port = self._fleet.router_by_name[name].port
        headers = self._headers | {"Idempotency-Key": f"call-{number}"}
        prompt = f"{self._message['prompt']} {number}"
        message = self._message | {"prompt": prompt}
        try:
            reply = send(port, "POST", self._path, message, headers)
        except (OSError, http.client.HTTPException) as error:
            return CallResult(name, 0, repr(error))
        text = reply.body.decode()
        complete = reply.status != 200 or "event: end" in text
        return CallResult(name, reply.status if complete else 0, text[-200:])
