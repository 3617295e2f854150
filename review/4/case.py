"""LOST: tasks that last stay away for 20 s if their runner and the owner are lost together."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standin"))
import deployment  # noqa: E402

SERVICE, PREFIX = "balcao", "/lohu930/"
CAPACITY = {"cpu": 32000, "mem-mb": 131072, "gpus": 0}
TASKS = 7
STEP = {"count": TASKS, "cpu": 8100, "mem-mb": 17000, "est-runtime-ms": 400, "long-running": True,
        "anti-affinity": 1}
KILL_AFTER_S = 1.0
RESTART_S = 1.0
# The rule asks for 3 s without a run after 4 calm seconds, from 6 s after the last run;
# contact-ms is 3 s.
CALM_S = 3 + 4 + 3


async def case(fleet):
    # One runner more than the job needs, so that a lost task has room at once.
    runners = [(f"i-{index:010x}", SERVICE, CAPACITY, ["a", f"r1-{index // 5}"],
                lambda task, attempt: None) for index in range(1, TASKS + 2)]
    routes = [deployment.route("vigia", PREFIX, SERVICE, **{"max-attempts": 2, "priority": 1})]
    await fleet.start(routes, runners)
    job = await fleet.submit(PREFIX, [STEP])
    if job is None:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(6)
    if len({run.task for run in fleet.runs if run.end is None}) < TASKS:
        raise RuntimeError("not all tasks are at work")
    gone_at = fleet.record.now()
    if deployment.TROUBLE:
        victim = next(runner for runner in fleet.runners if runner.running)
        victim.crash()
        victim.http.reset_channels()
        victim.http.stop_listening()
        fleet.record.say(f"runner {victim.id}, one of {len(fleet.runners)}, is gone for good")
        await asyncio.sleep(KILL_AFTER_S)
        daemon = fleet.owner(SERVICE)
        if daemon is None:
            raise RuntimeError("the service has no owner")
        daemon.send_signal(signal.SIGKILL)
        daemon.process.wait()
        fleet.record.say(f"daemon {daemon.name} is killed")
        await asyncio.sleep(RESTART_S)
        daemon.launch(fleet.seeds(), bootstrap=False)
        fleet.record.say(f"daemon {daemon.name} starts again; no disturbance from here")
    calm_from = fleet.record.now()
    at_work = set()
    broken = False
    back_at = None
    while fleet.record.now() < calm_from + 30:
        await asyncio.sleep(0.1)
        at_work = {run.task for run in fleet.runs if run.end is None}
        if len(at_work) == TASKS:
            back_at = fleet.record.now()
            break
        broken = broken or fleet.record.now() > calm_from + CALM_S
    await fleet.state(job)
    back = "not back" if back_at is None else f"back {back_at - gone_at:.1f} s after the loss"
    fleet.record.say(f"{len(at_work)} of {TASKS} tasks of job {job} are at work, all {back}; "
                     f"a runner with room was free all the while")
    return not broken


deployment.main(os.path.dirname(os.path.abspath(__file__)), case)
