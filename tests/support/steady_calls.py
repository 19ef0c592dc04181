"""A small load of calls, as a balancer spreads them over ready routers."""

import http.client
import itertools
import threading
import time
from typing import NamedTuple

from bench.fleet import Fleet, send

BALANCER_POLL_S = 0.5
PAUSE_S = 0.02


class Answered(NamedTuple):
    """What became of one call: its status, 0 where the answer was cut."""

    router: str
    status: int
    text: str


class SteadyCalls:
    """Calls from a few threads until the block ends.

    Attributes:
        answers: What became of each call.
    """

    def __init__(self, fleet: Fleet, customer_key: str, path: str, message):
        self._fleet = fleet
        self._headers = {"Authorization": f"Bearer {customer_key}"}
        self._path = f"/v1/services/{path}"
        self._message = message
        self._ready = list(fleet.router_by_name)
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._threads = [threading.Thread(target=self._balance)]
        self._threads += [threading.Thread(target=self._call) for _ in range(8)]
        self.answers: list[Answered] = []

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def failed(self) -> list[Answered]:
        return [answer for answer in self.answers if answer.status != 200]

    def _balance(self) -> None:
        while not self._stopped.wait(BALANCER_POLL_S):
            routers = list(self._fleet.router_by_name.values())
            self._ready = [r.name for r in routers if self._is_ready(r)]

    def _is_ready(self, router) -> bool:
        try:
            reply = send(router.control_port, "GET", "/readyz", timeout_s=1.0)
        except (OSError, http.client.HTTPException):
            return False
        return reply.json()["ready"]

    def _call(self) -> None:
        while not self._stopped.is_set():
            number = next(self._numbers)
            name = self._ready[number % len(self._ready)]
            self.answers.append(self._answer(name, number))
            time.sleep(PAUSE_S)

    def _answer(self, name: str, number: int) -> Answered:
        port = self._fleet.router_by_name[name].port
        headers = self._headers | {"Idempotency-Key": f"call-{number}"}
        try:
            reply = send(port, "POST", self._path, self._message, headers)
        except (OSError, http.client.HTTPException) as error:
            return Answered(name, 0, repr(error))
        text = reply.body.decode()
        whole = reply.status != 200 or "event: end" in text
        return Answered(name, reply.status if whole else 0, text[-200:])
