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
GAP_SECONDS = 2.5           # between two stops
CALM_SECONDS = 4.0          # before the time that is judged
STILL_SECONDS = 3.0
RESTART_SECONDS = 6.0       # from its last run


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
    await asyncio.sleep(3.0)
    restarts = []
    if has_trouble:
        worker = deployment.crash_worker(
            deployment.machine_of(simulation.started[TASK][-1][1]),
            is_dark=True)
        asyncio.get_running_loop().call_later(
            ENTRY_SECONDS, simulation.store.remove, "servers/" + worker.id)
        for _ in deployment.daemons:
            leader = deployment.leader()
            if leader is None or not leader.is_running:
                await asyncio.sleep(0.5)
                leader = deployment.leader()
            restarts.append(asyncio.ensure_future(deployment.restart(leader)))
            await asyncio.sleep(GAP_SECONDS)
        await asyncio.gather(*restarts)
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
    if broken:
        return ("LOST: %s, which is to last, does not run for %.1f s after its "
                "worker was lost; %d workers are free" % (
                    TASK, broken, WORKERS - 1 - len(simulation.running())))
    return None


run_case(case, HERE)
