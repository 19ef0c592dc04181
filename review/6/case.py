"""The store returns from an older copy, and one router is killed."""

import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

import fleet as f

PREPAID = 600_000
# Tokens in and most tokens out of a request.
USUAL, LARGE, SMALL = (2_000, 40), (9_000, 40), (500, 20)
# Requests a second at front-0 and at the other routers, until so much of the
# budget is used.
QUIET_PER_S, OTHERS_PER_S = 0.7, 8.0
USED_BEFORE = 0.38
# Large requests that come at once: at each other router, then at front-0.
LARGE_OTHERS, LARGE_FRONT_0 = 9, 4
# The store is away for so long, and its copy is so old.
AWAY_S, COPY_AGE_S = 1.0, 3.0
RESTART_S = 0.3
SETTLE_S = 3.0
AFTER_S = 45.0
# Once the budget is exceeded, requests come for so long still.
OVER_S = 6.0


class Clients:
    """The clients of one tenant, and what they got."""

    def __init__(self, fleet: f.Fleet, record: f.Record):
        self._fleet = fleet
        self._record = record
        self.router_by_id: dict[str, str] = {}
        self.size_by_id: dict[str, tuple[int, int]] = {}
        self.events_by_id: dict[str, int] = {}
        self.statuses: dict[object, int] = {}
        self.stopped = False

    async def send(self, router: f.Router, size: tuple[int, int]) -> int:
        """Sends one request; returns its status, 0 for none."""
        request_id = f.new_id()
        self.router_by_id[request_id] = router.name
        self.size_by_id[request_id] = size
        session = random.randrange(40)
        headers = f.client_headers(request_id, 5000) | {
            "X-Chicorystack-Model": "m",
            "X-Chicorystack-Token-Usage": f"{size[0]},{size[1]}",
            "X-Chicorystack-Prompt-Prefix": (
                f"aa:{size[0] // 6},{session:x}:{size[0] // 6},"
                f"{request_id}:{size[0] - size[0] // 3}"
            ),
        }
        status = 0
        try:
            reply = await f.call(
                router.front, "POST", "/guide/1", headers, b"{}"
            )
            status = reply["status"]
            self.events_by_id[request_id] = reply["body"].count(b"id: ")
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        self.statuses[status] = self.statuses.get(status, 0) + 1
        events = self.events_by_id.get(request_id, 0)
        self._record.add(
            f"{request_id} at {router.name}: {status}, {events} events"
        )
        return status

    async def keep_sending(
        self, router: f.Router, per_s: float, size: tuple[int, int]
    ) -> None:
        """Sends requests at random times until stopped."""
        pending = []
        while not self.stopped:
            pending.append(asyncio.ensure_future(self.send(router, size)))
            await asyncio.sleep(random.expovariate(per_s))
        await asyncio.gather(*pending)

    def used(self) -> int:
        """Returns the tokens that the tenant got.

        Those in are counted once for each request that ran, those out for
        each event that a client has received.
        """
        ran = {run[1] for e in self._fleet.engines for run in e.runs}
        return sum(
            self.size_by_id[i][0] + 4 * self.events_by_id.get(i, 0) for i in ran
        )


async def case(fleet: f.Fleet, record: f.Record) -> bool:
    """Returns whether the tenant stayed within its budget."""
    store = fleet.store
    store.put("keyed.op", "config", f.config(3, PREPAID))
    for number in range(6):
        engine = f.Engine(store, f"i-{number}", "llm", 64)
        engine.event_ms = 8
        fleet.engines.append(engine)
        await engine.start()
    for number in range(4):
        router = fleet.add_router(
            f"front-{number}", "zone-b" if number % 2 else "zone-a"
        )
        await router.start()
    for router in fleet.routers:
        await router.wait_ready()
    await asyncio.sleep(SETTLE_S)
    clients = Clients(fleet, record)
    record.add("clients begin")
    sending = [
        asyncio.ensure_future(
            clients.keep_sending(
                router, OTHERS_PER_S if number else QUIET_PER_S, USUAL
            )
        )
        for number, router in enumerate(fleet.routers)
    ]
    while clients.used() < USED_BEFORE * PREPAID:
        await asyncio.sleep(0.02)
    record.add(f"tokens used: {clients.used()}; large requests come")
    sending += [
        asyncio.ensure_future(clients.send(router, LARGE))
        for router in fleet.routers[1:]
        for _ in range(LARGE_OTHERS)
    ]
    await asyncio.sleep(0.15)
    sending += [
        asyncio.ensure_future(clients.send(fleet.routers[0], LARGE))
        for _ in range(LARGE_FRONT_0)
    ]
    await asyncio.sleep(0.12)
    if f.trouble():
        await play_trouble(fleet, record)
    clients.stopped = True
    await asyncio.gather(*sending)
    record.add(f"tokens used until here: {clients.used()} of {PREPAID}")
    clients.stopped = False
    sending = [
        asyncio.ensure_future(clients.keep_sending(router, 20, SMALL))
        for router in fleet.routers
    ]
    until = time.monotonic() + AFTER_S
    while time.monotonic() < until and clients.used() <= PREPAID:
        await asyncio.sleep(0.5)
    await asyncio.sleep(max(0.0, min(OVER_S, until - time.monotonic())))
    clients.stopped = True
    await asyncio.gather(*sending)
    used = clients.used()
    record.add(f"answers by status: {clients.statuses}")
    record.add(f"tokens used: {used} of {PREPAID}")
    for line in fleet.routers[0].events():
        if "predecessor_counted" in line:
            record.add(f"log of front-0: {line}")
    print(f"tokens used: {used} of {PREPAID}")
    return used <= PREPAID


async def play_trouble(fleet: f.Fleet, record: f.Record) -> None:
    """Plays the drill of the store and the kill of a router."""
    store, router = fleet.store, fleet.routers[0]
    away_at = time.monotonic()
    store.leave()
    router.signal(signal.SIGKILL)
    record.add("the store is away; front-0 is killed")
    await router.process.wait()
    await asyncio.sleep(RESTART_S)
    await router.start()
    record.add("front-0 starts again")
    for written_at, key, value in store.written("keyed.grants"):
        if key == "alpha/front-0":
            terms = json.loads(value)["terms"]
            fate = "lost" if written_at > away_at - COPY_AGE_S else "kept"
            record.add(
                f"grant of front-0 {away_at - written_at:.2f} s before:"
                f" granted {terms[0]}, in use {terms[1]}, burst {terms[2]},"
                f" refill {terms[3]:.0f}; {fate}"
            )
    await asyncio.sleep(AWAY_S - RESTART_S)
    store.restore(away_at - COPY_AGE_S)
    record.add(f"the store is back, from a copy {COPY_AGE_S} s old")
    await asyncio.sleep(2.0)


f.run(case, __file__)
