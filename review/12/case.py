"""Engines whose streams have no length are killed while they stream."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

from deployment import (  # noqa: E402
    KEY,
    CannotRunError,
    Deployment,
    route,
    run_case,
)

MODEL = "llm"
ROUTERS, ENGINES = 2, 4
EVENTS = 40


def config() -> dict:
    """Returns the configuration, with the streams of the sheet."""
    return {
        "Version": 1,
        "Routes": [
            route(
                "ask", MODEL, "streaming", TimeoutMs=5000, SloMs=800,
                MaxAttempts=2, Sticky=True, StreamResume=True,
                TargetGapMs=300,
            ),
            route(
                "guide", MODEL, "streaming", TimeoutMs=15000, SloMs=800,
                MaxAttempts=1, Sticky=True, TargetGapMs=300,
            ),
        ],
        "Services": [
            {
                "Name": MODEL,
                "MaxConnections": 360,
                "Engine": {"KvCapacity": 289242, "Stride": 4},
            }
        ],
        "Tenants": [{"Name": "alpha", "ApiKeys": [KEY], "Prepaid": 5000000}],
    }  # fmt: skip


async def case(deployment: Deployment, trouble: bool) -> tuple[bool, str]:
    """Plays the case."""
    await deployment.start(config())
    for name in deployment.routers:
        deployment.start_router(name)
    engines = [
        deployment.start_engine(
            place, MODEL, unframed=True, events=EVENTS, event_s=0.05
        )
        for place in range(ENGINES)
    ]
    await deployment.wait_until_ready(deployment.routers)
    await asyncio.sleep(3.0)
    sending = []
    for number in range(120):
        kind = ("ask", "guide")[number % 2]
        sending.append(
            asyncio.create_task(
                deployment.call(
                    deployment.routers[number % 4 // 2], f"/{kind}/{number}",
                    f"{kind}{number}",
                    headers={
                        "X-Chicorystack-Model": "m",
                        "X-Chicorystack-Token-Usage": "826,400",
                        "X-Chicorystack-Prompt-Prefix":
                            f"5c1e07a2:119,{number:08x}:707",
                    },
                )
            )
        )  # fmt: skip
        if number == 60 and trouble:
            deployment.signal(engines[0], signal.SIGKILL)
        await asyncio.sleep(0.05)
    answers = await asyncio.gather(*sending)
    return judge(answers)


def judge(answers) -> tuple[bool, str]:
    """Counts streams that end as complete before their last piece."""
    whole = [a for a in answers if a.status == 200 and a.whole]
    if len(whole) < len(answers) / 2:
        raise CannotRunError(f"only {len(whole)} streams were whole")
    short = [a for a in whole if a.body.count(b"id: ") < EVENTS]
    return (
        not short,
        f"{len(short)} of {len(whole)} streams that ended as complete lacked "
        f"pieces; {len(answers) - len(whole)} did not end as complete",
    )


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, ROUTERS, ENGINES, case))
