"""TWICE: more than 500 ends wait on a runner while the store is down."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standin"))
import deployment  # noqa: E402

SERVICE, PREFIX = "balcao", "/lohu930/"
OUTAGE_S = 4.5
TASKS = 800
CAPACITY = {"cpu": 32000, "mem-mb": 131072, "gpus": 0}
STEP = {"count": TASKS, "cpu": 40, "mem-mb": 64, "est-runtime-ms": 6000}


async def case(fleet):
    draw = random.Random(29)
    times = {}

    def work_s(task, attempt):
        return times.setdefault(task, draw.uniform(4.0, 9.0))

    runners = [(f"i-{index:010x}", SERVICE, CAPACITY, ["a", "r1-1"], work_s) for index in (1, 2)]
    await fleet.start([deployment.route("compra", PREFIX, SERVICE)], runners)
    job = await fleet.submit(PREFIX, [STEP])
    if job is None:
        raise RuntimeError("the job was not accepted")
    while sum(run.attempt == 1 for run in fleet.runs) < TASKS:
        await asyncio.sleep(0.02)
    fleet.record.say(f"all {TASKS} tasks of job {job} have begun")
    await asyncio.sleep(3.8)
    if deployment.TROUBLE:
        fleet.store.down = "silent"
        fleet.record.say(f"the store is down for {OUTAGE_S} s")
        await asyncio.sleep(OUTAGE_S)
        fleet.store.down = None
        waiting = max(len(runner.finished) for runner in fleet.runners)
        fleet.record.say(f"the store is back; {waiting} ends wait on one runner")
    state = None
    until = fleet.record.now() + 40
    while fleet.record.now() < until and state != "completed":
        await asyncio.sleep(0.5)
        state = await fleet.state(job)
    await asyncio.sleep(1)
    pairs = fleet.starts_after_done()
    for first, second in pairs:
        fleet.record.write(f"TWICE: {first.describe()}; {second.describe()}")
    fleet.record.say(f"job {job} is {state}; {len(fleet.runs)} runs of {TASKS} tasks; "
                     f"{len(pairs)} starts after a run that had ended done and was taken note of")
    return not pairs


deployment.main(os.path.dirname(os.path.abspath(__file__)), case)
