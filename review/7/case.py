"""A request that crashes engines comes again, beside one of its session."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

import fleet as f

ENGINES = 9
# An engine that crashed is back after so long.
BACK_S = 1.5
# A caller sends its request again after so long, for so long.
AGAIN_S, PHASE_S = 3.0, 36.0
# The crashing request is sent so long after its companion, which is sound.
COMPANION_LEAD_S = 0.05
# Two pairs of requests, of a session each, are played in each phase.
PHASES = 2
CONTACT_S = f.BOUNDS["ContactMs"] / 1000
MOST_RETRIES = 3
POISON = "/guide/poison-"


class Engine(f.Engine):
    """An engine that crashes as it begins to run some requests.

    Attributes:
        crashes: Time and target of each request that crashed an engine.
        arrivals: Time and target of each such request that reached one.
    """

    crashes: list[tuple[float, str]] = []
    arrivals: list[tuple[float, str]] = []

    def before_run(self, request: dict) -> bool:
        """See f.Engine."""
        if not request["target"].startswith(POISON):
            return True
        arrival = (time.monotonic(), request["target"])
        Engine.arrivals.append(arrival)
        if self.up:
            Engine.crashes.append(arrival)
            self.record.add(f"{self.name} crashes at {request['target']}")
            self.stop()
            asyncio.ensure_future(self._start_again())
        return False

    async def _start_again(self) -> None:
        await asyncio.sleep(BACK_S)
        self.store.put("keyed.servers", self.name, None)
        name, _, number = self.name.partition("-r")
        self.name = f"{name}-r{int(number or 0) + 1}"
        await self.start()


async def keep_asking(
    router_of, target: str, session: str, until: float, wait_s: float
) -> None:
    """Sends one request again and again, as its caller does."""
    await asyncio.sleep(wait_s)
    turn = 0
    while time.monotonic() < until:
        request_id = f.new_id()
        headers = f.client_headers(request_id, 4000) | {
            "X-Chicorystack-Model": "m",
            "X-Chicorystack-Token-Usage": "628,40",
            "X-Chicorystack-Prompt-Prefix": (
                f"5c{session}:119,{session}:79,{session}{len(target)}:430"
            ),
        }
        next_at = time.monotonic() + AGAIN_S
        router = router_of(turn)
        try:
            reply = await f.call(router.front, "POST", target, headers, b"{}")
            status = reply["status"]
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        router.record.add(f"{request_id} {target} at {router.name}: {status}")
        turn += 1
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))


def late_retries(target: str) -> int:
    """Returns how often a request reached engines though it must not.

    Counted are those later than `ContactMs` after its third crash.
    """
    crashed = [at for at, t in Engine.crashes if t == target]
    if len(crashed) < 3:
        return 0
    since = crashed[2] + CONTACT_S
    return sum(1 for at, t in Engine.arrivals if t == target and at > since)


async def case(fleet: f.Fleet, record: f.Record) -> bool:
    """Returns whether no request went on crashing engines."""
    fleet.store.put("keyed.op", "config", f.config(3, 100_000_000))
    for number in range(ENGINES):
        engine = Engine(fleet.store, f"i-{number}", "llm", 64)
        fleet.engines.append(engine)
        await engine.start()
    for name, zone in (("front-1", "zone-a"), ("front-2", "zone-b")):
        router = fleet.add_router(name, zone)
        router.record = record
        await router.start()
    for router in fleet.routers:
        await router.wait_ready()
    await asyncio.sleep(3)
    kind = "poison" if f.trouble() else "sound"
    targets = []
    for phase in range(PHASES):
        until = time.monotonic() + PHASE_S
        asking = []
        for pair in range(2):
            session = f"{phase + 1}{pair + 1}b7f"
            wait_s = 0.0
            for one in ("companion", kind):
                target = f"/guide/{one}-{phase}{pair}"
                targets.append(target)
                asking.append(
                    keep_asking(
                        lambda turn: fleet.routers[turn % 2],
                        target,
                        session,
                        until,
                        wait_s,
                    )
                )
                wait_s = COMPANION_LEAD_S
        await asyncio.gather(*asking)
    held = True
    for target in targets:
        crashes = sum(1 for _, t in Engine.crashes if t == target)
        late = late_retries(target)
        line = f"{target}: {crashes} crashes, {late} late retries"
        record.add(line)
        if crashes:
            print(line)
        held = held and late <= MOST_RETRIES
    return held


f.run(case, __file__)
