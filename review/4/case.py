"""LOST: a job that lasts is shown as failed after three crashes of runners, with no run `failed`."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standin"))
import deployment  # noqa: E402

SERVICE, PREFIX = "balcao", "/lohu930/"
DOWN_S = 2.0
GAP_S = 8.0
CRASHES = 3
CAPACITY = {"cpu": 32000, "mem-mb": 131072, "gpus": 0}
STEP = {"count": 1, "cpu": 8100, "mem-mb": 17000, "est-runtime-ms": 400, "long-running": True}


def current_run(fleet, job):
    return next((run for run in fleet.runs_of(job) if run.end is None), None)


async def case(fleet):
    runners = [(f"i-{index:010x}", SERVICE, CAPACITY, ["a", f"r1-{index // 5}"],
                lambda task, attempt: None) for index in range(1, 8)]
    routes = [deployment.route("vigia", PREFIX, SERVICE, **{"max-attempts": 2, "priority": 1})]
    await fleet.start(routes, runners)
    job = await fleet.submit(PREFIX, [STEP])
    if job is None:
        raise RuntimeError("the job was not accepted")
    for crash in range(CRASHES):
        await asyncio.sleep(GAP_S)
        run = current_run(fleet, job)
        if run is None or not deployment.TROUBLE:
            continue
        runner = next(runner for runner in fleet.runners if runner.id == run.runner)
        fleet.record.say(f"crash {crash + 1}: {runner.id}, one of {len(fleet.runners)}, which has "
                         f"run {run.attempt} of the task since {run.began:.3f}")
        # The next life has another id, and is at the same address.
        await runner.crash_and_restart(DOWN_S, f"{runner.base_name}-{runner.lives + 1}")
    fleet.record.say("no disturbance from here")
    quiet_from = fleet.record.now()
    states = []
    while fleet.record.now() < quiet_from + 20:
        await asyncio.sleep(1)
        states.append(await fleet.state(job))
    runs = fleet.runs_of(job)
    failed = [run for run in runs if run.how == "failed"]
    for run in runs:
        fleet.record.write(f"at the end: {run.describe()}")
    at_work = current_run(fleet, job) is not None
    fleet.record.say(f"job {job}, which nobody has cancelled: shown as {states[-1]}; "
                     f"{len(runs)} runs, {len(failed)} of them ended failed; "
                     f"its task is {'' if at_work else 'not '}at work after 20 calm seconds")
    return at_work and "failed" not in states


deployment.main(os.path.dirname(os.path.abspath(__file__)), case)
