"""An idle worker of a busy service is lost for good; jobs come after that."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_3 import ENTRY_SECONDS, run_case  # noqa: E402

WORKERS = 9  # one of them is 0.11 of the service's
BUSY_SECONDS = 20.0
JOBS = ["%016x" % (0xe00 + number) for number in range(6)]
WAITED_SECONDS = 5.0  # visible_ms + 2 s


async def case(deployment, has_trouble):
    """Returns how the rule was broken, or None."""
    simulation = deployment.simulation
    await deployment.start([("kiosk", WORKERS)], [("q", "kiosk"),
                                                  ("q-busy", "kiosk")])
    for number in range(WORKERS - 1):
        await deployment.submit("q-busy", "%016x" % (0xd00 + number), [
            {"count": 1, "cpu": 16000, "mem_mb": 1024,
             "estimate_ms": int(BUSY_SECONDS * 1000)}], BUSY_SECONDS)
    await deployment.until(
        lambda: len(simulation.running()) == WORKERS - 1, 10.0,
        "the other workers are not busy")
    busy = {worker.id for _, worker in simulation.running()}
    machine = next(m for m in simulation.machines.all.values()
                   if m.worker.id not in busy)
    if has_trouble:
        worker = deployment.crash_worker(machine, is_dark=True)
        asyncio.get_running_loop().call_later(
            ENTRY_SECONDS, simulation.store.remove, "servers/" + worker.id)
    accepted = {}
    for job in JOBS:
        await deployment.submit("q", job, [
            {"count": 1, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 1000}], 1.0)
        accepted[job] = time.monotonic()
        await asyncio.sleep(0.05)
    broken, asked = None, 0
    end = time.monotonic() + 10.0
    while time.monotonic() < end:
        await asyncio.sleep(0.5)
        daemon = deployment.daemons[asked % len(deployment.daemons)]
        asked += 1
        sent_at = time.monotonic()
        response = await deployment.request(daemon, "GET", "q", "")
        if response.status != 200:
            continue
        waiting = [job for job, at in accepted.items()
                   if at + WAITED_SECONDS < sent_at
                   and job + ".0.0.0" not in simulation.started]
        pending = response.json()["pending"]
        if 2 * pending < len(waiting) and broken is None:
            broken = ("MIXED: %s gives %d as pending; %d accepted jobs have "
                      "waited over %.0f s and have not begun" % (
                          daemon.name, pending, len(waiting), WAITED_SECONDS))
            deployment.note(broken)
    return broken


run_case(case, HERE)
