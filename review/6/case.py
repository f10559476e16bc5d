"""A late order reaches a worker that has left the list and come back."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

from deployment_2 import run_case  # noqa: E402

HOLD_SECONDS = 10.0  # an order may be carried out 2 to 12 s late
CRASH_AFTER = 2.0    # after the start; the run is known to work by then
DOWN_SECONDS = 6.5   # a worker may be down for 8 s
TASK_MS = 25000


async def scenario(deployment, trouble):
    """Runs the case."""
    deployment.configure([("q", "a")])
    first = await deployment.add_worker()
    await deployment.start(1)
    await deployment.wait_leader()
    await asyncio.sleep(3)
    daemon = deployment.daemons[0]
    if trouble:
        first.hold_next = ("run-start", HOLD_SECONDS)
    job = await deployment.submit(daemon, "q", [
        {"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": TASK_MS,
         "ms": TASK_MS}])
    task = job + ".0.0.0"
    while task not in deployment.tasks:
        await asyncio.sleep(0.05)
    await deployment.add_worker()
    await asyncio.sleep(CRASH_AFTER)
    if trouble:
        first.crash()
        await asyncio.sleep(DOWN_SECONDS)
        await first.start()
    await asyncio.sleep(14)
    await deployment.state(daemon, "q", job)


sys.exit(run_case(str(FOLDER), scenario))
