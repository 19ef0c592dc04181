"""A planned stop cuts off requests that were read and passed on during it."""

import asyncio
import signal
import time

import rig

CLIENTS = 6
# A stream of the kind of `engineer-guide`: 73 events, deadline 15 s.
EVENTS = 73
GAP_MS = 80
# Only requests sent later than this after the SIGTERM are judged: those sent
# before may be cut off in the last sixth of the grace period.
EXCUSED_S = 3.0


async def case(processes, record, trouble):
    """Clients send one request after another, and a router gets a SIGTERM."""
    store = rig.Store(processes)
    await store.start()
    engines = [rig.Engine(f"e{n}", "llm", record, store) for n in range(3)]
    for engine in engines:
        await engine.start()
    routes = [rig.route("guide", "llm", "streaming", TargetGapMs=300)]
    await store.publish(rig.config(1, routes, ["llm"]))
    routers = [rig.Router(processes, f"r{n}") for n in range(3)]
    for router in routers:
        await router.start(store.port)
    for router in routers:
        await router.wait_ready()
    # Longer than ContactMs.
    await asyncio.sleep(3.5)
    stop_at = time.monotonic() + 2.0

    async def client(number):
        connection = rig.Client(routers[0].front, record)
        # The first request is in progress from before the SIGTERM until just
        # over 3 s after it. The next one follows on the same connection.
        last_s = 2.0 + EXCUSED_S + 0.1 + number * 0.05
        first = {"events": EVENTS, "gap_ms": last_s * 1000 / EVENTS}
        second = {"events": EVENTS, "gap_ms": GAP_MS}
        answers = []
        for turn, work in enumerate((first, second)):
            if turn == 0 or connection.connected:
                name = f"c{number}-{turn}"
                answers.append(await connection.request(name, "/guide/1", work))
        return answers

    clients = [asyncio.ensure_future(client(n)) for n in range(CLIENTS)]
    await asyncio.sleep(stop_at - time.monotonic())
    stopped_at = time.monotonic()
    if trouble:
        record("SIGTERM to r0")
        processes.signal("r0", signal.SIGTERM)
    answers = [
        answer for found in await asyncio.gather(*clients) for answer in found
    ]
    lost = [a for a in answers if is_lost(a, engines, stopped_at)]
    for answer in lost:
        sent_s = answer.sent_at - stopped_at
        ended_s = answer.ended_at - stopped_at
        record(f"LOST {answer}; sent {sent_s:.2f} s, cut {ended_s:.2f} s after")
    record(f"answers: {len(answers)}, lost: {len(lost)}")
    for engine in engines:
        engine.stop()
    return rig.BROKEN if lost else rig.HELD


def is_lost(answer, engines, stopped_at) -> bool:
    """Returns whether a request was passed on and then cut off."""
    runs = [run for e in engines for run in e.runs if run["id"] == answer.id]
    return (
        bool(runs)
        and not answer.complete
        and answer.sent_at > stopped_at + EXCUSED_S
    )


rig.run_case(__file__, case)
