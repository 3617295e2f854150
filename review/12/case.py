"""LOST: a task with one attempt left waits for a worker that its queue's policy does not allow."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin3"))
from cell import TROUBLE, Advice, Cell, elapsed, main, route  # noqa: E402

MAX_ATTEMPTS = 3
# `srv_grey`, "workers fail all that they start": the troubles of the site file have 6.5 s.
GREY_S = 6.5
# LOST: jobs are asked for `finish_s` after the end of the traffic, and for 3 s.
FINISH_S, FOR_S = 14, 3
JOB = "00000000000000a1"
CAPACITY = {"cpu": 32000, "mem-mb": 131072, "gpus": 8}
DEMAND = {"cpu": 5600, "mem-mb": 15000, "gpus": 1}


def job(count, runtime_ms):
    step = {"count": count, **DEMAND, "est-runtime-ms": runtime_ms}
    return {"command": "check", "pipeline": [step]}


async def case(here, cells):
    cell = Cell(here, ["olho"], [route(
        "unica", "olho", "/unica/", attempts=MAX_ATTEMPTS, priority=2, stretch=4.0, latency_ms=3000,
        advice={"decision-ms": 140.0, "per-worker-ms": 2.0, "valid-ms": 2000},
    )])
    cells.append(cell)
    # The policy allows the watched job on one of the four workers, and the others everywhere.
    cell.advice = Advice(lambda step, worker: not step.startswith(JOB) or worker == "w1",
                         140.0, 2.0, 2000)
    await cell.advice.server.start()
    grey = {"from": 1e9}

    def run_time(worker, call):
        # For a few seconds, one worker fails all that it starts.
        is_grey = worker.name == "w1" and grey["from"] <= elapsed() < grey["from"] + GREY_S
        return (0.3, "failed") if is_grey else (1.0, "done")

    await cell.start(2)
    for index in range(1, 5):
        await cell.add_worker(f"w{index}", "olho", CAPACITY, run_time, ("a", f"r1-{index // 3}"))
    if not await cell.ready():
        print("the daemons did not get ready")
        return 2
    await asyncio.sleep(3)
    # Ordinary work first, on all workers.
    for index in range(8):
        if await cell.submit(f"/unica/{0xb0 + index:016x}", job(6, 1000), index) != 200:
            return 2
        await asyncio.sleep(0.3)
    await asyncio.sleep(6)
    if TROUBLE:
        grey["from"] = elapsed()
        cell.record.write(f"w1 fails all that it starts, for {GREY_S} s")
    if await cell.submit(f"/unica/{JOB}", job(1, 1000)) != 200:
        print("the job was not accepted")
        return 2
    submitted = elapsed()
    last_state = None
    while elapsed() < submitted + FINISH_S + FOR_S:
        await asyncio.sleep(0.5)
        state = await cell.state(f"/unica/{JOB}")
        if state != last_state:
            cell.record.write(f"GET /unica/{JOB} -> {state}")
            last_state = state
    runs = [(at, how) for worker in cell.workers for at, task, _, how in worker.ends
            if task.startswith(JOB)]
    running = [run for worker in cell.workers for run in worker.running if run[0].startswith(JOB)]
    busy = sum(len(worker.running) for worker in cell.workers)
    failed = sum(how == "failed" for _, how in runs)
    ended = max((at for at, _ in runs), default=0.0)
    idle = elapsed() - ended
    text = (f"state {last_state}, runs {[how for _, how in runs]}, nothing running for {idle:.1f} s, "
            f"{busy} runs on all workers")
    cell.record.write(text)
    print(text)
    if last_state not in ("queued", "running"):
        return 0
    # The job can be done, has attempts left, and the workers that it may use are idle.
    return 1 if not running and not busy and failed < MAX_ATTEMPTS and idle >= FOR_S else 0


main(case, HERE)
