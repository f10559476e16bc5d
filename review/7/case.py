"""A job is shown as failed though none of its runs ended as failed."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

from deployment_2 import run_case  # noqa: E402

CRASH_AFTER = [0.7, 0.15]  # seconds from a start of the task to the crash
DOWN_SECONDS = 2.0
TASK_MS = 4000


async def scenario(deployment, trouble):
    """Runs the case."""
    deployment.configure([("q", "a")])
    for _ in range(3):
        await deployment.add_worker()
    await deployment.start(1)
    await deployment.wait_leader()
    await asyncio.sleep(3)
    daemon = deployment.daemons[0]
    job = await deployment.submit(daemon, "q", [
        {"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": TASK_MS,
         "ms": TASK_MS}])
    task = job + ".0.0.0"
    for number, delay in enumerate(CRASH_AFTER if trouble else []):
        for _ in range(400):
            if (task in deployment.tasks and
                    len(deployment.tasks[task].starts) > number):
                break
            await asyncio.sleep(0.02)
        await asyncio.sleep(delay)
        worker = deployment.tasks[task].starts[-1][2]
        address = next(a for a in deployment.addresses if a.worker is worker)
        address.crash()
        await asyncio.sleep(DOWN_SECONDS)
        await address.start()
    await asyncio.sleep(15)
    _, state = await deployment.state(daemon, "q", job)
    failed = sum(end[3] == "failed" for end in deployment.tasks[task].ends)
    if state == "failed" and failed < 4:
        deployment.violation(
            "LOST", "%s is shown as failed, but %d of its runs ended as "
            "failed" % (job, failed))


sys.exit(run_case(str(FOLDER), scenario))
