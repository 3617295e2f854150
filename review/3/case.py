"""LOST: one timed job that can never be done stops all other jobs of its service."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standin"))
import deployment  # noqa: E402

SERVICE, PREFIX = "balcao", "/lohu930/"
CAPACITY = {"cpu": 32000, "mem-mb": 131072, "gpus": 0}
STEP = {"count": 3, "cpu": 2000, "mem-mb": 4096, "est-runtime-ms": 700}
POISON = {"count": 2000, "cpu": 100, "mem-mb": 64, "est-runtime-ms": 200, "required-label": "z"}
INTERVAL_MS = 200
TIMES = 2000
# Seconds from the poison job to the jobs that are judged, and for which these may wait.
LEAD_S, WAIT_S = 40, 30


async def submit_jobs(fleet, until):
    """Four jobs a second."""
    pending = []
    while fleet.record.now() < until:
        pending.append(asyncio.ensure_future(fleet.submit(PREFIX, [STEP])))
        await asyncio.sleep(1 / 4)
    return [job for job in await asyncio.gather(*pending) if job]


async def case(fleet):
    runners = [(f"i-{index:010x}", SERVICE, CAPACITY, ["a", f"r1-{index // 5}"],
                lambda task, attempt: 0.7) for index in range(1, 8)]
    await fleet.start([deployment.route("compra", PREFIX, SERVICE)], runners)
    began = fleet.record.now()
    load = asyncio.ensure_future(submit_jobs(fleet, began + 4 + LEAD_S))
    await asyncio.sleep(4)
    if deployment.TROUBLE:
        poison = await fleet.submit(PREFIX, [POISON], **{
            "repeat-count": TIMES, "start-at-ms": int(time.time() * 1000) + 500,
            "interval-ms": INTERVAL_MS})
        fleet.record.say(f"job {poison}, which no runner can run, was handed in: "
                         f"{'accepted' if poison else 'rejected'}")
    before = await load
    served = [job for job in before if any(run.how == "done" for run in fleet.runs_of(job))]
    fleet.record.say(f"{len(before)} jobs accepted so far, {len(served)} of them with a task that is done")
    judged = []
    for _ in range(10):
        judged.append(await fleet.submit(PREFIX, [STEP]))
        await asyncio.sleep(0.2)
    judged = [job for job in judged if job]
    fleet.record.say(f"{len(judged)} more jobs accepted")
    for _ in range(WAIT_S):
        await asyncio.sleep(1)
    waiting = [job for job in judged if not fleet.runs_of(job)]
    states = [await fleet.state(job) for job in judged]
    used = sum(len(runner.running) for runner in fleet.runners)
    memory = max(daemon.memory_mb() for daemon in fleet.daemons)
    fleet.record.say(f"{len(waiting)} of {len(judged)} accepted jobs have had no task started for "
                     f"{WAIT_S} s, while {used} tasks run on {len(fleet.runners)} runners; shown as "
                     f"{sorted(set(map(str, states)))}; {fleet.store.refused_values} writes above value-bytes; "
                     f"the largest daemon holds {memory:.0f} MB")
    return not waiting


deployment.main(os.path.dirname(os.path.abspath(__file__)), case)
