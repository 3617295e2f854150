"""A job that is cancelled while the store has not carried out its submission yet."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin2"))
from deployment import run_case  # noqa: E402

LOST_S = 4.0  # length of the disruption
LATE_S = 5.5  # a write that is not answered is carried out so much later
LOST_SHARE = 0.35
CANCEL_S = 3.0
CONTACT_S = 3.0
JOB_ID = "5c0e7a21d94b36f8"
STARTS_AT_S = 18.0


async def load(deployment, stop):
    """Other clients: a small job each 50 ms."""
    number = 0
    while not stop.is_set():
        number += 1
        daemon = deployment.daemons[number % len(deployment.daemons)]
        body = {"command": "x", "pipeline": [{"count": 1, "cpu": 100, "mem-mb": 64,
                                              "est-runtime-ms": 300}]}
        asyncio.ensure_future(deployment.request(daemon, "POST", f"/compra/{number:016x}", body))
        await asyncio.sleep(0.05)


async def case(deployment, record, trouble):
    await deployment.start(3, 4, lambda task, command: (0.3, "done"),
                           [{"name": "r-compra", "prefix": "/compra/"}])
    store, daemon = deployment.store, deployment.daemons[0]
    stop = asyncio.Event()
    asyncio.ensure_future(load(deployment, stop))
    await asyncio.sleep(1.0)
    began, counts = time.monotonic(), {"writes": 0, "lost": 0}

    def delay(body):
        if time.monotonic() > began + LOST_S:
            return None
        counts["writes"] += 1
        if trouble and any(JOB_ID in put["key"] for put in body.get("puts", [])):
            counts["lost"] += 1
            record(f"store: write {counts['lost']} of the job gets no answer; done {LATE_S} s later")
            return LATE_S
        return None

    store.transaction_delay = delay
    job = {"command": "order", "repeat-count": 1, "interval-ms": 1000,
           "start-at-ms": int((time.time() + STARTS_AT_S) * 1000),
           "pipeline": [{"count": 1, "cpu": 500, "mem-mb": 256, "est-runtime-ms": 300}]}
    submitted, _ = await deployment.request(daemon, "POST", f"/compra/{JOB_ID}", job, 5000)
    cancelled, _ = await deployment.request(daemon, "DELETE", f"/compra/{JOB_ID}")
    acked = time.monotonic()
    await asyncio.sleep(max(0.0, began + LOST_S - time.monotonic()))
    share = counts["lost"] / counts["writes"]
    record(f"disruption: {counts['lost']} of {counts['writes']} writes unanswered ({share:.2f}), "
           f"{LOST_S} s")
    if trouble and (share > LOST_SHARE or submitted == 200):
        raise RuntimeError("the disruption was not the one of the pages")
    await asyncio.sleep(5.0)
    stop.set()
    await asyncio.sleep(max(0.0, began + STARTS_AT_S + 4.0 - time.monotonic()))
    _, state = await deployment.request(daemon, "GET", f"/compra/{JOB_ID}")
    starts = [run["start"] for run in deployment.runs() if run["task"].startswith(JOB_ID)]
    for start in starts:
        record(f"the cancelled job starts {start - acked:.1f} s after its cancelling was answered "
               f"{cancelled}")
    record(f"submission answered {submitted}, cancelling {cancelled}, state then {state}")
    is_acked = cancelled == 410 or 200 <= cancelled < 300
    return not (is_acked and any(start > acked + CANCEL_S for start in starts))


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
