"""Jobs that wait after a worker crash are missing in the number of pending."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

from deployment_2 import run_case  # noqa: E402

WORKERS = 8
CORES = 8
LONG_MS = 25000
SHORT_MS = 1000
WAITING_JOBS = 4
AGE_SECONDS = 5.0  # visible_ms and 2 s
CHECKS = 5


async def scenario(deployment, trouble):
    """Runs the case."""
    deployment.configure([("q", "a")])
    for _ in range(WORKERS):
        await deployment.add_worker(cores=CORES)
    await deployment.start(1)
    await deployment.wait_leader()
    await asyncio.sleep(3)
    daemon = deployment.daemons[0]
    for _ in range(WORKERS - 1):
        await deployment.submit(daemon, "q", [
            {"count": 1, "cpu": CORES * 1000, "mem_mb": 64,
             "estimate_ms": LONG_MS, "ms": LONG_MS}])
    await asyncio.sleep(1)
    free = next(a for a in deployment.addresses if not a.worker.is_busy())
    if trouble:
        free.crash_silently()
        await asyncio.sleep(1)
    jobs = {}
    for _ in range(WAITING_JOBS):
        job = await deployment.submit(daemon, "q", [
            {"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": SHORT_MS,
             "ms": SHORT_MS}])
        jobs[job] = deployment.clock()
    await asyncio.sleep(AGE_SECONDS + 1)
    for _ in range(CHECKS):
        asked_at = deployment.clock()
        pending = await deployment.pending(daemon, "q")
        # The answer may be as old as its request and hold since before it.
        waiting = [job for job, accepted_at in jobs.items()
                   if accepted_at + AGE_SECONDS < asked_at
                   and job + ".0.0.0" not in deployment.tasks]
        if pending is not None and 2 * pending < len(waiting):
            deployment.violation("MIXED", (
                "%d jobs are said to be pending; %d were accepted over %.0f s "
                "before and have not begun" % (
                    pending, len(waiting), AGE_SECONDS)))
            return
        await asyncio.sleep(1)


sys.exit(run_case(str(FOLDER), scenario))
