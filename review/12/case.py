"""A late start reaches a later life of a worker, after its run has failed."""

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
LATE_SECONDS = 5.0      # 2 to 12 s
FAILS_AFTER_SECONDS = 1.0
WORK_SECONDS = 20.0
CUT_SECONDS = 5.5       # for_s of the site file
CRASH_SECONDS, DOWN_SECONDS = 0.3, 1.0
UP_SECONDS = 12.0       # that the workers have been up before


def step(cpu, seconds):
    """Returns a step with one task."""
    return {"count": 1, "cpu": cpu, "mem_mb": 512,
            "estimate_ms": int(seconds * 1000)}


async def submit_small_jobs(deployment):
    """Submits jobs of one short task, so that there are other orders."""
    for number in range(60):
        await deployment.submit("q", "%016x" % (0xd000 + number),
                                [step(100, 0.2)], 0.2)
        await asyncio.sleep(0.05)


def overlaps(simulation):
    """Returns two runs of the task that ran at the same time, if any."""
    runs = []
    for started_at, worker, attempt in simulation.started.get(TASK, []):
        ends = [at for at, where, number, _ in simulation.ended.get(TASK, [])
                if (where, number) == (worker, attempt) and at >= started_at]
        runs.append((started_at, min(ends, default=time.monotonic()), worker,
                     attempt))
    for index, first in enumerate(runs):
        for second in runs[index + 1:]:
            both = min(first[1], second[1]) - max(first[0], second[0])
            if both > 0:
                return first, second, both
    return None


async def case(deployment, has_trouble):
    """Returns how the rule was broken, or None."""
    simulation = deployment.simulation
    await deployment.start([("kiosk", WORKERS)], [("q", "kiosk")])
    await asyncio.sleep(UP_SECONDS)
    # The scheduler takes the worker with the least room that is enough: a
    # first filler makes that one worker, a second one another.
    await deployment.submit("q", "%016x" % 0xf1, [step(4000, 60.0)], 60.0)
    await deployment.until(lambda: "%016x.0.0.0" % 0xf1 in simulation.started,
                           5.0, "the first filler does not start")
    simulation.failing[(TASK, 1)] = FAILS_AFTER_SECONDS
    if has_trouble:
        simulation.late[TASK] = LATE_SECONDS
    others = asyncio.ensure_future(submit_small_jobs(deployment))
    await deployment.submit("q", JOB, [step(10000, WORK_SECONDS)],
                            WORK_SECONDS)
    await deployment.until(lambda: TASK in simulation.started, 5.0,
                           "the task does not start")
    first = simulation.started[TASK][0][1]
    await deployment.submit("q", "%016x" % 0xf2, [step(5000, 60.0)], 60.0)
    await deployment.until(lambda: len(simulation.started[TASK]) > 1, 5.0,
                           "the task does not start again")
    if simulation.started[TASK][1][1] == first:
        deployment.note("the task starts again on the same worker")
    if has_trouble:
        await deployment.cut_reborn(deployment.machine_of(first), CUT_SECONDS,
                                    CRASH_SECONDS, DOWN_SECONDS)
    await asyncio.sleep(12.0)
    await others
    deployment.note("workers: %d orders in all" % simulation.orders)
    found = overlaps(simulation)
    if found:
        (_, _, one, low), (_, _, other, high), both = found
        return ("TWICE: %s runs on %s (attempt %d) and on %s (attempt %d) at "
                "the same time, for %.1f s" % (TASK, one, low, other, high,
                                               both))
    return None


run_case(case, HERE)
