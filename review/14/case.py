"""A worker is lost for good while the leaders are restarted one by one."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_3 import ENTRY_SECONDS, run_case  # noqa: E402

WORKERS = 9                 # one of them is 0.11 of the service's
TASKS = 3
JOB = "00000000000000a1"
TASK = JOB + ".0.0.0"
LATE_SECONDS = 4.0          # 2 to 12 s
GAP_SECONDS = 2.0           # at least, between two stops
CALM_SECONDS = 4.0          # before the time that is judged
STILL_SECONDS = 3.0
RESTART_SECONDS = 6.0       # from its last run


async def submit_small_jobs(deployment):
    """Submits jobs of one short task, so that there are other orders."""
    for number in range(60):
        await deployment.submit(
            "q", "%016x" % (0xd000 + number),
            [{"count": 1, "cpu": 100, "mem_mb": 512, "estimate_ms": 200}], 0.2)
        await asyncio.sleep(0.05)


async def stop_leaders(deployment):
    """Restarts each instance once, the one that leads first."""
    waiting = list(deployment.daemons)
    while waiting:
        began_at = time.monotonic()
        leader = deployment.leader()
        daemon = leader if leader in waiting else waiting[0]
        waiting.remove(daemon)
        await deployment.restart(daemon)  # returns once it is ready again
        await asyncio.sleep(max(0.0, began_at + GAP_SECONDS
                                - time.monotonic()))


async def case(deployment, has_trouble):
    """Returns how the rule was broken, or None."""
    simulation = deployment.simulation
    await deployment.start([("kiosk", WORKERS)], [("q", "kiosk")])
    if has_trouble:
        simulation.late[TASK] = LATE_SECONDS
    await deployment.submit("q", JOB, [
        {"count": TASKS, "cpu": 16000, "mem_mb": 1024, "estimate_ms": 500,
         "long_running": True}], 1.0)
    await deployment.until(lambda: len(simulation.running()) == TASKS, 5.0,
                           "the tasks do not start")
    await submit_small_jobs(deployment)
    if has_trouble:
        worker = deployment.crash_worker(
            deployment.machine_of(simulation.started[TASK][-1][1]))
        asyncio.get_running_loop().call_later(
            ENTRY_SECONDS, simulation.store.remove, "servers/" + worker.id)
        await stop_leaders(deployment)
    deployment.note("calm: begins")
    still_since, broken = None, None
    calm_at = time.monotonic() + CALM_SECONDS
    end = calm_at + 40.0
    while time.monotonic() < end:
        await asyncio.sleep(0.1)
        now = time.monotonic()
        runs = any(task == TASK for task, _ in simulation.running())
        last_end = max((at for at, *_ in simulation.ended.get(TASK, [])),
                       default=now)
        if runs or now < calm_at or now < last_end + RESTART_SECONDS:
            still_since = None
        elif still_since is None:
            still_since = now
        elif now >= still_since + STILL_SECONDS:
            broken = now - last_end
        if runs and now > calm_at + STILL_SECONDS:
            break
    deployment.note("workers: %d orders in all" % simulation.orders)
    if broken:
        return ("LOST: %s, which is to last, does not run for %.1f s after its "
                "worker was lost; %d workers are free" % (
                    TASK, broken, WORKERS - 1 - len(simulation.running())))
    return None


run_case(case, HERE)
