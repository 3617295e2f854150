"""A runner with a lasting task is lost for good, and with it most of the daemons."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin2"))
from deployment import run_case  # noqa: E402

DAEMONS = 8
LOST_DAEMONS = 5
RUNNERS = 8
PATH = "/vigia/5c0e7a21d94b36f8"
JOB = {"command": "watch", "pipeline": [
    {"count": 8, "cpu": 500, "mem-mb": 256, "est-runtime-ms": 400, "long-running": True,
     "anti-affinity": 2}]}
# From 6 s after its last run, a task that lasts has to run, or have run, within any 3 s; these
# and the 4 s before them have to be calm.
AWAY_S = 6.0 + 3.0
CALM_S = 4.0 + 3.0
WATCH_S = 35.0


async def case(deployment, record, trouble):
    await deployment.start(DAEMONS, RUNNERS, lambda task, command: (None, "done"),
                           [{"name": "r-vigia", "prefix": "/vigia/"}])
    status, _ = await deployment.request(deployment.daemons[0], "POST", PATH, JOB)
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    await asyncio.sleep(4.0)
    owner = deployment.owner()
    lost = next(runner for runner in deployment.runners if runner.present)
    tasks = sorted(task for task, _ in lost.present)
    record(f"owner {owner.name}; runner {lost.name} runs {tasks}")
    if trouble:
        lost.crash()
        record(f"runner {lost.name} is lost for good")
        others = [daemon for daemon in deployment.daemons if daemon is not owner]
        for daemon in [owner, *others[:LOST_DAEMONS - 1]]:
            daemon.send(signal.SIGKILL)
        record(f"{LOST_DAEMONS} of {DAEMONS} daemons are lost for good")
    ended = time.monotonic()
    back, is_taken_over = {}, not trouble
    while time.monotonic() < ended + WATCH_S:
        at_work = {task for runner in deployment.runners for task, _ in runner.present}
        for task in tasks:
            if task in at_work and task not in back:
                back[task] = time.monotonic() - ended
        if not is_taken_over and "auburnsaddle/pub/owner/balcao" in deployment.store.items:
            successor = deployment.owner()
            is_taken_over = successor is not owner
            if is_taken_over:
                record(f"{successor.name} is the new owner")
        if trouble and time.monotonic() > ended + 4.5:
            # Three check-in intervals of silence.
            if f"servers/{lost.name}" in deployment.store.items:
                deployment.store.remove(f"servers/{lost.name}")
        await asyncio.sleep(0.05)
    away = {task: back.get(task, WATCH_S) for task in tasks}
    record(f"seconds until the tasks were at work again: "
           f"{ {task: round(value, 1) for task, value in away.items()} }")
    free = [runner.name for runner in deployment.runners if runner.is_up]
    record(f"runners up all the while: {free}, each with 4 cores, tasks of 0.5 cores")
    return all(value < max(AWAY_S, CALM_S) for value in away.values())


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
