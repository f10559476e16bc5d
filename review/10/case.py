"""A late hold makes a restarted worker forget ends that nobody has seen."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from deployment_2 import run_case  # noqa: E402

MAX_HOLD_SECONDS = 12.0  # a call may be carried out 2 to 12 s late
HELD_CALLS = 5
CRASH_AFTER = 5.9  # after the first call was held
DOWN_SECONDS = 1.0
FIRST_ARRIVAL, ARRIVAL_STEP = 1.5, 0.45  # seconds after the worker is back
WORKERS = 9
CORES = 16
STEPS = 30
TASKS = 10
MIN_MS, MAX_MS = 150, 1150
JOBS = 36
JOB_SECONDS = 0.5


async def scenario(deployment, trouble):
    """Runs the case."""
    deployment.configure([("q", "a")])
    for _ in range(WORKERS):
        await deployment.add_worker(cores=CORES)
    await deployment.start(1)
    await deployment.wait_leader()
    await asyncio.sleep(3)
    daemon = deployment.daemons[0]

    async def load():
        for _ in range(JOBS):
            times = [MIN_MS + (MAX_MS - MIN_MS) * number // STEPS
                     for number in range(STEPS)]
            await deployment.submit(daemon, "q", [
                {"count": TASKS, "cpu": 300, "mem_mb": 8, "estimate_ms": ms,
                 "ms": ms} for ms in times])
            await asyncio.sleep(JOB_SECONDS)

    jobs = asyncio.ensure_future(load())
    await asyncio.sleep(5)
    first = max(deployment.addresses, key=lambda a: a.worker.load())
    if trouble:
        crash_at = deployment.clock() + CRASH_AFTER
        back_at = crash_at + DOWN_SECONDS
        for number in range(HELD_CALLS):
            arrival = back_at + FIRST_ARRIVAL + number * ARRIVAL_STEP
            while deployment.clock() < crash_at:
                deployment.hold_next = (first, "hold", "", min(
                    MAX_HOLD_SECONDS, arrival - deployment.clock()))
                await asyncio.sleep(0.01)
                if deployment.hold_next is None:
                    break
        deployment.hold_next = None
        await asyncio.sleep(max(0.0, crash_at - deployment.clock()))
        first.crash()
        await asyncio.sleep(DOWN_SECONDS)
        await first.start()
    await jobs
    await asyncio.sleep(10)


sys.exit(run_case(str(FOLDER), scenario))
