"""A queue's route is removed, then the instances are restarted in turn."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_3 import run_case  # noqa: E402

JOB = "00000000000000a1"
STEPS = [{"count": 1, "cpu": 4000, "mem_mb": 1024, "estimate_ms": 16000},
         {"count": 1, "cpu": 4000, "mem_mb": 1024, "estimate_ms": 1000,
          "after": [0]}]
FIRST_STEP_SECONDS = 16.0
FINISH_SECONDS = 14.0  # finish_s
STILL_SECONDS = 3.0    # for which nothing may run


async def case(deployment, has_trouble):
    """Returns how the rule was broken, or None."""
    simulation = deployment.simulation
    queues = [("q-old", "kiosk"), ("q-new", "kiosk")]
    await deployment.start([("kiosk", 3)], queues)
    await deployment.submit("q-old", JOB, STEPS, [FIRST_STEP_SECONDS, 1.0])
    await deployment.until(lambda: JOB + ".0.0.0" in simulation.started, 5.0,
                           "the first step does not start")
    if has_trouble:
        deployment.configure(queues[1:])
        await asyncio.sleep(3.0)  # config_apply_ms is 2,000
        for daemon in list(deployment.daemons):
            await deployment.restart(daemon)
    await deployment.until(
        lambda: any(how == "done" for *_, how in
                    simulation.ended.get(JOB + ".0.0.0", [])), 40.0,
        "the first step does not end")
    deployment.note("traffic: ends")
    end = time.monotonic() + FINISH_SECONDS + STILL_SECONDS
    while time.monotonic() < end:
        if simulation.is_done(JOB):
            return None
        await asyncio.sleep(0.1)
    if simulation.started.get(JOB + ".0.1.0"):
        return None
    # What a new job of the other queue shows: the workers are free and work.
    await deployment.submit("q-new", "00000000000000b2", STEPS[:1], 1.0)
    await asyncio.sleep(3.0)
    others = "run" if simulation.is_done("00000000000000b2") else "don't run"
    return ("LOST: step 1 of the accepted job %s has not started %.0f s after "
            "step 0 ended; all workers are free, and new jobs %s" % (
                JOB, FINISH_SECONDS + STILL_SECONDS, others))


run_case(case, HERE)
