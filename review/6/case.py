"""A late order reaches a worker that has left the list and come back."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from deployment_2 import run_case  # noqa: E402

WORKERS, RACK = 9, 4
HOLD_SECONDS = 10.0  # an order may be carried out 2 to 12 s late
OTHER_TASKS = 40     # whose orders are answered
CRASH_AFTER = 2.0    # after the start; the run is known to work by then
DOWN_SECONDS = 6.5   # the workers of a rack may be down for 8 s
TASK_MS = 25000


def task_step(count, ms):
    """Returns a step of small tasks."""
    return {"count": count, "cpu": 1000, "mem_mb": 64, "estimate_ms": ms,
            "ms": ms}


async def scenario(deployment, trouble):
    """Runs the case."""
    deployment.configure([("q", "a")])
    for number in range(WORKERS):
        address = await deployment.add_worker()
        address.machine.labels[1] = "r1-%d" % (number // RACK)
    await deployment.start(1)
    await deployment.wait_leader()
    await asyncio.sleep(3)
    daemon = deployment.daemons[0]
    await deployment.submit(daemon, "q", [task_step(OTHER_TASKS, 500)])
    await asyncio.sleep(1.5)
    job = deployment.new_id()
    task = job + ".0.0.0"
    if trouble:
        deployment.hold_next = (None, "run-start", task, HOLD_SECONDS)
    await deployment.submit(daemon, "q", [task_step(1, TASK_MS)], job)
    while task not in deployment.tasks:
        await asyncio.sleep(0.05)
    deployment.note("%d orders so far" % deployment.orders)
    await asyncio.sleep(CRASH_AFTER)
    if trouble:
        worker = deployment.tasks[task].starts[0][2]
        first = next(a for a in deployment.addresses if a.worker is worker)
        rack = [a for a in deployment.addresses
                if a.machine.labels[1] == first.machine.labels[1]]
        for address in rack:
            address.crash_silently()
        await asyncio.sleep(DOWN_SECONDS)
        for address in rack:
            await address.start()
    await asyncio.sleep(14)
    await deployment.state(daemon, "q", job)


sys.exit(run_case(str(FOLDER), scenario))
