"""TWICE: more than 500 ends wait on a runner when a new owner takes over its service."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standin"))
import deployment  # noqa: E402

SERVICE, PREFIX = "balcao", "/lohu930/"
DOWN_S = 3.5
TASKS = 800
CAPACITY = {"cpu": 32000, "mem-mb": 131072, "gpus": 0}
STEP = {"count": TASKS, "cpu": 40, "mem-mb": 64, "est-runtime-ms": 5000}
# The tasks take 4 to 6 s, and the owner is killed when the first of them end.
WORK_S = (4.0, 6.0)
KILL_AFTER_S = 3.9


async def case(fleet):
    draw = random.Random(29)
    times = {}

    def work_s(task, attempt):
        return times.setdefault(task, draw.uniform(*WORK_S))

    runners = [(f"i-{index:010x}", SERVICE, CAPACITY, ["a", "r1-1"], work_s) for index in (1, 2)]
    await fleet.start([deployment.route("compra", PREFIX, SERVICE)], runners)
    job = await fleet.submit(PREFIX, [STEP])
    if job is None:
        raise RuntimeError("the job was not accepted")
    while sum(run.attempt == 1 for run in fleet.runs) < TASKS:
        await asyncio.sleep(0.02)
    fleet.record.say(f"all {TASKS} tasks of job {job} have begun")
    await asyncio.sleep(KILL_AFTER_S)
    if deployment.TROUBLE:
        daemon = fleet.owner(SERVICE)
        if daemon is None:
            raise RuntimeError("the service has no owner")
        daemon.send_signal(signal.SIGKILL)
        daemon.process.wait()
        fleet.record.say(f"daemon {daemon.name} is killed, for {DOWN_S} s")
        await asyncio.sleep(DOWN_S)
        daemon.launch(fleet.seeds(), bootstrap=False)
        fleet.record.say(f"daemon {daemon.name} starts again")
    state = None
    until = fleet.record.now() + 40
    while fleet.record.now() < until and state != "completed":
        await asyncio.sleep(0.5)
        state = await fleet.state(job)
    await asyncio.sleep(1)
    pairs = fleet.starts_after_done()
    for first, second in pairs:
        fleet.record.write(f"TWICE: {first.describe()}; {second.describe()}")
    most = max(runner.most_ends for runner in fleet.runners)
    fleet.record.say(f"job {job} is {state}; at most {most} ends waited on one runner; "
                     f"{len(fleet.runs)} runs of {TASKS} tasks; {len(pairs)} starts after a run "
                     f"that had ended done and was taken note of")
    return not pairs


deployment.main(os.path.dirname(os.path.abspath(__file__)), case)
