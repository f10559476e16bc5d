"""One job that is due many times comes; jobs of another service follow."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_3 import run_case  # noqa: E402

TIMES = 50000
HEAVY = "00000000000000f4"
STEP = {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 500}
HEAVY_STEPS = [{**STEP, "count": 8}, {**STEP, "count": 8, "after": [0]}]
OTHERS = ["%016x" % (0xa00 + number) for number in range(8)]
FINISH_SECONDS = 14.0  # finish_s
STILL_SECONDS = 10.0   # of which 3 s are enough


async def case(deployment, has_trouble):
    """Returns how the rule was broken, or None."""
    simulation = deployment.simulation
    await deployment.start([("kiosk", 6), ("gatekeep", 6)], [
        ("q-kiosk", "kiosk"), ("q-gate", "gatekeep")])
    await deployment.submit("q-gate", OTHERS[0], [STEP], 0.5)
    await deployment.until(lambda: simulation.is_done(OTHERS[0]), 10.0,
                           "the first job does not run")
    if has_trouble:
        await deployment.submit("q-kiosk", HEAVY, HEAVY_STEPS, 0.5,
                                times=TIMES)
        await asyncio.sleep(2.0)
    for job in OTHERS[1:]:
        await deployment.submit("q-gate", job, [STEP], 0.5)
        await asyncio.sleep(0.5)
    deployment.note("traffic: ends")
    end = time.monotonic() + FINISH_SECONDS + STILL_SECONDS
    while time.monotonic() < end and not all(map(simulation.is_done, OTHERS)):
        await asyncio.sleep(0.2)
    missing = [job for job in OTHERS if not simulation.is_done(job)]
    started = [job for job in missing if job + ".0.0.0" in simulation.started]
    states = [await deployment.state("q-gate", job) for job in missing]
    if missing:
        return ("LOST: %d of %d accepted jobs of the service gatekeep, whose "
                "workers run nothing, have not run %.0f s after the last was "
                "accepted; %d have started; they are shown as %s" % (
                    len(missing), len(OTHERS), FINISH_SECONDS + STILL_SECONDS,
                    len(started), sorted(set(map(str, states)))))
    return None


run_case(case, HERE)
