"""One foreign entry among the engines' stops all routers from following them.

The entry is not readable: JSON that is nested and ends too early.
"""

import asyncio

import rig

# 5 bytes a level, 100,000 in all: RecordBytes is 262,144.
FOREIGN_ENTRY = '{"x":' * 20_000
DRAIN_S = rig.BOUNDS["DrainMs"] / 1000
CALLS = 40


async def case(processes, record, trouble):
    """Another program writes an entry; then an engine leaves."""
    store = rig.Store(processes)
    await store.start()
    engines = [rig.Engine(f"e{n}", "app", record, store) for n in range(3)]
    for engine in engines:
        await engine.start()
    routes = [rig.route("status", "app", "idempotent", MaxAttempts=2)]
    await store.publish(rig.config(1, routes, ["app"]))
    routers = [rig.Router(processes, f"r{n}") for n in range(3)]
    for router in routers:
        await router.start(store.port)
    for router in routers:
        await router.wait_ready()
    await asyncio.sleep(1.0)
    if trouble:
        await store.put("keyed.servers", "other-program", FOREIGN_ENTRY)
        record("another program has written an entry")
    # Longer than ContactMs.
    await asyncio.sleep(3.5)
    left_at = await engines[0].drain()
    record("the store has accepted that e0 is draining")
    answers = []

    async def client(number):
        connection = rig.Client(routers[number % 3].front, record)
        for turn in range(CALLS):
            answers.append(
                await connection.request(
                    f"c{number}-{turn}", "/status/1", {}, deadline_ms=3000
                )
            )
            await asyncio.sleep(0.15)

    await asyncio.gather(*(client(n) for n in range(6)))
    sent_at = {answer.id: answer.sent_at for answer in answers}
    late = [
        run["id"]
        for run in engines[0].runs
        if run["at"] > left_at + DRAIN_S
        and sent_at[run["id"]] > left_at + DRAIN_S
    ]
    record(f"requests at e0 later than {DRAIN_S} s after: {len(late)}")
    for name in late:
        after_s = sent_at[name] - left_at
        record(f"LATE {name}, sent {after_s:.2f} s after")
    # What a restart adds; it is not part of the verdict.
    await processes.kill("r2")
    await routers[2].start(store.port)
    await asyncio.sleep(8.0)
    is_ready = await asyncio.to_thread(routers[2].is_ready)
    record(f"r2 is ready 8 s after a restart: {is_ready}")
    for engine in engines:
        engine.stop()
    return rig.BROKEN if late else rig.HELD


rig.run_case(__file__, case)
