"""LOST: tasks that last are not started again, as each worker on probation gets one of them."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin3"))
from cell import TROUBLE, Cell, elapsed, main, route  # noqa: E402

WORKERS = 3
JOBS = 6
CAPACITY = {"cpu": 32000, "mem-mb": 131072, "gpus": 0}
# All tasks together need 44 % of the service.
DEMAND = {"cpu": 7000, "mem-mb": 8192}
# LOST: a task that lasts is away for longer than 6 s after its last run, and for 3 s there is
# capacity for it twice over.
AWAY_S = 6 + 3
WATCH_S = 30
ROUNDS = 3
GAP_S = 1.5


async def case(here, cells):
    cell = Cell(here, ["kilns"], [route(
        "watch", "kilns", "/watch/", attempts=2, priority=1, stretch=2.2, latency_ms=2500)])
    cells.append(cell)
    await cell.start(2)
    for index in range(1, WORKERS + 1):
        await cell.add_worker(f"w{index}", "kilns", CAPACITY, lambda worker, call: None)
    if not await cell.ready():
        print("the daemons did not get ready")
        return 2
    await asyncio.sleep(3)
    step = {"count": 1, **DEMAND, "est-runtime-ms": 400, "long-running": True}
    jobs = [f"{0xc0 + index:016x}" for index in range(JOBS)]
    for index, job in enumerate(jobs):
        status = await cell.submit(
            f"/watch/{job}", {"command": "watch", "pipeline": [step]}, index)
        if status != 200:
            print("a job was not accepted")
            return 2
    await asyncio.sleep(6)
    if sum(len(worker.running) for worker in cell.workers) != JOBS:
        print("the tasks did not all start")
        return 2
    if TROUBLE:
        # Each task fails ROUNDS times, one task after the other.
        for job in jobs * ROUNDS:
            for worker in cell.workers:
                for run in [run for run in worker.running if run[0].startswith(job)]:
                    worker._end(run, "failed")
            await asyncio.sleep(GAP_S)
    calm_since = elapsed()
    cell.record.write("calm from here on")
    last_run = {job: elapsed() for job in jobs}
    longest = 0.0
    while elapsed() < calm_since + WATCH_S:
        await asyncio.sleep(0.1)
        for job in jobs:
            if any(run[0].startswith(job) for worker in cell.workers for run in worker.running):
                last_run[job] = elapsed()
        longest = max(longest, max(elapsed() - at for at in last_run.values()))
    away = [job for job in jobs if elapsed() - last_run[job] > AWAY_S]
    used = [len(worker.running) * DEMAND["cpu"] for worker in cell.workers]
    states = {job: await cell.state(f"/watch/{job}", timeout=3.0) for job in away}
    cell.record.write(f"cpu in use on the workers: {used} of {CAPACITY['cpu']} each")
    for job, state in states.items():
        cell.record.write(f"GET /watch/{job} -> {state}; no run for {elapsed() - last_run[job]:.1f} s")
    print(f"{len(away)} of {JOBS} tasks have no run, the longest for {longest:.1f} s; "
          f"cpu in use {used} of {CAPACITY['cpu']} each")
    has_room = all(CAPACITY["cpu"] - cpu >= 2 * DEMAND["cpu"] for cpu in used)
    is_half_free = sum(used) * 2 < CAPACITY["cpu"] * WORKERS
    return 1 if away and has_room and is_half_free else 0


main(case, HERE)
