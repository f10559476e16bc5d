"""One worker of a lasting job crashes, and again soon after each restart."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_3 import run_case  # noqa: E402

WORKERS = 8  # one of them is 0.125 of the service's
JOB = "00000000000000c3"
STEPS = [{"count": WORKERS, "cpu": 16000, "mem_mb": 1024,
          "estimate_ms": 500, "long_running": True}]
UP_SECONDS, DOWN_SECONDS = 0.2, 1.2
CRASHES = 5
CALM_SECONDS = 4.0


async def crash_loop(deployment, machine):
    """The worker crashes, and again soon after each of its starts."""
    for _ in range(CRASHES):
        previous = deployment.crash_worker(machine)
        await asyncio.sleep(DOWN_SECONDS)
        await deployment.revive_worker(machine, previous)
        await asyncio.sleep(UP_SECONDS)


async def case(deployment, has_trouble):
    """Returns how the rule was broken, or None."""
    simulation = deployment.simulation
    await deployment.start([("kiosk", WORKERS)], [("q", "kiosk")])
    await deployment.submit("q", JOB, STEPS, 1.0)
    await deployment.until(lambda: len(simulation.running()) == WORKERS, 10.0,
                           "the tasks do not start")
    await asyncio.sleep(CALM_SECONDS)
    if has_trouble:
        await crash_loop(deployment, next(
            iter(simulation.machines.all.values())))
    await asyncio.sleep(6.0)
    state = await deployment.state("q", JOB)
    running = len(simulation.running())
    ends = sorted({how for runs in simulation.ended.values()
                   for *_, how in runs})
    deployment.note("workers: %d tasks run; kinds of ends: %s" % (
        running, ends))
    if state in ("failed", "cancelled", "succeeded") and "failed" not in ends:
        return ("LOST: the lasting job %s, which nobody cancelled, is shown as "
                "%s; no run ended as failed; %d of its %d tasks run" % (
                    JOB, state, running, WORKERS))
    return None


run_case(case, HERE)
