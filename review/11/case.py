"""A late start reaches a later life of a worker, after its run was done."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_3 import run_case  # noqa: E402

WORKERS = 9             # one of them is 0.11 of the service's
JOB = "00000000000000a1"
TASK = JOB + ".0.0.0"
LATE_SECONDS = 5.0      # 2 to 12 s
WORK_SECONDS = 1.0
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
    await asyncio.sleep(UP_SECONDS)
    if has_trouble:
        simulation.late[TASK] = LATE_SECONDS
    others = asyncio.ensure_future(submit_small_jobs(deployment))
    await deployment.submit(
        "q", JOB, [{"count": 1, "cpu": 2000, "mem_mb": 512,
                    "estimate_ms": int(WORK_SECONDS * 1000)}], WORK_SECONDS)
    await deployment.until(lambda: TASK in simulation._acknowledged, 5.0,
                           "the end of the task is not taken note of")
    deployment.note("its end `done` is taken note of (last_seen)")
    ended_at, worker, attempt, _ = simulation.ended[TASK][0]
    await deployment.state("q", JOB)
    if has_trouble:
        await deployment.cut_reborn(deployment.machine_of(worker), CUT_SECONDS,
                                    CRASH_SECONDS, DOWN_SECONDS)
    await asyncio.sleep(5.0)
    await others
    deployment.note("workers: %d orders in all" % simulation.orders)
    again = [start for start in simulation.started[TASK] if start[0] > ended_at]
    if again:
        return ("TWICE: %s, which had ended done on %s (attempt %d), starts "
                "again on %s (attempt %d), %.1f s later" % (
                    TASK, worker, attempt, again[0][1], again[0][2],
                    again[0][0] - ended_at))
    return None


run_case(case, HERE)
