"""UNASKED: a small job of many occurrences hangs the owner of a service; cancelled work runs on."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin3"))
from cell import TROUBLE, Cell, elapsed, main, route  # noqa: E402

CANCEL_S = 3.0
STOP_GRACE_S = 0.2
# `status_s` and the other bounds are those of the small sites.
CAPACITY = {"cpu": 32000, "mem-mb": 131072, "gpus": 0}
OCCURRENCES = 8_000
INTERVAL_MS = 1_000
ORDINARY = [f"{0xd0 + index:016x}" for index in range(4)]
TIMED = f"{0xe0:016x}"


async def case(here, cells):
    cell = Cell(here, ["balcao"], [route("compra", "balcao", "/compra/", attempts=4, priority=0,
                                         stretch=1.5, latency_ms=300)])
    cells.append(cell)

    def run_time(worker, call):
        return (60.0, "done") if call["command"] == "ordinary" else (0.5, "done")

    await cell.start(3)
    for index in range(1, 7):
        await cell.add_worker(f"w{index}", "balcao", CAPACITY, run_time)
    if not await cell.ready():
        print("the daemons did not get ready")
        return 2
    await asyncio.sleep(3)
    step = {"count": 6, "cpu": 3000, "mem-mb": 6200, "est-runtime-ms": 60000}
    for index, job in enumerate(ORDINARY):
        if await cell.submit(f"/compra/{job}", {"command": "ordinary", "pipeline": [step]},
                             index) != 200:
            return 2
    await asyncio.sleep(4)
    if sum(len(worker.running) for worker in cell.workers) != 6 * len(ORDINARY):
        print("the ordinary jobs did not start")
        return 2
    # A job of one small task each second that is handed in late: all its times are over. Without
    # the trouble it has few of them.
    occurrences = OCCURRENCES if TROUBLE else 8
    timed = {"command": "timed", "repeat-count": occurrences, "interval-ms": INTERVAL_MS,
             "start-at-ms": int(time.time() * 1000) - occurrences * INTERVAL_MS,
             "pipeline": [{"count": 1, "cpu": 10, "mem-mb": 16, "est-runtime-ms": 500}]}
    status = await cell.submit(f"/compra/{TIMED}", timed)
    if status != 200:
        print(f"the timed job was not accepted: {status}")
        return 2
    await asyncio.sleep(0.3)
    # Callers cancel the ordinary jobs. Each asks all daemons until one has acknowledged that.
    acked = {}
    for job in ORDINARY:
        answers = [asyncio.create_task(daemon.request("DELETE", f"/compra/{job}", timeout=4.0))
                   for daemon in cell.daemons]
        for answer in asyncio.as_completed(answers):
            code, _ = await answer
            if 200 <= code < 300 or code == 410:
                acked[job] = elapsed()
                cell.record.write(f"DELETE /compra/{job} -> {code}")
                break
        for answer in answers:
            answer.cancel()
    if len(acked) != len(ORDINARY):
        print("a cancellation was not acknowledged")
        return 2
    unanswered, longest = 0, 0.0
    last_run = {job: 0.0 for job in ORDINARY}
    until = elapsed() + 15

    async def ask(daemon):
        nonlocal unanswered, longest
        while elapsed() < until:
            sent = elapsed()
            code, _ = await daemon.request("GET", f"/compra/{ORDINARY[0]}", timeout=3.0)
            longest = max(longest, elapsed() - sent)
            if code == 0:
                unanswered += 1
                cell.record.write(f"GET at {daemon.name}: no answer in 3 s")
            await asyncio.sleep(0.2)

    asking = [asyncio.create_task(ask(daemon)) for daemon in cell.daemons]
    while elapsed() < until:
        for worker in cell.workers:
            for task, _ in worker.running:
                if task.split(".")[0] in last_run:
                    last_run[task.split(".")[0]] = elapsed()
        await asyncio.sleep(0.02)
    await asyncio.gather(*asking)
    late = {job: last_run[job] - acked[job] for job in ORDINARY}
    worst = max(late.values())
    lapsed = sum(how == "lapsed" for worker in cell.workers for _, _, _, how in worker.ends)
    text = (f"cancelled tasks ran for up to {worst:.2f} s after the acknowledgement; {lapsed} runs lapsed; "
            f"{unanswered} queries without an answer in 3 s, the slowest took {longest:.2f} s")
    cell.record.write(text)
    print(text)
    return 1 if worst > CANCEL_S + STOP_GRACE_S else 0


main(case, HERE)
