"""A start of a killed leader reaches a later life of a worker."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_3 import run_case  # noqa: E402

WORKERS = 9             # one of them is 0.11 of the service's
JOB = "00000000000000a1"
TASK = JOB + ".0.0.0"
LATE_SECONDS = 10.0     # 2 to 12 s
WORK_SECONDS = 20.0
KILLED_SECONDS = 3.0    # for_s of the site file
CUT_AFTER_SECONDS = 5.0
CUT_SECONDS = 5.5       # for_s of the site file
CRASH_SECONDS, DOWN_SECONDS = 0.3, 1.0
UP_SECONDS = 12.0       # that the workers have been up before


async def submit_small_jobs(deployment):
    """Submits jobs of one short task, so that there are other orders."""
    for number in range(60):
        await deployment.submit(
            "q", "%016x" % (0xd000 + number),
            [{"count": 1, "cpu": 100, "mem_mb": 512, "estimate_ms": 200}], 0.2)
        await asyncio.sleep(0.05)


async def case(deployment, has_trouble):
    """Returns how the rule was broken, or None."""
    simulation = deployment.simulation
    await deployment.start([("kiosk", WORKERS)], [("q", "kiosk")])
    await asyncio.sleep(UP_SECONDS - 5.0)
    await submit_small_jobs(deployment)
    if has_trouble:
        simulation.late[TASK] = LATE_SECONDS
    await deployment.submit(
        "q", JOB, [{"count": 1, "cpu": 2000, "mem_mb": 512,
                    "estimate_ms": int(WORK_SECONDS * 1000)}], WORK_SECONDS)
    if has_trouble:
        await deployment.until(lambda: TASK in simulation.late_on, 5.0,
                               "the task is not placed")
        ordered_at = time.monotonic()
        killed = asyncio.ensure_future(deployment.kill(deployment.leader(),
                                                       KILLED_SECONDS))
        await asyncio.sleep(ordered_at + CUT_AFTER_SECONDS - time.monotonic())
        await deployment.cut_reborn(
            deployment.machine_of(simulation.late_on[TASK]), CUT_SECONDS,
            CRASH_SECONDS, DOWN_SECONDS)
        await killed
    await asyncio.sleep(10.0)
    deployment.note("workers: %d orders in all" % simulation.orders)
    found = simulation.overlap(TASK)
    if found:
        (_, _, one, low), (_, _, other, high), both = found
        return ("TWICE: %s runs on %s (attempt %d) and on %s (attempt %d) at "
                "the same time, for %.1f s" % (TASK, one, low, other, high,
                                               both))
    return None


run_case(case, HERE)
